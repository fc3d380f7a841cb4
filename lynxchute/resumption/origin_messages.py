"""Convert origins of streams for messages and rows."""

from __future__ import annotations

from lynxchute.fleet.origin_messages import KnownOrigin
from lynxchute.upstreams.stream_origin import StreamOrigin


def to_message(
    key: str, origin: StreamOrigin, expires_at: float, now: float
) -> KnownOrigin:
    """Return an origin as it is sent to another router."""
    return KnownOrigin(
        key=key,
        service=origin.service,
        software_version=origin.software_version,
        upstream=origin.upstream,
        started_ms=origin.started_ms,
        age=max(now - origin.began_at, 0.0),
        keep=max(expires_at - now, 0.0),
        is_proven=origin.is_proven,
        is_assumed=origin.is_assumed,
    )


def from_message(known: KnownOrigin, now: float) -> StreamOrigin:
    """Return an origin that another router has sent."""
    return StreamOrigin(
        service=known.service,
        software_version=known.software_version,
        upstream=known.upstream,
        started_ms=known.started_ms,
        began_at=now - known.age,
        is_proven=known.is_proven,
        is_assumed=known.is_assumed,
    )

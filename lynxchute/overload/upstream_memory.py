"""Bound the request bytes held by an upstream by what it is known to handle."""

from __future__ import annotations

import attrs

# Learned limit as a share of the bytes that the upstream held when it crashed. The
# crash may have had another cause, and other routers may have sent to it too.
SAFE_SHARE = 0.8
# An upstream that holds fewer bytes than this did not crash for lack of memory.
MIN_CRASH_BYTES = 65536
# Completed requests without a crash after which the learned limit grows by 1%, so that
# one wrong guess does not last.
GROWTH_INTERVAL = 50
GROWTH_FACTOR = 1.01


@attrs.define(eq=False)
class _Upstream:
    """The bytes that one upstream holds, and their limits.

    Attributes
    ----------
    held
        Bytes of the requests that are open there.
    stated, learned
        Limits in bytes that the upstream reports, and that was learned from crashes; 0
        if unknown.
    completed
        Requests that ended without a crash since the learned limit last changed.
    """

    held: int = 0
    stated: int = 0
    learned: int = 0
    completed: int = 0

    @property
    def limit(self) -> int:
        """Return the limit in bytes; 0 if nothing is known."""
        known = [size for size in (self.stated, self.learned) if size]
        return min(known, default=0)


class UpstreamMemory:
    """Decide whether an upstream may be sent one more request while it holds others.

    Handles long requests that meet on one upstream, which then crashes with all of
    them. Their callers are better served by another upstream, or a moment later.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Upstream] = {}

    def record_stated_limit(self, upstream_id: str, size: int) -> None:
        """Record the limit in bytes that an upstream reports; 0 clears it."""
        self._upstream(upstream_id).stated = size

    def may_send(self, upstream_id: str, size: int) -> bool:
        """Return whether a request of some bytes may be sent to an upstream.

        A request to an upstream that holds no other is always allowed, as no other
        upstream would be better for it.
        """
        upstream = self._upstream(upstream_id)
        if not upstream.held or not upstream.limit:
            return True
        return upstream.held + size <= upstream.limit

    def record_send(self, upstream_id: str, size: int) -> None:
        """Record that a request was sent to an upstream."""
        self._upstream(upstream_id).held += size

    def record_end(self, upstream_id: str, size: int) -> None:
        """Record that an upstream has finished a request."""
        upstream = self._upstream(upstream_id)
        upstream.held = max(upstream.held - size, 0)
        upstream.completed += 1
        if upstream.learned and upstream.completed >= GROWTH_INTERVAL:
            upstream.learned = int(upstream.learned * GROWTH_FACTOR)
            upstream.completed = 0

    def record_crash(self, upstream_id: str) -> None:
        """Record that an upstream crashed with all the requests that it held."""
        upstream = self._upstream(upstream_id)
        held, upstream.held = upstream.held, 0
        if held < MIN_CRASH_BYTES:
            return
        safe = int(held * SAFE_SHARE)
        upstream.learned = min(upstream.learned or safe, safe)
        upstream.completed = 0

    def discard(self, upstream_id: str) -> None:
        """Drop the state of an upstream that was removed."""
        self._by_id.pop(upstream_id, None)

    def _upstream(self, upstream_id: str) -> _Upstream:
        return self._by_id.setdefault(upstream_id, _Upstream())

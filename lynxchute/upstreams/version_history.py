"""Software versions that the upstreams of each service have had lately."""

from __future__ import annotations

import math


class VersionHistory:
    """Remembers which software versions each service has had lately.

    Times are seconds on the steady clock.

    Examples
    --------
    >>> history = VersionHistory()
    >>> history.record("pool", "v1", 5.0)
    >>> history.record("pool", "v2", 32.0)
    >>> sorted(history.versions("pool", since=0.0))
    ['v1', 'v2']
    >>> history.versions("pool", since=20.0)
    {'v2'}
    """

    def __init__(self) -> None:
        self._seen_at_by_service: dict[str, dict[str | None, float]] = {}

    def record(self, service: str, version: str | None, seen_at: float) -> None:
        """Record when a service had a version; None for one that is not known."""
        seen_at_by_version = self._seen_at_by_service.setdefault(service, {})
        known = seen_at_by_version.get(version, -math.inf)
        seen_at_by_version[version] = max(known, seen_at)

    def forget(self, before: float) -> None:
        """Forget versions that were last seen before a time."""
        for service, seen_at_by_version in list(self._seen_at_by_service.items()):
            for version, seen_at in list(seen_at_by_version.items()):
                if seen_at < before:
                    del seen_at_by_version[version]
            if not seen_at_by_version:
                del self._seen_at_by_service[service]

    def versions(self, service: str, *, since: float) -> set[str | None]:
        """Return the versions that a service has had since a time."""
        found = set()
        for version, seen_at in self._seen_at_by_service.get(service, {}).items():
            if seen_at >= since:
                found.add(version)
        return found

"""Choose the subset of a large service's upstreams to consider for a request."""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections.abc import Iterable

from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry

# Up to this number of upstreams, all are considered for each request: the cost of each
# (14 us to place a request, 4 us to build the placement request) adds up to 2 ms. With
# all of 3,000 upstreams and 300 routers, each request took 54 ms of processor time: the
# router that placed requests for all others answered 24 a second, the others timed out
# after 0.1 s and placed requests by themselves, and 32 of 100 requests in the first
# seconds were not served.
FULL_SCAN_LIMIT = 100
# For a larger service, this many ring lookups select this many adjacent upstreams each.
# The selection is the same for all requests with the same prompt prefix, so that they
# find its cached parts.
RING_LOOKUPS = 8
NEIGHBOURS_PER_LOOKUP = 8


class HashRing:
    """Order names by their hashes, and find the neighbours of a key among them.

    Parameters
    ----------
    names
        The names to order.

    Examples
    --------
    >>> ring = HashRing(["a", "b", "c"])
    >>> ring.neighbours("key") == ring.neighbours("key"), sorted(ring.neighbours("key"))
    (True, ['a', 'b', 'c'])
    """

    def __init__(self, names: Iterable[str]) -> None:
        points = sorted((_hash(name), name) for name in names)
        self._hashes = [point for point, _ in points]
        self._names = [name for _, name in points]

    def neighbours(self, key: str) -> list[str]:
        """Return the names that follow a key's points on the ring, each once."""
        found: dict[str, None] = {}
        count = len(self._names)
        for lookup in range(RING_LOOKUPS):
            begin = bisect_left(self._hashes, _hash(f"{lookup} {key}"))
            for offset in range(min(NEIGHBOURS_PER_LOOKUP, count)):
                found[self._names[(begin + offset) % count]] = None
        return list(found)


class Neighbourhood:
    """Select the upstreams of a service to consider for a request.

    All upstreams of a small service are considered. For a large one the key selects a
    subset that is the same at all routers: 64 candidates balance the load nearly as
    well as all of 3,000, and a prompt goes where the cache already holds its first
    part.

    Parameters
    ----------
    directory
        The upstreams.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._rings_by_service: dict[str, HashRing] = {}
        self._ids_by_service: dict[str, list[str]] = {}
        directory.listeners.append(self.invalidate)

    def invalidate(self) -> None:
        """Discard the cached ids, because the directory has changed."""
        self._ids_by_service = {}

    def entries(
        self,
        service: str,
        key: str,
        now: float,
        *,
        software_version: str | None = None,
    ) -> list[UpstreamEntry]:
        """Return the candidates for a key that accept work, or may do so again.

        Parameters
        ----------
        software_version
            Consider all upstreams of this software version; None for the candidates of
            the key, of any version.
        """
        if software_version is not None:
            available = self._directory.available(service, now)
            return [e for e in available if e.upstream.may_run(software_version)]
        if len(self._ids(service)) <= FULL_SCAN_LIMIT:
            return list(self._directory.available(service, now))
        found = []
        for upstream_id in self.ids(service, key):
            entry = self._directory.entries_by_id.get(upstream_id)
            if entry is not None and (entry.takes_work or entry.may_return(now)):
                found.append(entry)
        return found or list(self._directory.available(service, now))

    def ids(self, service: str, key: str) -> list[str]:
        """Return the ids of a key's registered candidates, including draining ones."""
        ids = self._ids(service)
        if len(ids) <= FULL_SCAN_LIMIT:
            return ids
        ring = self._rings_by_service.get(service)
        if ring is None:
            ring = HashRing(ids)
            self._rings_by_service[service] = ring
        return ring.neighbours(key)

    def _ids(self, service: str) -> list[str]:
        """Return the ids of a service, cached until the directory changes."""
        ids = self._ids_by_service.get(service)
        if ids is None:
            ids = self._directory.registered_ids(service)
            self._ids_by_service[service] = ids
            self._rings_by_service.pop(service, None)
        return ids


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()

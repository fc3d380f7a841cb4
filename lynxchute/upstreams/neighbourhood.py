"""The upstreams of a large service that are looked at for one request."""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections.abc import Iterable

from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import Entry

# A service with so many upstreams or fewer has all of them looked at for each request:
# what each costs (14 us to place a request, 4 us to ask for it) is 2 ms then. With all
# of 3,000, 300 routers took 54 ms of a processor for each request: the router that
# placed for all of them answered 24 a second, the others gave it up after 0.1 s and
# placed by themselves, and 32 in 100 requests of the first seconds were not served.
ALL_UP_TO = 100
# Of a larger service, so many runs of neighbours of so many upstreams are looked at;
# the same for all requests that begin alike, so that what is kept of them is found.
PROBES = 8
RUN_LENGTH = 8


class Ring:
    """Order names by their hashes, and find neighbours of a key among them.

    Parameters
    ----------
    names
        What is ordered.

    Examples
    --------
    >>> ring = Ring(["a", "b", "c"])
    >>> ring.near("key") == ring.near("key"), sorted(ring.near("key"))
    (True, ['a', 'b', 'c'])
    """

    def __init__(self, names: Iterable[str]) -> None:
        points = sorted((_point(name), name) for name in names)
        self._points = [point for point, _ in points]
        self._names = [name for _, name in points]

    def near(self, key: str) -> list[str]:
        """Return the neighbours of a key, each once."""
        found: dict[str, None] = {}
        count = len(self._names)
        for probe in range(PROBES):
            begin = bisect_left(self._points, _point(f"{probe} {key}"))
            for offset in range(min(RUN_LENGTH, count)):
                found[self._names[(begin + offset) % count]] = None
        return list(found)


class Neighbourhood:
    """Say which upstreams of a service are looked at for a request.

    All of them while they are few. Of many, some that all routers agree on by the key:
    64 choices balance nearly as well as all of 3,000, and a prompt's first part is
    kept where others with it went before.

    Parameters
    ----------
    directory
        The upstreams.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._rings_by_service: dict[str, Ring] = {}
        self._ids_by_service: dict[str, list[str]] = {}
        directory.listeners.append(self.forget)

    def forget(self) -> None:
        """Look at the directory anew."""
        self._ids_by_service = {}

    def entries(self, service: str, key: str, now: float) -> list[Entry]:
        """Return the upstreams that take work, or may well do so, for a key."""
        if len(self._ids(service)) <= ALL_UP_TO:
            return list(self._directory.available(service, now))
        found = []
        for upstream_id in self.ids(service, key):
            entry = self._directory.entries_by_id.get(upstream_id)
            if entry is not None and (entry.takes_work or entry.may_be_back(now)):
                found.append(entry)
        return found or list(self._directory.available(service, now))

    def ids(self, service: str, key: str) -> list[str]:
        """Return the upstreams whose entries stand, leaving or not, for a key."""
        ids = self._ids(service)
        if len(ids) <= ALL_UP_TO:
            return ids
        ring = self._rings_by_service.get(service)
        if ring is None:
            ring = Ring(ids)
            self._rings_by_service[service] = ring
        return ring.near(key)

    def _ids(self, service: str) -> list[str]:
        """Return the upstreams that a service has, since the directory changed."""
        ids = self._ids_by_service.get(service)
        if ids is None:
            ids = self._directory.ids_that_answer(service)
            self._ids_by_service[service] = ids
            self._rings_by_service.pop(service, None)
        return ids


def _point(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()

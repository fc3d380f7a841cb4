"""The upstreams of the fleet, as they tell of themselves."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import attrs

from lynxchute.upstreams.health import Health
from lynxchute.upstreams.upstream import Upstream


@attrs.define(eq=False)
class Entry:
    """An upstream, how it fares, and what this router has open there.

    Attributes
    ----------
    open_requests
        Requests of this router that it is working on.
    open_tokens
        Tokens of their prompts, and of their answers at most.
    gone_at
        When its entry vanished; None while it stands.
    """

    upstream: Upstream
    health: Health = attrs.Factory(Health)
    open_requests: int = 0
    open_tokens: int = 0
    gone_at: float | None = None

    @property
    def takes_work(self) -> bool:
        """Return whether it may get new requests."""
        return self.gone_at is None and not self.upstream.is_leaving


class Directory:
    """All known upstreams by id.

    Attributes
    ----------
    listeners
        Called after upstreams have changed.
    """

    def __init__(self) -> None:
        self.entries_by_id: dict[str, Entry] = {}
        self.listeners: list[Callable[[], None]] = []

    def put(self, upstream: Upstream) -> bool:
        """Take what an upstream says of itself; return whether that is news."""
        entry = self.entries_by_id.get(upstream.id)
        if entry is None:
            self.entries_by_id[upstream.id] = Entry(upstream)
            return True
        is_news = entry.upstream != upstream or entry.gone_at is not None
        entry.upstream = upstream
        entry.gone_at = None
        return is_news

    def remove(self, upstream_id: str, now: float) -> bool:
        """Note that an upstream's entry has vanished."""
        entry = self.entries_by_id.get(upstream_id)
        if entry is None or entry.gone_at is not None:
            return False
        entry.gone_at = now
        return True

    def changed(self) -> None:
        """Tell the listeners that upstreams have changed."""
        for listener in self.listeners:
            listener()

    def forget(self, before: float) -> list[Upstream]:
        """Drop upstreams that vanished before a time and have nothing open."""
        dropped = []
        for upstream_id, entry in list(self.entries_by_id.items()):
            if entry.gone_at is None or entry.gone_at > before or entry.open_requests:
                continue
            dropped.append(self.entries_by_id.pop(upstream_id).upstream)
        return dropped

    def count(self) -> int:
        """Return how many upstreams take work."""
        return sum(1 for entry in self.entries_by_id.values() if entry.takes_work)

    def ids_that_answer(self, service: str) -> list[str]:
        """Return the upstreams of a service whose entries stand, leaving or not."""
        found = []
        for upstream_id, entry in self.entries_by_id.items():
            if entry.upstream.service == service and entry.gone_at is None:
                found.append(upstream_id)
        return found

    def of_services(self, services: Iterable[str]) -> Iterator[Entry]:
        """Yield the upstreams of some services that take work."""
        wanted = set(services)
        for entry in self.entries_by_id.values():
            if entry.upstream.service in wanted and entry.takes_work:
                yield entry

"""The upstreams of the fleet, as they tell of themselves."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from lynxchute.http import AbortHandle
from lynxchute.upstreams.health import Health
from lynxchute.upstreams.upstream import Upstream


@attrs.define(eq=False)
class OpenSend:
    """A request that an upstream has not answered whole.

    Attributes
    ----------
    handle
        Breaks it off.
    may_move
        Returns whether it may be sent to another upstream instead.
    """

    handle: AbortHandle
    may_move: Callable[[], bool]


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
    lapses_at
        Where it may have vanished only because the store was away: when it is
        to be taken as gone unless it is back.
    open_sends
        What it is working on for this router.
    heard_at, probed_at
        When a byte last came from it, and when it was last asked whether it
        is there, in seconds.
    """

    upstream: Upstream
    health: Health = attrs.Factory(Health)
    open_requests: int = 0
    open_tokens: int = 0
    gone_at: float | None = None
    lapses_at: float = 0.0
    open_sends: set[OpenSend] = attrs.Factory(set)
    heard_at: float = 0.0
    probed_at: float = 0.0

    @property
    def takes_work(self) -> bool:
        """Return whether it may get new requests."""
        return self.gone_at is None and not self.upstream.is_leaving

    def may_be_back(self, now: float) -> bool:
        """Return whether its entry may have lapsed with the store only."""
        if self.gone_at is None or self.upstream.is_leaving:
            return False
        return now < self.lapses_at


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

    def remove(self, upstream_id: str, now: float, *, lapses_at: float = 0.0) -> bool:
        """Note that an upstream's entry has vanished.

        Parameters
        ----------
        lapses_at
            Until when it may come back, where the store was away just now.
        """
        entry = self.entries_by_id.get(upstream_id)
        if entry is None or entry.gone_at is not None:
            return False
        entry.gone_at = now
        entry.lapses_at = lapses_at
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

    def of_service(self, service: str, now: float) -> Iterator[Entry]:
        """Yield the upstreams of a service that take work, or may well do so."""
        for entry in self.entries_by_id.values():
            if entry.upstream.service != service:
                continue
            if entry.takes_work or entry.may_be_back(now):
                yield entry

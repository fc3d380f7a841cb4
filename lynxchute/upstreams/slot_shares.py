"""Bounds on the open requests of each router at upstreams that must not be overfilled.

A brittle upstream falls over if it has to reject many requests for want of room. Its
slots are divided among all registered routers, so that they never send more than it
runs, also while they cannot reach one another. A router that the others may not count
yet has none of them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry

# Seconds for which one upstream that says that it is brittle speaks for all others of
# its service.
SERVICE_SECONDS = 2.0
# Slots of each upstream that a router uses while it does not know its rank.
SLOTS_WITHOUT_RANK = 1
# Slots of each upstream that a router uses while its view of the others is outdated,
# and while others may have a view without it.
SLOTS_WITH_OLD_VIEW = 1
SLOTS_WHILE_UNKNOWN = 0
# Seconds after a rejection in which a router uses half of its share.
REJECTED_SECONDS = 1.0


@attrs.frozen
class FleetPosition:
    """Rank of a router among the registered ones, from 0, and their number.

    Attributes
    ----------
    max_slots
        Slots of each upstream that it may use at most, since another router's view may
        differ; None for its whole share.
    """

    rank: int
    routers: int
    max_slots: int | None = None


def slot_share(
    upstream_id: str, slots_by_id: Mapping[str, int], position: FleetPosition
) -> int:
    """Return the slots of an upstream that belong to one router.

    The slots of all upstreams of a service are dealt out in turn, so each router has
    the same number of them, give or take one, and no slot belongs to two.

    Examples
    --------
    >>> slots = {"u1": 3, "u2": 3}
    >>> [slot_share(u, slots, FleetPosition(1, 4)) for u in slots]
    [1, 1]
    >>> sum(slot_share("u1", slots, FleetPosition(r, 4)) for r in range(4))
    3
    """
    first = 0
    for name in sorted(slots_by_id):
        if name == upstream_id:
            break
        first += slots_by_id[name]
    count = slots_by_id.get(upstream_id, 0)
    rank, routers = position.rank, position.routers

    def dealt_before(index: int) -> int:
        return (index - rank + routers - 1) // routers

    return dealt_before(first + count) - dealt_before(first)


class SlotShares:
    """Decides how many open requests this router may have at each upstream.

    Parameters
    ----------
    directory
        The upstreams of all services.
    position
        Returns the position of this router for a service; None while it is not known.
    """

    def __init__(
        self,
        directory: Directory,
        position: Callable[[str], FleetPosition | None],
    ) -> None:
        self._directory = directory
        self._position = position

    def is_limited(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether an upstream must not be overfilled."""
        brittle_by_id = self._directory.brittle_by_id
        if not brittle_by_id:
            return False
        service = entry.upstream.service
        for other in brittle_by_id.values():
            if other is entry:
                return True
            heard_ago = now - other.backpressure.brittle_at
            if other.upstream.service == service and heard_ago < SERVICE_SECONDS:
                return True
        return False

    def share(self, entry: UpstreamEntry, now: float) -> int | None:
        """Return the open requests that are allowed; None for any number."""
        if not self.is_limited(entry, now):
            return None
        service = entry.upstream.service
        position = self._position(service)
        if position is None:
            return SLOTS_WITHOUT_RANK
        slots_by_id = {}
        for other in self._directory.available(service, now):
            slots_by_id[other.upstream.id] = other.upstream.slots
        share = slot_share(entry.upstream.id, slots_by_id, position)
        if position.max_slots is not None:
            share = min(share, position.max_slots)
        if now - entry.backpressure.rejected_at < REJECTED_SECONDS:
            share //= 2
        return share

    def has_room(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether this router may send one more request to an upstream."""
        share = self.share(entry, now)
        return share is None or entry.open_requests < share

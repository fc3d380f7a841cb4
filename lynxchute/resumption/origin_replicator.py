"""Hand over where streams began to the routers that remember it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.origin_messages import OriginNotice
from lynxchute.resumption.origin_messages import to_message
from lynxchute.resumption.origin_owners import OriginOwners
from lynxchute.telemetry import log_event
from lynxchute.upstreams.stream_origin import StreamOrigin

# Other routers that remember each origin.
COPIES = 2
# Origins in one message.
MAX_ORIGINS_PER_NOTICE = 200
# Rounds of messages after which an origin is given up.
MAX_ROUNDS = 5


@attrs.define(eq=False)
class _Pending:
    """An origin that is not known to enough routers yet.

    Attributes
    ----------
    told
        Routers that have it.
    tried
        Routers that did not answer.
    """

    key: str
    origin: StreamOrigin
    expires_at: float
    told: set[str] = attrs.Factory(set)
    tried: set[str] = attrs.Factory(set)
    rounds: int = 0

    def next_owners(self, owners: OriginOwners, members: Members) -> list[str]:
        """Return the routers to tell next."""
        missing = COPIES - len(self.told)
        candidates = []
        for vm in owners.in_order(self.key):
            if vm in self.told or vm in self.tried or members.by_vm[vm].is_leaving:
                continue
            if members.is_reachable(vm):
                candidates.append(vm)
        return candidates[: max(missing, 0)]


class OriginReplicator:
    """Sends the origins of streams to other routers in batches.

    Parameters
    ----------
    members, peers
        The other routers.
    owners
        Orders the routers for each stream.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        owners: OriginOwners,
        clock: Callable[[], float],
    ) -> None:
        self._owners = owners
        self._members = members
        self._peers = peers
        self._clock = clock
        self._pending: list[_Pending] = []

    @property
    def has_pending(self) -> bool:
        """Return whether origins wait to be sent."""
        return bool(self._pending)

    def enqueue(self, key: str, origin: StreamOrigin, expires_at: float) -> None:
        """Queue an origin."""
        self._pending.append(_Pending(key, origin, expires_at))

    async def send_pending(self) -> None:
        """Send the queued origins; keep those that too few routers have received."""
        pending, self._pending = self._pending, []
        batches_by_vm: dict[str, list[_Pending]] = {}
        for item in pending:
            item.rounds += 1
            for vm in item.next_owners(self._owners, self._members):
                batches_by_vm.setdefault(vm, []).append(item)
        sends = [self._send(vm, items) for vm, items in batches_by_vm.items()]
        await asyncio.gather(*sends)
        unknown = 0
        for item in pending:
            if len(item.told) >= COPIES or not item.next_owners(
                self._owners, self._members
            ):
                unknown += not item.told
                continue
            if item.rounds < MAX_ROUNDS and self._clock() < item.expires_at:
                self._pending.append(item)
        if unknown:
            log_event("stream origins known only here", count=unknown)

    async def _send(self, vm: str, items: list[_Pending]) -> None:
        for begin in range(0, len(items), MAX_ORIGINS_PER_NOTICE):
            batch = items[begin : begin + MAX_ORIGINS_PER_NOTICE]
            now = self._clock()
            origins = [
                to_message(item.key, item.origin, item.expires_at, now)
                for item in batch
            ]
            try:
                await self._peers.ask(vm, OriginNotice(tuple(origins)))
            except PeerUnreachable as error:
                log_event(
                    "stream origins not delivered",
                    peer=vm,
                    count=len(items) - begin,
                    reason=str(error),
                )
                for item in items[begin:]:
                    item.tried.add(vm)
                return
            for item in batch:
                item.told.add(vm)

"""Tell all routers which requests are kept from upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

import attrs

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.quarantine_messages import QuarantineNews
from lynxchute.quarantine import QuarantineEntry
from lynxchute.telemetry import log_event

# Seconds for which a router that has not taken news is told again; by then it has the
# row from the store, or has started anew.
DELIVERY_SECONDS = 60.0
# News that are kept at most.
MAX_UPDATES = 100
# Routers told at once: a VM with a link of 5 Mbit/s sends these messages within 10 ms.
MAX_CONCURRENT_SENDS = 16


@attrs.define(eq=False)
class _Update:
    """What is to be told until a time.

    Attributes
    ----------
    told
        The runs of routers that have taken it.
    """

    message: QuarantineNews
    expires_at: float
    delivered_to: set[str] = attrs.Factory(set)


class QuarantineBroadcast:
    """Send news to every router until each has taken them.

    The store's row says the same; a router whose connection to the store has gone
    silent hears of that only seconds later.

    Parameters
    ----------
    members, peers
        The other routers.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self, members: Members, peers: Peers, clock: Callable[[], float]
    ) -> None:
        self.listeners: list[Callable[[QuarantineNews], None]] = []
        self._members = members
        self._peers = peers
        self._clock = clock
        self._updates: list[_Update] = []

    @property
    def has_undelivered(self) -> bool:
        """Return whether a registered router may not have taken all news."""
        incarnations = {member.incarnation for member in self._members.by_vm.values()}
        incarnations.discard(self._members.own.incarnation)
        return any(incarnations - update.delivered_to for update in self._updates)

    def publish(
        self,
        *,
        quarantined: tuple[QuarantineEntry, ...] = (),
        cleared: tuple[str, ...] = (),
    ) -> None:
        """Have something told, here at once."""
        message = QuarantineNews(quarantined, cleared)
        for listener in self.listeners:
            listener(message)
        self._updates.append(_Update(message, self._clock() + DELIVERY_SECONDS))
        del self._updates[:-MAX_UPDATES]

    def retain_only(self, contents: Container[str]) -> None:
        """Tell nobody any more of other requests in quarantine."""
        kept = []
        for update in self._updates:
            items = update.message.quarantined
            if all(item.content in contents for item in items):
                kept.append(update)
        self._updates = kept

    async def send_pending(self) -> None:
        """Tell the routers that can be reached what they have not taken yet."""
        now = self._clock()
        self._updates = [update for update in self._updates if now < update.expires_at]
        if not self._updates:
            return
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_SENDS)
        await asyncio.gather(
            *(self._send_to(vm, semaphore) for vm in self._reachable_vms())
        )

    def _reachable_vms(self) -> list[str]:
        vms = []
        for member in self._members.by_vm.values():
            if member.vm == self._members.own.vm:
                continue
            if self._members.is_reachable(member.vm):
                vms.append(member.vm)
        return vms

    async def _send_to(self, vm: str, semaphore: asyncio.Semaphore) -> None:
        incarnation = self._members.by_vm[vm].incarnation
        pending = [
            update for update in self._updates if incarnation not in update.delivered_to
        ]
        if not pending:
            return
        async with semaphore:
            for update in pending:
                try:
                    await self._peers.ask(vm, update.message)
                except PeerUnreachable as error:
                    log_event(
                        "quarantine update not delivered", peer=vm, reason=str(error)
                    )
                    return
                update.delivered_to.add(incarnation)

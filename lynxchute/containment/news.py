"""Notify all routers which requests are quarantined."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

import attrs

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.quarantine_messages import QuarantineUpdate
from lynxchute.quarantine import PartGroup, QuarantineEntry
from lynxchute.telemetry import log_event

# Seconds for which a message is sent again to routers that have not received it; by
# then they have the row from the store, or have restarted.
DELIVERY_SECONDS = 60.0
# Maximum number of messages that are kept.
MAX_UPDATES = 100
# Concurrent sends: a VM with a link of 5 Mbit/s sends these messages within 10 ms.
MAX_CONCURRENT_SENDS = 16


@attrs.define(eq=False)
class _Update:
    """A message that is sent until it expires.

    Attributes
    ----------
    delivered_to
        Incarnations of the routers that have received it.
    """

    message: QuarantineUpdate
    expires_at: float
    delivered_to: set[str] = attrs.Factory(set)


class QuarantineBroadcast:
    """Send quarantine messages to every router until each has received them.

    The row in the store says the same, but a router whose connection to the store has
    gone silent learns of that only seconds later.

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
        self.listeners: list[Callable[[QuarantineUpdate], None]] = []
        self._members = members
        self._peers = peers
        self._clock = clock
        self._updates: list[_Update] = []

    @property
    def has_undelivered(self) -> bool:
        """Return whether a registered router may not have received all messages."""
        incarnations = {member.incarnation for member in self._members.by_vm.values()}
        incarnations.discard(self._members.own.incarnation)
        return any(incarnations - update.delivered_to for update in self._updates)

    def publish(
        self,
        *,
        quarantined: tuple[QuarantineEntry, ...] = (),
        cleared: tuple[str, ...] = (),
        suspected: tuple[PartGroup, ...] = (),
    ) -> None:
        """Notify local listeners at once, and queue a message for all other routers."""
        message = QuarantineUpdate(quarantined, cleared, suspected)
        for listener in self.listeners:
            listener(message)
        self._updates.append(_Update(message, self._clock() + DELIVERY_SECONDS))
        del self._updates[:-MAX_UPDATES]

    def prune(self, contents: Container[str]) -> None:
        """Discard messages that quarantine a request not in ``contents``."""
        kept = []
        for update in self._updates:
            items = update.message.quarantined
            if all(item.content in contents for item in items):
                kept.append(update)
        self._updates = kept

    async def send_pending(self) -> None:
        """Send undelivered messages to all reachable routers."""
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

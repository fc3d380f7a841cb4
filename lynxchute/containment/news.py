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
TELL_SECONDS = 60.0
# News that are kept at most.
MAX_NEWS = 100
# Routers told at once: a VM with a link of 5 Mbit/s sends these messages within 10 ms.
TOLD_AT_ONCE = 16


@attrs.define(eq=False)
class _News:
    """What is to be told until a time.

    Attributes
    ----------
    told
        The runs of routers that have taken it.
    """

    message: QuarantineNews
    until: float
    told: set[str] = attrs.Factory(set)


class Newscast:
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
        self._news: list[_News] = []

    @property
    def is_waiting(self) -> bool:
        """Return whether a registered router may not have taken all news."""
        runs = {member.incarnation for member in self._members.by_vm.values()}
        runs.discard(self._members.own.incarnation)
        return any(runs - news.told for news in self._news)

    def tell(
        self,
        *,
        quarantined: tuple[QuarantineEntry, ...] = (),
        cleared: tuple[str, ...] = (),
    ) -> None:
        """Have something told, here at once."""
        message = QuarantineNews(quarantined, cleared)
        for listener in self.listeners:
            listener(message)
        self._news.append(_News(message, self._clock() + TELL_SECONDS))
        del self._news[:-MAX_NEWS]

    def keep_only(self, contents: Container[str]) -> None:
        """Tell nobody any more of other requests in quarantine."""
        kept = []
        for news in self._news:
            items = news.message.quarantined
            if all(item.content in contents for item in items):
                kept.append(news)
        self._news = kept

    async def send(self) -> None:
        """Tell the routers that can be reached what they have not taken yet."""
        now = self._clock()
        self._news = [news for news in self._news if now < news.until]
        if not self._news:
            return
        gate = asyncio.Semaphore(TOLD_AT_ONCE)
        await asyncio.gather(*(self._tell(vm, gate) for vm in self._listening()))

    def _listening(self) -> list[str]:
        vms = []
        for member in self._members.by_vm.values():
            if member.vm == self._members.own.vm:
                continue
            if self._members.is_reachable(member.vm):
                vms.append(member.vm)
        return vms

    async def _tell(self, vm: str, gate: asyncio.Semaphore) -> None:
        incarnation = self._members.by_vm[vm].incarnation
        waiting = [news for news in self._news if incarnation not in news.told]
        if not waiting:
            return
        async with gate:
            for news in waiting:
                try:
                    await self._peers.ask(vm, news.message)
                except PeerUnreachable as error:
                    log_event(
                        "quarantine update not delivered", peer=vm, reason=str(error)
                    )
                    return
                news.told.add(incarnation)

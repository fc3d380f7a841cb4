"""Tell scheduling routers what has become of the runs that they placed."""

from __future__ import annotations

import asyncio

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import RunNews, RunNewsRequest
from lynxchute.telemetry import log_event

# News of runs of this many seconds go out together.
NEWS_SECONDS = 0.05
# Seconds until news are told again to a router that did not take them.
RETELL_SECONDS = 0.5
# News that are kept for such a router: those of some seconds.
MAX_KEPT_NEWS = 300


class NewsOfRuns:
    """Collect news of runs for other routers and tell them some at a time.

    Parameters
    ----------
    members, peers
        The other routers.
    """

    def __init__(self, members: Members, peers: Peers) -> None:
        self._members = members
        self._peers = peers
        self._news_by_vm: dict[str, list[RunNews]] = {}
        self._is_any = asyncio.Event()

    def post(self, vm: str, news: list[RunNews]) -> None:
        """Have news told to a router."""
        self._news_by_vm.setdefault(vm, []).extend(news)
        self._is_any.set()

    async def tell(self, patience: float) -> None:
        """Tell what there is, or what comes within so many seconds."""
        try:
            async with asyncio.timeout(patience):
                await self._is_any.wait()
        except TimeoutError:
            return
        self._is_any.clear()
        await asyncio.sleep(NEWS_SECONDS)
        await self._tell_all()

    async def _tell_all(self) -> None:
        """Send the news that wait for routers that can be reached."""
        waiting, self._news_by_vm = self._news_by_vm, {}
        tellings = []
        for vm, news in waiting.items():
            if vm not in self._members.by_vm:
                continue
            if self._members.is_reachable(vm):
                tellings.append(self._tell(vm, news))
            else:
                self._keep(vm, news)
        await asyncio.gather(*tellings)

    async def _tell(self, vm: str, news: list[RunNews]) -> None:
        try:
            await self._peers.ask(vm, RunNewsRequest(tuple(news)))
        except PeerUnreachable as error:
            log_event(
                "run updates not delivered, will retry",
                peer=vm,
                count=len(news),
                reason=str(error),
            )
            self._keep(vm, news)

    def _keep(self, vm: str, news: list[RunNews]) -> None:
        """Keep news for a router that may answer again."""
        newer = self._news_by_vm.get(vm, [])
        self._news_by_vm[vm] = [*news, *newer][-MAX_KEPT_NEWS:]
        loop = asyncio.get_running_loop()
        loop.call_later(RETELL_SECONDS, self._is_any.set)

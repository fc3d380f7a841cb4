"""Report the progress of runs to the routers that placed them."""

from __future__ import annotations

import asyncio

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import RunUpdate, RunUpdateRequest
from lynxchute.telemetry import log_event

# Seconds for which news is collected before it is sent in one message.
BATCH_SECONDS = 0.05
# Seconds until news is sent again after a failed delivery.
RESEND_SECONDS = 0.5
# Maximum number of undelivered items kept per router; some seconds of traffic.
MAX_QUEUED_NEWS = 300


class RunNewsSender:
    """Collect news of runs and send it to other routers in batches.

    Parameters
    ----------
    members, peers
        The other routers.
    """

    def __init__(self, members: Members, peers: Peers) -> None:
        self._members = members
        self._peers = peers
        self._queue_by_vm: dict[str, list[RunUpdate]] = {}
        self._has_news = asyncio.Event()

    def enqueue(self, vm: str, news: list[RunUpdate]) -> None:
        """Queue news for a router."""
        self._queue_by_vm.setdefault(vm, []).extend(news)
        self._has_news.set()

    async def send_queued(self, max_wait: float) -> None:
        """Send the queued news, or wait for some.

        Parameters
        ----------
        max_wait
            Seconds to wait for news if none is queued.
        """
        try:
            async with asyncio.timeout(max_wait):
                await self._has_news.wait()
        except TimeoutError:
            return
        self._has_news.clear()
        await asyncio.sleep(BATCH_SECONDS)
        await self._send_all()

    async def _send_all(self) -> None:
        """Send the queued news to all reachable routers."""
        queued, self._queue_by_vm = self._queue_by_vm, {}
        sends = []
        for vm, news in queued.items():
            if vm not in self._members.by_vm:
                continue
            if self._members.is_reachable(vm):
                sends.append(self._send(vm, news))
            else:
                self._requeue(vm, news)
        await asyncio.gather(*sends)

    async def _send(self, vm: str, news: list[RunUpdate]) -> None:
        try:
            await self._peers.ask(vm, RunUpdateRequest(tuple(news)))
        except PeerUnreachable as error:
            log_event(
                "run updates not delivered, will retry",
                peer=vm,
                count=len(news),
                reason=str(error),
            )
            self._requeue(vm, news)

    def _requeue(self, vm: str, news: list[RunUpdate]) -> None:
        """Queue undelivered news again, up to a limit."""
        newer = self._queue_by_vm.get(vm, [])
        self._queue_by_vm[vm] = [*news, *newer][-MAX_QUEUED_NEWS:]
        loop = asyncio.get_running_loop()
        loop.call_later(RESEND_SECONDS, self._has_news.set)

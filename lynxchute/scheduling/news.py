"""Report the progress of runs to the routers that placed them."""

from __future__ import annotations

import asyncio

from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import RunUpdate, RunUpdateRequest
from lynxchute.telemetry import log_event

# Seconds for which updates are collected before they are sent in one message.
BATCH_SECONDS = 0.05
# Seconds until updates are sent again after a failed delivery.
RESEND_SECONDS = 0.5
# Maximum number of updates kept for a router after a failed delivery; some seconds of
# traffic.
MAX_QUEUED_UPDATES = 300


class RunUpdateSender:
    """Collect updates on runs and send them to other routers in batches.

    Parameters
    ----------
    members, peers
        The other routers.
    """

    def __init__(self, members: Members, peers: Peers) -> None:
        self._members = members
        self._peers = peers
        self._queue_by_vm: dict[str, list[RunUpdate]] = {}
        self._has_updates = asyncio.Event()

    def enqueue(self, vm: str, updates: list[RunUpdate]) -> None:
        """Queue updates for a router."""
        self._queue_by_vm.setdefault(vm, []).extend(updates)
        self._has_updates.set()

    async def send_queued(self, max_wait: float) -> None:
        """Send the queued updates, or wait for some.

        Parameters
        ----------
        max_wait
            Seconds to wait for updates if none is queued.
        """
        try:
            async with asyncio.timeout(max_wait):
                await self._has_updates.wait()
        except TimeoutError:
            return
        self._has_updates.clear()
        await asyncio.sleep(BATCH_SECONDS)
        await self._send_all()

    async def _send_all(self) -> None:
        """Send the queued updates to all reachable routers."""
        queued, self._queue_by_vm = self._queue_by_vm, {}
        sends = []
        for vm, updates in queued.items():
            if vm not in self._members.by_vm:
                continue
            if self._members.is_reachable(vm):
                sends.append(self._send(vm, updates))
            else:
                self._requeue(vm, updates)
        await asyncio.gather(*sends)

    async def _send(self, vm: str, updates: list[RunUpdate]) -> None:
        try:
            await self._peers.ask(vm, RunUpdateRequest(tuple(updates)))
        except PeerUnreachable as error:
            log_event(
                "run updates not delivered, will retry",
                peer=vm,
                count=len(updates),
                reason=str(error),
            )
            self._requeue(vm, updates)

    def _requeue(self, vm: str, updates: list[RunUpdate]) -> None:
        """Queue undelivered updates again, up to a limit."""
        newer = self._queue_by_vm.get(vm, [])
        self._queue_by_vm[vm] = [*updates, *newer][-MAX_QUEUED_UPDATES:]
        loop = asyncio.get_running_loop()
        loop.call_later(RESEND_SECONDS, self._has_updates.set)

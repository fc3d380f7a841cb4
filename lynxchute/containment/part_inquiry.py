"""Ask all routers which suspected prompt parts they have served."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from lynxchute.application import Tasks
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.quarantine_messages import PartInquiry, PartReport
from lynxchute.quarantine import PartGroup
from lynxchute.telemetry import log_event

# Seconds after which the answers that have arrived have to do. A router that answers
# later, or not at all, reports what it has served when it hears of the quarantine.
INQUIRY_SECONDS = 0.5
# Concurrent messages: a VM with a link of 5 Mbit/s sends these within 10 ms.
MAX_CONCURRENT = 32


class PartInquirer:
    """Asks the routers that can be reached.

    Parameters
    ----------
    members, peers
        The routers.
    own_report
        Returns what this router has served, and whether it may have lost state.
    tasks
        Runs the inquiries.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        own_report: Callable[[Sequence[PartGroup]], PartReport],
        tasks: Tasks,
    ) -> None:
        self._members = members
        self._peers = peers
        self._own_report = own_report
        self._tasks = tasks

    @property
    def may_have_lost_state(self) -> bool:
        """Return whether this router may have lost state."""
        return self._own_report(()).may_have_lost_state

    async def ask(self, groups: Sequence[PartGroup]) -> PartReport:
        """Return what this router and the others have served.

        Only if all of them may have lost state, so does the report.
        """
        own = self._own_report(groups)
        vms = [
            vm
            for vm in self._members.by_vm
            if vm != self._members.own.vm and self._members.is_reachable(vm)
        ]
        if not vms:
            return own
        inquiry = PartInquiry(tuple(groups))
        semaphore = asyncio.Semaphore(MAX_CONCURRENT)
        asked = [self._tasks.spawn(self._ask_one(vm, inquiry, semaphore)) for vm in vms]
        done, late = await asyncio.wait(asked, timeout=INQUIRY_SECONDS)
        for task in late:
            task.cancel()
        reports = [task.result() for task in done if not task.cancelled()]
        answers = [report for report in reports if report is not None]
        served = [*own.served, *(item for report in answers for item in report.served)]
        log_event(
            "routers asked for served prompt parts",
            parts=sum(len(group.parts) for group in groups),
            routers=len(vms),
            answers=len(answers),
        )
        have_lost_state = all(report.may_have_lost_state for report in (own, *answers))
        return PartReport(tuple(served), have_lost_state)

    async def _ask_one(
        self, vm: str, inquiry: PartInquiry, semaphore: asyncio.Semaphore
    ) -> PartReport | None:
        async with semaphore:
            try:
                return await self._peers.ask(vm, inquiry)
            except PeerUnreachable as error:
                log_event("served prompt parts not known", peer=vm, reason=str(error))
                return None

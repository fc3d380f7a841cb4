"""What this router and the other registered ones know of one another."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable

from lynxchute.application import PeriodicTask
from lynxchute.fleet.client import Peers, PeerUnreachable
from lynxchute.fleet.members import Members
from lynxchute.fleet.messages import AnnounceRequest
from lynxchute.telemetry import log_event

# Seconds after which a view of the registered routers is too old to divide anything
# among them. It lasts longer than most outages of the store, in which no router can
# register.
MAX_VIEW_SECONDS = 8.0
# Seconds after its registration from which no other router acts on a view without a
# router; the margin is for clocks of different speed.
JOIN_SECONDS = MAX_VIEW_SECONDS + 1.0
# Seconds between announcements to routers that did not acknowledge one, and the
# routers that are asked at a time.
RETRY_SECONDS = 1.0
MAX_ASKED = 16
# Seconds for which a stream waits for the acknowledgements.
WAIT_SECONDS = 0.5
# Routers of a fleet in which each one that starts announces itself at once; in a larger
# fleet it does so when its part is first asked for.
SMALL_FLEET = 32


class FleetView:
    """Tells whether all registered routers agree on which routers there are.

    What belongs to all routers together may be divided, or called agreed, only by
    routers with a current view. A router that others may not have heard of has no part
    in it: not before each of them has acknowledged it, or is known to have an outdated
    view.

    Parameters
    ----------
    members, peers
        The registered routers, and the client to reach them.
    are_members_known
        Returns whether the registered routers and their secret have been read.
    confirmed_at
        Returns when the registered routers were last confirmed, in seconds.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        members: Members,
        peers: Peers,
        are_members_known: Callable[[], bool],
        confirmed_at: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self.loop = PeriodicTask(
            "announcements", self._announce, RETRY_SECONDS, self._is_announcement_due
        )
        self._members = members
        self._peers = peers
        self._are_members_known = are_members_known
        self._confirmed_at = confirmed_at
        self._clock = clock
        self._known_from = math.inf
        self._acknowledged: set[tuple[str, str]] = set()
        self._is_wanted = False
        self._has_acknowledgements = asyncio.Event()

    def record_registered(self, *, is_new: bool) -> None:
        """Record that this router is registered.

        Parameters
        ----------
        is_new
            Whether other routers may not have counted an earlier process of its VM.
        """
        self._known_from = self._clock() + JOIN_SECONDS if is_new else -math.inf

    def is_current(self) -> bool:
        """Return whether this router knows all others that may act on their views."""
        return self._clock() <= self._confirmed_at() + MAX_VIEW_SECONDS

    def is_known(self) -> bool:
        """Return whether no other router acts on a view without this one."""
        if self._clock() >= self._known_from:
            return True
        if not self._is_wanted:
            self._is_wanted = True
            self.loop.wake()
        return False

    async def wait_known(self) -> bool:
        """Wait briefly for acknowledgements; return what `is_known` does then."""
        if not self.is_known():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WAIT_SECONDS):
                    await self._has_acknowledgements.wait()
        return self.is_known()

    def handle_members(self) -> None:
        """Have this router announced now if the fleet is small."""
        if len(self._members.by_vm) <= SMALL_FLEET:
            self._is_wanted = True
        if self._is_announcement_due():
            self.loop.wake()

    def _is_announcement_due(self) -> bool:
        return self._is_wanted and self._clock() < self._known_from

    async def _announce(self) -> None:
        """Announce this router to those that have not acknowledged it yet."""
        if not math.isfinite(self._known_from) or not self._are_members_known():
            return
        asked = self._unacknowledged()
        for first in range(0, len(asked), MAX_ASKED):
            batch = asked[first : first + MAX_ASKED]
            await asyncio.gather(*(self._announce_to(vm) for vm in batch))
        left = self._unacknowledged()
        log_event(
            "router announced",
            asked=len(asked),
            unacknowledged=left[:MAX_ASKED],
            known_in_s=round(self._known_from - self._clock(), 3) if left else 0.0,
        )
        if not left:
            self._known_from = -math.inf
            self._has_acknowledgements.set()

    def _unacknowledged(self) -> list[str]:
        """Return the VMs whose routers may not have heard of this one."""
        vms = []
        for vm, member in self._members.by_vm.items():
            if vm == self._members.own.vm or member.is_leaving:
                continue
            if (vm, member.incarnation) not in self._acknowledged:
                vms.append(vm)
        return vms

    async def _announce_to(self, vm: str) -> None:
        member = self._members.by_vm.get(vm)
        registration = self._members.own.encode().decode()
        if member is None:
            return
        try:
            await self._peers.ask(vm, AnnounceRequest(registration))
        except PeerUnreachable:
            # The peer client has recorded the failure.
            return
        self._acknowledged.add((vm, member.incarnation))

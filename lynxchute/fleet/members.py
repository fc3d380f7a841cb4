"""The routers of the fleet, and which of them can be reached."""

from __future__ import annotations

import json

import attrs
from expression import Error, Ok, Result

from lynxchute.address import Address
from lynxchute.reachability import Reachability
from lynxchute.rendezvous import ranked
from lynxchute.store.row_value import RowValue

# Seconds until a router that gave no answer is tried again, doubled each time
# it gives none.
FIRST_PAUSE = 0.5
MAX_PAUSE = 4.0
# What a router that serves many others should have: a fleet's homes and its
# scheduler carry the messages of a hundred routers, some 2 Mbit/s of them,
# beside their own callers.
AMPLE_LINK_MBPS = 100.0
AMPLE_CORES = 1.0
# Routers of this share of the greatest strength or more serve the others.
STRONG_SHARE = 0.5


@attrs.frozen
class Member:
    """A router as it registered itself.

    Attributes
    ----------
    incarnation
        Names the run of its process.
    address
        Where it listens for other routers.
    is_leaving
        Whether it takes nothing new.
    strength
        What its VM can carry for others: 1 for one that has plenty.
    """

    vm: str
    data_centre: str
    incarnation: str
    address: str
    is_leaving: bool = False
    strength: float = 1.0

    def encode(self) -> bytes:
        """Return the value of the router's row."""
        return json.dumps(attrs.asdict(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result[Member, str]:
        """Return the router of a row, or what is wrong with the row."""
        try:
            row = RowValue.decode(value)
            return Ok(
                cls(
                    vm=row.text("vm"),
                    data_centre=row.text("data_centre"),
                    incarnation=row.text("incarnation"),
                    address=str(Address.parse(row.text("address"))),
                    is_leaving=row.flag("is_leaving", default=False),
                    strength=row.number("strength"),
                )
            )
        except ValueError as error:
            return Error(f"a router's row cannot be read: {error}")


@attrs.define
class Reach:
    """Whether a router can be reached, as far as this one has tried.

    Attributes
    ----------
    failures
        Questions in a row that gave no answer.
    retry_at
        When it is tried again, in seconds.
    """

    failures: int = 0
    retry_at: float = 0.0


def relay_capacity(*, link_mbps: float, cores: float) -> float:
    """Return what a VM can carry for others, from 0 to 1.

    Parameters
    ----------
    link_mbps
        What its link carries, in Mbit/s.
    cores
        What it has of processors.

    Examples
    --------
    >>> relay_capacity(link_mbps=1000.0, cores=2.0)
    1.0
    >>> relay_capacity(link_mbps=5.0, cores=2.0)
    0.05
    """
    return min(link_mbps / AMPLE_LINK_MBPS, cores / AMPLE_CORES, 1.0)


class Members:
    """The registered routers by VM.

    Parameters
    ----------
    own
        This router.
    reachability
        Which data centres can be reached.

    Attributes
    ----------
    changes
        How often anything that registered routers say of themselves has changed.
    """

    def __init__(self, own: Member, reachability: Reachability | None = None) -> None:
        self.own = own
        self.reachability = reachability or Reachability(own.data_centre)
        self.by_vm: dict[str, Member] = {own.vm: own}
        self.changes = 0
        self._reach_by_vm: dict[str, Reach] = {}
        self._ranks = (0, dict[str, int | None]())

    def mark_leaving(self) -> Member:
        """Note that this router takes nothing new; return what it says now."""
        self.own = attrs.evolve(self.own, is_leaving=True)
        self.by_vm[self.own.vm] = self.own
        self.changes += 1
        return self.own

    def put(self, member: Member) -> None:
        """Take what a router says of itself."""
        if member.vm == self.own.vm:
            return
        known = self.by_vm.get(member.vm)
        if known is None or known.incarnation != member.incarnation:
            self._reach_by_vm.pop(member.vm, None)
        if known != member:
            self.changes += 1
        self.by_vm[member.vm] = member

    def remove(self, vm: str) -> None:
        """Drop a router that is registered no more."""
        if vm != self.own.vm:
            self.changes += self.by_vm.pop(vm, None) is not None
            self._reach_by_vm.pop(vm, None)

    @property
    def count(self) -> int:
        """Return how many routers are registered and stay."""
        return sum(1 for member in self.by_vm.values() if not member.is_leaving)

    def is_reachable(self, vm: str) -> bool:
        """Return whether a router has answered the last question, if any."""
        if vm in self._reach_by_vm:
            return False
        member = self.by_vm.get(vm)
        return member is None or not self.reachability.is_unreachable(
            member.data_centre
        )

    def retries_due(self, now: float) -> list[str]:
        """Return the routers that gave no answer and are due to be tried."""
        found = []
        for vm, reach in self._reach_by_vm.items():
            if now >= reach.retry_at:
                found.append(vm)
        return found

    def record_success(self, vm: str) -> None:
        """Note that a router answered."""
        self._reach_by_vm.pop(vm, None)
        member = self.by_vm.get(vm)
        if member is not None:
            self.reachability.record_response(member.data_centre)

    def record_failure(self, vm: str, now: float) -> bool:
        """Note that a router gave no answer; return whether that is news."""
        member = self.by_vm.get(vm)
        if member is not None:
            self.reachability.record_timeout(member.data_centre, vm, now)
        reach = self._reach_by_vm.setdefault(vm, Reach())
        reach.failures += 1
        pause = FIRST_PAUSE * 2 ** min(reach.failures - 1, 8)
        reach.retry_at = now + min(pause, MAX_PAUSE)
        return reach.failures == 1

    def homes(self, account: str) -> list[str]:
        """Return the VMs of this data centre to ask for an account's tokens.

        The first one is the account's home here; the next ones stand in for
        it. Routers that leave or cannot be reached are left out.
        """
        return self.preference_order(account, self._asked_in(self.own.data_centre))

    def remote_homes(self, account: str) -> list[str]:
        """Return the account's home in each other data centre."""
        found = []
        data_centres = {member.data_centre for member in self.by_vm.values()}
        for data_centre in sorted(data_centres - {self.own.data_centre}):
            found.extend(
                self.preference_order(account, self._asked_in(data_centre))[:1]
            )
        return found

    def owner_of(self, key: str) -> str:
        """Return the VM that does one thing for the whole fleet.

        All routers that see the same others name the same one.
        """
        vms = []
        for member in self.by_vm.values():
            if not member.is_leaving and self.is_reachable(member.vm):
                vms.append(member.vm)
        return self.preference_order(key, vms)[0] if vms else self.own.vm

    def own_rank(self, key: str) -> int | None:
        """Return this router's place among all that are registered, from 0.

        Those that cannot be reached count: they may well be at work. It has none once
        it takes nothing new.
        """
        changes, rank_by_key = self._ranks
        if changes != self.changes or key not in rank_by_key:
            # Asked for with each request to a throttled upstream; to put 195 routers in
            # order takes 0.09 ms.
            if changes != self.changes:
                rank_by_key = {}
            rank_by_key[key] = self._own_rank(key)
            self._ranks = (self.changes, rank_by_key)
        return rank_by_key[key]

    def _own_rank(self, key: str) -> int | None:
        if self.own.is_leaving:
            return None
        staying = [vm for vm, member in self.by_vm.items() if not member.is_leaving]
        return self.preference_order(key, staying).index(self.own.vm)

    def preference_order(self, key: str, vms: list[str]) -> list[str]:
        """Return VMs in the order in which they should serve a key.

        Those whose links or processors are weak come last.
        """
        strengths = [self.by_vm[vm].strength for vm in vms]
        least = max(strengths, default=0.0) * STRONG_SHARE
        strong = [vm for vm in vms if self.by_vm[vm].strength >= least]
        weak = [vm for vm in vms if self.by_vm[vm].strength < least]
        return ranked(key, strong) + ranked(key, weak)

    def _asked_in(self, data_centre: str) -> list[str]:
        vms = []
        for member in self.by_vm.values():
            if member.data_centre != data_centre or member.is_leaving:
                continue
            if self.is_reachable(member.vm):
                vms.append(member.vm)
        return vms

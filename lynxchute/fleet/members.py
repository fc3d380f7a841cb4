"""The registered routers, their reachability and their order by key."""

from __future__ import annotations

import json

import attrs
from expression import Error, Ok, Result

from lynxchute.address import Address
from lynxchute.reachability import Reachability
from lynxchute.rendezvous import ranked
from lynxchute.store.row_value import RowValue, RowValueError

# Seconds until a router that did not answer is tried again; doubled with each further
# failure.
INITIAL_BACKOFF = 0.5
MAX_BACKOFF = 4.0
# A VM with this link and these cores has full capacity to serve other routers. An
# account's home or a scheduling router handles the messages of a hundred routers, some
# 2 Mbit/s, besides its own callers' requests.
FULL_LINK_MBPS = 100.0
FULL_CORES = 1.0
# Routers with at least this fraction of the greatest strength are preferred for serving
# others.
PREFERRED_STRENGTH_RATIO = 0.5


@attrs.frozen
class Member:
    """The registration of a router.

    Attributes
    ----------
    incarnation
        Identifies its process.
    address
        The address at which it listens for other routers.
    is_leaving
        Whether it is shutting down and takes no new work.
    strength
        Capacity of its VM to serve other routers, from 0 to 1.
    budget_era
        Newest era of the store in which it has written all that its VM has used of the
        budgets; None for builds that do not tell it.
    """

    vm: str
    data_centre: str
    incarnation: str
    address: str
    is_leaving: bool = False
    strength: float = 1.0
    budget_era: int | None = None

    def encode(self) -> bytes:
        """Return the router's row value, as JSON."""
        return json.dumps(attrs.asdict(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Result[Member, str]:
        """Decode a row value; return an error message if it is invalid."""
        try:
            row = RowValue.decode(value)
            return Ok(
                cls(
                    vm=row.text("vm"),
                    data_centre=row.text("data_centre"),
                    incarnation=row.text("incarnation"),
                    address=str(Address.parse(row.text("address"))),
                    is_leaving=row.flag("is_leaving", default=False),
                    strength=_decode_strength(row),
                    budget_era=row.count("budget_era", default=None),
                )
            )
        except ValueError as error:
            return Error(f"invalid router row: {error}")


def _decode_strength(row: RowValue) -> float:
    strength = row.number("strength")
    if strength > 1.0:
        raise RowValueError(f"'strength' is too large: {strength}")
    return strength


@attrs.define
class Backoff:
    """Backoff state of a router that did not answer.

    Attributes
    ----------
    failures
        Consecutive messages without a valid reply.
    retry_at
        When the next attempt is due, in seconds on the steady clock.
    """

    failures: int = 0
    retry_at: float = 0.0


def serving_capacity(*, link_mbps: float, cores: float) -> float:
    """Return the capacity of a VM to serve other routers, from 0 to 1.

    Parameters
    ----------
    link_mbps
        Bandwidth of its network link in Mbit/s.
    cores
        Number of processor cores.

    Examples
    --------
    >>> serving_capacity(link_mbps=1000.0, cores=2.0)
    1.0
    >>> serving_capacity(link_mbps=5.0, cores=2.0)
    0.05
    """
    return min(link_mbps / FULL_LINK_MBPS, cores / FULL_CORES, 1.0)


class Members:
    """The registered routers, this one included.

    Times are seconds on the steady clock.

    Parameters
    ----------
    own
        This router.
    reachability
        Tracks which data centres are unreachable.

    Attributes
    ----------
    by_vm
        The registered routers by VM.
    changes
        Counts changes of registrations; cached ranks depend on it.
    """

    def __init__(self, own: Member, reachability: Reachability | None = None) -> None:
        self.own = own
        self.reachability = reachability or Reachability(own.data_centre)
        self.by_vm: dict[str, Member] = {own.vm: own}
        self.changes = 0
        self._backoff_by_vm: dict[str, Backoff] = {}
        self._rank_cache = (0, dict[str, int | None]())

    def mark_leaving(self) -> Member:
        """Mark this router as draining and return its new registration."""
        self.own = attrs.evolve(self.own, is_leaving=True)
        self.by_vm[self.own.vm] = self.own
        self.changes += 1
        return self.own

    def update_budget_era(self, era: int) -> None:
        """Record an era in which this router has written its use of the budgets."""
        self.own = attrs.evolve(self.own, budget_era=era)
        self.by_vm[self.own.vm] = self.own

    def put(self, member: Member) -> None:
        """Add a router, or update its registration."""
        if member.vm == self.own.vm:
            return
        known = self.by_vm.get(member.vm)
        if known is None or known.incarnation != member.incarnation:
            self._backoff_by_vm.pop(member.vm, None)
        if known != member:
            self.changes += 1
        self.by_vm[member.vm] = member

    def remove(self, vm: str) -> None:
        """Remove a router that is no longer registered."""
        if vm != self.own.vm:
            self.changes += self.by_vm.pop(vm, None) is not None
            self._backoff_by_vm.pop(vm, None)

    @property
    def count(self) -> int:
        """Return the number of registered routers that are not draining."""
        return sum(1 for member in self.by_vm.values() if not member.is_leaving)

    def is_answering(self, vm: str) -> bool:
        """Return whether a router answered the last message, if there was one."""
        return vm not in self._backoff_by_vm

    def is_reachable(self, vm: str) -> bool:
        """Return whether a router counts as reachable.

        It does unless it failed to answer the last message, or its data centre is
        unreachable.
        """
        if vm in self._backoff_by_vm:
            return False
        member = self.by_vm.get(vm)
        return member is None or not self.reachability.is_unreachable(
            member.data_centre
        )

    def retries_due(self, now: float) -> list[str]:
        """Return the unreachable routers whose backoff has ended."""
        due = []
        for vm, backoff in self._backoff_by_vm.items():
            if now >= backoff.retry_at:
                due.append(vm)
        return due

    def record_success(self, vm: str) -> None:
        """Record that a router answered."""
        self._backoff_by_vm.pop(vm, None)
        member = self.by_vm.get(vm)
        if member is not None:
            self.reachability.record_response(member.data_centre)

    def record_failure(self, vm: str, now: float) -> bool:
        """Record that a router did not answer.

        Returns True for the first failure since its last answer.
        """
        member = self.by_vm.get(vm)
        if member is not None:
            self.reachability.record_timeout(member.data_centre, vm, now)
        backoff = self._backoff_by_vm.setdefault(vm, Backoff())
        backoff.failures += 1
        delay = INITIAL_BACKOFF * 2 ** min(backoff.failures - 1, 8)
        backoff.retry_at = now + min(delay, MAX_BACKOFF)
        return backoff.failures == 1

    def homes(self, account: str) -> list[str]:
        """Return the VMs of this data centre in the order in which they become a home.

        The first one is the account's home in this data centre; the others are its
        fallbacks, in order. Draining and unreachable routers are left out.
        """
        return self.preference_order(account, self._candidates_in(self.own.data_centre))

    def remote_homes(self, account: str) -> list[str]:
        """Return the account's home in each of the other data centres."""
        vms = []
        data_centres = {member.data_centre for member in self.by_vm.values()}
        for data_centre in sorted(data_centres - {self.own.data_centre}):
            vms.extend(
                self.preference_order(account, self._candidates_in(data_centre))[:1]
            )
        return vms

    def owner_of_key(self, key: str) -> str:
        """Return the VM that owns a fleet-wide task, chosen by rendezvous hashing.

        Routers that see the same reachable members choose the same owner.
        """
        vms = []
        for member in self.by_vm.values():
            if not member.is_leaving and self.is_reachable(member.vm):
                vms.append(member.vm)
        return self.preference_order(key, vms)[0] if vms else self.own.vm

    def own_rank(self, key: str) -> int | None:
        """Return this router's rank for a key among all registered routers, from 0.

        Unreachable routers count, since they may well be serving. The rank is None once
        this router is draining.
        """
        changes, rank_by_key = self._rank_cache
        if changes != self.changes or key not in rank_by_key:
            # Cached since each request to a throttled upstream needs the rank, and
            # ordering 195 routers takes 0.09 ms.
            if changes != self.changes:
                rank_by_key = {}
            rank_by_key[key] = self._own_rank(key)
            self._rank_cache = (self.changes, rank_by_key)
        return rank_by_key[key]

    def _own_rank(self, key: str) -> int | None:
        if self.own.is_leaving:
            return None
        staying = [vm for vm, member in self.by_vm.items() if not member.is_leaving]
        return self.preference_order(key, staying).index(self.own.vm)

    def preference_order(self, key: str, vms: list[str]) -> list[str]:
        """Return VMs in the order in which they should serve a key.

        The order comes from rendezvous hashing; VMs with little capacity come last.
        """
        strengths = [self.by_vm[vm].strength for vm in vms]
        threshold = max(strengths, default=0.0) * PREFERRED_STRENGTH_RATIO
        strong = [vm for vm in vms if self.by_vm[vm].strength >= threshold]
        weak = [vm for vm in vms if self.by_vm[vm].strength < threshold]
        return ranked(key, strong) + ranked(key, weak)

    def _candidates_in(self, data_centre: str) -> list[str]:
        vms = []
        for member in self.by_vm.values():
            if member.data_centre != data_centre or member.is_leaving:
                continue
            if self.is_reachable(member.vm):
                vms.append(member.vm)
        return vms

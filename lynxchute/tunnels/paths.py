"""Decide how this router reaches each upstream: directly, or through another router."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Callable, Iterable

import attrs

# Lost paths from which on the cause is taken to be this router's own links.
MIN_LOST_PATHS = 2
# Seconds until a lost path is checked again, and the maximum for an upstream that no
# router has reached, which doubles its interval at each check.
CHECK_SECONDS = 0.3
MAX_CHECK_SECONDS = 0.6
# A path that is lost again within this many seconds of its return has to pass twice as
# many checks before it is used again, up to a maximum.
FLAP_SECONDS = 10.0
MAX_CHECKS_NEEDED = 8
# Seconds for which a router that does not reach an upstream is not asked for it again,
# and for which routers that have refused a tunnel are asked last.
REFUSED_SECONDS = 0.5
ASKED_LAST_SECONDS = 2.0
# Open tunnels that a router of this data centre may have more than one of another.
NEAR_BONUS = 4
MIN_STRENGTH = 0.01


class PathState(enum.Enum):
    """How an upstream is reached.

    Attributes
    ----------
    DIRECT
        Over this router's own links.
    LOST
        Only through other routers.
    UNREACHABLE
        Neither directly nor through the routers that were asked.
    """

    DIRECT = "direct"
    LOST = "lost"
    UNREACHABLE = "unreachable"


@attrs.define
class _Path:
    """What is known of the path to one upstream.

    Attributes
    ----------
    hangs_in_row
        Direct attempts without any answer, since the last one that was answered. Of a
        lost path the one that showed it, and those that began later.
    checks_needed, checks_passed
        Direct attempts that must succeed until the path is used, and that have.
    reached_at
        When another router was first found to reach the upstream of a lost path.
    """

    state: PathState = PathState.DIRECT
    lost_at: float = -math.inf
    restored_at: float = -math.inf
    hangs_in_row: int = 0
    checks_needed: int = 1
    checks_passed: int = 0
    reached_at: float = -math.inf
    check_at: float = math.inf
    check_interval: float = CHECK_SECONDS


@attrs.frozen
class Helper:
    """A router that may forward requests to upstreams.

    Attributes
    ----------
    is_near
        Whether it is in the data centre of this router.
    strength
        Capacity of its VM to serve other routers, from 0 to 1.
    """

    vm: str
    is_near: bool
    strength: float = 1.0


class UpstreamPaths:
    """The paths from this router to upstreams, by address. Times are in seconds.

    A direct attempt that fails proves nothing alone: the upstream may be down. If
    another router reaches the upstream at the same time, the path is lost.

    Parameters
    ----------
    rng
        Chooses between helpers that are as good.

    Attributes
    ----------
    listeners
        Called with an address after its state has changed.

    Examples
    --------
    >>> paths = UpstreamPaths(random.Random(1))
    >>> paths.record_lost("10.0.0.1:80", 1.0, hangs=True)
    >>> paths.state("10.0.0.1:80").value
    'lost'
    >>> paths.record_direct("10.0.0.1:80", 1.5)
    >>> paths.state("10.0.0.1:80").value
    'direct'
    """

    def __init__(self, rng: random.Random) -> None:
        self.listeners: list[Callable[[str], None]] = []
        self._rng = rng
        self._path_by_address: dict[str, _Path] = {}
        self._refused_until: dict[tuple[str, str], float] = {}
        self._asked_last_until: dict[str, float] = {}
        self._tunnels_by_vm: dict[str, int] = {}
        self._direct_at = -math.inf

    def state(self, address: str) -> PathState:
        """Return how an upstream is reached."""
        path = self._path_by_address.get(address)
        return PathState.DIRECT if path is None else path.state

    def is_lost(self, address: str) -> bool:
        """Return whether an upstream is not reached directly."""
        return self.state(address) is not PathState.DIRECT

    @property
    def lost_addresses(self) -> list[str]:
        """Return the upstreams that only other routers reach."""
        return self._in_state(PathState.LOST)

    @property
    def is_cut_off(self) -> bool:
        """Return whether this router's own links seem to be the cause.

        So it is if it has lost several paths and reached no upstream since.
        """
        lost = [self._path_by_address[address] for address in self.lost_addresses]
        if len(lost) < MIN_LOST_PATHS:
            return False
        return self._direct_at < max(path.lost_at for path in lost)

    def is_hanging(self, address: str) -> bool:
        """Return whether open connections to an upstream have to be given up.

        Connections may live on while new ones are refused. Where new ones hang, open
        ones do so too; a single attempt that hangs may only have lost a packet, or the
        upstream was silent and answered another router just afterwards.
        """
        path = self._path_by_address.get(address)
        if path is None or path.state is not PathState.LOST:
            # An upstream that no router reaches may only be silent for a while.
            return False
        return path.hangs_in_row > 1

    def has_hung(self, address: str) -> bool:
        """Return whether the last direct attempt at a lost path got no answer."""
        path = self._path_by_address.get(address)
        return path is not None and path.hangs_in_row > 0

    def record_direct(self, address: str, now: float) -> None:
        """Record that a direct connection was established."""
        self._direct_at = now
        path = self._path_by_address.get(address)
        if path is None or path.state is PathState.DIRECT:
            return
        path.hangs_in_row = 0
        path.checks_passed += 1
        if path.checks_passed < path.checks_needed:
            path.check_at = now + CHECK_SECONDS
            return
        path.restored_at = now
        path.check_at = math.inf
        self._set_state(address, path, PathState.DIRECT)
        # The others have probably returned too.
        for other in self._path_by_address.values():
            if other.state is not PathState.DIRECT and not other.checks_passed:
                other.check_at = now

    def record_lost(self, address: str, now: float, *, hangs: bool) -> None:
        """Record that another router reaches an upstream and this one does not.

        Parameters
        ----------
        hangs
            Whether the direct attempt got no answer at all.
        """
        path = self._path_by_address.setdefault(address, _Path())
        path.check_interval = CHECK_SECONDS
        if path.state is PathState.LOST:
            path.checks_passed = 0
            return
        path.hangs_in_row = int(hangs)
        path.checks_passed = 0
        path.reached_at = now
        # If the upstream was only silent, a check at once shows it.
        path.check_at = now if hangs else now + CHECK_SECONDS
        if path.state is PathState.DIRECT:
            path.lost_at = now
            is_flapping = now - path.restored_at < FLAP_SECONDS
            needed = path.checks_needed * 2 if is_flapping else 1
            path.checks_needed = min(needed, MAX_CHECKS_NEEDED)
        self._set_state(address, path, PathState.LOST)

    def record_unreachable(
        self, address: str, now: float, *, hangs: bool | None = None
    ) -> None:
        """Record that no router that was asked reaches an upstream either.

        Parameters
        ----------
        hangs
            Whether the direct attempt got no answer at all; None if there was none.
        """
        path = self._path_by_address.setdefault(address, _Path())
        if hangs is not None:
            self._record_failed_check(path, hangs=hangs)
        path.check_at = now + path.check_interval
        path.check_interval = min(path.check_interval * 2, MAX_CHECK_SECONDS)
        if path.state is PathState.UNREACHABLE:
            return
        if path.state is PathState.DIRECT:
            path.lost_at = now
        self._set_state(address, path, PathState.UNREACHABLE)

    def record_check_failed(
        self,
        address: str,
        now: float,
        *,
        hangs: bool,
        began_at: float | None = None,
    ) -> None:
        """Record that a check of a lost path got no connection.

        Parameters
        ----------
        began_at
            When it began; None for now. One that began before another router reached
            the upstream is no evidence against the path.
        """
        path = self._path_by_address.get(address)
        if path is None or path.state is PathState.DIRECT:
            return
        if began_at is None or began_at >= path.reached_at:
            self._record_failed_check(path, hangs=hangs)
        path.check_at = now + path.check_interval

    def checks_due(self, now: float) -> list[str]:
        """Return the upstreams whose direct path should be tried now."""
        due = []
        for address, path in self._path_by_address.items():
            if path.state is not PathState.DIRECT and now >= path.check_at:
                due.append(address)
        return due

    def forget(self, address: str) -> None:
        """Forget an upstream that is gone, or whose process has restarted."""
        self._path_by_address.pop(address, None)
        for key in [key for key in self._refused_until if key[1] == address]:
            del self._refused_until[key]

    # Routers that help.

    def helpers_for(
        self, address: str, helpers: Iterable[Helper], now: float
    ) -> list[str]:
        """Return the VMs to ask for a tunnel to an upstream, the best one first."""
        costs_by_vm = {}
        for helper in helpers:
            if now < self._refused_until.get((helper.vm, address), -math.inf):
                continue
            asked_last = now < self._asked_last_until.get(helper.vm, -math.inf)
            tunnels = self._tunnels_by_vm.get(helper.vm, 0)
            open_tunnels = tunnels + (0 if helper.is_near else NEAR_BONUS) + 1
            cost = open_tunnels / max(helper.strength, MIN_STRENGTH)
            costs_by_vm[helper.vm] = (asked_last, cost, self._rng.random())
        return sorted(costs_by_vm, key=costs_by_vm.__getitem__)

    def record_refused(
        self, vm: str, address: str, now: float, *, is_unreachable: bool
    ) -> None:
        """Record that a router refused a tunnel.

        Parameters
        ----------
        is_unreachable
            Whether it does not reach the upstream itself.
        """
        self._asked_last_until[vm] = now + ASKED_LAST_SECONDS
        if is_unreachable:
            self._refused_until[vm, address] = now + REFUSED_SECONDS

    def record_tunnel(self, vm: str, change: int) -> None:
        """Count a tunnel through a router that was opened (1) or has ended (-1)."""
        count = self._tunnels_by_vm.get(vm, 0) + change
        self._tunnels_by_vm[vm] = count
        if change > 0:
            self._asked_last_until.pop(vm, None)
        if not count:
            del self._tunnels_by_vm[vm]

    @property
    def tunnel_count(self) -> int:
        """Return the number of tunnels through other routers."""
        return sum(self._tunnels_by_vm.values())

    def _in_state(self, state: PathState) -> list[str]:
        found = []
        for address, path in self._path_by_address.items():
            if path.state is state:
                found.append(address)
        return found

    def _record_failed_check(self, path: _Path, *, hangs: bool) -> None:
        path.hangs_in_row = path.hangs_in_row + 1 if hangs else 0
        path.checks_passed = 0

    def _set_state(self, address: str, path: _Path, state: PathState) -> None:
        path.state = state
        for listener in self.listeners:
            listener(address)

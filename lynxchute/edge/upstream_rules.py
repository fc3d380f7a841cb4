"""Rules on what a router may send to upstreams."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.edge.settings import EdgeSettings
from lynxchute.fleet.members import Members
from lynxchute.fleet.view import FleetView
from lynxchute.scheduling.cold_placements import ColdPlacementLimiter
from lynxchute.scheduling.place_requests import scheduling_key
from lynxchute.upstreams.cold_admission import (
    ADMISSIONS_BY_NAME,
    ColdLimits,
    RankWatch,
)
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.evacuations import Evacuations
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.rate_sharing import SHARINGS_BY_NAME, TurnPosition
from lynxchute.upstreams.send_gate import SendGate
from lynxchute.upstreams.slot_shares import (
    SLOTS_WHILE_UNKNOWN,
    SLOTS_WITH_OLD_VIEW,
    FleetPosition,
    SlotShares,
)

# Services that the configuration does not name have no limit while cold.
NO_COLD_LIMITS = ColdLimits()


class UpstreamSendRules:
    """Rules for evacuated data centres, cold upstreams and declared rate limits.

    Parameters
    ----------
    settings
        Returns the current settings of the router.
    configuration
        Returns the configuration in effect, or None before the first one.
    directory
        Directory of the upstreams.
    members
        The routers of the fleet.
    are_members_known
        Returns whether the list of registered routers has been loaded.
    store_ms
        Converts a time on the steady clock to the store's clock, in milliseconds.
    seconds_since_members
        Returns the seconds since the store last confirmed the registered routers.
    view
        Tells whether the registered routers agree on which routers there are.

    Attributes
    ----------
    evacuations
        Evacuation orders in effect.
    gate
        Withholds requests that must not reach an upstream.
    cold
        Limits placements at cold upstreams.
    rates
        Enforces the rate limits that upstreams declare.
    """

    def __init__(
        self,
        settings: Callable[[], EdgeSettings],
        configuration: Callable[[], Configuration | None],
        directory: Directory,
        members: Members,
        are_members_known: Callable[[], bool],
        store_ms: Callable[[float], int],
        seconds_since_members: Callable[[float], float],
        view: FleetView,
    ) -> None:
        self.evacuations = Evacuations()
        admission = ADMISSIONS_BY_NAME[settings().cold_admission]()
        rank_watch = RankWatch(self.rank)
        sharing = SHARINGS_BY_NAME[settings().rate_sharing]()
        self.rates = RateLimits(
            sharing,
            rank_watch.held_rank,
            self._turn_position,
            store_ms,
            seconds_since_members,
        )
        shares = SlotShares(directory, self._fleet_position)
        self.gate = SendGate(self.evacuations, self.cold_limits, self.rates, shares)
        self.cold = ColdPlacementLimiter(admission, rank_watch, self.cold_limits)
        self._settings = settings
        self._configuration = configuration
        self._directory = directory
        self._members = members
        self._are_members_known = are_members_known
        self._view = view
        self.evacuations.listeners.append(self._handle_evacuation_change)
        directory.clock_ms = store_ms
        directory.cold_seconds_of = lambda name: self.cold_limits(name).start_seconds

    def cold_limits(self, service: str) -> ColdLimits:
        """Return the limits on requests to a service's cold upstreams."""
        current = self._configuration()
        found = current.services_by_name.get(service) if current else None
        if found is None:
            return NO_COLD_LIMITS
        bounds = self._settings().bounds
        return ColdLimits(
            found.cold_seconds,
            found.cold_per_second,
            bounds.cold_factor,
            bounds.cold_extra,
        )

    def rank(self, service: str) -> int | None:
        """Return this router's rank among the registered ones, or None if unknown."""
        if not self._are_members_known():
            return None
        return self._members.own_rank(scheduling_key(service))

    def _fleet_position(self, service: str) -> FleetPosition | None:
        """Return this router's position among the registered ones, or None."""
        rank = self.rank(service)
        if rank is None:
            return None
        return FleetPosition(rank, self._members.count, self._max_slots())

    def _max_slots(self) -> int | None:
        """Return the slots of each upstream that this router may use at most."""
        if not self._view.is_known():
            return SLOTS_WHILE_UNKNOWN
        return None if self._view.is_current() else SLOTS_WITH_OLD_VIEW

    def _turn_position(self, service: str) -> TurnPosition | None:
        """Return this router's position in the order of turns, or None if unknown."""
        rank = self.rank(service)
        return None if rank is None else TurnPosition(rank, self._members.count)

    def _handle_evacuation_change(self, data_centre: str) -> None:
        """Apply an evacuation order or its revocation to the directory.

        After a revocation the upstreams there count as cold, so load returns
        gradually.
        """
        if not self.evacuations.is_evacuated(data_centre):
            self._directory.mark_data_centre_cold(data_centre, steady_seconds())
        self._directory.changed()

"""What the deployment's rules let a router send to upstreams."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.edge.settings import EdgeSettings
from lynxchute.fleet.members import Members
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

# Services that no configuration names bear any number of requests.
NO_COLD_LIMITS = ColdLimits()


class UpstreamRules:
    """Wire the decisions on evacuated data centres, cold upstreams and named limits.

    Parameters
    ----------
    settings
        Returns what the router has been told.
    configuration
        Returns the version in force; None where there is none.
    directory
        The upstreams.
    members
        The routers.
    are_members_known
        Returns whether the store has told who is registered.
    store_ms
        Returns the store's clock at a moment of the own one, in milliseconds.
    members_silent_for
        Returns the seconds since the store last said who is registered.

    Attributes
    ----------
    evacuations
        The orders that stand.
    gate
        Holds back what must not reach an upstream.
    cold
        Says what may be placed at upstreams that are cold.
    rates
        Keeps to the rates that upstreams name.
    """

    def __init__(
        self,
        settings: Callable[[], EdgeSettings],
        configuration: Callable[[], Configuration | None],
        directory: Directory,
        members: Members,
        are_members_known: Callable[[], bool],
        store_ms: Callable[[float], int],
        members_silent_for: Callable[[float], float],
    ) -> None:
        self.evacuations = Evacuations()
        admission = ADMISSIONS_BY_NAME[settings().cold_admission]()
        watch = RankWatch(self.rank)
        sharing = SHARINGS_BY_NAME[settings().rate_sharing]()
        self.rates = RateLimits(
            sharing, watch.held_rank, self._seat, store_ms, members_silent_for
        )
        self.gate = SendGate(self.evacuations, self.cold_limits, self.rates)
        self.cold = ColdPlacementLimiter(admission, watch, self.cold_limits)
        self._settings = settings
        self._configuration = configuration
        self._directory = directory
        self._members = members
        self._are_members_known = are_members_known
        self.evacuations.listeners.append(self._note_evacuation)
        directory.clock_ms = store_ms
        directory.cold_seconds_of = lambda name: self.cold_limits(name).start_seconds

    def cold_limits(self, service: str) -> ColdLimits:
        """Return what the upstreams of a service bear while they are cold."""
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
        """Return this router's place among all registered ones, where known."""
        if not self._are_members_known():
            return None
        return self._members.own_rank(scheduling_key(service))

    def _seat(self, service: str) -> TurnPosition | None:
        """Return this router's place in the order of turns, where known."""
        rank = self.rank(service)
        return None if rank is None else TurnPosition(rank, self._members.count)

    def _note_evacuation(self, data_centre: str) -> None:
        """Let the load go elsewhere at once, or come back as cold upstreams bear it."""
        if not self.evacuations.is_evacuated(data_centre):
            self._directory.mark_data_centre_cold(data_centre, steady_seconds())
        self._directory.changed()

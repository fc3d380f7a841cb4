"""Detection of unreachable data centres from missing replies."""

from __future__ import annotations

import attrs

from lynxchute.telemetry import log_event

# Seconds for which a missing reply counts as evidence: slightly longer than it takes
# until a stopped upstream or router is known to be gone.
TIMEOUT_WINDOW_SECONDS = 3.0
# Minimum upstreams or routers without a reply; a single one may just have crashed.
MIN_SILENT = 2


@attrs.frozen
class MissedReply:
    """Time in seconds of a missing reply, and whether it was due from an upstream."""

    at: float
    is_upstream: bool


@attrs.define
class _DataCentreState:
    """Evidence on one data centre.

    Attributes
    ----------
    missed_by_name
        Missing replies since the last reply from there, by upstream or router.
    is_unreachable
        Whether the evidence suffices to treat the data centre as unreachable.
    """

    missed_by_name: dict[str, MissedReply] = attrs.Factory(dict)
    is_unreachable: bool = False


class Reachability:
    """Detects data centres that cannot be reached.

    A network partition makes all upstreams and routers of a data centre unreachable
    at once, without a signal: each connection to them would wait for its own timeout.
    If several of them do not reply, and no other has replied since, the data centre is
    treated as unreachable until one of them replies again.

    Times are seconds on the steady clock.

    Parameters
    ----------
    own_data_centre
        Data centre of this router; it always counts as reachable.

    Examples
    --------
    >>> reach = Reachability("a")
    >>> reach.record_timeout("b", "engine-1", 1.0, is_upstream=True)
    >>> reach.is_unreachable("b")
    False
    >>> reach.record_timeout("b", "engine-2", 1.2, is_upstream=True)
    >>> reach.is_unreachable("b")
    True
    >>> reach.record_response("b")
    >>> reach.is_unreachable("b")
    False
    """

    def __init__(self, own_data_centre: str) -> None:
        self._own_data_centre = own_data_centre
        self._state_by_data_centre: dict[str, _DataCentreState] = {}

    def record_timeout(
        self, data_centre: str, name: str, now: float, *, is_upstream: bool = False
    ) -> None:
        """Record that an upstream or router there did not reply in time."""
        if data_centre == self._own_data_centre:
            return
        state = self._state_by_data_centre.setdefault(data_centre, _DataCentreState())
        state.missed_by_name[name] = MissedReply(now, is_upstream)
        for other, reply in list(state.missed_by_name.items()):
            if now - reply.at > TIMEOUT_WINDOW_SECONDS:
                del state.missed_by_name[other]
        if state.is_unreachable or not self._has_enough_evidence(state):
            return
        state.is_unreachable = True
        log_event(
            "data centre unreachable",
            data_centre=data_centre,
            silent=sorted(state.missed_by_name),
        )

    def record_response(self, data_centre: str) -> None:
        """Record a reply from an upstream or router there."""
        state = self._state_by_data_centre.pop(data_centre, None)
        if state is not None and state.is_unreachable:
            log_event("data centre reachable again", data_centre=data_centre)

    @property
    def is_any_unreachable(self) -> bool:
        """Return whether any data centre is currently unreachable."""
        return any(
            state.is_unreachable for state in self._state_by_data_centre.values()
        )

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether a data centre is currently unreachable."""
        state = self._state_by_data_centre.get(data_centre)
        return state is not None and state.is_unreachable

    def _has_enough_evidence(self, state: _DataCentreState) -> bool:
        missed = state.missed_by_name.values()
        # Routers can hang or lose power together while upstreams still work, so at
        # least one upstream must have failed to reply.
        return len(missed) >= MIN_SILENT and any(reply.is_upstream for reply in missed)

"""Tell from who falls silent which data centres cannot be reached from here."""

from __future__ import annotations

import attrs

from lynxchute.telemetry import log_event

# An upstream or router that fell silent is evidence for this many seconds: as
# long as one that has ended takes to be known as gone, and a little longer.
TIMEOUT_WINDOW_SECONDS = 3.0
# So many of a data centre must be silent at once: one may just have died.
LEAST_SILENT = 2


@attrs.frozen
class Silence:
    """Who fell silent, and when, in seconds."""

    at: float
    is_upstream: bool


@attrs.define
class _Place:
    """What is known of one data centre.

    Attributes
    ----------
    silences_by_name
        Who fell silent since something was last heard from there.
    """

    silences_by_name: dict[str, Silence] = attrs.Factory(dict)
    is_unreachable: bool = False


class Reachability:
    """Judge data centres by who there answers.

    A partition takes away all upstreams and routers of a data centre at one
    moment, and nobody says so: each connection to them would have to wait for a
    timeout of its own. Where several of them are silent and nothing has been heard
    from any other since, the rest is not tried until one of them is heard again.

    Times are seconds on one steady clock.

    Parameters
    ----------
    own
        The own data centre; it is never taken for cut off.

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

    def __init__(self, own: str) -> None:
        self._own = own
        self._by_data_centre: dict[str, _Place] = {}

    def record_timeout(
        self, data_centre: str, name: str, now: float, *, is_upstream: bool = False
    ) -> None:
        """Note that somebody there gave no answer in time."""
        if data_centre == self._own:
            return
        place = self._by_data_centre.setdefault(data_centre, _Place())
        place.silences_by_name[name] = Silence(now, is_upstream)
        for other, silence in list(place.silences_by_name.items()):
            if now - silence.at > TIMEOUT_WINDOW_SECONDS:
                del place.silences_by_name[other]
        if place.is_unreachable or not self._is_proof(place):
            return
        place.is_unreachable = True
        log_event(
            "data centre unreachable",
            data_centre=data_centre,
            silent=sorted(place.silences_by_name),
        )

    def record_response(self, data_centre: str) -> None:
        """Note that somebody there has answered."""
        place = self._by_data_centre.pop(data_centre, None)
        if place is not None and place.is_unreachable:
            log_event("data centre reachable again", data_centre=data_centre)

    @property
    def is_any_unreachable(self) -> bool:
        """Return whether any data centre cannot be reached, as far as is known."""
        return any(place.is_unreachable for place in self._by_data_centre.values())

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether nobody there can be reached, as far as is known."""
        place = self._by_data_centre.get(data_centre)
        return place is not None and place.is_unreachable

    def _is_proof(self, place: _Place) -> bool:
        silences = place.silences_by_name.values()
        # Routers freeze and lose power together; only upstreams tell of upstreams.
        return len(silences) >= LEAST_SILENT and any(s.is_upstream for s in silences)

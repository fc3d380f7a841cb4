"""One upstream: a model engine or an instance of a plain service."""

from __future__ import annotations

import attrs


@attrs.frozen
class Upstream:
    """An upstream, as it last described itself.

    Attributes
    ----------
    id
        Identifies its process; an address can be reused by another one. A process that
        restarts may keep its id.
    is_leaving
        Whether it accepts no new work.
    slots
        Requests that it serves at once.
    warm_up
        Remaining warm-up time in seconds when it last wrote its entry; excluded from
        comparison, since it differs with each write.
    started_ms
        When its process started, in Unix milliseconds of its own clock; None if it does
        not say.
    keeps_id
        Whether its next process will have the same id, because operators assigned it.
    software_version
        Version of its software, any text; None if not known, as after a restart.
    states_version
        Whether it states its version in each response, and declines requests that ask
        for another one.
    """

    id: str
    service: str
    address: str
    data_centre: str
    is_leaving: bool = False
    slots: int = 1
    warm_up: float = attrs.field(default=0.0, eq=False)
    started_ms: int | None = None
    keeps_id: bool = False
    software_version: str | None = ""
    states_version: bool = False

    def may_run(self, software_version: str | None) -> bool:
        """Return whether a request for a software version may be sent to it.

        Parameters
        ----------
        software_version
            The version; None for a request that any version may run.
        """
        if software_version is None or self.software_version == software_version:
            return True
        return self.software_version is None and self.states_version

    @property
    def process(self) -> str:
        """Return a name of the process that differs from earlier ones with this id."""
        return self.id if self.started_ms is None else f"{self.id}/{self.started_ms}"

    @property
    def is_start_known(self) -> bool:
        """Return whether the process name is unique to one start."""
        return self.started_ms is not None or not self.keeps_id

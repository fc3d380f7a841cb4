"""One upstream: a model engine or an instance of a plain service."""

from __future__ import annotations

import attrs


@attrs.frozen
class Upstream:
    """An upstream as it last told of itself.

    Attributes
    ----------
    id
        Names its process; an address may pass to another one. A process that
        starts again may have the id that it had.
    is_leaving
        Whether it takes no new work.
    slots
        Requests that it serves at once.
    warm_up
        Seconds for which it is still cold, as it said when it last wrote; not part of
        what it is, since it changes with each word.
    started_ms
        When its process started, in Unix milliseconds of its own clock; None
        where it does not say.
    keeps_id
        Whether its next process will have the same id: operators have named it.
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

    @property
    def process(self) -> str:
        """Return what names the process, also among those that had its id."""
        return self.id if self.started_ms is None else f"{self.id}/{self.started_ms}"

    @property
    def is_start_known(self) -> bool:
        """Return whether the name of the process is that of one start only."""
        return self.started_ms is not None or not self.keeps_id

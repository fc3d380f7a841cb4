"""The link and the held bodies of a VM as sources of load."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.overload.load import Load, LoadSource


class CallbackLoadSource(LoadSource):
    """Return what functions measure.

    Parameters
    ----------
    name
        The resource in one word.
    use
        Returns the share that is in use.
    delay
        Returns the seconds that new work waits.
    """

    def __init__(
        self,
        name: str,
        use: Callable[[], float],
        delay: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._name = name
        self._use = use
        self._delay = delay

    @property
    def name(self) -> str:
        """Return the resource in one word."""
        return self._name

    def load(self) -> Load:
        """Return its load now."""
        return Load(self._use(), self._delay())


def utilization(used: float, limit: float) -> float:
    """Return which share of a limit is used; 0 where there is no limit.

    Examples
    --------
    >>> utilization(3.0, 4.0), utilization(3.0, 0.0)
    (0.75, 0.0)
    """
    return used / limit if limit > 0.0 else 0.0

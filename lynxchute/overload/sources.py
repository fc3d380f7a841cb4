"""Load sources that are measured by callbacks."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.overload.load import Load, LoadSource


class CallbackLoadSource(LoadSource):
    """A load source that reads its measurements from callbacks.

    Parameters
    ----------
    name
        Name of the resource.
    use
        Returns the share of the resource in use.
    delay
        Returns the seconds that new work waits for the resource.
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
        """Return the name of the resource."""
        return self._name

    def load(self) -> Load:
        """Return the current load."""
        return Load(self._use(), self._delay())


def utilization(used: float, limit: float) -> float:
    """Return the used share of a limit; 0 if there is no limit.

    Examples
    --------
    >>> utilization(3.0, 4.0), utilization(3.0, 0.0)
    (0.75, 0.0)
    """
    return used / limit if limit > 0.0 else 0.0

"""The load of a single resource of a VM."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class Load:
    """The load of one resource.

    Attributes
    ----------
    use
        Share of the resource in use, averaged over a fraction of a second; above 1 if
        the demand exceeds its capacity.
    delay
        Seconds that new work waits for the resource.
    """

    use: float = 0.0
    delay: float = 0.0

    def pointwise_max(self, other: Load) -> Load:
        """Return the maximum of the two uses and of the two delays.

        Examples
        --------
        >>> Load(0.5, 0.1).pointwise_max(Load(0.9, 0.0))
        Load(use=0.9, delay=0.1)
        """
        return Load(max(self.use, other.use), max(self.delay, other.delay))


IDLE_LOAD = Load()


class LoadSource(ABC):
    """Measures one resource of a VM: the link, the processor or the memory."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the name of the resource, for logs and metrics."""

    @abstractmethod
    def load(self) -> Load:
        """Return the current load."""

"""How much of one resource of a VM is in use."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class Load:
    """The load of one resource.

    Attributes
    ----------
    use
        Share of it that is in use, averaged over a fraction of a second; above 1 where
        more is asked for than it gives.
    delay
        Seconds that new work waits for it.
    """

    use: float = 0.0
    delay: float = 0.0

    def worse(self, other: Load) -> Load:
        """Return the greater use and the greater delay of both.

        Examples
        --------
        >>> Load(0.5, 0.1).worse(Load(0.9, 0.0))
        Load(use=0.9, delay=0.1)
        """
        return Load(max(self.use, other.use), max(self.delay, other.delay))


IDLE_LOAD = Load()


class LoadSource(ABC):
    """Measure one resource: the link, the processor or the memory of a VM."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the resource in one word, for logs and metrics."""

    @abstractmethod
    def load(self) -> Load:
        """Return its load now."""

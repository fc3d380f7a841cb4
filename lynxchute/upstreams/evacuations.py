"""Evacuated data centres, whose upstreams receive nothing new."""

from __future__ import annotations

from collections.abc import Callable

import attrs


@attrs.frozen
class Evacuation:
    """An operator's order to send nothing more to a data centre.

    Attributes
    ----------
    version
        Version of the order's row in the store.
    heard_at
        When this router received the order, on the steady clock in seconds.
    """

    data_centre: str
    version: int
    heard_at: float


class Evacuations:
    """Track which data centres are evacuated.

    An order stays in effect until it is revoked. Orders and revocations can arrive out
    of order, since they may follow one another faster than they are delivered and are
    also relayed by other routers. The versions of their rows in the store tell which
    one is newer.

    Attributes
    ----------
    by_data_centre
        The orders in effect.
    listeners
        Called with the name of each data centre whose order begins or ends.

    Examples
    --------
    >>> evacuations = Evacuations()
    >>> evacuations.order("a", 7, 1.0), evacuations.is_evacuated("a")
    (True, True)
    >>> evacuations.revoke("a", 6), evacuations.is_evacuated("a")
    (False, True)
    >>> evacuations.revoke("a", 8), evacuations.is_evacuated("a")
    (True, False)
    """

    def __init__(self) -> None:
        self.by_data_centre: dict[str, Evacuation] = {}
        self.listeners: list[Callable[[str], None]] = []
        self._version_by_data_centre: dict[str, int] = {}

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the data centre's upstreams must receive nothing new."""
        return data_centre in self.by_data_centre

    def order(self, data_centre: str, version: int, now: float) -> bool:
        """Record an order; return whether it changes anything."""
        if not self._accept_version(data_centre, version):
            return False
        known = self.by_data_centre.get(data_centre)
        heard_at = now if known is None else known.heard_at
        self.by_data_centre[data_centre] = Evacuation(data_centre, version, heard_at)
        if known is None:
            self._notify_listeners(data_centre)
        return known is None

    def revoke(self, data_centre: str, version: int) -> bool:
        """Record that an order was revoked; return whether it was in effect."""
        if not self._accept_version(data_centre, version):
            return False
        if self.by_data_centre.pop(data_centre, None) is None:
            return False
        self._notify_listeners(data_centre)
        return True

    def _accept_version(self, data_centre: str, version: int) -> bool:
        """Record a row version; return whether it is not older than the known one."""
        if version < self._version_by_data_centre.get(data_centre, 0):
            return False
        self._version_by_data_centre[data_centre] = version
        return True

    def _notify_listeners(self, data_centre: str) -> None:
        for listener in self.listeners:
            listener(data_centre)

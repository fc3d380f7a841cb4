"""A bounded map of recent ids, for idempotent message handling."""

from __future__ import annotations

from collections import OrderedDict

# Number of ids kept (of ended requests, loans or transfers), so that a message that
# arrives late or twice has no effect: a few minutes' worth at full load.
MAX_IDS = 20_000


class RecentIds:
    """The most recent ids, each with an amount; the oldest are evicted."""

    def __init__(self) -> None:
        self._amounts_by_id: OrderedDict[str, int] = OrderedDict()

    def add(self, item: str, amount: int) -> None:
        """Add an id, evicting the oldest one above the limit."""
        self._amounts_by_id[item] = amount
        if len(self._amounts_by_id) > MAX_IDS:
            self._amounts_by_id.popitem(last=False)

    def get(self, item: str) -> int:
        """Return the amount stored for an id."""
        return self._amounts_by_id[item]

    def __contains__(self, item: str) -> bool:
        return item in self._amounts_by_id

"""Remember a bounded number of ids."""

from __future__ import annotations

from collections import OrderedDict

# Ended requests and loans that are remembered, so that a message which arrives
# late or twice changes nothing: some minutes at full load.
REMEMBERED = 20_000


class Recent:
    """Remember a bounded number of ids with an amount each."""

    def __init__(self) -> None:
        self._amounts_by_id: OrderedDict[str, int] = OrderedDict()

    def add(self, item: str, amount: int) -> None:
        """Remember an id; the oldest is forgotten where there are too many."""
        self._amounts_by_id[item] = amount
        if len(self._amounts_by_id) > REMEMBERED:
            self._amounts_by_id.popitem(last=False)

    def get(self, item: str) -> int:
        """Return the amount of a remembered id."""
        return self._amounts_by_id[item]

    def __contains__(self, item: str) -> bool:
        return item in self._amounts_by_id

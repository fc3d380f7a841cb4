"""Client interface of the store of versioned rows, which outlives every VM."""

from lynxchute.store.clock import StoreClock
from lynxchute.store.feed import TableFeed
from lynxchute.store.rows import (
    Changes,
    Committed,
    Conflict,
    Expected,
    Outcome,
    Put,
    Row,
    RowId,
    Snapshot,
    Write,
)
from lynxchute.store.store import (
    HistoryLost,
    OutcomeUnknown,
    Store,
    StoreRefused,
    StoreUnavailable,
)

__all__ = [
    "Changes",
    "Committed",
    "Conflict",
    "Expected",
    "HistoryLost",
    "Outcome",
    "OutcomeUnknown",
    "Put",
    "Row",
    "RowId",
    "Snapshot",
    "Store",
    "StoreClock",
    "StoreRefused",
    "StoreUnavailable",
    "TableFeed",
    "Write",
]

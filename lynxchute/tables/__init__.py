"""The platform's services, as the routers meet them."""

from lynxchute.tables.table import HttpTable, OutcomeUnknown, Table, Unavailable
from lynxchute.tables.transaction import (
    Add,
    Committed,
    Conflict,
    Outcome,
    Row,
    Swap,
    Transaction,
)

__all__ = [
    "Add",
    "Committed",
    "Conflict",
    "HttpTable",
    "Outcome",
    "OutcomeUnknown",
    "Row",
    "Swap",
    "Table",
    "Transaction",
    "Unavailable",
]

"""Who may spend which tokens: pure decisions, without I/O or clocks.

The store keeps, for each client account, how many of its paid tokens each
router has been granted, and for each router a line that its use does not
pass. A router reserves only what its grant and its line allow, so that it
needs nobody's consent to spend, and whoever finds its row after its death
knows what it can have used at most.
"""

from lynxchute.budgets.ledger import Ledger, ReserveProblem
from lynxchute.budgets.line import Line
from lynxchute.budgets.policy import (
    DemandLinePolicy,
    DemandPolicy,
    GrantPolicy,
    ShareView,
)
from lynxchute.budgets.share import Release, Share

__all__ = [
    "DemandLinePolicy",
    "DemandPolicy",
    "GrantPolicy",
    "Ledger",
    "Line",
    "Release",
    "ReserveProblem",
    "Share",
    "ShareView",
]

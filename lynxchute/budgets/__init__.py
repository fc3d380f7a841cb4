"""Budget decisions: which router may spend which tokens, without I/O or clocks.

The store records how many of each client account's prepaid tokens every
router has been granted, and for every router a limit line: an upper bound on
its use that grows with time. A router reserves only what its grant and its
limit line allow, so it can spend without asking anyone, and whoever reads its
row after it has crashed knows the most that it can have used.

An account has one home in each data centre: the router to which requests for the
account's tokens are sent.
"""

from lynxchute.budgets.ledger import Ledger, ReserveProblem
from lynxchute.budgets.line import LimitLine
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
    "LimitLine",
    "Release",
    "ReserveProblem",
    "Share",
    "ShareView",
]

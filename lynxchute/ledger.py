"""Rows of the platform's table that count tokens.

For each client account one budget row splits what was paid:
``paid = free + granted + charged + written_off``. ``granted`` is owned in
pieces by incarnations, one share row for each piece. Each finished request
leaves one charge row.
"""

from __future__ import annotations

import attrs

from lynxchute.records import RequestRecord
from lynxchute.tables.transaction import Add, Row, Swap

SHARE_PREFIX = "share/"
BUDGET_PREFIX = "budget/"
CHARGE_PREFIX = "charge/"
DUPLICATE_PREFIX = "duplicate/"
TOP_UP_PREFIX = "top_up/"
OWNED = "owned"
FREE = "free"


def budget_key(account: str) -> str:
    """Return the key of a client account's budget."""
    return BUDGET_PREFIX + account


def share_prefix(incarnation: str) -> str:
    """Return the prefix of an incarnation's shares."""
    return f"{SHARE_PREFIX}{incarnation}/"


def share_key(incarnation: str, account: str) -> str:
    """Return the key of an incarnation's share of a budget."""
    return share_prefix(incarnation) + account


def charge_key(request_id: str) -> str:
    """Return the key of a request's charge."""
    return CHARGE_PREFIX + request_id


def duplicate_key(attempt: str) -> str:
    """Return the key of an attempt whose tokens were given up."""
    return DUPLICATE_PREFIX + attempt


def top_up_key(account: str, top_up_id: str) -> str:
    """Return the key of a top-up."""
    return f"{TOP_UP_PREFIX}{account}/{top_up_id}"


def empty_budget() -> Row:
    """Return the budget row of a new client account."""
    return {"paid": 0, FREE: 0, "granted": 0, "charged": 0, "written_off": 0}


@attrs.frozen
class BudgetChange:
    """What one write does to one budget, in tokens.

    Attributes
    ----------
    grant
        Taken from the free part; negative gives back.
    charge
        Billed from what is granted.
    write_off
        Given up from what is granted.
    redeem
        Paid in, straight to the writer's share.
    recover
        Billed from what had been written off.
    """

    grant: int = 0
    charge: int = 0
    write_off: int = 0
    redeem: int = 0
    recover: int = 0

    def operation(self, account: str, exists: bool = True) -> Add | Swap | None:
        """Return the change of the budget row, if there is any.

        Parameters
        ----------
        exists
            Whether there is a row to change; otherwise one is made.
        """
        columns = {
            "paid": self.redeem,
            FREE: -self.grant,
            "granted": self.grant + self.redeem - self.charge - self.write_off,
            "charged": self.charge + self.recover,
            "written_off": self.write_off - self.recover,
        }
        changed = {name: amount for name, amount in columns.items() if amount}
        if not changed:
            return None
        if exists:
            return Add(budget_key(account), changed)
        return Swap(budget_key(account), None, {**empty_budget(), **changed})


def share_swap(
    incarnation: str, account: str, before: int | None, after: int
) -> Swap | None:
    """Return the change of a share row, if there is any.

    Parameters
    ----------
    before
        Tokens in the row now; None where there is no row.
    after
        Tokens afterwards; a share of none has no row.
    """
    expect = {OWNED: before} if before is not None else None
    row = {OWNED: after} if after else None
    if expect == row:
        return None
    return Swap(share_key(incarnation, account), expect, row)


def charge_swap(record: RequestRecord) -> Swap:
    """Return the insertion of a finished request's charge."""
    return Swap(charge_key(record.request_id), None, _bill(record))


def duplicate_swap(record: RequestRecord) -> Swap:
    """Return the insertion of a second run whose tokens are given up."""
    return Swap(duplicate_key(record.attempt), None, _bill(record))


def _bill(record: RequestRecord) -> Row:
    return {
        "account": record.account,
        "tokens": record.used,
        "attempt": record.attempt,
        "holder": record.holder,
        "upstream": record.upstream,
    }

"""What one write of a holder to the platform does."""

from __future__ import annotations

import attrs

from lynxchute.ledger import BudgetChange
from lynxchute.records import RequestRecord
from lynxchute.tables.transaction import Row


@attrs.frozen
class TopUp:
    """Tokens that a client account has paid for.

    Attributes
    ----------
    top_up_id
        Names the payment; the same one is credited once.
    """

    account: str
    top_up_id: str
    tokens: int
    operator: str = ""

    def row(self) -> Row:
        """Return the row that the platform keeps."""
        return {"account": self.account, "tokens": self.tokens}


@attrs.frozen
class Adoption:
    """The take-over of all that a sealed incarnation owned.

    Attributes
    ----------
    row
        The victim's journal row, sealed.
    owned
        Its tokens by account, as the platform has them.
    records
        Every request it had a part in, as the other routers know them.
    top_ups
        Top-ups that it had taken and not yet written.
    durable_top_ups
        Top-ups that it had made durable; they must not be taken again.
    top_ups_elsewhere
        Top-ups of other holders, of which it may have kept the second note.
    missing
        Routers that may know of more requests and could not be asked.
    write_off
        Whether there may be requests that nobody reported; what no known
        request needs is then given up.
    """

    victim: str
    row: Row
    owned: dict[str, int]
    records: tuple[RequestRecord, ...]
    top_ups: tuple[TopUp, ...] = ()
    durable_top_ups: tuple[TopUp, ...] = ()
    top_ups_elsewhere: tuple[tuple[TopUp, str], ...] = ()
    missing: tuple[str, ...] = ()
    write_off: bool = False

    def held(self) -> tuple[RequestRecord, ...]:
        """Return the requests that the victim's share pays for."""
        return tuple(r for r in self.records if r.holder == self.victim)

    def written_off(self) -> dict[str, int]:
        """Return the tokens that are given up, by account."""
        if not self.write_off:
            return {}
        left = dict(self.owned)
        for record in self.held():
            used = record.reserved if record.used is None else record.used
            left[record.account] = left.get(record.account, 0) - used
        return {account: tokens for account, tokens in left.items() if tokens > 0}


@attrs.frozen
class Entry:
    """What one write of a holder does.

    Attributes
    ----------
    grants
        Tokens taken from the free part by account; negative gives back.
    charges
        Finished requests that are billed.
    duplicates
        Finished requests that another holder had billed already.
    late_charges
        Requests billed from what had been written off.
    top_ups
        Top-ups that become durable, credited to the writer's share.
    adoption
        The take-over of another incarnation's tokens.
    """

    grants: dict[str, int] = attrs.Factory(dict)
    charges: tuple[RequestRecord, ...] = ()
    duplicates: tuple[RequestRecord, ...] = ()
    late_charges: tuple[RequestRecord, ...] = ()
    top_ups: tuple[TopUp, ...] = ()
    adoption: Adoption | None = None

    @property
    def empty(self) -> bool:
        """Return whether there is nothing to write."""
        return self == Entry()

    def changes(self) -> dict[str, BudgetChange]:
        """Return what happens to each budget, by account."""
        sums: dict[str, dict[str, int]] = {}
        for account, tokens in self.grants.items():
            _count(sums, account, "grant", tokens)
        for record in self.charges:
            _count(sums, record.account, "charge", record.used or 0)
        for record in self.duplicates:
            _count(sums, record.account, "write_off", record.used or 0)
        for record in self.late_charges:
            _count(sums, record.account, "recover", record.used or 0)
        for top_up in self.top_ups:
            _count(sums, top_up.account, "redeem", top_up.tokens)
        if self.adoption is not None:
            for account, tokens in self.adoption.written_off().items():
                _count(sums, account, "write_off", tokens)
        return {account: BudgetChange(**parts) for account, parts in sums.items()}

    def gains(self) -> dict[str, int]:
        """Return by how much each share grows or shrinks, by account."""
        gains: dict[str, int] = {}
        for account, change in self.changes().items():
            gain = change.grant + change.redeem - change.charge - change.write_off
            gains[account] = gain
        if self.adoption is not None:
            for account, tokens in self.adoption.owned.items():
                gains[account] = gains.get(account, 0) + tokens
        return gains


def _count(
    sums: dict[str, dict[str, int]], account: str, part: str, tokens: int
) -> None:
    parts = sums.setdefault(account, {})
    parts[part] = parts.get(part, 0) + tokens

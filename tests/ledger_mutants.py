"""Mutants that each break one decision about grants, limit lines or loans."""

from unittest import mock

import attrs

from lynxchute.budgets import Ledger, LimitLine, Share, ledger
from lynxchute.budgets.audit import RestoreAudit
from lynxchute.budgets.plan import KnownTotals
from lynxchute.budgets.rows import HolderRow, Totals
from lynxchute.budgets.share import Terms


def ignore_unconfirmed_terms():
    def available(self, now_ms):
        return self.terms.limit(now_ms) + self.borrowed - self.used

    return mock.patch.object(Share, "available", available)


def ignore_reservations():
    used = property(lambda self: self.settled)
    return mock.patch.object(Share, "used", used)


def ignore_the_limit_line():
    return mock.patch.object(Terms, "limit", lambda self, now_ms: self.granted)


def take_over_without_growth():
    take_over = Ledger.take_over
    return mock.patch.object(
        Ledger, "take_over", lambda self, row, now_ms: take_over(self, row, 0)
    )


def take_over_without_use():
    take_over = Ledger.take_over

    def take_over_unused(self, row, now_ms):
        take_over(self, row, now_ms)
        for share in self.shares_by_account.values():
            share.settled = 0

    return mock.patch.object(Ledger, "take_over", take_over_unused)


def treat_unknown_outcomes_as_failed():
    def record_outcome_unknown(self):
        self.record_write_failed()

    return mock.patch.object(Ledger, "record_outcome_unknown", record_outcome_unknown)


def discard_all_terms_at_a_conflict():
    def discard_terms(self, plan):
        for share in self.shares_by_account.values():
            share.unconfirmed.clear()

    return mock.patch.object(Ledger, "_discard_terms", discard_terms)


def lend_without_counting():
    lend = Ledger.lend

    def free_loan(self, loan_id, account, **terms):
        lent = lend(self, loan_id, account, **terms)
        if lent:
            self.shares_by_account[account].settled -= lent
        return lent

    return mock.patch.object(Ledger, "lend", free_loan)


def borrow_twice():
    borrow = Ledger.borrow

    def twice(self, account, tokens):
        borrow(self, account, tokens)
        borrow(self, account, tokens)

    return mock.patch.object(Ledger, "borrow", twice)


def write_totals_unconditionally():
    write = Ledger._build_write

    def unconditional(self, row, totals_by_account):
        planned = write(self, row, totals_by_account)
        return attrs.evolve(planned, expected=planned.expected[:1])

    return mock.patch.object(Ledger, "_build_write", unconditional)


def write_own_row_unconditionally():
    write = Ledger._build_write

    def unconditional(self, row, totals_by_account):
        planned = write(self, row, totals_by_account)
        return attrs.evolve(planned, expected=planned.expected[1:])

    return mock.patch.object(Ledger, "_build_write", unconditional)


def drop_grants_of_other_routers():
    def with_grant(self, vm, granted):
        return Totals({vm: granted})

    return mock.patch.object(Totals, "with_grant", with_grant)


def read_the_limit_line_ahead_of_time():
    at = LimitLine.at

    def ahead(self, now_ms):
        return at(self, now_ms + 3_000)

    return mock.patch.object(
        Terms,
        "limit",
        lambda self, now_ms: (
            min(self.granted, ahead(self.line, now_ms))
            if self.line.rate
            else self.granted
        ),
    )


def settle_twice():
    settle = Ledger.settle

    def twice(self, request_id, used):
        share = None
        reservation = self.reservations_by_id.get(request_id)
        if reservation is not None:
            share = self.share(reservation.account)
        settle(self, request_id, used)
        if share is not None:
            share.reserved -= reservation.tokens

    return mock.patch.object(Ledger, "settle", twice)


def use_stale_totals():
    def update_totals(self, rows):
        for row in rows:
            if row.id.key not in self.totals_by_account:
                totals = Totals.decode(row.value)
                self.totals_by_account[row.id.key] = KnownTotals(totals, row.version)

    return PatchGroup(
        mock.patch.object(Ledger, "update_totals", update_totals),
        write_totals_unconditionally(),
    )


def write_limit_lines_below_use():
    encode = HolderRow.encode

    def low(self):
        terms = {
            account: attrs.evolve(
                item, line=attrs.evolve(item.line, base=item.line.base // 2)
            )
            for account, item in self.terms_by_account.items()
        }
        return encode(attrs.evolve(self, terms_by_account=terms))

    return mock.patch.object(HolderRow, "encode", low)


def void_a_loan_twice():
    def void(self, loan_id, account):
        tokens = self._lent_by_id.get(loan_id) if loan_id in self._lent_by_id else 0
        self.share(account).settled -= tokens
        return tokens

    return mock.patch.object(Ledger, "cancel_loan", void)


def lend_to_reserves_without_counting():
    lend = Ledger.lend

    def free_loan(self, loan_id, account, *, for_reserve=False, **terms):
        lent = lend(self, loan_id, account, for_reserve=for_reserve, **terms)
        if lent and for_reserve:
            self.shares_by_account[account].settled -= lent
        return lent

    return mock.patch.object(Ledger, "lend", free_loan)


def lend_to_reserves_beyond_the_limit_line():
    lend = Ledger.lend

    def beyond(self, loan_id, account, *, wanted, for_reserve=False, **terms):
        lent = lend(
            self, loan_id, account, wanted=wanted, for_reserve=for_reserve, **terms
        )
        share = self.shares_by_account.get(account)
        if not for_reserve or not lent or share is None:
            return lent
        more = min(wanted, share.headroom)
        share.settled += more
        return lent + more

    return mock.patch.object(Ledger, "lend", beyond)


def transfer_without_counting():
    return mock.patch.object(Ledger, "transfer_out", lambda self, account, tokens: None)


def transfer_reserved_tokens():
    def leftover(self, account, now_ms, *, retained=0):
        share = self.shares_by_account[account]
        return 0 if share.is_home else max(share.borrowed - share.settled - retained, 0)

    return mock.patch.object(Ledger, "leftover", leftover)


def writer_of(row):
    return HolderRow.decode(row.value).incarnation


def adopt_the_own_row_of_a_copy():
    is_row_of_copy = Ledger._is_row_of_copy

    def adopt(self, row):
        if row is not None and writer_of(row) == self.incarnation:
            return False
        return is_row_of_copy(self, row)

    return mock.patch.object(Ledger, "_is_row_of_copy", adopt)


def wait_for_a_row_that_the_copy_lacks():
    is_row_of_copy = Ledger._is_row_of_copy

    def wait(self, row):
        return row is not None and is_row_of_copy(self, row)

    return mock.patch.object(Ledger, "_is_row_of_copy", wait)


def fence_at_the_row_of_the_predecessor():
    is_row_of_copy = Ledger._is_row_of_copy

    def fence(self, row):
        if row is not None and self.is_open and writer_of(row) == self.predecessor:
            return False
        return is_row_of_copy(self, row)

    return mock.patch.object(Ledger, "_is_row_of_copy", fence)


def raise_grants_right_after_a_restore():
    return mock.patch.object(Ledger, "are_grants_held", lambda self, now: False)


def forget_the_own_grant_after_a_restore():
    return mock.patch.object(
        Ledger, "_is_grant_lost", lambda self, account, granted: False
    )


def restore_a_grant_that_may_have_been_reduced():
    return mock.patch.object(
        Ledger, "_held_grant", lambda self, share: share.terms.granted
    )


def withhold_nothing():
    return mock.patch.object(RestoreAudit, "withhold", lambda self, totals, free: None)


def trust_a_row_of_a_copy():
    def trust(row, era, restored_ms):
        return False

    return PatchGroup(
        mock.patch.object(ledger, "is_incomplete", trust),
        mock.patch.object(ledger, "is_of_copy", trust),
    )


def count_nothing_that_was_withheld():
    return mock.patch.object(
        RestoreAudit, "mark_counted", lambda self, account, totals: 0
    )


class PatchGroup:
    """Several patches applied together."""

    def __init__(self, *patches):
        self._patches = patches

    def __enter__(self):
        for patch in self._patches:
            patch.__enter__()

    def __exit__(self, *details):
        for patch in reversed(self._patches):
            patch.__exit__(*details)


MUTANTS = (
    ignore_unconfirmed_terms,
    ignore_reservations,
    ignore_the_limit_line,
    take_over_without_growth,
    take_over_without_use,
    treat_unknown_outcomes_as_failed,
    discard_all_terms_at_a_conflict,
    lend_without_counting,
    borrow_twice,
    write_totals_unconditionally,
    write_own_row_unconditionally,
    drop_grants_of_other_routers,
    read_the_limit_line_ahead_of_time,
    settle_twice,
    use_stale_totals,
    write_limit_lines_below_use,
    void_a_loan_twice,
    lend_to_reserves_without_counting,
    lend_to_reserves_beyond_the_limit_line,
    transfer_without_counting,
    transfer_reserved_tokens,
    adopt_the_own_row_of_a_copy,
    wait_for_a_row_that_the_copy_lacks,
    fence_at_the_row_of_the_predecessor,
    raise_grants_right_after_a_restore,
    forget_the_own_grant_after_a_restore,
    restore_a_grant_that_may_have_been_reduced,
    withhold_nothing,
    trust_a_row_of_a_copy,
    count_nothing_that_was_withheld,
)

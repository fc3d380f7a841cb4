"""A router's ledger: reservations, loans, and the store writes that cover them."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from lynxchute.budgets.audit import (
    MAX_SILENCE_MS,
    RestoreAudit,
    is_incomplete,
    is_of_copy,
)
from lynxchute.budgets.line import LimitLine
from lynxchute.budgets.plan import KnownTotals, Plan
from lynxchute.budgets.policy import GrantPolicy, ShareView
from lynxchute.budgets.recent import RecentIds
from lynxchute.budgets.rows import (
    HolderRow,
    RowDecodeError,
    Totals,
    holder_id,
    totals_id,
)
from lynxchute.budgets.share import RELEASE_PAUSE_SECONDS, Release, Share, Terms
from lynxchute.budgets.standing import reserve_loan_size
from lynxchute.store import (
    Committed,
    Conflict,
    Expected,
    Outcome,
    Put,
    Row,
    RowId,
    Write,
)
from lynxchute.store.era import era_of

# Seconds after the first sign of a store that came back from a copy during which no
# grant rises: longer than any live router needs to write its row again, also when it
# is cut off from the store for a while.
GRANT_HOLD_SECONDS = 15.0
# When lending more than waiting requests need, a router holds back this many seconds of
# its own demand, which covers all but a few outages of the store.
LENDER_RESERVE_SECONDS = 8.0
# The same for a loan to a local reserve. It is shorter, since most of this router's
# demand then comes from the borrower's callers.
RESERVE_LOAN_MARGIN_SECONDS = 2.0
# Budgets whose totals one write may change; a write holds at most 100 entries.
MAX_GRANTS_PER_WRITE = 40
# Resolution in milliseconds when computing how soon a limit line covers a request:
# too small for a caller to notice.
LINE_RESOLUTION_MS = 20


class ReserveProblem(enum.Enum):
    """Reason why tokens were not reserved.

    Attributes
    ----------
    SHORT
        Too few tokens are available.
    CLOSED
        The ledger or the request accepts no reservations.
    """

    SHORT = "short"
    CLOSED = "closed"


@attrs.frozen
class OpenReservation:
    """Tokens reserved for an open request."""

    account: str
    tokens: int


class Ledger:
    """Token bookkeeping of one router process: reserve, settle, lend and borrow.

    Times named ``now_ms`` are milliseconds and a lower bound of the store's clock;
    times named ``now`` are seconds on the local steady clock and serve for demand.

    Parameters
    ----------
    vm
        The router's VM.
    incarnation
        Id of the router process.
    policy
        Decides the size of grants and limit lines.
    parts
        Number of data centres that share the budgets.
    store_partition
        Partition of the store that holds the router's own row.

    Attributes
    ----------
    is_open
        Whether this process has written the router's row; it may spend only then.
    is_closing
        Whether the router is stopping and makes no more reservations.
    fenced
        Whether another process of the same VM has taken over the row.
    slack_by_account
        Tokens that the previous process may have used after its last write, within
        its limit lines. They count as used, although most of them may be unused.
    unreadable_accounts
        Budgets whose totals row cannot be decoded.
    predecessor
        Incarnation of the previous process of this VM; empty if there was none.
    pending
        The write whose outcome is still awaited.
    audit
        VMs whose use is not known in full since the store came back from a copy.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        policy: GrantPolicy,
        *,
        parts: int,
        store_partition: str = "",
    ) -> None:
        self.vm = vm
        self.store_partition = store_partition
        self.incarnation = incarnation
        self.is_open = False
        self.is_closing = False
        self.fenced = False
        self.shares_by_account: dict[str, Share] = {}
        self.reservations_by_id: dict[str, OpenReservation] = {}
        self.totals_by_account: dict[str, KnownTotals] = {}
        self.prepaid_by_account: dict[str, int] = {}
        self.slack_by_account: dict[str, int] = {}
        self.unreadable_accounts: set[str] = set()
        self.predecessor = ""
        self.pending: Plan | None = None
        self.audit = RestoreAudit(vm)
        # Era of the last complete row of this VM; None while its row is complete.
        self._complete_until: int | None = None
        # Whether the row that was taken over is one with which the store came back.
        self._is_taken_from_copy = False
        self._policy = policy
        self._parts = max(parts, 1)
        self._row_version = 0
        self._era = 0
        self._confirmed_era = 0
        self._is_hold_due = False
        self._held_until = -GRANT_HOLD_SECONDS
        self._unrestored_accounts: set[str] = set()
        self._predecessor_ended_ms = 0
        self._silent_ms: int | None = None
        self._sequence = 0
        self._lent_by_id = RecentIds()
        self._transfers_by_id = RecentIds()
        self._ended_by_request = RecentIds()

    # Taking over from the previous process.

    def take_over(
        self, row: Row | None, ended_ms: int, *, restored_ms: int | None = None
    ) -> None:
        """Start from the row that the previous process of this VM left.

        If that process did not write in the store's newest era, the row is of a copy.
        Its grants and limit lines may have risen since, so all that it grants counts as
        used, and the row stays incomplete.

        Parameters
        ----------
        row
            The row; None if there is none.
        ended_ms
            A time by which that process had ended, on the store's clock.
        restored_ms
            When the fleet noticed the store's newest era, on the store's clock; None if
            unknown.
        """
        self._predecessor_ended_ms = ended_ms
        self._silent_ms = None
        self.slack_by_account = {}
        self.predecessor = ""
        self.shares_by_account = {}
        self._row_version = row.version if row is not None else 0
        self.observe_era(era_of(self._row_version))
        self._confirmed_era = self._era
        self._complete_until = None
        self._is_taken_from_copy = False
        self.audit.reset_counted()
        if row is None:
            is_new = restored_ms is not None and ended_ms > restored_ms + MAX_SILENCE_MS
            if self._era and not is_new:
                self._complete_until = self._era - 1
            return
        previous = HolderRow.decode(row.value)
        self.predecessor = previous.incarnation
        self._is_taken_from_copy = is_of_copy(previous, self._era, restored_ms)
        if is_incomplete(previous, self._era, restored_ms):
            self._complete_until = previous.era
        for account, terms in previous.terms_by_account.items():
            # The previous process may have used all that its limit line allowed.
            used = terms.limit(ended_ms)
            if self._is_taken_from_copy:
                used = terms.granted
            slack = used - terms.limit(terms.line.start_ms)
            if slack > 0:
                self.slack_by_account[account] = slack
                self._silent_ms = ended_ms - terms.line.start_ms
            share = Share(Terms(terms.granted, LimitLine.flat(used)), settled=used)
            self.shares_by_account[account] = share

    @property
    def silent_ms(self) -> int | None:
        """Return for how many ms the previous process may have spent unrecorded.

        None if its use is known exactly, or once this process has written its own row.
        """
        return None if self.is_open else self._silent_ms

    def apply_final_use(
        self, incarnation: str, used_by_account: dict[str, int]
    ) -> None:
        """Apply the final use that the previous process reported when it stopped."""
        if self.is_open or incarnation != self.predecessor:
            return
        if self._is_taken_from_copy:
            # That process may have given back a part of its grants since the copy.
            return
        for account, used in used_by_account.items():
            share = self.shares_by_account.get(account)
            if share is not None:
                share.settled = min(share.settled, used)
                share.terms = Terms(share.terms.granted, LimitLine.flat(share.settled))

    @property
    def is_complete(self) -> bool:
        """Return whether this router's row covers all that its VM has used."""
        return self._complete_until is None

    @property
    def complete_era(self) -> int:
        """Return the newest era whose rows are known to cover all that the VM used."""
        if self._complete_until is not None:
            return self._complete_until
        return self._confirmed_era if self.is_open and self.is_restored else 0

    def update_totals(self, rows: Iterable[Row]) -> None:
        """Apply budget totals read from the store.

        A row that cannot be decoded is skipped. No grant of its budget can change
        then, because the write is conditional on the version last decoded.
        """
        for row in rows:
            self.observe_era(era_of(row.version))
            known = self.totals_by_account.get(row.id.key)
            if known is not None and known.version >= row.version:
                continue
            try:
                totals = Totals() if row.deleted else Totals.decode(row.value)
            except RowDecodeError:
                self.unreadable_accounts.add(row.id.key)
                continue
            self.unreadable_accounts.discard(row.id.key)
            self._record_totals(row.id.key, KnownTotals(totals, row.version))

    def _record_totals(self, account: str, known: KnownTotals) -> None:
        self.totals_by_account[account] = known
        self._update_completeness()

    def _update_completeness(self) -> None:
        """Treat the own row as complete once all budgets are accounted for."""
        if self.is_complete or self.audit.era != self._era:
            return
        for account in self.prepaid_by_account:
            if account in self.unreadable_accounts:
                return
            if not self.audit.is_counted(self._known_totals(account)):
                return
        self._complete_until = None

    def discard_totals_before(self, era: int) -> None:
        """Discard totals of earlier eras, which a complete scan of the table lacked."""
        for account, known in list(self.totals_by_account.items()):
            if era_of(known.version) < era:
                del self.totals_by_account[account]

    # Restores of the store.

    def observe_era(self, era: int) -> bool:
        """Record the era of an answer of the store; return whether it is a new one.

        Grants that live routers were given since the copy are missing in the totals of
        a new era until these routers have written again, so no grant rises for
        `GRANT_HOLD_SECONDS` after its first sign.
        """
        if era <= self._era:
            return False
        self._era = era
        self._is_hold_due = True
        self._unrestored_accounts.update(self.shares_by_account)
        return True

    def shorten_hold(self, seconds: float, now: float) -> None:
        """Let grants rise earlier, as the store came back some seconds ago already."""
        if self._is_hold_due:
            self._is_hold_due = False
            self._held_until = now + max(GRANT_HOLD_SECONDS - seconds, 0.0)

    def are_grants_held(self, now: float) -> bool:
        """Return whether no grant rises since the store came back from a copy."""
        return self._is_hold_due or now < self._held_until

    @property
    def is_restored(self) -> bool:
        """Return whether the store's newest era holds this router's row and grants."""
        return (
            self._confirmed_era == self._era
            and self._unrestored_accounts <= self.unreadable_accounts
        )

    # Reservations, loans and transfers.

    def available(self, account: str, now_ms: int) -> int:
        """Return the tokens of a budget that can be reserved now."""
        share = self.shares_by_account.get(account)
        if share is None or not self.is_open or self.fenced:
            return 0
        return share.available(now_ms)

    def reserve(
        self, request_id: str, account: str, tokens: int, *, now_ms: int
    ) -> ReserveProblem | None:
        """Reserve tokens for a request; idempotent.

        Returns
        -------
        ReserveProblem | None
            Why nothing was reserved, or None if the tokens are reserved.
        """
        if request_id in self.reservations_by_id:
            return None
        if self.fenced or self.is_closing or not self.is_open:
            return ReserveProblem.CLOSED
        if request_id in self._ended_by_request:
            return ReserveProblem.CLOSED
        share = self.share(account)
        if tokens > share.available(now_ms):
            return ReserveProblem.SHORT
        share.reserved += tokens
        self.reservations_by_id[request_id] = OpenReservation(account, tokens)
        return None

    def ms_until_available(
        self, account: str, tokens: int, *, now_ms: int, within_ms: int
    ) -> int | None:
        """Return after how many ms the limit line will have grown enough.

        None if it does not cover the tokens within the given time.
        """
        if self.fenced or self.is_closing or not self.is_open:
            return None
        share = self.share(account)
        for wait_ms in range(0, within_ms + 1, LINE_RESOLUTION_MS):
            if share.available(now_ms + wait_ms) >= tokens:
                return wait_ms
        return None

    def settle(self, request_id: str, used: int) -> None:
        """Record what a request has used and free the rest of its reservation."""
        self._ended_by_request.add(request_id, used)
        reservation = self.reservations_by_id.pop(request_id, None)
        if reservation is None:
            return
        share = self.share(reservation.account)
        share.reserved -= reservation.tokens
        share.settled += used

    def lend(
        self,
        loan_id: str,
        account: str,
        *,
        needed: int,
        wanted: int,
        now_ms: int,
        now: float,
        for_reserve: bool = False,
    ) -> int:
        """Lend tokens to another router; return how many.

        They count as used here from now on. Repeating a loan id returns the same
        loan. Available tokens are lent in full if a request needs them. Beyond that,
        at most half of the tokens that this router's own demand does not need are
        lent, and fewer for the borrower's local reserve.

        Parameters
        ----------
        needed
            Tokens that a waiting request needs.
        wanted
            Tokens that the borrower would like in all.
        for_reserve
            Whether the loan is for the borrower's local reserve.
        """
        if loan_id in self._lent_by_id:
            return self._lent_by_id.get(loan_id)
        share = self.shares_by_account.get(account)
        if share is None or not self._may_lend:
            return 0
        available = max(share.available(now_ms) - share.releasing, 0)
        if for_reserve:
            spare = share.headroom - int(
                share.demand.rate(now) * RESERVE_LOAN_MARGIN_SECONDS
            )
            tokens = min(reserve_loan_size(wanted, spare), available)
        else:
            tokens = self._lendable(share, available, needed, wanted, now)
        if tokens <= 0:
            return 0
        if for_reserve:
            # Requests served from the borrower's reserve do not reach this router,
            # so the loan stands in for their demand.
            share.demand.add(tokens, now)
            share.lent_reserves.add(tokens, now)
        share.settled += tokens
        self._lent_by_id.add(loan_id, tokens)
        return tokens

    def cancel_loan(self, loan_id: str, account: str) -> int:
        """Cancel a loan whose reply was lost; return the number of tokens taken back.

        A request for the loan that arrives later gets nothing.
        """
        tokens = self._lent_by_id.get(loan_id) if loan_id in self._lent_by_id else 0
        self._lent_by_id.add(loan_id, 0)
        if tokens:
            self.share(account).settled -= tokens
        return tokens

    def release(
        self, account: str, *, needed: int, wanted: int, now: float
    ) -> Release | None:
        """Mark tokens for release to the store with the next write.

        Unused tokens are released in full if another router's request needs them.
        Beyond that, at most half of the tokens that this router's own demand does not
        need are released.

        Returns
        -------
        Release | None
            The release, or None if there is nothing to release.
        """
        share = self.shares_by_account.get(account)
        if share is None or not self._may_lend:
            return None
        unused = max(share.terms.granted - share.own_use - share.releasing, 0)
        unused = max(unused - share.waiting, 0)
        tokens = self._lendable(share, unused, needed, wanted, now)
        if tokens <= 0:
            return None
        release = Release(tokens, tokens)
        share.releases.append(release)
        share.released_at = now
        return release

    def cancel_release(self, account: str, release: Release) -> None:
        """Cancel a release that the store has not confirmed.

        If the store has applied it all the same, the terms of that write still limit
        spending until its outcome is known.
        """
        releases = self.share(account).releases
        if release in releases:
            releases.remove(release)

    @property
    def _may_lend(self) -> bool:
        return self.is_open and not self.fenced and not self.is_closing

    def _lendable(
        self, share: Share, unused: int, needed: int, wanted: int, now: float
    ) -> int:
        spare = self._surplus(share, unused, now) // 2
        return max(min(needed, unused), min(wanted, spare))

    def _surplus(self, share: Share, unused: int, now: float) -> int:
        """Return the unused tokens beyond those held back for own demand."""
        return max(unused - int(share.demand.rate(now) * LENDER_RESERVE_SECONDS), 0)

    def leftover(self, account: str, now_ms: int, *, retained: int = 0) -> int:
        """Return the borrowed tokens that this router does not need.

        Parameters
        ----------
        retained
            Tokens to leave in the router's local reserve.
        """
        share = self.shares_by_account[account]
        if share.is_home or share.waiting:
            return 0
        unused = share.borrowed - share.used - retained
        return max(min(unused, share.available(now_ms)), 0)

    def transfer_out(self, account: str, tokens: int) -> None:
        """Count tokens that are sent to another router as used."""
        self.share(account).settled += tokens

    def transfer_in(self, gift_id: str, account: str, tokens: int) -> None:
        """Add tokens that another router has sent; idempotent by gift id."""
        if gift_id in self._transfers_by_id:
            return
        self._transfers_by_id.add(gift_id, tokens)
        self.borrow(account, tokens)

    def borrow(self, account: str, tokens: int) -> None:
        """Add tokens that another router has lent."""
        self.share(account).borrowed += tokens

    def unused(self, account: str) -> int:
        """Return the tokens held, granted or borrowed, that are not used.

        Reserved tokens count as unused.
        """
        share = self.shares_by_account.get(account)
        if share is None:
            return 0
        return max(share.terms.granted + share.borrowed - share.settled, 0)

    def lent_reserves(self, account: str, now: float) -> int:
        """Return an estimate of the tokens lent to local reserves that are unused."""
        share = self.shares_by_account.get(account)
        return share.lent_reserves.decayed_tokens(now) if share is not None else 0

    @property
    def has_headroom(self) -> bool:
        """Return whether any grant has unused tokens, which a crash would lose."""
        return any(share.headroom for share in self.shares_by_account.values())

    def is_below_target_grant(self, now: float) -> bool:
        """Return whether any grant is smaller than the policy's target."""
        if not self.is_open or self.is_closing:
            return False
        for account, share in self.shares_by_account.items():
            if account not in self.prepaid_by_account:
                continue
            view = self._view(account, share, share.terms.granted, now)
            view_if_all_free = attrs.evolve(view, free=max(view.prepaid, 0))
            if self._policy.grant(view_if_all_free) > share.terms.granted:
                return True
        return False

    def share(self, account: str) -> Share:
        """Return this router's share of a budget, creating an empty one if needed."""
        share = self.shares_by_account.get(account)
        if share is None:
            share = Share(Terms(0, LimitLine.flat(0)))
            self.shares_by_account[account] = share
        return share

    def free(self, account: str) -> int:
        """Return the ungranted tokens of a budget, as last read from the store."""
        known = self.totals_by_account.get(account)
        granted = known.totals.granted if known is not None else 0
        return self.prepaid_by_account.get(account, 0) - granted

    # Writes to the store.

    def plan(self, *, now_ms: int, now: float, with_grants: bool = True) -> Plan:
        """Plan the next write: new limit lines for all budgets, new grants if due.

        Parameters
        ----------
        with_grants
            Whether grants may change. Only then can the write conflict with another
            router's write.
        """
        self._sequence += 1
        if self._is_hold_due:
            self._is_hold_due = False
            self._held_until = now + GRANT_HOLD_SECONDS
        self._add_shares_to_count()
        terms_by_account: dict[str, Terms] = {}
        totals_by_account: dict[str, Totals] = {}
        for account, share in self.shares_by_account.items():
            granted, totals = self._held_grant(share), None
            if len(totals_by_account) < MAX_GRANTS_PER_WRITE:
                granted, totals = self._plan_grant(account, share, now, with_grants)
            if totals is not None:
                totals_by_account[account] = totals
            terms_by_account[account] = self._planned_terms(
                account, share, granted, now_ms, now
            )
        era = self._era if self._complete_until is None else self._complete_until
        row = HolderRow(
            self.incarnation,
            self._sequence,
            terms_by_account,
            era=era,
            written_ms=now_ms,
            is_closing=self.is_closing and self.is_complete,
        )
        self.pending = Plan(
            self._build_write(row, totals_by_account),
            row,
            totals_by_account,
            self._era,
        )
        for account, terms in terms_by_account.items():
            # Until the outcome is known the store may hold the old or the new terms,
            # so spending must respect both.
            self.shares_by_account[account].unconfirmed.append(terms)
        return self.pending

    def apply_outcome(self, outcome: Outcome) -> bool:
        """Apply the outcome of the pending write; return whether it committed."""
        plan = self.pending
        assert plan is not None
        self.pending = None
        if isinstance(outcome, Committed):
            era = era_of(outcome.version)
            self.observe_era(era)
            for account, totals in plan.totals_by_account.items():
                self._record_totals(account, KnownTotals(totals, outcome.version))
            if era > plan.era:
                # The write was planned on totals of an earlier era, so its grants do
                # not count until they have been written again.
                self._row_version = outcome.version
                return True
            self._confirm_row(plan.row, outcome.version)
            self.is_open = True
            return True
        self._apply_conflict(plan, outcome)
        return False

    def record_write_failed(self) -> None:
        """Record that the pending write has not taken effect and never will."""
        plan = self.pending
        assert plan is not None
        self.pending = None
        self._discard_terms(plan)

    def record_outcome_unknown(self) -> None:
        """Record that it is unknown whether the pending write took effect.

        The next write expects the same row version, so only one of the two can
        commit, and the outcome of the next one shows which.
        """
        self.pending = None

    def _held_grant(self, share: Share) -> int:
        """Return the grant that is certainly this router's own.

        Until a write of the newest era has been confirmed, a write whose outcome is
        unknown may have reduced the grant, and another router may have claimed the
        difference before the store came back from a copy.
        """
        if self._confirmed_era == self._era:
            return share.terms.granted
        grants = [terms.granted for terms in share.unconfirmed]
        return max(min([share.terms.granted, *grants]), share.own_use)

    def _add_shares_to_count(self) -> None:
        """Create the shares in which withheld tokens will count as used."""
        if self.is_complete:
            return
        for account, known in self.totals_by_account.items():
            if any(known.totals.withheld_for(self.vm).values()):
                self.share(account)

    def _plan_grant(
        self, account: str, share: Share, now: float, with_grants: bool
    ) -> tuple[int, Totals | None]:
        """Return the grant to write, and the totals if they change."""
        held = self._held_grant(share)
        totals = self._audited_totals(account, share, held, now, with_grants)
        if totals is not None:
            return totals.granted_by_vm.get(self.vm, 0), totals
        granted = held
        if with_grants:
            granted = self._planned_grant(account, share, held, now)
        if granted != share.terms.granted or self._is_grant_lost(account, granted):
            totals = self._known_totals(account).with_grant(self.vm, granted)
        return granted, totals

    def _known_totals(self, account: str) -> Totals:
        known = self.totals_by_account.get(account)
        return known.totals if known is not None else Totals()

    def _audited_totals(
        self, account: str, share: Share, held: int, now: float, with_grants: bool
    ) -> Totals | None:
        """Return totals that account for use around a restore; None if none is due."""
        totals = self._known_totals(account)
        if any(totals.withheld_for(self.vm).values()):
            if self.is_complete:
                return totals.released_by(self.vm, held)
            if not self.are_grants_held(now):
                # During the hold, live routers may still take out what is theirs.
                share.settled += self.audit.mark_counted(account, totals)
            counted = totals.without(self.audit.counted_keys(account, totals))
            if counted == totals:
                return None
            return counted.with_grant(self.vm, max(held, share.own_use))
        if not with_grants or self.audit.era != self._era or self.are_grants_held(now):
            return None
        audited = self.audit.withhold(totals, self.free(account))
        return audited.with_grant(self.vm, held) if audited is not None else None

    def _is_grant_lost(self, account: str, granted: int) -> bool:
        """Return whether the totals of the newest era may list another own grant."""
        if account not in self._unrestored_accounts:
            return False
        if account in self.unreadable_accounts:
            return False
        known = self.totals_by_account.get(account)
        if known is None:
            return granted > 0
        if era_of(known.version) < self._era:
            return True
        return known.totals.granted_by_vm.get(self.vm, 0) != granted

    def _planned_grant(self, account: str, share: Share, held: int, now: float) -> int:
        granted = self._wanted_grant(account, share, held, now)
        return min(granted, held) if self.are_grants_held(now) else granted

    def _wanted_grant(self, account: str, share: Share, held: int, now: float) -> int:
        if account not in self.prepaid_by_account:
            return held
        view = self._view(account, share, held, now)
        if self.are_grants_held(now):
            # Grants that other routers have given back may be listed again.
            view = attrs.evolve(view, free=max(view.free, 0))
        if self.is_closing:
            return view.used
        if share.releasing:
            return max(view.granted - share.releasing, view.used)
        granted = self._policy.grant(view)
        if now - share.released_at < RELEASE_PAUSE_SECONDS and not share.waiting:
            granted = min(granted, view.granted)
        return granted

    def _planned_terms(
        self, account: str, share: Share, granted: int, now_ms: int, now: float
    ) -> Terms:
        view = self._view(account, share, granted, now)
        if self.is_closing:
            return Terms(granted, LimitLine.flat(share.own_use))
        line = LimitLine(
            base=share.own_use + self._policy.burst(view),
            rate=self._policy.rate(view),
            outage_rate=self._policy.outage_rate(view),
            start_ms=now_ms,
        )
        return Terms(granted, line)

    def _view(self, account: str, share: Share, granted: int, now: float) -> ShareView:
        return ShareView(
            granted=granted,
            used=share.own_use,
            free=self.free(account),
            prepaid=self.prepaid_by_account.get(account, 0),
            demand=share.demand.rate(now),
            largest=share.demand.largest(now),
            waiting=share.waiting,
            is_home=share.is_home,
            parts=self._parts,
        )

    def _build_write(
        self, row: HolderRow, totals_by_account: dict[str, Totals]
    ) -> Write:
        own = holder_id(self.vm, self.store_partition)
        expected = [Expected(own, self._row_version)]
        puts = [Put(own, row.encode())]
        for account, totals in totals_by_account.items():
            known = self.totals_by_account.get(account)
            version = known.version if known is not None else 0
            expected.append(Expected(totals_id(account), version))
            puts.append(Put(totals_id(account), totals.encode()))
        return Write(tuple(expected), tuple(puts))

    def _confirm_row(self, row: HolderRow, version: int) -> None:
        """Adopt this router's row as the store holds it."""
        self._row_version = version
        self._confirmed_era = era_of(version)
        for account, share in self.shares_by_account.items():
            share.unconfirmed.clear()
            terms = row.terms_by_account.get(account)
            if terms is None:
                continue
            share.record_returned(share.terms.granted - terms.granted)
            share.terms = terms
        for account in self._unrestored_accounts - self.unreadable_accounts:
            if not self._is_grant_lost(account, self.share(account).terms.granted):
                self._unrestored_accounts.discard(account)

    def _apply_conflict(self, plan: Plan, conflict: Conflict) -> None:
        own_id = holder_id(self.vm, self.store_partition)
        for current in conflict.rows_by_id.values():
            self.observe_era(era_of(current.version) if current is not None else 0)
        totals = []
        for row_id, row in conflict.rows_by_id.items():
            if row_id == own_id:
                self._apply_own_row(plan, row)
            elif row is None:
                self._discard_totals(row_id)
            else:
                totals.append(row)
        self.update_totals(totals)

    def _apply_own_row(self, plan: Plan, row: Row | None) -> None:
        if self._is_row_of_copy(row):
            # What this process knows is newer, so it replaces the row.
            self._row_version = row.version if row is not None else 0
            self._discard_terms(plan)
            return
        if row is None or row.version == self._row_version:
            # The conflict is about another row; this router's row is unchanged. An
            # earlier write of unknown outcome may still change it.
            self._discard_terms(plan)
            return
        stored = HolderRow.decode(row.value)
        if stored.incarnation == self.incarnation:
            # An earlier write of this process whose reply was lost, or another
            # router's change of this row.
            self._confirm_row(stored, row.version)
            self.is_open = True
            return
        if self.is_open:
            self.fenced = True
            return
        # A write of the previous process that arrived late.
        self.take_over(row, self._predecessor_ended_ms)

    def _is_row_of_copy(self, row: Row | None) -> bool:
        """Return whether the router's row is one that the store came back with.

        That is so from a new era's first sign until this process has written its row
        in that era, unless the row belongs to a process that it does not know.
        """
        if self._confirmed_era == self._era:
            return False
        if row is None:
            return True
        if era_of(row.version) <= self._confirmed_era:
            return False
        incarnation = HolderRow.decode(row.value).incarnation
        return incarnation in (self.incarnation, self.predecessor)

    def _discard_terms(self, plan: Plan) -> None:
        for account, terms in plan.row.terms_by_account.items():
            self.shares_by_account[account].unconfirmed.remove(terms)

    def _discard_totals(self, row_id: RowId) -> None:
        self.totals_by_account.pop(row_id.key, None)

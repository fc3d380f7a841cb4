"""What a router may spend, what it has promised, and what it writes of that."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from lynxchute.budgets.line import Line
from lynxchute.budgets.plan import KnownTotals, Plan
from lynxchute.budgets.policy import GrantPolicy, ShareView
from lynxchute.budgets.recent import Recent
from lynxchute.budgets.rows import (
    HolderRow,
    RowDecodeError,
    Totals,
    holder_id,
    totals_id,
)
from lynxchute.budgets.share import RELEASE_PAUSE, Release, Share, Terms
from lynxchute.budgets.standing import lent_to_keep
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

# Seconds of its own demand that a router keeps when another one would like
# more; as many as the longest outages of the store last, but for a few.
KEPT_SECONDS = 8.0
# Seconds of it that a router keeps when another one would keep some for its callers:
# its own demand is for the most part that of those callers, who come through the other.
KEEP_SECONDS = 2.0
# Budgets whose division one write may change; a write takes 100 entries.
MAX_GRANTS_PER_WRITE = 40
# Milliseconds between two moments at which it is looked whether a line has grown
# enough: a request hardly notices them.
LINE_STEP_MS = 20


class ReserveProblem(enum.Enum):
    """Why tokens were not reserved."""

    SHORT = "short"
    CLOSED = "closed"


@attrs.frozen
class OpenReservation:
    """Tokens that are set aside for a request."""

    account: str
    tokens: int


class Ledger:
    """Reserve, settle, lend and borrow for one run of a router's process.

    Times are milliseconds on the store's clock, never later than it shows, and
    seconds on the own steady clock for the demand.

    Parameters
    ----------
    vm
        The router's VM.
    incarnation
        Names the run.
    policy
        Sizes grants and lines.
    parts
        Data centres that share the budgets.
    store_part
        The store's part for the router's own row.

    Attributes
    ----------
    is_open
        Whether the store has the router's row as this run wrote it.
    fenced
        Whether another run of the same VM has taken the row.
    slack_by_account
        Tokens that the last run may have used along its lines after it had written
        them; they count as used, though most of them may be lost.
    unreadable_accounts
        Budgets whose division in the store cannot be read.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        policy: GrantPolicy,
        *,
        parts: int,
        store_part: str = "",
    ) -> None:
        self.vm = vm
        self.store_part = store_part
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
        self._policy = policy
        self._parts = max(parts, 1)
        self._row_version = 0
        self._predecessor_ended_ms = 0
        self._silent_ms: int | None = None
        self._sequence = 0
        self._lent_by_id = Recent()
        self._gifts_by_id = Recent()
        self._ended_by_request = Recent()

    # Taking over.

    def take_over(self, row: Row | None, ended_ms: int) -> None:
        """Begin where an earlier run of this VM's process has ended.

        Parameters
        ----------
        row
            The row that it left; None where there is none.
        ended_ms
            A time on the store's clock by which that run had ended.
        """
        self._predecessor_ended_ms = ended_ms
        self._silent_ms = None
        self.slack_by_account = {}
        self.predecessor = ""
        self.shares_by_account = {}
        self._row_version = row.version if row is not None else 0
        if row is None:
            return
        found = HolderRow.decode(row.value)
        self.predecessor = found.incarnation
        for account, terms in found.terms_by_account.items():
            # All that the line allowed may have been used.
            used = terms.limit(ended_ms)
            slack = used - terms.limit(terms.line.start_ms)
            if slack > 0:
                self.slack_by_account[account] = slack
                self._silent_ms = ended_ms - terms.line.start_ms
            share = Share(Terms(terms.granted, Line.flat(used)), settled=used)
            self.shares_by_account[account] = share

    @property
    def silent_ms(self) -> int | None:
        """Return for how long the last run may have spent along its lines.

        None where its use is known without them.
        """
        return None if self.is_open else self._silent_ms

    def learn_final_use(
        self, incarnation: str, used_by_account: dict[str, int]
    ) -> None:
        """Take what the run before said that it had used when it stopped."""
        if self.is_open or incarnation != self.predecessor:
            return
        for account, used in used_by_account.items():
            share = self.shares_by_account.get(account)
            if share is not None:
                share.settled = min(share.settled, used)
                share.terms = Terms(share.terms.granted, Line.flat(share.settled))

    def update_totals(self, rows: Iterable[Row]) -> None:
        """Take divisions of budgets as they stand in the store.

        One that cannot be read changes nothing: no grant of its budget can change
        then, since that write expects the division that is known.
        """
        for row in rows:
            known = self.totals_by_account.get(row.id.key)
            if known is not None and known.version >= row.version:
                continue
            try:
                totals = Totals() if row.deleted else Totals.decode(row.value)
            except RowDecodeError:
                self.unreadable_accounts.add(row.id.key)
                continue
            self.unreadable_accounts.discard(row.id.key)
            self.totals_by_account[row.id.key] = KnownTotals(totals, row.version)

    # Spending.

    def available(self, account: str, now_ms: int) -> int:
        """Return the tokens of a budget that can be reserved."""
        share = self.shares_by_account.get(account)
        if share is None or not self.is_open or self.fenced:
            return 0
        return share.available(now_ms)

    def reserve(
        self, request_id: str, account: str, tokens: int, *, now_ms: int
    ) -> ReserveProblem | None:
        """Set tokens aside for a request, once however often it is asked."""
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

    def ms_until(
        self, account: str, tokens: int, *, now_ms: int, within_ms: int
    ) -> int | None:
        """Return in how many ms the lines cover tokens by themselves.

        None where they do not within the given time.
        """
        if self.fenced or self.is_closing or not self.is_open:
            return None
        share = self.share(account)
        for wait_ms in range(0, within_ms + 1, LINE_STEP_MS):
            if share.available(now_ms + wait_ms) >= tokens:
                return wait_ms
        return None

    def settle(self, request_id: str, used: int) -> None:
        """Take what a request has used; the rest can be reserved again."""
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
        """Give tokens to another router; return how many.

        They count as used here from now on. The same loan is given once. All
        that there is goes for what a request needs; of what the borrower
        would like, half of what the own demand leaves over, less of what it
        would keep for later.
        """
        if loan_id in self._lent_by_id:
            return self._lent_by_id.get(loan_id)
        share = self.shares_by_account.get(account)
        if share is None or not self._may_give:
            return 0
        available = max(share.available(now_ms) - share.releasing, 0)
        if for_reserve:
            spare = share.headroom - int(share.demand.rate(now) * KEEP_SECONDS)
            tokens = min(lent_to_keep(wanted, spare), available)
        else:
            tokens = self._spare(share, available, needed, wanted, now)
        if tokens <= 0:
            return 0
        if for_reserve:
            # Requests that the borrower serves do not ask here.
            share.demand.add(tokens, now)
            share.kept_elsewhere.add(tokens, now)
        share.settled += tokens
        self._lent_by_id.add(loan_id, tokens)
        return tokens

    def void_loan(self, loan_id: str, account: str) -> int:
        """Take back a loan whose answer never came; return its tokens.

        Asked for later, it is not given any more.
        """
        tokens = self._lent_by_id.get(loan_id) if loan_id in self._lent_by_id else 0
        self._lent_by_id.add(loan_id, 0)
        if tokens:
            self.share(account).settled -= tokens
        return tokens

    def release(
        self, account: str, *, needed: int, wanted: int, now: float
    ) -> Release | None:
        """Mark tokens to be given back with the next write; None where none are.

        All that is not used may go for what a request needs; of what the
        other would like, half of what the own demand leaves over.
        """
        share = self.shares_by_account.get(account)
        if share is None or not self._may_give:
            return None
        unused = max(share.terms.granted - share.own_use - share.releasing, 0)
        unused = max(unused - share.waiting, 0)
        tokens = self._spare(share, unused, needed, wanted, now)
        if tokens <= 0:
            return None
        release = Release(tokens, tokens)
        share.releases.append(release)
        share.released_at = now
        return release

    def keep(self, account: str, release: Release) -> None:
        """Take back what was marked to be given back and may not have been.

        Where the store has taken it all the same, the terms of that write are
        still kept to until its outcome is known.
        """
        releases = self.share(account).releases
        if release in releases:
            releases.remove(release)

    @property
    def _may_give(self) -> bool:
        return self.is_open and not self.fenced and not self.is_closing

    def _spare(
        self, share: Share, unused: int, needed: int, wanted: int, now: float
    ) -> int:
        spare = self._left_over(share, unused, now) // 2
        return max(min(needed, unused), min(wanted, spare))

    def _left_over(self, share: Share, unused: int, now: float) -> int:
        """Return what the own demand leaves over of what is not used."""
        return max(unused - int(share.demand.rate(now) * KEPT_SECONDS), 0)

    def leftover(self, account: str, now_ms: int, *, retained: int = 0) -> int:
        """Return the borrowed tokens that are at hand and not asked for here.

        Parameters
        ----------
        kept
            Tokens that the router keeps for its callers.
        """
        share = self.shares_by_account[account]
        if share.is_home or share.waiting:
            return 0
        unused = share.borrowed - share.used - retained
        return max(min(unused, share.available(now_ms)), 0)

    def transfer_out(self, account: str, tokens: int) -> None:
        """Count tokens as used that go to another router."""
        self.share(account).settled += tokens

    def take_gift(self, gift_id: str, account: str, tokens: int) -> None:
        """Take tokens that another router has no use for, once."""
        if gift_id in self._gifts_by_id:
            return
        self._gifts_by_id.add(gift_id, tokens)
        self.borrow(account, tokens)

    def borrow(self, account: str, tokens: int) -> None:
        """Take tokens that another router has lent."""
        self.share(account).borrowed += tokens

    def unused(self, account: str) -> int:
        """Return what of a grant is neither used nor, at present, reserved."""
        share = self.shares_by_account.get(account)
        if share is None:
            return 0
        return max(share.terms.granted + share.borrowed - share.settled, 0)

    def kept_elsewhere(self, account: str, now: float) -> int:
        """Return what others were lent to keep and may not have used yet."""
        share = self.shares_by_account.get(account)
        return share.kept_elsewhere.weight(now) if share is not None else 0

    @property
    def holds_anything(self) -> bool:
        """Return whether there is something that a death would lose."""
        return any(share.headroom for share in self.shares_by_account.values())

    def is_wanting(self, now: float) -> bool:
        """Return whether a part is smaller than the policy would have it."""
        if not self.is_open or self.is_closing:
            return False
        for account, share in self.shares_by_account.items():
            if account not in self.prepaid_by_account:
                continue
            view = self._view(account, share, share.terms.granted, now)
            plenty = attrs.evolve(view, free=max(view.prepaid, 0))
            if self._policy.grant(plenty) > share.terms.granted:
                return True
        return False

    def share(self, account: str) -> Share:
        """Return the share of a budget, empty on first use."""
        share = self.shares_by_account.get(account)
        if share is None:
            share = Share(Terms(0, Line.flat(0)))
            self.shares_by_account[account] = share
        return share

    def free(self, account: str) -> int:
        """Return what of a budget nobody has been granted, as last known."""
        known = self.totals_by_account.get(account)
        granted = known.totals.granted if known is not None else 0
        return self.prepaid_by_account.get(account, 0) - granted

    # Writing.

    def plan(self, *, now_ms: int, now: float, with_grants: bool = True) -> Plan:
        """Return the next write: new lines everywhere, and grants where due.

        Parameters
        ----------
        with_grants
            Whether grants may change. Only then can another router's write be
            in the way.
        """
        self._sequence += 1
        terms_by_account: dict[str, Terms] = {}
        totals_by_account: dict[str, Totals] = {}
        for account, share in self.shares_by_account.items():
            granted = share.terms.granted
            if with_grants and len(totals_by_account) < MAX_GRANTS_PER_WRITE:
                granted = self._granted(account, share, now)
            if granted != share.terms.granted:
                known = self.totals_by_account.get(account)
                totals = known.totals if known is not None else Totals()
                totals_by_account[account] = totals.with_grant(self.vm, granted)
            terms_by_account[account] = self._terms(
                account, share, granted, now_ms, now
            )
        row = HolderRow(self.incarnation, self._sequence, terms_by_account)
        self.pending = Plan(self._write(row, totals_by_account), row, totals_by_account)
        for account, terms in terms_by_account.items():
            # From now on the store may say either; both must be kept to.
            self.shares_by_account[account].uncertain.append(terms)
        return self.pending

    def apply_outcome(self, outcome: Outcome) -> bool:
        """Take the outcome of the pending write; return whether it is in force."""
        plan = self.pending
        assert plan is not None
        self.pending = None
        if isinstance(outcome, Committed):
            self._adopt(plan.row, outcome.version)
            for account, totals in plan.totals_by_account.items():
                known = KnownTotals(totals, outcome.version)
                self.totals_by_account[account] = known
            self.is_open = True
            return True
        self._learn_conflict(plan, outcome)
        return False

    def record_write_failed(self) -> None:
        """Note that the pending write had no effect and never will."""
        plan = self.pending
        assert plan is not None
        self.pending = None
        self._withdraw(plan)

    def unsure(self) -> None:
        """Note that nobody knows whether the pending write had an effect.

        The next one expects the same version of the row: one of the two is in
        vain, and the outcome of the next tells which.
        """
        self.pending = None

    def _granted(self, account: str, share: Share, now: float) -> int:
        if account not in self.prepaid_by_account:
            return share.terms.granted
        view = self._view(account, share, share.terms.granted, now)
        if self.is_closing:
            return view.used
        if share.releasing:
            return max(view.granted - share.releasing, view.used)
        granted = self._policy.grant(view)
        if now - share.released_at < RELEASE_PAUSE and not share.waiting:
            granted = min(granted, view.granted)
        return granted

    def _terms(
        self, account: str, share: Share, granted: int, now_ms: int, now: float
    ) -> Terms:
        view = self._view(account, share, granted, now)
        if self.is_closing:
            return Terms(granted, Line.flat(share.own_use))
        line = Line(
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

    def _write(self, row: HolderRow, totals_by_account: dict[str, Totals]) -> Write:
        own = holder_id(self.vm, self.store_part)
        expected = [Expected(own, self._row_version)]
        puts = [Put(own, row.encode())]
        for account, totals in totals_by_account.items():
            known = self.totals_by_account.get(account)
            version = known.version if known is not None else 0
            expected.append(Expected(totals_id(account), version))
            puts.append(Put(totals_id(account), totals.encode()))
        return Write(tuple(expected), tuple(puts))

    def _adopt(self, row: HolderRow, version: int) -> None:
        """Take the own row as it stands in the store."""
        self._row_version = version
        for account, share in self.shares_by_account.items():
            share.uncertain.clear()
            terms = row.terms_by_account.get(account)
            if terms is None:
                continue
            share.note_given_back(share.terms.granted - terms.granted)
            share.terms = terms

    def _learn_conflict(self, plan: Plan, conflict: Conflict) -> None:
        own_id = holder_id(self.vm, self.store_part)
        totals = []
        for row_id, row in conflict.rows_by_id.items():
            if row_id == own_id:
                self._learn_own(plan, row)
            elif row is None:
                self._forget_totals(row_id)
            else:
                totals.append(row)
        self.update_totals(totals)

    def _learn_own(self, plan: Plan, row: Row | None) -> None:
        if row is None or row.version == self._row_version:
            # Only another row was in the way: the own one is as it was. An
            # earlier write of unknown outcome may still change it.
            self._withdraw(plan)
            return
        found = HolderRow.decode(row.value)
        if found.incarnation == self.incarnation:
            # An earlier write that gave no answer, or another router's trim.
            self._adopt(found, row.version)
            self.is_open = True
            return
        if self.is_open:
            self.fenced = True
            return
        # A late write of the run before.
        self.take_over(row, self._predecessor_ended_ms)

    def _withdraw(self, plan: Plan) -> None:
        for account, terms in plan.row.terms_by_account.items():
            self.shares_by_account[account].uncertain.remove(terms)

    def _forget_totals(self, row_id: RowId) -> None:
        self.totals_by_account.pop(row_id.key, None)

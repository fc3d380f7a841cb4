"""What a router owns of the budgets, and what it has promised of it.

Each token of a budget is owned by exactly one incarnation, or free at the
platform. An incarnation reserves and spends only what it owns. Nothing here
does I/O or reads a clock.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterator

import attrs
from expression import Error, Ok, Result

from lynxchute.entry import Adoption, Entry, TopUp
from lynxchute.grants import GrantPolicy
from lynxchute.journal import Journal, closed_row, journal_key
from lynxchute.ledger import (
    BUDGET_PREFIX,
    CHARGE_PREFIX,
    DUPLICATE_PREFIX,
    FREE,
    TOP_UP_PREFIX,
    charge_swap,
    duplicate_swap,
    share_prefix,
    share_swap,
    top_up_key,
)
from lynxchute.records import RequestRecord
from lynxchute.share import Share
from lynxchute.tables.transaction import (
    Add,
    Conflict,
    Outcome,
    Row,
    Swap,
    Transaction,
)

MAX_CHARGES_PER_WRITE = 100
MAX_BUDGETS_PER_WRITE = 50
SWEPT_PER_WRITE = 64
REMEMBERED_REQUESTS = 50_000


class ReserveProblem(enum.Enum):
    """Why tokens were not reserved."""

    SHORT = "short"
    KNOWN = "known"
    ENDED = "ended"
    FENCED = "fenced"
    FULL = "full"


@attrs.frozen
class ReserveFailure:
    """A refusal to reserve.

    Attributes
    ----------
    problem
        Why.
    available
        Tokens that could have been reserved.
    known
        The record of the same request, where there is one.
    """

    problem: ReserveProblem
    available: int = 0
    known: RequestRecord | None = None


class SettleState(enum.Enum):
    """How far the charge of a request has come."""

    OPEN = "open"
    KEPT = "kept"
    DURABLE = "durable"
    REFUSED = "refused"


class Recent:
    """Remember a bounded number of records, oldest forgotten first.

    Parameters
    ----------
    limit
        How many to remember.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._by_key: OrderedDict[str, RequestRecord | None] = OrderedDict()

    def add(self, key: str, record: RequestRecord | None = None) -> None:
        """Remember a record under a key."""
        self._by_key[key] = record
        if len(self._by_key) > self._limit:
            self._by_key.popitem(last=False)

    def get(self, key: str) -> RequestRecord | None:
        """Return the record under a key, if it is remembered."""
        return self._by_key.get(key)

    def __contains__(self, key: str) -> bool:
        return key in self._by_key

    def __len__(self) -> int:
        return len(self._by_key)


class Holder:
    """Reserve and bill tokens for one incarnation of a router.

    Parameters
    ----------
    journal
        The incarnation's journal.
    policy
        Decides how many tokens to hold.
    max_unflushed
        Finished requests that may wait for the platform.
    """

    def __init__(
        self,
        journal: Journal[Entry],
        policy: GrantPolicy,
        *,
        max_unflushed: int = 20_000,
    ) -> None:
        self.journal = journal
        self.shares_by_account: dict[str, Share] = {}
        self.open_by_attempt: dict[str, RequestRecord] = {}
        self.finished_by_attempt: dict[str, RequestRecord] = {}
        self.late_by_attempt: dict[str, RequestRecord] = {}
        self.unbilled_by_attempt: dict[str, RequestRecord] = {}
        self.top_ups_by_key: dict[str, TopUp] = {}
        self.durable_top_ups: dict[str, TopUp] = {}
        self.lost_lineages: set[str] = set()
        self.retiring = False
        self.ready = True
        self.overrun_tokens = 0
        self.duplicate_tokens = 0
        self._policy = policy
        self._max_unflushed = max_unflushed
        self._live_by_request_id: dict[str, RequestRecord] = {}
        self._billed_by_request_id = Recent(REMEMBERED_REQUESTS)
        self._ended_attempts = Recent(REMEMBERED_REQUESTS)
        self._duplicate_attempts: set[str] = set()
        self._adoption: Adoption | None = None
        self._giving_back: dict[str, int] = {}
        self._due: dict[str, None] = {}
        self._sweep: list[str] = []

    @property
    def incarnation(self) -> str:
        """Return whose holder this is."""
        return self.journal.incarnation

    @property
    def is_member(self) -> bool:
        """Return whether others can rely on this incarnation.

        A recovery asks only incarnations whose journal is open, and those
        have to know of earlier seals before they promise anything.
        """
        return self.ready and self.journal.opened and not self.journal.fenced

    @property
    def takes_work(self) -> bool:
        """Return whether tokens can be reserved here."""
        return self.is_member and not self.retiring

    @property
    def adopting(self) -> str:
        """Return the incarnation whose take-over is to be written."""
        return self._adoption.victim if self._adoption else ""

    @property
    def idle(self) -> bool:
        """Return whether no request is open or waits to be billed."""
        return not (
            self.open_by_attempt or self.finished_by_attempt or self.late_by_attempt
        )

    def share(self, account: str) -> Share:
        """Return the share of a budget, made on first use."""
        share = self.shares_by_account.get(account)
        if share is None:
            share = self.shares_by_account[account] = Share()
            self._due[account] = None
        return share

    def set_shortfall(self, account: str, tokens: int) -> None:
        """Note what waiting requests lack of a budget."""
        self.share(account).shortfall = tokens
        self._due[account] = None

    def set_home(self, account: str, is_home: bool) -> None:
        """Note whether requests for a budget come to this router."""
        self.share(account).is_home = is_home
        self._due[account] = None

    def available(self, account: str) -> int:
        """Return the tokens of a budget that can be reserved."""
        return self.share(account).available(self._returning(account))

    def find(self, request_id: str) -> RequestRecord | None:
        """Return what is known of a request."""
        live = self._live_by_request_id.get(request_id)
        return live or self._billed_by_request_id.get(request_id)

    def held(self) -> Iterator[RequestRecord]:
        """Yield every request that is open or waits to be billed."""
        yield from self.open_by_attempt.values()
        yield from self.finished_by_attempt.values()

    def adopted_in_flight(self) -> Iterator[RequestRecord]:
        """Yield the requests of adoptions that may have been written.

        Until the outcome is known they are kept nowhere else here, but
        others may see already that this incarnation has adopted them.
        """
        for attempt in self.journal.attempts:
            if attempt.entry.adoption is not None:
                yield from attempt.entry.adoption.records

    def reserve(
        self, record: RequestRecord, now: float, replaces: str = ""
    ) -> Result[RequestRecord, ReserveFailure]:
        """Set tokens aside for an attempt at a request.

        Parameters
        ----------
        replaces
            An earlier attempt at the request, of which nobody has seen an
            answer; it is released once the new one has its tokens.
        """
        if not self.takes_work:
            return Error(ReserveFailure(ReserveProblem.FENCED))
        same = self.open_by_attempt.get(record.attempt)
        if same is not None:
            return Ok(same)
        known = self.find(record.request_id)
        if known is not None and known.attempt != replaces:
            return Error(ReserveFailure(ReserveProblem.KNOWN, known=known))
        if record.attempt in self._ended_attempts:
            return Error(ReserveFailure(ReserveProblem.ENDED))
        if len(self.finished_by_attempt) >= self._max_unflushed:
            return Error(ReserveFailure(ReserveProblem.FULL))
        share = self.share(record.account)
        available = self.available(record.account)
        if record.reserved > available:
            return Error(ReserveFailure(ReserveProblem.SHORT, available))
        share.rate.add(record.reserved, now)
        self._due[record.account] = None
        self._open(record)
        if replaces:
            self.release(replaces)
        return Ok(record)

    def extend(self, attempt: str, tokens: int) -> bool:
        """Set more tokens aside for an open request, if there are enough."""
        record = self.open_by_attempt.get(attempt)
        if record is None or self.journal.fenced:
            return False
        if tokens > self.available(record.account):
            return False
        self.share(record.account).reserved += tokens
        more = attrs.evolve(record, reserved=record.reserved + tokens)
        self.open_by_attempt[attempt] = more
        return True

    def release(self, attempt: str) -> None:
        """Drop the reservation of an attempt that did not run."""
        self._ended_attempts.add(attempt)
        record = self.open_by_attempt.pop(attempt, None)
        if record is None:
            return
        self.share(record.account).reserved -= record.reserved
        self._forget_live(record)

    def settle(self, record: RequestRecord) -> SettleState:
        """Take what a request has used.

        Parameters
        ----------
        record
            A copy of the record with ``used`` set.
        """
        if self.journal.fenced:
            return SettleState.REFUSED
        if record.attempt in self.open_by_attempt:
            self._finish(record.attempt, record.used or 0)
        state = self.state_of(record.attempt)
        if state is not SettleState.DURABLE or record.attempt in self._ended_attempts:
            return state
        billed = self._billed_by_request_id.get(record.request_id)
        if billed is not None and billed.attempt == record.attempt:
            return state
        lineage = (*record.lineage, record.holder)
        if not self.lost_lineages.intersection(lineage):
            return state
        late = attrs.evolve(record, holder=self.incarnation)
        self.late_by_attempt[record.attempt] = late
        return SettleState.KEPT

    def state_of(self, attempt: str) -> SettleState:
        """Return how far the charge of an attempt has come.

        An attempt that is not known here has been billed or dropped.
        """
        if attempt in self.open_by_attempt:
            return SettleState.OPEN
        if attempt in self.finished_by_attempt or attempt in self.late_by_attempt:
            return SettleState.KEPT
        return SettleState.DURABLE

    def orphans(self, entry: str) -> tuple[RequestRecord, ...]:
        """Return the open requests of an entry router that is given up.

        The caller finds out what each of them used, and settles it.
        """
        return tuple(r for r in self.open_by_attempt.values() if r.entry == entry)

    def set_witness(self, attempt: str, witness: str) -> None:
        """Note which router is asked to keep the second copy of a request."""
        record = self.open_by_attempt.get(attempt)
        if record is not None:
            self.open_by_attempt[attempt] = attrs.evolve(record, witness=witness)

    def change_witness(self, gone: str, witness: str) -> None:
        """Note who keeps the second copy of requests that a router had a part in."""
        for records in (self.open_by_attempt, self.finished_by_attempt):
            for attempt, record in records.items():
                if gone not in (record.entry, record.witness):
                    continue
                records[attempt] = attrs.evolve(record, witness=witness)

    def credit(self, top_up: TopUp) -> bool:
        """Take a top-up that the platform does not have yet.

        Returns
        -------
        bool
            Whether it was new here.
        """
        key = top_up_key(top_up.account, top_up.top_up_id)
        if key in self.top_ups_by_key or key in self.durable_top_ups:
            return False
        self.top_ups_by_key[key] = top_up
        self.share(top_up.account).provisional += top_up.tokens
        return True

    def learn_free(self, account: str, free: int) -> None:
        """Note what the platform has left of a budget."""
        self.share(account).free = free
        self._due[account] = None

    def spare(self, account: str, wanted: int, now: float) -> int:
        """Mark tokens to be given back for a holder that runs short.

        Returns
        -------
        int
            How many will go back with the next write.
        """
        if account not in self.shares_by_account:
            return 0
        share = self.shares_by_account[account]
        view = share.view(self._returning(account), now)
        tokens = min(self._policy.spare(view), wanted, share.owned or 0)
        if tokens <= 0:
            return 0
        self._giving_back[account] = tokens
        self._due[account] = None
        return tokens

    def retire(self) -> None:
        """Reserve nothing more and give back all that is not needed."""
        self.retiring = True
        self._due.update(dict.fromkeys(self.shares_by_account))

    def adopt(self, adoption: Adoption) -> None:
        """Write the take-over of a sealed incarnation next."""
        self._adoption = adoption

    def next_write(self, now: float) -> Transaction | None:
        """Return the transaction to send now, if there is one.

        While an outcome is unknown this is the same transaction again.
        """
        if self.journal.fenced:
            return None
        if self.journal.pending is not None:
            return self.journal.pending.transaction
        entry = self._plan(now)
        if entry.empty and self.journal.opened and not self.journal.changed:
            return None
        return self.journal.prepare(entry, self._operations(entry))

    def wrote(self, outcome: Outcome) -> Entry | None:
        """Take the outcome of a write.

        Returns
        -------
        Entry or None
            What took effect, if anything did.
        """
        pending = self.journal.pending
        assert pending is not None
        self._note_budgets(outcome)
        entry = self.journal.learn(outcome)
        if entry is not None:
            self._apply(entry)
            return entry
        if isinstance(outcome, Conflict) and not self.journal.fenced:
            self._note_conflict(pending.entry, outcome)
        return None

    def _open(self, record: RequestRecord) -> None:
        self.share(record.account).reserved += record.reserved
        self.open_by_attempt[record.attempt] = record
        self._live_by_request_id[record.request_id] = record

    def _finish(self, attempt: str, used: int) -> None:
        known = self.open_by_attempt.pop(attempt)
        share = self.share(known.account)
        covered = known.reserved + max(self.available(known.account), 0)
        if used > covered:
            self.overrun_tokens += used - covered
            used = covered
        share.reserved -= known.reserved
        share.spent += used
        self._due[known.account] = None
        finished = attrs.evolve(known, used=used)
        self.finished_by_attempt[attempt] = finished
        self._live_by_request_id[known.request_id] = finished

    def _forget_live(self, record: RequestRecord) -> None:
        live = self._live_by_request_id.get(record.request_id)
        if live is not None and live.attempt == record.attempt:
            del self._live_by_request_id[record.request_id]

    def _plan(self, now: float) -> Entry:
        if not self.journal.opened:
            return Entry()
        charges, duplicates = self._plan_charges()
        late = tuple(self.late_by_attempt.values())[:MAX_CHARGES_PER_WRITE]
        return Entry(
            grants=self._plan_grants(now),
            charges=charges,
            duplicates=duplicates,
            late_charges=late,
            top_ups=tuple(self.top_ups_by_key.values()),
            adoption=self._adoption,
        )

    def _plan_charges(
        self,
    ) -> tuple[tuple[RequestRecord, ...], tuple[RequestRecord, ...]]:
        charges: dict[str, RequestRecord] = {}
        duplicates: list[RequestRecord] = []
        billable_by_account: dict[str, int] = {}
        for record in self.finished_by_attempt.values():
            if len(charges) + len(duplicates) >= MAX_CHARGES_PER_WRITE:
                break
            account = record.account
            used = record.used or 0
            left = billable_by_account.get(account)
            if left is None:
                left = self.share(account).billable
            if used > left:
                continue
            billable_by_account[account] = left - used
            if record.request_id in charges or self._is_duplicate(record):
                duplicates.append(record)
                continue
            charges[record.request_id] = record
        return tuple(charges.values()), tuple(duplicates)

    def _is_duplicate(self, record: RequestRecord) -> bool:
        if record.attempt in self._duplicate_attempts:
            return True
        return record.request_id in self._billed_by_request_id

    def _plan_grants(self, now: float) -> dict[str, int]:
        """Return what each share is to gain or give back.

        Only shares whose state has changed are looked at, and a few others
        in turn, since demand fades by itself; so the cost of a write does
        not grow with the number of budgets.
        """
        grants: dict[str, int] = {}
        for account in [*self._due, *self._next_to_sweep()]:
            if len(grants) >= MAX_BUDGETS_PER_WRITE:
                break
            tokens = self._grant(account, self.share(account), now)
            if tokens:
                grants[account] = tokens
                self._due[account] = None
                continue
            self._due.pop(account, None)
        return grants

    def _next_to_sweep(self) -> list[str]:
        if not self._sweep:
            self._sweep = list(self.shares_by_account)
        swept = self._sweep[-SWEPT_PER_WRITE:]
        del self._sweep[-SWEPT_PER_WRITE:]
        return [account for account in swept if account not in self._due]

    def _grant(self, account: str, share: Share, now: float) -> int:
        back = self._giving_back.pop(account, 0)
        available = self.available(account)
        returnable = max(min(available, (share.owned or 0) - share.spent), 0)
        if self.retiring:
            return -returnable
        if back:
            return -min(back, returnable)
        tokens = self._policy.change(share.view(self._returning(account), now))
        if tokens < 0:
            return -min(-tokens, returnable)
        if share.free is None:
            return tokens
        return min(tokens, share.free)

    def _returning(self, account: str) -> int:
        """Return the most that any write on its way may give back."""
        most = 0
        for attempt in self.journal.attempts:
            most = max(most, -attempt.entry.grants.get(account, 0))
        return most

    def _operations(self, entry: Entry) -> tuple[Swap | Add, ...]:
        operations: list[Swap | Add] = []
        for account, change in entry.changes().items():
            operation = change.operation(account, self.share(account).has_budget)
            if operation is not None:
                operations.append(operation)
        for account, gain in entry.gains().items():
            before = self.share(account).owned
            after = (before or 0) + gain
            swap = share_swap(self.incarnation, account, before, after)
            if swap is not None:
                operations.append(swap)
        for record in (*entry.charges, *entry.late_charges):
            operations.append(charge_swap(record))
        for record in entry.duplicates:
            operations.append(duplicate_swap(record))
        for top_up in entry.top_ups:
            key = top_up_key(top_up.account, top_up.top_up_id)
            operations.append(Swap(key, None, top_up.row()))
        if entry.adoption is not None:
            operations.extend(self._adoption_operations(entry.adoption))
        return tuple(operations)

    def _adoption_operations(self, adoption: Adoption) -> list[Swap | Add]:
        closed = closed_row(adoption.row, self.incarnation, adoption.missing)
        key = journal_key(adoption.victim)
        operations: list[Swap | Add] = [Swap(key, adoption.row, closed)]
        for account, tokens in adoption.owned.items():
            swap = share_swap(adoption.victim, account, tokens, 0)
            if swap is not None:
                operations.append(swap)
        return operations

    def _note_budgets(self, outcome: Outcome) -> None:
        for key, row in outcome.rows_by_key.items():
            if not key.startswith(BUDGET_PREFIX):
                continue
            share = self.share(key.removeprefix(BUDGET_PREFIX))
            share.free = row[FREE] if row else 0
            share.has_budget = row is not None

    def _note_conflict(self, entry: Entry, conflict: Conflict) -> None:
        if entry.adoption is not None:
            self._note_lost_adoption(entry.adoption.victim, conflict)
        for key, row in conflict.rows_by_key.items():
            if key.startswith(CHARGE_PREFIX) and row is not None:
                self._note_charged(key.removeprefix(CHARGE_PREFIX), row)
            elif key.startswith(DUPLICATE_PREFIX):
                self._note_given_up(key.removeprefix(DUPLICATE_PREFIX))
            elif key.startswith(TOP_UP_PREFIX):
                self._drop_top_up(key)
            elif key.startswith(BUDGET_PREFIX):
                self._drop_late(entry, key.removeprefix(BUDGET_PREFIX), row)

    def _note_lost_adoption(self, victim: str, conflict: Conflict) -> None:
        """Give an adoption up whose victim another router has adopted."""
        shares = share_prefix(victim)
        for key in conflict.rows_by_key:
            if key == journal_key(victim) or key.startswith(shares):
                self._adoption = None

    def _note_charged(self, request_id: str, row: Row) -> None:
        """Meet a request that is billed already.

        The same attempt may have been billed by an earlier holder before it
        was sealed: then that share has paid. A bill of another attempt
        stands for another run of the same request: then the tokens used
        here are given up, so that nothing is billed twice and nothing
        overspends.
        """
        for attempt, record in list(self.late_by_attempt.items()):
            if record.request_id == request_id:
                del self.late_by_attempt[attempt]
                self._ended_attempts.add(attempt)
        for attempt, record in list(self.finished_by_attempt.items()):
            if record.request_id != request_id:
                continue
            if attempt == row["attempt"]:
                self._forget_finished(record)
                continue
            self._duplicate_attempts.add(attempt)

    def _note_given_up(self, attempt: str) -> None:
        """Meet a second run that an earlier holder has given up already."""
        record = self.finished_by_attempt.get(attempt)
        if record is not None:
            self._forget_finished(record)

    def _drop_top_up(self, key: str) -> None:
        """Meet a top-up that is durable."""
        top_up = self.top_ups_by_key.pop(key, None)
        if top_up is not None:
            self.share(top_up.account).provisional -= top_up.tokens

    def _drop_late(self, entry: Entry, account: str, row: Row | None) -> None:
        """Give up late charges for which too little had been written off."""
        late = [r for r in entry.late_charges if r.account == account]
        tokens = sum(record.used or 0 for record in late)
        if tokens <= (row["written_off"] if row else 0):
            return
        for record in late:
            self.late_by_attempt.pop(record.attempt, None)
            self.unbilled_by_attempt[record.attempt] = record
            self._ended_attempts.add(record.attempt)

    def _apply(self, entry: Entry) -> None:
        for account, gain in entry.gains().items():
            share = self.share(account)
            owned = (share.owned or 0) + gain
            share.owned = owned or None
            self._due[account] = None
        for record in entry.duplicates:
            self._duplicate_attempts.discard(record.attempt)
            self.duplicate_tokens += record.used or 0
        for record in (*entry.charges, *entry.duplicates):
            self._forget_finished(record)
        for record in entry.late_charges:
            self.late_by_attempt.pop(record.attempt, None)
            self._billed_by_request_id.add(record.request_id, record)
        for top_up in entry.top_ups:
            key = top_up_key(top_up.account, top_up.top_up_id)
            self._drop_top_up(key)
            self.durable_top_ups[key] = top_up
        if entry.adoption is not None:
            self._apply_adoption(entry.adoption)

    def _apply_adoption(self, adoption: Adoption) -> None:
        self._adoption = None
        if adoption.write_off:
            self.lost_lineages.add(adoption.victim)
        for held in adoption.held():
            record = held.moved_to(self.incarnation)
            if record.used is None:
                self._open(record)
                continue
            self.share(record.account).spent += record.used
            self.finished_by_attempt[record.attempt] = record
            self._live_by_request_id[record.request_id] = record
        for top_up in adoption.durable_top_ups:
            key = top_up_key(top_up.account, top_up.top_up_id)
            self.durable_top_ups[key] = top_up
        for top_up in adoption.top_ups:
            self.credit(top_up)

    def _forget_finished(self, record: RequestRecord) -> None:
        known = self.finished_by_attempt.pop(record.attempt, None)
        if known is None:
            return
        self.share(known.account).spent -= known.used or 0
        self._forget_live(known)
        self._billed_by_request_id.add(known.request_id, known)

"""Synchronise this router's grants and limit lines with the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from lynxchute.application import BackgroundTask
from lynxchute.budgets import Ledger
from lynxchute.budgets.ledger import GRANT_HOLD_SECONDS
from lynxchute.budgets.plan import Plan
from lynxchute.budgets.rows import HOLDERS_TABLE, TOTALS_TABLE
from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.spending.grant_pause import GrantBackoff
from lynxchute.spending.restore_auditor import RestoreAuditor
from lynxchute.store import Outcome, OutcomeUnknown, Row, Store, StoreUnavailable
from lynxchute.store.era import era_of
from lynxchute.telemetry import log_event

# Seconds until use is written if no request waits for the write.
REFRESH_SECONDS = 0.5
# Maximum seconds between two writes of a router that holds unused tokens. Together with
# REFRESH_SECONDS it limits the tokens lost in a crash to a small fraction of a percent
# of what the router serves.
IDLE_SECONDS = 1.0
# Seconds until the next attempt after the store did not answer.
RETRY_SECONDS = 0.2
# Seconds after which a store that has not answered a write counts as unreachable;
# requests then stop waiting for it and ask other routers for tokens.
SLOW_WRITE_SECONDS = 0.12
# Seconds that a lender waits for the store; less than the borrower waits for it.
RELEASE_SECONDS = 0.15
# Minimum seconds between two reads of the budget totals while tokens are short.
TOTALS_POLL_SECONDS = 0.25
# Seconds after which a router whose grants are below target reads the totals again,
# in case other routers have released tokens.
UNDERGRANTED_POLL_SECONDS = 2.0
# Maximum seconds between two writes of any router: a row that is much older than a
# restore of the store counts as that of a router which had ended before.
KEEPALIVE_SECONDS = 20.0
# Seconds after a restore of the store at which the totals are read once more, as other
# routers may have withheld tokens on behalf of this one.
TOTALS_RECHECK_SECONDS = 2 * GRANT_HOLD_SECONDS


class LedgerSync(BackgroundTask):
    """Write the ledger's planned changes to the store, one write at a time.

    Parameters
    ----------
    ledger
        Plans the writes and applies their outcomes.
    store
        The store that holds grants and limit lines.
    homes
        Returns the VMs that hold an account's tokens, the home first.
    settled
        Set once the other routers of the fleet are known.
    started_at
        When this process started, in seconds on the steady clock; any earlier
        process of this VM had ended by then.
    before_first_write
        Awaited once the previous process's row has been read.
    restored_seconds
        Returns for how many seconds the fleet has known the store's era.
    auditor
        Audits the routers' rows before grants rise after a restore; None to trust them.
    """

    def __init__(
        self,
        ledger: Ledger,
        store: Store,
        homes: Callable[[str], list[str]],
        *,
        settled: asyncio.Event,
        started_at: float,
        before_first_write: Callable[[], Awaitable[None]],
        restored_seconds: Callable[[], float] = lambda: 0.0,
        auditor: RestoreAuditor | None = None,
    ) -> None:
        super().__init__()
        self.ledger = ledger
        self._store = store
        self._homes = homes
        self._members_known = settled
        self._started_at = started_at
        self._before_first_write = before_first_write
        self._restored_seconds = restored_seconds
        self._auditor = auditor
        self._predecessor_row: Row | None = None
        self._predecessor_ended_ms = 0
        self._written_at = 0.0
        self._recheck_at = 0.0
        self._write_due = asyncio.Event()
        self._write_now = asyncio.Event()
        self._waiters: set[asyncio.Future[None]] = set()
        self._failures = 0
        self._totals_read_at = 0.0
        self._is_refresh_due = False
        self._writing_since: float | None = None
        self._grant_backoff = GrantBackoff(random.Random())

    @property
    def store_answers(self) -> bool:
        """Return whether the store is answering, as far as is known."""
        if self._failures:
            return False
        if self._writing_since is None:
            return True
        return steady_seconds() - self._writing_since < SLOW_WRITE_SECONDS

    @property
    def is_opening(self) -> bool:
        """Return whether this process is still taking over the previous one's row."""
        ledger = self.ledger
        return not (ledger.is_open or ledger.is_closing or ledger.fenced)

    async def wait_until_open(self, until: float) -> None:
        """Wait until this process may spend; give up if the store does not answer."""
        while self.is_opening and self.store_answers:
            if not await self._wait_for_outcome(until):
                return

    @property
    def may_change_grants(self) -> bool:
        """Return whether the next write can change a grant, up or down."""
        now = steady_seconds()
        return (
            self.store_answers
            and self._grant_backoff.is_over(now)
            and not self.ledger.are_grants_held(now)
        )

    def now_ms(self) -> int:
        """Return a lower bound of the store's clock, in milliseconds."""
        return self._store.clock.earliest_ms(steady_seconds())

    def configure(self, configuration: Configuration) -> None:
        """Apply the prepaid budgets of a new configuration version."""
        ledger = self.ledger
        for account in configuration.accounts_by_name.values():
            if account.prepaid is None:
                continue
            if ledger.prepaid_by_account.get(account.name) != account.prepaid:
                ledger.prepaid_by_account[account.name] = account.prepaid
                self.request_write()

    def record_use(self) -> None:
        """Record that tokens were used; the limit lines are written again soon."""
        self._write_due.set()

    def request_write(self) -> None:
        """Request a write of the ledger without delay."""
        self._write_now.set()
        self._write_due.set()

    def request_refresh(self) -> None:
        """Request that the budget totals are read again before the next write."""
        self._is_refresh_due = True

    async def release(self, account: str, needed: int, wanted: int) -> int:
        """Release tokens to the store for another router.

        Returns
        -------
        int
            The tokens released; 0 unless the store confirmed all of them in time.
        """
        until = steady_seconds() + RELEASE_SECONDS
        release = self.ledger.release(
            account,
            needed=needed,
            wanted=wanted,
            now=steady_seconds(),
        )
        if release is None:
            return 0
        while release.left:
            if not await self._wait_for_outcome(until) or not self.store_answers:
                # The store may have applied the release, or may still apply it.
                self.ledger.cancel_release(account, release)
                return 0
        return release.tokens

    def refresh_homes(self) -> None:
        """Update which accounts this router is home of, after membership changes."""
        for account in self.ledger.prepaid_by_account:
            is_home = self._homes(account)[:1] == [self.ledger.vm]
            if not is_home and account not in self.ledger.shares_by_account:
                continue
            share = self.ledger.share(account)
            if share.is_home != is_home:
                share.is_home = is_home
                self.request_write()

    async def wait_until_covered(self, account: str, tokens: int, until: float) -> bool:
        """Wait until tokens can be reserved; return whether they can.

        Parameters
        ----------
        until
            When to give up, in seconds on the steady clock.
        """
        while not self.ledger.is_open:
            # Before the ledger is open, this process may still be taking over the
            # previous one's shares.
            if not await self._wait_for_outcome(until):
                return False
        share = self.ledger.share(account)
        share.waiting += tokens
        try:
            while self.ledger.available(account, self.now_ms()) < tokens:
                if share.headroom < tokens:
                    # This needs a larger grant, which may be delayed by the backoff.
                    await self._wait_for_grant_backoff(until)
                if not await self._wait_for_outcome(until):
                    return False
                if not self.store_answers:
                    return False
                if self.is_out_of_reach(account, tokens):
                    return False
            return True
        finally:
            share.waiting -= tokens

    async def wait_for_limit_line(
        self, account: str, tokens: int, until: float
    ) -> None:
        """Wait until the limit line covers tokens of the current grant."""
        share = self.ledger.share(account)
        tokens = min(tokens, share.headroom)
        if tokens > 0:
            await self.wait_until_covered(account, tokens, until)

    async def close(self, until: float) -> bool:
        """Release unused tokens to the store; return whether it confirmed that."""
        ledger = self.ledger
        ledger.is_closing = True
        while not ledger.fenced and any(
            share.headroom for share in ledger.shares_by_account.values()
        ):
            if not await self._wait_for_outcome(until) or not self.store_answers:
                log_event("budgets not given back", store_answers=self.store_answers)
                return False
        log_event("budgets given back", accounts=len(ledger.shares_by_account))
        return True

    async def _wait_for_outcome(self, until: float) -> bool:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        self.request_write()
        try:
            async with asyncio.timeout(max(until - steady_seconds(), 0.0)):
                await waiter
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True

    async def _wait_for_grant_backoff(self, until: float) -> None:
        now = steady_seconds()
        await asyncio.sleep(max(min(self._grant_backoff.until, until) - now, 0.0))

    def is_out_of_reach(self, account: str, tokens: int) -> bool:
        """Return whether too few tokens are left for a request.

        That is so if the unused grant and the free tokens of the budget together do
        not cover the tokens, or if the grant does not and must not rise yet.
        """
        share = self.ledger.share(account)
        if self.ledger.are_grants_held(steady_seconds()):
            return share.headroom < tokens
        return share.headroom + self.ledger.free(account) < tokens

    async def _run(self) -> None:
        while not await self._take_over():
            await asyncio.sleep(RETRY_SECONDS)
        await self._members_known.wait()
        self._review_predecessor()
        self.ledger.shorten_hold(self._restored_seconds(), steady_seconds())
        await self._before_first_write()
        while True:
            if not await self._wait_until_due():
                continue
            if self.ledger.prepaid_by_account:
                self.refresh_homes()
                await self._write()
            if self._failures:
                await asyncio.sleep(RETRY_SECONDS)

    async def _wait_until_due(self) -> bool:
        """Wait until a write is due: soon after use, or at once on request.

        It is due after IDLE_SECONDS at the latest if tokens are unused or writes have
        failed.

        Returns
        -------
        bool
            Whether there is something to write.
        """
        try:
            async with asyncio.timeout(IDLE_SECONDS):
                await self._write_due.wait()
        except TimeoutError:
            now = steady_seconds()
            self._observe_era()
            if (
                now - self._totals_read_at > UNDERGRANTED_POLL_SECONDS
                and self._may_lack_tokens(now)
            ):
                self._is_refresh_due = True
            is_recheck_due = 0.0 < self._recheck_at < now
            if is_recheck_due:
                self._recheck_at = 0.0
                self._is_refresh_due = True
            # After failures it writes even without unused tokens: otherwise a home
            # that has spent its grant would not notice that the store is back, and
            # would keep refusing requests that a new grant could cover.
            # A store that came back from a copy may lack the row of a router without
            # unused tokens, too.
            return (
                self.ledger.has_headroom
                or self._failures > 0
                or not self.ledger.is_restored
                or not self.ledger.is_complete
                or is_recheck_due
                or now - self._written_at > KEEPALIVE_SECONDS
            )
        try:
            async with asyncio.timeout(REFRESH_SECONDS):
                await self._write_now.wait()
        except TimeoutError:
            # The usual case: tokens were used and no request waits for the write.
            pass
        self._write_due.clear()
        self._write_now.clear()
        return True

    def _may_lack_tokens(self, now: float) -> bool:
        """Return whether the totals may have tokens that this router should know of."""
        return not self.ledger.is_complete or self.ledger.is_below_target_grant(now)

    def _review_predecessor(self) -> None:
        """Take over again once it is known when the store came back from a copy."""
        ledger = self.ledger
        if self._auditor is None or ledger.is_complete:
            return
        ledger.take_over(
            self._predecessor_row,
            self._predecessor_ended_ms,
            restored_ms=self._auditor.restored_ms(),
        )
        log_event(
            "budgets taken over after a restore of the store",
            predecessor=ledger.predecessor,
            complete=ledger.is_complete,
            used_by_account={
                account: share.settled
                for account, share in ledger.shares_by_account.items()
            },
        )

    async def _take_over(self) -> bool:
        """Read the store and take over the row of the previous process.

        Returns
        -------
        bool
            Whether the store could be read.
        """
        try:
            totals = await self._store.scan(TOTALS_TABLE)
            holders = await self._store.scan(
                HOLDERS_TABLE, part=self.ledger.store_partition
            )
        except StoreUnavailable as error:
            log_event("budgets not read yet", reason=str(error))
            return False
        own = None
        for row in holders.rows:
            if row.id.key == self.ledger.vm:
                own = row
        self._observe_era()
        self.ledger.update_totals(totals.rows)
        ended_ms = self._store.clock.latest_ms(self._started_at)
        self._predecessor_row, self._predecessor_ended_ms = own, ended_ms
        self.ledger.take_over(own, ended_ms)
        log_event(
            "budgets read",
            accounts=len(totals.rows),
            unreadable=sorted(self.ledger.unreadable_accounts),
            holders=len(holders.rows),
            own_version=own.version if own is not None else 0,
        )
        if self.ledger.predecessor:
            log_event(
                "budgets taken over",
                predecessor=self.ledger.predecessor,
                silent_ms=self.ledger.silent_ms,
                used_by_account={
                    account: share.settled
                    for account, share in self.ledger.shares_by_account.items()
                },
                slack_by_account=self.ledger.slack_by_account,
            )
        return True

    async def _write(self) -> None:
        ledger = self.ledger
        if ledger.fenced:
            return
        self._observe_era()
        if not await self._refresh_totals():
            return
        self._observe_era()
        if not await self._audit():
            return
        now = steady_seconds()
        with_grants = ledger.is_closing or self._grant_backoff.is_over(now)
        if self._auditor is not None and not self._auditor.is_done:
            # The audit comes first if the hold has ended just now.
            with_grants = with_grants and ledger.are_grants_held(now)
        plan = ledger.plan(now_ms=self.now_ms(), now=now, with_grants=with_grants)
        self._writing_since = now
        try:
            outcome = await self._store.write(plan.write)
        except StoreUnavailable as error:
            ledger.record_write_failed()
            self._record_failure(error)
        except OutcomeUnknown as error:
            ledger.record_outcome_unknown()
            self._record_failure(error)
        except BaseException:
            ledger.record_outcome_unknown()
            raise
        else:
            self._apply_outcome(plan, outcome)
        finally:
            self._writing_since = None
            self._wake_waiters()

    async def _audit(self) -> bool:
        """Audit the routers' rows if that is due; return whether the store answered."""
        if self._auditor is None:
            return True
        try:
            await self._auditor.audit()
        except StoreUnavailable as error:
            self._record_failure(error)
            self._wake_waiters()
            return False
        return True

    def _apply_outcome(self, plan: Plan, outcome: Outcome) -> None:
        ledger = self.ledger
        self._record_answer()
        self._observe_era()
        committed = ledger.apply_outcome(outcome)
        if committed:
            self._written_at = steady_seconds()
            if self._auditor is not None:
                self._auditor.announce()
        if not committed and plan.era < self._store.era.current:
            log_event("budgets are written again after a restore of the store")
            self.request_write()
        elif not committed:
            # Conflict with another router's write; the conflict reply contains the
            # current rows.
            self._back_off_grants()
            if ledger.is_restored:
                self.request_write()
            else:
                # Many routers write the same totals again; versions read just before
                # the write conflict less often.
                self._is_refresh_due = True
        elif plan.totals_by_account:
            self._grant_backoff.record_success()
            log_event(
                "grants changed",
                sequence=plan.row.sequence,
                granted_by_account={
                    account: plan.row.terms_by_account[account].granted
                    for account in plan.totals_by_account
                },
            )
        if committed and not ledger.is_restored:
            self.request_write()
        if ledger.fenced:
            log_event("fenced: another process of this VM holds the budgets")

    def _observe_era(self) -> None:
        """Tell the ledger of the store's newest era; read the totals again in it."""
        if self.ledger.observe_era(self._store.era.current):
            self._is_refresh_due = True
            self._recheck_at = steady_seconds() + TOTALS_RECHECK_SECONDS
            if self._auditor is not None:
                self._auditor.record_restore()

    def _back_off_grants(self) -> None:
        """Delay changes of grants after a conflict, and schedule the next write."""
        seconds = self._grant_backoff.record_conflict(steady_seconds())
        asyncio.get_running_loop().call_later(seconds, self.request_write)

    async def _refresh_totals(self) -> bool:
        """Read the budget totals again if needed.

        They are read when a request needs more tokens than are known to be free, when
        a read was requested, and after a failure. After a failure the read first checks
        that the store is back, because each write with an unknown outcome restricts
        spending further.

        Returns
        -------
        bool
            False if the store did not answer the read.
        """
        now = steady_seconds()
        is_due = (
            self._is_short_of_tokens()
            and now - self._totals_read_at >= TOTALS_POLL_SECONDS
        )
        if not (is_due or self._is_refresh_due or self._failures):
            return True
        self._is_refresh_due = False
        self._totals_read_at = now
        try:
            totals = await self._store.scan(TOTALS_TABLE)
        except StoreUnavailable as error:
            self._record_failure(error)
            self._wake_waiters()
            return False
        self.ledger.update_totals(totals.rows)
        self.ledger.discard_totals_before(era_of(totals.version))
        return True

    def _is_short_of_tokens(self) -> bool:
        for account, share in self.ledger.shares_by_account.items():
            if share.waiting and self.is_out_of_reach(account, share.waiting):
                return True
        return False

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _record_failure(self, error: Exception) -> None:
        self._failures += 1
        if self._failures == 1:
            log_event("budgets not written", reason=str(error))

    def _record_answer(self) -> None:
        if self._failures:
            log_event("budgets written again", failures=self._failures)
        self._failures = 0

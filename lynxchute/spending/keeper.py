"""Keep this router's grants and lines in step with the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from lynxchute.application import Background
from lynxchute.budgets import Ledger
from lynxchute.budgets.plan import Plan
from lynxchute.budgets.rows import HOLDERS_TABLE, TOTALS_TABLE
from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.spending.grant_pause import GrantPause
from lynxchute.store import Outcome, OutcomeUnknown, Store, StoreUnavailable
from lynxchute.telemetry import log_event

# Seconds until use that nothing waits for is written down, and the longest
# between two writes of a router that holds anything: both bound what its
# death loses, at a small part of a percent of what it serves.
REFRESH_SECONDS = 0.5
IDLE_SECONDS = 1.0
# Seconds until the next try after the store did not answer.
RETRY_SECONDS = 0.2
# A store that has not answered a write for this many seconds may be cut off;
# requests do not wait for it then but look for tokens elsewhere.
SLOW_WRITE_SECONDS = 0.12
# Seconds that a lender waits for the store, less than its asker waits for it.
RELEASE_SECONDS = 0.15
# Seconds between two looks at what is free of the budgets.
LOOK_SECONDS = 0.25
# Seconds until a router that holds less than it should looks whether others
# have given something back.
TEND_SECONDS = 2.0


class LedgerSync(Background):
    """Write the ledger's plans, one at a time.

    Parameters
    ----------
    ledger
        What is planned and learned.
    store
        Where it is written.
    homes
        Returns the VMs that hold an account's tokens, the home first.
    settled
        Set once it is known who the other routers are.
    started_at
        When this process began, on the steady clock in seconds; an earlier one
        of this VM had ended by then.
    before_first_write
        Awaited once the row of the run before has been read.
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
    ) -> None:
        super().__init__()
        self.ledger = ledger
        self._store = store
        self._homes = homes
        self._settled = settled
        self._started_at = started_at
        self._before_first_write = before_first_write
        self._stirred = asyncio.Event()
        self._wanted = asyncio.Event()
        self._waiters: set[asyncio.Future[None]] = set()
        self._failures = 0
        self._looked_at = 0.0
        self._is_look_due = False
        self._writing_since: float | None = None
        self._grant_pause = GrantPause(random.Random())

    @property
    def store_answers(self) -> bool:
        """Return whether the store answers, as far as is known."""
        if self._failures:
            return False
        if self._writing_since is None:
            return True
        return steady_seconds() - self._writing_since < SLOW_WRITE_SECONDS

    @property
    def is_opening(self) -> bool:
        """Return whether this run is still taking over what the one before had."""
        ledger = self.ledger
        return not (ledger.is_open or ledger.is_closing or ledger.fenced)

    async def opened(self, until: float) -> None:
        """Wait until this run may spend, as long as the store answers."""
        while self.is_opening and self.store_answers:
            if not await self._next_outcome(until):
                return

    @property
    def may_change_grants(self) -> bool:
        """Return whether a grant can be changed with the next write."""
        return self.store_answers and self._grant_pause.is_over(steady_seconds())

    def now_ms(self) -> int:
        """Return a time that the store's clock has reached, in milliseconds."""
        return self._store.clock.earliest_ms(steady_seconds())

    def configure(self, configuration: Configuration) -> None:
        """Take what has been paid from a new version of the configuration."""
        ledger = self.ledger
        for account in configuration.accounts_by_name.values():
            if account.prepaid is None:
                continue
            if ledger.prepaid_by_account.get(account.name) != account.prepaid:
                ledger.prepaid_by_account[account.name] = account.prepaid
                self.request_write()

    def touch(self) -> None:
        """Note that tokens were used, so that the lines are to be renewed."""
        self._stirred.set()

    def request_write(self) -> None:
        """Have the ledger written without delay."""
        self._wanted.set()
        self._stirred.set()

    def look_soon(self) -> None:
        """Read the divisions again with the next write."""
        self._is_look_due = True

    async def release(self, account: str, needed: int, wanted: int) -> int:
        """Give tokens back for another router; return how many the store has."""
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
            if not await self._next_outcome(until) or not self.store_answers:
                # Whether they went back is not known; they may yet.
                self.ledger.keep(account, release)
                return 0
        return release.tokens

    def settle_homes(self) -> None:
        """Take who is home of what, after routers have come or gone."""
        for account in self.ledger.prepaid_by_account:
            is_home = self._homes(account)[:1] == [self.ledger.vm]
            if not is_home and account not in self.ledger.shares_by_account:
                continue
            share = self.ledger.share(account)
            if share.is_home != is_home:
                share.is_home = is_home
                self.request_write()

    async def cover(self, account: str, tokens: int, until: float) -> bool:
        """Wait until tokens can be reserved; return whether they can.

        Parameters
        ----------
        until
            When to give up, on the steady clock in seconds.
        """
        while not self.ledger.is_open:
            # Until then an earlier run's shares may yet be taken over.
            if not await self._next_outcome(until):
                return False
        share = self.ledger.share(account)
        share.waiting += tokens
        try:
            while self.ledger.available(account, self.now_ms()) < tokens:
                if share.headroom < tokens:
                    # Only a larger grant helps, which may have to wait.
                    await self._until_grants_change(until)
                if not await self._next_outcome(until):
                    return False
                if not self.store_answers:
                    return False
                if self.is_hopeless(account, tokens):
                    return False
            return True
        finally:
            share.waiting -= tokens

    async def cover_own(self, account: str, tokens: int, until: float) -> None:
        """Wait until the line covers tokens of the present grant."""
        share = self.ledger.share(account)
        tokens = min(tokens, share.headroom)
        if tokens > 0:
            await self.cover(account, tokens, until)

    async def close(self, until: float) -> bool:
        """Give back what is not used; return whether the store was told."""
        ledger = self.ledger
        ledger.is_closing = True
        while not ledger.fenced and any(
            share.headroom for share in ledger.shares_by_account.values()
        ):
            if not await self._next_outcome(until) or not self.store_answers:
                log_event("budgets not given back", store_answers=self.store_answers)
                return False
        log_event("budgets given back", accounts=len(ledger.shares_by_account))
        return True

    async def _next_outcome(self, until: float) -> bool:
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

    async def _until_grants_change(self, until: float) -> None:
        now = steady_seconds()
        await asyncio.sleep(max(min(self._grant_pause.until, until) - now, 0.0))

    def is_hopeless(self, account: str, tokens: int) -> bool:
        """Return whether a write can no longer bring the tokens."""
        share = self.ledger.share(account)
        return share.headroom + self.ledger.free(account) < tokens

    async def _run(self) -> None:
        while not await self._open():
            await asyncio.sleep(RETRY_SECONDS)
        await self._settled.wait()
        await self._before_first_write()
        while True:
            if not await self._wait():
                continue
            if self.ledger.prepaid_by_account:
                self.settle_homes()
                await self._write()
            if self._failures:
                await asyncio.sleep(RETRY_SECONDS)

    async def _wait(self) -> bool:
        """Wait for use to be written down, or for something that cannot wait.

        Returns
        -------
        bool
            Whether there is something to write.
        """
        try:
            async with asyncio.timeout(IDLE_SECONDS):
                await self._stirred.wait()
        except TimeoutError:
            now = steady_seconds()
            if now - self._looked_at > TEND_SECONDS and self.ledger.is_wanting(now):
                self._is_look_due = True
            # A home that has spent all would not learn that the store is back, and
            # would go on refusing what it could be granted.
            return self.ledger.holds_anything or self._failures > 0
        try:
            async with asyncio.timeout(REFRESH_SECONDS):
                await self._wanted.wait()
        except TimeoutError:
            # The usual case: some use, and nothing that waits for it.
            pass
        self._stirred.clear()
        self._wanted.clear()
        return True

    async def _open(self) -> bool:
        """Take over what an earlier run on this VM has left."""
        try:
            totals = await self._store.scan(TOTALS_TABLE)
            holders = await self._store.scan(HOLDERS_TABLE, part=self.ledger.store_part)
        except StoreUnavailable as error:
            log_event("budgets not read yet", reason=str(error))
            return False
        own = None
        for row in holders.rows:
            if row.id.key == self.ledger.vm:
                own = row
        self.ledger.update_totals(totals.rows)
        ended_ms = self._store.clock.latest_ms(self._started_at)
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
        if not await self._look():
            return
        now = steady_seconds()
        with_grants = ledger.is_closing or self._grant_pause.is_over(now)
        plan = ledger.plan(now_ms=self.now_ms(), now=now, with_grants=with_grants)
        self._writing_since = now
        try:
            outcome = await self._store.write(plan.write)
        except StoreUnavailable as error:
            ledger.record_write_failed()
            self._note_failure(error)
        except OutcomeUnknown as error:
            ledger.unsure()
            self._note_failure(error)
        except BaseException:
            ledger.unsure()
            raise
        else:
            self._learn(plan, outcome)
        finally:
            self._writing_since = None
            self._wake()

    def _learn(self, plan: Plan, outcome: Outcome) -> None:
        ledger = self.ledger
        self._note_answer()
        if not ledger.apply_outcome(outcome):
            # Another router's write came first; what it changed is known now.
            self._put_grants_off()
            self.request_write()
        elif plan.totals_by_account:
            self._grant_pause.note_changed()
            log_event(
                "grants changed",
                sequence=plan.row.sequence,
                granted_by_account={
                    account: plan.row.terms_by_account[account].granted
                    for account in plan.totals_by_account
                },
            )
        if ledger.fenced:
            log_event("fenced: another process of this VM holds the budgets")

    def _put_grants_off(self) -> None:
        """Let others change grants first; lines are written meanwhile."""
        seconds = self._grant_pause.begin(steady_seconds())
        asyncio.get_running_loop().call_later(seconds, self.request_write)

    async def _look(self) -> bool:
        """Read the divisions again where that is due.

        It is where a request needs more than is known to be free, and after
        the store gave no answer: what is planned for a store that is away only
        binds the ledger closer.

        Returns
        -------
        bool
            Whether the store is there.
        """
        now = steady_seconds()
        is_due = self._is_short() and now - self._looked_at >= LOOK_SECONDS
        if not (is_due or self._is_look_due or self._failures):
            return True
        self._is_look_due = False
        self._looked_at = now
        try:
            totals = await self._store.scan(TOTALS_TABLE)
        except StoreUnavailable as error:
            self._note_failure(error)
            self._wake()
            return False
        self.ledger.update_totals(totals.rows)
        return True

    def _is_short(self) -> bool:
        for account, share in self.ledger.shares_by_account.items():
            if share.waiting and self.is_hopeless(account, share.waiting):
                return True
        return False

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _note_failure(self, error: Exception) -> None:
        self._failures += 1
        if self._failures == 1:
            log_event("budgets not written", reason=str(error))

    def _note_answer(self) -> None:
        if self._failures:
            log_event("budgets written again", failures=self._failures)
        self._failures = 0

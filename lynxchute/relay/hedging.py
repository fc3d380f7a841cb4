"""Hedge slow calls that are safe to repeat by sending them to a second upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import attrs

from lynxchute.relay.answer import UpstreamResponse
from lynxchute.relay.attempts import Attempt, Discard, cancel_attempt
from lynxchute.relay.chooser import Chooser, no_answer_refusal
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.hedge_rules import (
    HEDGE_BUDGET_SHARE,
    HEDGE_QUANTILE,
    allows_hedge,
    hedge_delay,
)
from lynxchute.relay.refusal import Refusal, RunStatus
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.expected_finish import UpstreamState
from lynxchute.upstreams.placement import Choice
from lynxchute.upstreams.retry_budget import RetryBudget
from lynxchute.upstreams.service_times import ServiceTimes

SERVER_ERROR = 500
# Event loop lag from which a call may be slow because of this router: a share of the
# hedge delay, and at least some seconds. Ordinary timers are late by less.
MAX_LAG_SHARE = 0.25
MIN_LAG_SECONDS = 0.005
# Times that a hedge is postponed because of lag. A connection needs three iterations of
# the event loop until it can be used, and a response one more.
MAX_POSTPONEMENTS = 4


async def _is_marked() -> None:
    """Do nothing, as for a budget without reserve."""


@attrs.define(eq=False)
class _Race:
    """State of one call and its sends.

    Attributes
    ----------
    choice, hedge
        Upstreams of the first send and of the hedge; hedge is None if not hedged.
    failure
        Error response to forward if no better one arrives.
    refusal
        Refusal of a send that was no longer allowed.
    """

    exchange: Exchange
    choice: Choice
    hedge: Choice | None = None
    failure: UpstreamResponse | None = None
    refusal: Refusal | None = None

    def outcome(self, answer: UpstreamResponse | None) -> str:
        """Return the outcome of the hedge as a label for metrics and logs."""
        if answer is None:
            return "failed"
        assert self.hedge is not None
        return "won" if answer.entry is self.hedge.entry else "lost"


class Hedger:
    """Races two sends of a call and returns the first successful response.

    This is for calls whose callers wait only tenths of a second, and need the response
    within the latency objective, while an upstream becomes slow or stops responding.
    Hedges must never add to an overload, so they are limited by the retry budget, by
    the route's number of attempts and by the number of busy upstreams.

    Parameters
    ----------
    chooser
        Chooses the second upstream.
    directory
        Known upstreams.
    times
        Latencies of recent calls.
    retries
        Retry budget that hedges share with all other repeated sends.
    state_of
        Returns the state of an upstream at a given time.
    metrics
        Counts hedges by outcome.
    clock
        Steady clock in seconds.
    ensure_retry_mark
        Tells processes that follow of retries, which more than a reserve needs.
    """

    def __init__(
        self,
        chooser: Chooser,
        directory: Directory,
        times: ServiceTimes,
        retries: RetryBudget,
        state_of: Callable[[UpstreamEntry, float], UpstreamState],
        metrics: Metrics,
        clock: Callable[[], float],
        ensure_retry_mark: Callable[[], Awaitable[None]] = _is_marked,
    ) -> None:
        self._ensure_retry_mark = ensure_retry_mark
        self._chooser = chooser
        self._directory = directory
        self._times = times
        self._retries = retries
        self._state_of = state_of
        self._metrics = metrics
        self._clock = clock
        self._open_by_service: dict[str, int] = {}

    def may_hedge(self, exchange: Exchange) -> bool:
        """Return whether the type and route of a call allow two concurrent sends."""
        if exchange.call.generation is not None or not exchange.route.is_repeatable:
            return False
        return exchange.sends + 2 <= exchange.route.max_attempts

    async def send(
        self,
        exchange: Exchange,
        choice: Choice,
        attempt: Attempt,
        discard: Discard,
    ) -> UpstreamResponse | None:
        """Return the first successful response, or None if neither upstream responded.

        Parameters
        ----------
        attempt
            Sends the call once.
        discard
            Closes a response that is not needed.

        Raises
        ------
        Refusal
            If a send was refused and the other one gave no response.
        """
        race = _Race(exchange, choice)
        tasks = [asyncio.ensure_future(attempt(exchange, choice))]
        answer = None
        outcome = "left"
        try:
            await self._wait_until_slow(race, tasks)
            if not tasks[0].done():
                tasks.append(asyncio.ensure_future(self._send_hedge(race, attempt)))
            answer = await self._first_success(race, tasks)
            if race.hedge is not None:
                outcome = race.outcome(answer)
            return answer
        finally:
            for task in tasks:
                cancel_attempt(task, discard, used=answer)
            if race.hedge is not None:
                self._record_end(race, outcome)

    async def _wait_until_slow(
        self, race: _Race, tasks: Sequence[asyncio.Future[UpstreamResponse | None]]
    ) -> None:
        """Wait until the first send ends or its hedge delay has passed."""
        exchange = race.exchange
        delay = self._hedge_delay(exchange, race.choice.entry)
        sends, started_at = exchange.sends, self._clock()
        left = delay
        postponements = 0
        while True:
            woken_at = self._clock() + (left or 0.0)
            await asyncio.wait(tasks, timeout=left)
            if tasks[0].done() or delay is None:
                return
            now = self._clock()
            lag = now - woken_at
            is_late = lag > max(delay * MAX_LAG_SHARE, MIN_LAG_SECONDS)
            if is_late and postponements < MAX_POSTPONEMENTS:
                # Connections and responses that are ready by now are handled in the
                # next iterations of the event loop.
                postponements += 1
                left = min(lag, delay)
                continue
            # Time after the first byte was sent is spent at the upstream. Time before
            # that may be lag of this router, so twice the delay is allowed until the
            # byte is sent.
            is_sent = exchange.sends > sends
            hedge_at = exchange.sent_at + delay if is_sent else started_at + 2 * delay
            if now >= hedge_at:
                return
            left = hedge_at - now

    def _hedge_delay(self, exchange: Exchange, entry: UpstreamEntry) -> float | None:
        """Return the seconds after which a call is hedged, or None for never."""
        return hedge_delay(
            self._times.latency_quantile(entry.upstream.id, HEDGE_QUANTILE),
            self._times.median_latency(exchange.service, exchange.route.name),
            exchange.route.latency_objective,
        )

    async def _send_hedge(
        self, race: _Race, attempt: Attempt
    ) -> UpstreamResponse | None:
        """Send a call to a second upstream if the limits on hedges permit it."""
        exchange = race.exchange
        hedge, reason = await self._choose_hedge(race)
        if hedge is None:
            self._metrics.hedges.inc(reason)
            return None
        race.hedge = hedge
        service = exchange.service
        states = self._states(service)
        open_hedges = self._open_by_service.get(service, 0)
        self._open_by_service[service] = open_hedges + 1
        log_event(
            "hedge sent",
            request_id=exchange.call.request_id,
            slow_upstream=race.choice.entry.upstream.id,
            upstream=hedge.entry.upstream.id,
            waited_s=round(self._clock() - exchange.sent_at, 3),
            open_hedges=open_hedges,
            open_sends=sum(state.open_requests for state in states),
            busy_upstreams=sum(state.is_busy for state in states),
            upstreams=len(states),
        )
        answer = await attempt(exchange, hedge)
        if answer is None:
            exchange.tried.add(hedge.entry.upstream.id)
        return answer

    async def _choose_hedge(self, race: _Race) -> tuple[Choice | None, str]:
        """Return the second upstream and an empty string, or None and the reason."""
        exchange = race.exchange
        if not self._has_capacity(exchange.service):
            return None, "busy"
        exchange.tried.add(race.choice.entry.upstream.id)
        await self._ensure_retry_mark()
        try:
            hedge = await self._chooser.choose(exchange)
        except Refusal:
            # The first send is still open and may get a response.
            return None, "no upstream"
        if exchange.begun is not None:
            return None, "sent elsewhere"
        now = self._clock()
        if self._state_of(hedge.entry, now).is_busy:
            return None, "busy"
        if not exchange.has_retry_permit:
            exchange.has_retry_permit = self._retries.permit(
                exchange.service, now, used_share=HEDGE_BUDGET_SHARE
            )
        if not exchange.has_retry_permit:
            return None, "no budget"
        return hedge, ""

    def _has_capacity(self, service: str) -> bool:
        open_hedges = self._open_by_service.get(service, 0)
        return allows_hedge(self._states(service), open_hedges)

    def _states(self, service: str) -> list[UpstreamState]:
        now = self._clock()
        entries = self._directory.available(service, now)
        return [self._state_of(entry, now) for entry in entries]

    async def _first_success(
        self, race: _Race, tasks: Sequence[asyncio.Future[UpstreamResponse | None]]
    ) -> UpstreamResponse | None:
        """Return the first successful response, else an error response, else None."""
        pending = set(tasks)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in tasks:
                if task not in done:
                    continue
                answer = _result(race, task)
                if answer is None:
                    continue
                if answer.response.status < SERVER_ERROR:
                    return answer
                if race.failure is None:
                    race.failure = answer
        if race.failure is not None:
            return race.failure
        if race.refusal is None:
            return None
        if race.exchange.run_status is RunStatus.NOT_RUN:
            raise race.refusal
        # The other send may have run after this refusal was raised.
        raise no_answer_refusal(race.exchange, self._clock())

    def _record_end(self, race: _Race, outcome: str) -> None:
        self._open_by_service[race.exchange.service] -= 1
        self._metrics.hedges.inc(outcome)
        log_event(
            "hedge ended",
            request_id=race.exchange.call.request_id,
            outcome=outcome,
            run=race.exchange.run_status.value,
        )


def _result(
    race: _Race, task: asyncio.Future[UpstreamResponse | None]
) -> UpstreamResponse | None:
    try:
        return task.result()
    except Refusal as refusal:
        race.refusal = refusal
        return None

"""Send a call that may be repeated to a second upstream where the first is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import attrs

from lynxchute.relay.answer import Answer
from lynxchute.relay.chooser import Chooser, nothing_answered
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.hedge_rules import BUDGET_SHARE, QUANTILE, has_room, hedge_delay
from lynxchute.relay.refusal import Refusal, RunStatus
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.expected_finish import UpstreamState
from lynxchute.upstreams.placement import Choice
from lynxchute.upstreams.retry_budget import RetryBudget
from lynxchute.upstreams.service_times import ServiceTimes

SERVER_ERROR = 500

Attempt = Callable[[Exchange, Choice], Awaitable[Answer | None]]


@attrs.define(eq=False)
class _Race:
    """One call and what has come of its sends.

    Attributes
    ----------
    choice, hedge
        Where it was sent first, and where it was hedged; None where it was not.
    failure
        An answer that says that its upstream failed, to be passed on if no better one
        comes.
    refusal
        What a send that must not be made any more ended with.
    """

    exchange: Exchange
    choice: Choice
    hedge: Choice | None = None
    failure: Answer | None = None
    refusal: Refusal | None = None

    def outcome(self, answer: Answer | None) -> str:
        """Return in a word what came of the hedge."""
        if answer is None:
            return "failed"
        assert self.hedge is not None
        return "won" if answer.entry is self.hedge.entry else "lost"


class Hedger:
    """Race two sends of a call; the first good answer counts.

    It answers an upstream that turns slow, or says nothing more, for calls whose caller
    waits for tenths of a second. Callers need the answer within the objective; the
    upstreams need that hedges never add to an overload, so that they are bounded by the
    retry budget, by the route's attempts and by how many upstreams are busy.

    Parameters
    ----------
    chooser
        Chooses the second upstream.
    directory
        The upstreams.
    times
        What calls take.
    retries
        Bounds hedges with all other repeated sends.
    state_of
        Returns what is known of an upstream at a moment.
    metrics
        Where hedges are counted.
    clock
        Seconds on the loop's clock.
    """

    def __init__(
        self,
        chooser: Chooser,
        directory: Directory,
        times: ServiceTimes,
        retries: RetryBudget,
        state_of: Callable[[Entry, float], UpstreamState],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._chooser = chooser
        self._directory = directory
        self._times = times
        self._retries = retries
        self._state_of = state_of
        self._metrics = metrics
        self._clock = clock
        self._open_by_service: dict[str, int] = {}

    def may_hedge(self, exchange: Exchange) -> bool:
        """Return whether a call may be sent twice at once, by what it is."""
        if exchange.call.generation is not None or not exchange.route.is_repeatable:
            return False
        return exchange.sends + 2 <= exchange.route.max_attempts

    async def send(
        self,
        exchange: Exchange,
        choice: Choice,
        attempt: Attempt,
        drop: Callable[[Answer], None],
    ) -> Answer | None:
        """Return the first good answer; None where neither upstream gave one.

        Parameters
        ----------
        attempt
            Sends once.
        drop
            Gives up an answer that nobody reads.

        Raises
        ------
        Refusal
            As one send does, where nothing else came of either.
        """
        race = _Race(exchange, choice)
        tasks = [asyncio.ensure_future(attempt(exchange, choice))]
        answer = None
        outcome = "left"
        try:
            await self._wait(race, tasks)
            if not tasks[0].done():
                tasks.append(asyncio.ensure_future(self._hedge(race, attempt)))
            answer = await self._first_good(race, tasks)
            if race.hedge is not None:
                outcome = race.outcome(answer)
            return answer
        finally:
            for task in tasks:
                _leave(task, answer, drop)
            if race.hedge is not None:
                self._note_ended(race, outcome)

    async def _wait(
        self, race: _Race, tasks: Sequence[asyncio.Future[Answer | None]]
    ) -> None:
        """Wait for the first send's end, or until it is slow."""
        exchange = race.exchange
        delay = self._delay(exchange, race.choice.entry)
        sends, begun_at = exchange.sends, self._clock()
        left = delay
        while True:
            await asyncio.wait(tasks, timeout=left)
            if tasks[0].done() or delay is None:
                return
            now = self._clock()
            # The time from its first byte on is the upstream's; before that it may be
            # this router that is late.
            is_sent = exchange.sends > sends
            due = exchange.sent_at + delay if is_sent else begun_at + 2 * delay
            if now >= due:
                return
            left = due - now

    def _delay(self, exchange: Exchange, entry: Entry) -> float | None:
        """Return after how many seconds a call is hedged; None for never."""
        return hedge_delay(
            self._times.latency_quantile(entry.upstream.id, QUANTILE),
            self._times.median_latency(exchange.service, exchange.route.name),
            exchange.route.latency_objective,
        )

    async def _hedge(self, race: _Race, attempt: Attempt) -> Answer | None:
        """Send a call to a second upstream, if that is permitted."""
        exchange = race.exchange
        hedge, reason = await self._choose(race)
        if hedge is None:
            self._metrics.hedges.inc(reason)
            return None
        race.hedge = hedge
        service = exchange.service
        self._open_by_service[service] = self._open_by_service.get(service, 0) + 1
        log_event(
            "hedge sent",
            request_id=exchange.call.request_id,
            slow_upstream=race.choice.entry.upstream.id,
            upstream=hedge.entry.upstream.id,
        )
        answer = await attempt(exchange, hedge)
        if answer is None:
            exchange.tried.add(hedge.entry.upstream.id)
        return answer

    async def _choose(self, race: _Race) -> tuple[Choice | None, str]:
        """Return the second upstream, or None and why there is none."""
        exchange = race.exchange
        if not self._has_room(exchange.service):
            return None, "busy"
        exchange.tried.add(race.choice.entry.upstream.id)
        try:
            hedge = await self._chooser.choose(exchange)
        except Refusal:
            # The first send is still open and may be answered.
            return None, "no upstream"
        now = self._clock()
        if self._state_of(hedge.entry, now).is_busy:
            return None, "busy"
        if not self._retries.spend(exchange.service, now, used_share=BUDGET_SHARE):
            return None, "no budget"
        return hedge, ""

    def _has_room(self, service: str) -> bool:
        now = self._clock()
        entries = self._directory.available(service, now)
        states = [self._state_of(entry, now) for entry in entries]
        return has_room(states, self._open_by_service.get(service, 0))

    async def _first_good(
        self, race: _Race, tasks: Sequence[asyncio.Future[Answer | None]]
    ) -> Answer | None:
        """Return the first answer that is no failure, or the last resort."""
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
        if race.exchange.run is RunStatus.NOT_RUN:
            raise race.refusal
        # The other send may have run since that refusal was made.
        raise nothing_answered(race.exchange, self._clock())

    def _note_ended(self, race: _Race, outcome: str) -> None:
        self._open_by_service[race.exchange.service] -= 1
        self._metrics.hedges.inc(outcome)
        log_event(
            "hedge ended",
            request_id=race.exchange.call.request_id,
            outcome=outcome,
            run=race.exchange.run.value,
        )


def _result(race: _Race, task: asyncio.Future[Answer | None]) -> Answer | None:
    try:
        return task.result()
    except Refusal as refusal:
        race.refusal = refusal
        return None


def _leave(
    task: asyncio.Future[Answer | None],
    answer: Answer | None,
    drop: Callable[[Answer], None],
) -> None:
    """Break off what a task still does, and give up an answer that nobody reads."""

    def give_up(ended: asyncio.Future[Answer | None]) -> None:
        if ended.cancelled() or ended.exception() is not None:
            return
        unread = ended.result()
        if unread is not None and unread is not answer:
            drop(unread)

    if not task.done():
        task.cancel()
        task.add_done_callback(give_up)
    else:
        give_up(task)

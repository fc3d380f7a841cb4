"""Choose the upstream for a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs

from lynxchute.overload.claim import AdmissionPending, AdmissionRefused
from lynxchute.overload.ticket_queue import MOST_RETRY_SHARE
from lynxchute.reachability import Reachability
from lynxchute.relay.exchange import MIN_RETRY_AFTER, Exchange
from lynxchute.relay.load import RouterLoad
from lynxchute.relay.refusal import Reason, Refusal, RunStatus
from lynxchute.relay.wait import QueueWaitLog
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.send_gate import SendGate

# Share of the latency objective that a request may wait for an upstream to become
# available. A caller that is refused within a quarter of the objective can still be
# served in time by a retry.
MAX_WAIT_SHARE = 0.2


class Chooser:
    """Selects an upstream for each exchange, or refuses the exchange.

    Parameters
    ----------
    directory
        Known upstreams.
    neighbourhood
        Limits which upstreams of a large service are considered for a generation.
    generations, plain
        Placement for model engines and for all other upstreams.
    reachability
        Reports which data centres can be reached.
    gate
        Reports which upstreams must not get new requests.
    load
        Reports whether this router itself is lagging.
    clock
        Steady clock in seconds.
    may_wait
        Whether generations queue for admission when all engines are full.
    has_path
        Returns whether the upstream at an address may be reached in any way.
    """

    def __init__(
        self,
        directory: Directory,
        neighbourhood: Neighbourhood,
        generations: Placement,
        plain: Placement,
        reachability: Reachability,
        gate: SendGate,
        load: RouterLoad,
        clock: Callable[[], float],
        *,
        may_wait: bool = False,
        has_path: Callable[[str], bool] = lambda address: True,
    ) -> None:
        self._directory = directory
        self._has_path = has_path
        self._generations = generations
        self._plain = plain
        self._reachability = reachability
        self._gate = gate
        self._load = load
        self._neighbourhood = neighbourhood
        self._clock = clock
        self._may_wait = may_wait
        self._changed = asyncio.Event()
        directory.listeners.append(self.wake_waiters)

    def wake_waiters(self) -> None:
        """Let requests that wait for an upstream choose again."""
        self._changed.set()

    async def choose(self, exchange: Exchange) -> Choice:
        """Return the upstream for an exchange, waiting briefly for one if needed.

        Raises
        ------
        Refusal
            If no upstream is available, or all would respond too late.
        """
        wait_limit = exchange.route.latency_objective * MAX_WAIT_SHARE
        wait_until = min(self._clock() + wait_limit, exchange.deadline)
        wait = QueueWaitLog(exchange, self._clock())
        # Another send of the request may fail meanwhile, which changes the next run id.
        run_id = exchange.run_id
        try:
            return await self._choose_or_wait(exchange, run_id, wait_until, wait)
        except BaseException:
            if wait.has_waited:
                # Leave the admission queue, also if the caller has disconnected.
                self._generations.record_end(run_id, "", failed=False)
            raise

    async def _choose_or_wait(
        self, exchange: Exchange, run_id: str, wait_until: float, wait: QueueWaitLog
    ) -> Choice:
        while True:
            try:
                choice = await self._choose_now(exchange, run_id)
            except AdmissionPending as pending:
                wait.record_queued(pending)
                await asyncio.sleep(pending.seconds)
                continue
            except AdmissionRefused as error:
                raise self._queue_refusal(wait, error) from None
            if choice is not None:
                wait.record_assigned(self._clock())
                self._check_load(exchange, choice)
                return choice
            self._changed.clear()
            try:
                async with asyncio.timeout_at(wait_until):
                    await self._changed.wait()
            except TimeoutError:
                raise no_answer_refusal(exchange, self._clock()) from None

    def _queue_refusal(self, wait: QueueWaitLog, error: AdmissionRefused) -> Refusal:
        """Return the refusal for a request that would be admitted too late."""
        now = self._clock()
        wait.record_refused(error.retry_after, now)
        title = "All engines are full for longer than the caller waits."
        delay = max(error.retry_after, MIN_RETRY_AFTER)
        return wait.exchange.refuse(Reason.OVERLOADED, title, now, retry_after=delay)

    def _check_load(self, exchange: Exchange, choice: Choice) -> None:
        """Refuse a request whose response would begin after its caller has left.

        The engine would otherwise process the prompt for nothing.
        """
        if choice.expected_seconds <= exchange.max_wait:
            return
        if choice.is_placed_alone and self._load.has_lagged():
            # A lagging router measures engines as slow, so the estimate only reflects
            # its own delay.
            return
        self._generations.release(choice)
        log_event(
            "engines overloaded",
            request_id=exchange.call.request_id,
            expected_s=round(choice.expected_seconds, 3),
            longest_wait_s=exchange.max_wait,
        )
        title = "All engines are busy for longer than a caller waits."
        now = self._clock()
        delay = (
            self._busy_retry_after(exchange, choice, now) if self._may_wait else None
        )
        raise exchange.refuse(Reason.OVERLOADED, title, now, retry_after=delay)

    def _busy_retry_after(
        self, exchange: Exchange, choice: Choice, now: float
    ) -> float:
        """Return the seconds after which a retry would be answered in time."""
        busy_delay = choice.expected_seconds - exchange.max_wait
        remaining = max(exchange.deadline - now, 0.0)
        default_delay = exchange.retry_after(now, Reason.OVERLOADED)
        return max(min(busy_delay, MOST_RETRY_SHARE * remaining), default_delay)

    async def _choose_now(self, exchange: Exchange, run_id: str) -> Choice | None:
        now = self._clock()
        considered = self._candidates(exchange, run_id, now)
        if considered and all(e.backpressure.is_backing_off(now) for e in considered):
            raise self._backing_off_refusal(exchange, considered, now)
        if considered and not any(
            self._has_path(entry.upstream.address) for entry in considered
        ):
            title = "No router reaches an upstream that serves this. Send it again."
            raise no_answer_refusal(exchange, now, title=title)
        excluded = exchange.excluded
        eligible = [e for e in considered if e.upstream.id not in excluded]
        eligible = [e for e in eligible if not e.backpressure.is_backing_off(now)]
        if not eligible and exchange.limited_rate is not None:
            raise self._throttled_refusal(exchange, exchange.limited_rate, now)
        if not eligible:
            return None
        eligible = [e for e in eligible if not self._gate.is_evacuated(e.upstream)]
        if not eligible:
            raise self._evacuated_refusal(exchange, now)
        eligible = [entry for entry in eligible if self._gate.has_room(entry, now)]
        if not eligible:
            return None
        unpaused = [entry for entry in eligible if not entry.health.is_paused(now)]
        reachable = [entry for entry in unpaused if self._is_reachable(entry)]
        # If all upstreams are paused after failures, the one whose pause ends first is
        # a better choice than a refusal.
        candidates = (
            reachable
            or unpaused
            or [min(eligible, key=lambda e: e.health.paused_until)]
        )
        generation = exchange.call.generation
        placement = self._generations if generation is not None else self._plain
        aims = exchange.aims(now)
        if self._may_wait and generation is not None:
            aims = attrs.evolve(aims, claim=exchange.claim(now))
        if generation is not None:
            generation = exchange.constrained(generation)
        choice = await placement.choose(run_id, generation, candidates, aims)
        if choice is None:
            raise self._no_capacity_refusal(exchange, candidates)
        return attrs.evolve(choice, run_id=run_id)

    def _candidates(
        self, exchange: Exchange, run_id: str, now: float
    ) -> list[UpstreamEntry]:
        """Return the upstreams to consider for an exchange."""
        generation, version = exchange.call.generation, exchange.software_version
        if generation is None:
            available = self._directory.available(exchange.service, now)
            found = [entry for entry in available if entry.upstream.may_run(version)]
        else:
            key = generation.affinity_key(run_id)
            found = self._neighbourhood.entries(
                exchange.service, key, now, software_version=version
            )
        if not found and version is not None:
            raise self._version_gone_refusal(exchange, now)
        return found

    def _version_gone_refusal(self, exchange: Exchange, now: float) -> Refusal:
        """Return the refusal for a stream whose software version serves no more."""
        title = (
            f"No upstream of {exchange.service} has the software version that began "
            f"this stream, {exchange.software_version}. Begin the stream anew."
        )
        if exchange.run_status is RunStatus.NOT_RUN:
            return Refusal(Reason.VERSION_GONE, title)
        return exchange.refuse(Reason.VERSION_GONE, title, now)

    def _evacuated_refusal(self, exchange: Exchange, now: float) -> Refusal:
        """Return the refusal for a service whose data centres are all evacuated.

        They stay evacuated until an operator changes that, so waiting is pointless.
        """
        title = (
            f"The data centres that serve {exchange.service} are evacuated, or have "
            "been tried. Send it again later."
        )
        return exchange.refuse(Reason.EVACUATED, title, now)

    def _backing_off_refusal(
        self, exchange: Exchange, backing_off: Sequence[UpstreamEntry], now: float
    ) -> Refusal:
        """Return the refusal for when every upstream has asked this router to back off.

        Another router may still be allowed to send, so the retry delay is no longer
        than usual.
        """
        remaining = min(entry.backpressure.backoff_until for entry in backing_off) - now
        title = (
            "All upstreams that serve this have turned this router away for a while."
        )
        delay = min(
            max(remaining, MIN_RETRY_AFTER), exchange.retry_after(now, Reason.BACKOFF)
        )
        return exchange.refuse(Reason.BACKOFF, title, now, retry_after=delay)

    def _no_capacity_refusal(
        self, exchange: Exchange, candidates: Sequence[UpstreamEntry]
    ) -> Refusal:
        now = self._clock()
        rates = [entry.backpressure.rate(now) for entry in candidates]
        known_rates = [rate for rate in rates if rate is not None]
        if known_rates:
            return self._throttled_refusal(exchange, sum(known_rates), now)
        return self._cold_refusal(exchange, candidates)

    def _throttled_refusal(
        self, exchange: Exchange, rate: float, now: float
    ) -> Refusal:
        """Return the refusal for upstreams that are all at their declared limit."""
        title = (
            f"All upstreams that serve {exchange.service} are throttled and take "
            f"{rate:g} requests a second together. Send it again later."
        )
        # The next request fits after 1 / rate seconds. At a rate of 0 the delay is
        # unknown.
        delay = max(1.0 / rate, MIN_RETRY_AFTER) if rate > 0 else None
        return exchange.refuse(Reason.LIMITED, title, now, retry_after=delay)

    def _cold_refusal(
        self, exchange: Exchange, candidates: Sequence[UpstreamEntry]
    ) -> Refusal:
        """Return the refusal for when all upstreams are cold and at their limit."""
        now = self._clock()
        remaining = min(entry.cold_until for entry in candidates) - now
        default_delay = exchange.retry_after(now, Reason.COLD)
        title = "All upstreams that serve this have just started. Send it again soon."
        # If the scheduling router knows them as cold and this router does not, the
        # remaining time is unknown.
        delay = (
            min(max(remaining, MIN_RETRY_AFTER), default_delay)
            if remaining > 0
            else default_delay
        )
        return exchange.refuse(Reason.COLD, title, now, retry_after=delay)

    def _is_reachable(self, entry: UpstreamEntry) -> bool:
        return not self._reachability.is_unreachable(entry.upstream.data_centre)


def no_answer_refusal(exchange: Exchange, now: float, *, title: str = "") -> Refusal:
    """Return the refusal for an exchange that no upstream answered.

    Parameters
    ----------
    title
        One sentence on the cause; empty if nothing more is known.
    """
    if exchange.run_status is RunStatus.NOT_RUN:
        reason = Reason.DECLINED if exchange.sends else Reason.NO_UPSTREAM
        title = title or "No upstream could take the request. Send it again."
        return exchange.refuse(reason, title, now)
    title = title or "The upstream gave no whole answer; the request may have run."
    return exchange.refuse(Reason.BROKEN, title, now)

"""Choose the upstream that a request is sent to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

import attrs

from lynxchute.overload.claim import AdmissionPending, AdmissionRefused
from lynxchute.overload.ticket_queue import MOST_RETRY_SHARE
from lynxchute.reachability import Reachability
from lynxchute.relay.exchange import MIN_RETRY_AFTER, Exchange
from lynxchute.relay.load import RouterLoad
from lynxchute.relay.refusal import Reason, Refusal, RunStatus
from lynxchute.relay.wait import Wait
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.neighbourhood import Neighbourhood
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.send_gate import SendGate

# Share of the latency objective that a request waits for an upstream: a
# refusal that comes within a quarter of it can still be made good.
WAIT_SHARE = 0.2


class Chooser:
    """Choose upstreams for exchanges, or refuse what none can take.

    Parameters
    ----------
    directory
        The upstreams.
    neighbourhood
        Says which of many upstreams are looked at for a generation.
    generations, plain
        Choose among model engines, and among other upstreams.
    reachability
        Which data centres can be reached.
    gate
        Which upstreams get nothing new.
    load
        Tells whether this router itself is late.
    clock
        Seconds on the loop's clock.
    may_wait
        Whether generations wait for their turn where all engines are full.
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
    ) -> None:
        self._directory = directory
        self._generations = generations
        self._plain = plain
        self._reachability = reachability
        self._gate = gate
        self._load = load
        self._neighbourhood = neighbourhood
        self._clock = clock
        self._may_wait = may_wait
        self._changed = asyncio.Event()
        directory.listeners.append(self._note_change)

    async def choose(self, exchange: Exchange) -> Choice:
        """Return the upstream for an exchange, which may wait a little for one.

        Raises
        ------
        Refusal
            Where there is none, or all would answer too late.
        """
        patience = exchange.route.latency_objective * WAIT_SHARE
        until = min(self._clock() + patience, exchange.ends_at)
        wait = Wait(exchange, self._clock())
        try:
            return await self._choose(exchange, until, wait)
        except BaseException:
            if wait.has_waited:
                # Its turn is given up, also where its caller has left.
                self._generations.record_end(exchange.run_id, "", failed=False)
            raise

    async def _choose(self, exchange: Exchange, until: float, wait: Wait) -> Choice:
        while True:
            try:
                choice = await self._find(exchange)
            except AdmissionPending as turn:
                wait.note(turn)
                await asyncio.sleep(turn.seconds)
                continue
            except AdmissionRefused as error:
                raise self._no_turn(wait, error) from None
            if choice is not None:
                wait.note_placed(self._clock())
                self._check_load(exchange, choice)
                return choice
            self._changed.clear()
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                raise nothing_answered(exchange, self._clock()) from None

    def _no_turn(self, wait: Wait, error: AdmissionRefused) -> Refusal:
        """Refuse at once a request whose turn comes after its caller has left."""
        now = self._clock()
        wait.note_refused(error.retry_after, now)
        title = "All engines are full for longer than the caller waits."
        after = max(error.retry_after, MIN_RETRY_AFTER)
        return wait.exchange.refuse(Reason.OVERLOADED, title, now, retry_after=after)

    def _check_load(self, exchange: Exchange, choice: Choice) -> None:
        """Refuse a request at once whose answer would begin too late for anyone.

        Its caller would leave, and the engine would have read its prompt for
        nothing.
        """
        if choice.expected_seconds <= exchange.longest_wait:
            return
        if choice.is_placed_alone and self._load.has_lagged():
            # What it expects of engines then is its own lateness.
            return
        upstream_id = choice.entry.upstream.id
        self._generations.record_end(exchange.run_id, upstream_id, failed=False)
        log_event(
            "engines overloaded",
            request_id=exchange.call.request_id,
            expected_s=round(choice.expected_seconds, 3),
            longest_wait_s=exchange.longest_wait,
        )
        title = "All engines are busy for longer than a caller waits."
        now = self._clock()
        after = self._busy_for(exchange, choice, now) if self._may_wait else None
        raise exchange.refuse(Reason.OVERLOADED, title, now, retry_after=after)

    def _busy_for(self, exchange: Exchange, choice: Choice, now: float) -> float:
        """Return after how long an answer would begin while its caller waits."""
        busy = choice.expected_seconds - exchange.longest_wait
        left = max(exchange.ends_at - now, 0.0)
        usual = exchange.retry_after(now, Reason.OVERLOADED)
        return max(min(busy, MOST_RETRY_SHARE * left), usual)

    async def _find(self, exchange: Exchange) -> Choice | None:
        now = self._clock()
        neighbours = list(self._neighbours(exchange, now))
        if neighbours and all(e.backpressure.is_backing_off(now) for e in neighbours):
            raise self._all_backing_off(exchange, neighbours, now)
        known = [e for e in neighbours if e.upstream.id not in exchange.tried]
        known = [e for e in known if not e.backpressure.is_backing_off(now)]
        if not known and exchange.limited_rate is not None:
            raise self._all_limited(exchange, exchange.limited_rate, now)
        if not known:
            return None
        known = [e for e in known if not self._gate.is_evacuated(e.upstream)]
        if not known:
            raise self._all_evacuated(exchange, now)
        awake = [entry for entry in known if not entry.health.is_paused(now)]
        near = [entry for entry in awake if self._is_in_reach(entry)]
        # Where all are paused, the one that fails for the shortest time yet is
        # worth more than a refusal.
        candidates = near or awake or [min(known, key=lambda e: e.health.paused_until)]
        generation = exchange.call.generation
        placement = self._generations if generation is not None else self._plain
        aims = exchange.aims(now)
        if self._may_wait and generation is not None:
            aims = attrs.evolve(aims, claim=exchange.claim(now))
        choice = await placement.choose(exchange.run_id, generation, candidates, aims)
        if choice is None:
            raise self._none_takes_it(exchange, candidates)
        return choice

    def _neighbours(self, exchange: Exchange, now: float) -> Iterable[Entry]:
        """Return the upstreams that are looked at for an exchange."""
        generation = exchange.call.generation
        if generation is None:
            return self._directory.available(exchange.service, now)
        key = generation.affinity_key(exchange.run_id)
        return self._neighbourhood.entries(exchange.service, key, now)

    def _all_evacuated(self, exchange: Exchange, now: float) -> Refusal:
        """Refuse at once what no data centre takes, until an operator changes that."""
        title = (
            f"The data centres that serve {exchange.service} are evacuated, or have "
            "been tried. Send it again later."
        )
        return exchange.refuse(Reason.EVACUATED, title, now)

    def _all_backing_off(
        self, exchange: Exchange, backing_off: Sequence[Entry], now: float
    ) -> Refusal:
        """Refuse at once what this router may send to no upstream for a while.

        Another router may: so its caller is told to come back no later than usual.
        """
        left = min(entry.backpressure.backoff_until for entry in backing_off) - now
        title = (
            "All upstreams that serve this have turned this router away for a while."
        )
        wait = min(
            max(left, MIN_RETRY_AFTER), exchange.retry_after(now, Reason.BACKOFF)
        )
        return exchange.refuse(Reason.BACKOFF, title, now, retry_after=wait)

    def _none_takes_it(
        self, exchange: Exchange, candidates: Sequence[Entry]
    ) -> Refusal:
        now = self._clock()
        rates = [entry.backpressure.rate(now) for entry in candidates]
        named = [rate for rate in rates if rate is not None]
        if named:
            return self._all_limited(exchange, sum(named), now)
        return self._all_cold(exchange, candidates)

    def _all_limited(self, exchange: Exchange, rate: float, now: float) -> Refusal:
        """Refuse at once what no upstream takes within the rate that they name."""
        title = (
            f"All upstreams that serve {exchange.service} are throttled and take "
            f"{rate:g} requests a second together. Send it again later."
        )
        # One more is taken after so long; the time for none at all nobody knows.
        wait = max(1.0 / rate, MIN_RETRY_AFTER) if rate > 0 else None
        return exchange.refuse(Reason.LIMITED, title, now, retry_after=wait)

    def _all_cold(self, exchange: Exchange, candidates: Sequence[Entry]) -> Refusal:
        """Refuse at once what no upstream bears before one of them is warm."""
        now = self._clock()
        left = min(entry.cold_until for entry in candidates) - now
        usual = exchange.retry_after(now, Reason.COLD)
        title = "All upstreams that serve this have just started. Send it again soon."
        # Another router may know that they are cold, and this one not for how long.
        wait = min(max(left, MIN_RETRY_AFTER), usual) if left > 0 else usual
        return exchange.refuse(Reason.COLD, title, now, retry_after=wait)

    def _is_in_reach(self, entry: Entry) -> bool:
        return not self._reachability.is_cut(entry.upstream.data_centre)

    def _note_change(self) -> None:
        self._changed.set()


def nothing_answered(exchange: Exchange, now: float) -> Refusal:
    """Return the final answer where no upstream gave one."""
    if exchange.run is RunStatus.NOT_RUN:
        reason = Reason.DECLINED if exchange.sends else Reason.NO_UPSTREAM
        title = "No upstream could take the request. Send it again."
        return exchange.refuse(reason, title, now)
    title = "The upstream gave no whole answer; the request may have run."
    return exchange.refuse(Reason.BROKEN, title, now)

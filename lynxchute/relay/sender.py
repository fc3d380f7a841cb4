"""Send a request to upstreams until one of them answers."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.containment import Containment
from lynxchute.http import (
    AbortHandle,
    ClientPool,
    ExchangeFailed,
    Response,
    Timeouts,
)
from lynxchute.quarantine import Progress
from lynxchute.reachability import Reachability
from lynxchute.relay.answer import Answer, SendWithheld
from lynxchute.relay.chooser import Chooser, nothing_answered
from lynxchute.relay.dialect import Dialect, Dispatch, ResponseKind
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.hedging import Hedger
from lynxchute.relay.refusal import Reason, RunStatus
from lynxchute.relay.statement_reader import StatementReader
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.entry import Entry, OpenSend
from lynxchute.upstreams.health import SendOutcome
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.retry_budget import RetryBudget
from lynxchute.upstreams.send_gate import SendGate, WithheldReason
from lynxchute.upstreams.service_times import ServiceTimes

# A connection within a region comes about in a few ms; a SYN that is lost is
# repeated only after a second, so that another try is worth more.
CONNECT_TIMEOUT = 0.3
# A kept connection that was idle for longer may have been dropped by the
# upstream; the outcome of a request that meets its reset is unknown, which
# only a request that may run again can afford.
FRESH_WITHIN = 0.25
SERVER_ERROR = 500
UPSTREAM_TIMEOUTS = Timeouts(
    connect=CONNECT_TIMEOUT, first_byte=None, between_bytes=None, kept_idle=4.0
)


class Sender:
    """Send exchanges to upstreams, and again where that is allowed.

    Parameters
    ----------
    chooser
        Chooses the upstreams.
    dialect
        How to write a send and read an answer.
    clients
        Connections to the upstreams.
    retries
        How often requests may be sent again.
    generations
        Is told of the runs of model engines.
    metrics
        Where the ends of sends are counted.
    reachability
        Which data centres can be reached.
    containment
        Which requests end the upstreams that run them.
    gate
        Holds back what must not reach an upstream.
    statements
        Takes what upstreams state in their answers.
    clock
        Seconds on the loop's clock.
    times
        Learns how long plain calls take; None where nobody asks.
    hedger
        Sends slow calls to a second upstream; None where that is not wanted.
    """

    def __init__(
        self,
        chooser: Chooser,
        dialect: Dialect,
        clients: ClientPool,
        retries: RetryBudget,
        generations: Placement,
        metrics: Metrics,
        reachability: Reachability,
        containment: Containment,
        gate: SendGate,
        statements: StatementReader,
        clock: Callable[[], float],
        *,
        times: ServiceTimes | None = None,
        hedger: Hedger | None = None,
    ) -> None:
        self._chooser = chooser
        self._dialect = dialect
        self._clients = clients
        self._retries = retries
        self._generations = generations
        self._metrics = metrics
        self._reachability = reachability
        self._containment = containment
        self._gate = gate
        self._statements = statements
        self._clock = clock
        self._times = times
        self._hedger = hedger

    async def send(self, exchange: Exchange) -> Answer:
        """Return the first answer of an upstream to an exchange.

        Raises
        ------
        Refusal
            Where there is none to be had.
        """
        if not exchange.sends:
            self._retries.record_request(exchange.service, self._clock())
        while True:
            self.check_quarantine(exchange)
            choice = await self._chooser.choose(exchange)
            try:
                answer = await self._try_or_hedge(exchange, choice)
            except SendWithheld as error:
                # Nothing was sent: this is not one more send.
                self._note_withheld(exchange, choice, error.reason)
                continue
            if answer is not None:
                return answer
            exchange.tried.add(choice.entry.upstream.id)
            if exchange.sends and not self.may_send_again(exchange):
                raise nothing_answered(exchange, self._clock())

    async def _try_or_hedge(self, exchange: Exchange, choice: Choice) -> Answer | None:
        if self._hedger is None or not self._hedger.may_hedge(exchange):
            return await self._try(exchange, choice)
        return await self._hedger.send(
            exchange, choice, self._try_unless_withheld, self._drop
        )

    async def _try_unless_withheld(
        self, exchange: Exchange, choice: Choice
    ) -> Answer | None:
        # The first of two sends may have ended upstreams meanwhile.
        self.check_quarantine(exchange)
        try:
            return await self._try(exchange, choice)
        except SendWithheld as error:
            self._note_withheld(exchange, choice, error.reason)
            return None

    def _drop(self, answer: Answer) -> None:
        """Give up an answer that nobody reads."""
        failed = answer.response.status >= SERVER_ERROR
        answer.response.close()
        self.release(answer, SendOutcome.FAILED if failed else SendOutcome.ABANDONED)

    def may_send_again(self, exchange: Exchange) -> bool:
        """Return whether an exchange may be sent once more, and count it."""
        if not exchange.may_be_sent_again:
            return False
        if self._retries.spend(exchange.service, self._clock()):
            return True
        log_event(
            "retry budget used up",
            request_id=exchange.call.request_id,
            service=exchange.service,
            send=exchange.sends,
        )
        return False

    def release(self, answer: Answer, fate: SendOutcome) -> None:
        """Note that an upstream no longer works on a request."""
        answer.entry.open_sends.discard(answer.send)
        fate = _fate_of(answer.send, fate)
        is_whole = fate in (SendOutcome.SERVED, SendOutcome.FAILED)
        self._containment.record_end(answer.send, is_whole=is_whole)
        self._note_fate(answer.entry, answer.cost, fate)
        failed = fate not in (SendOutcome.SERVED, SendOutcome.ABANDONED)
        upstream_id = answer.entry.upstream.id
        self._generations.record_end(answer.run_id, upstream_id, failed=failed)

    def record_first_event(self, answer: Answer) -> None:
        """Note the first event of a stream."""
        own = self._clients.meter.own_delay()
        took_ms = max(self._clock() - answer.sent_at - own, 0.0) * 1000.0
        upstream_id = answer.entry.upstream.id
        self._generations.record_first_event(
            answer.run_id, upstream_id, took_ms=took_ms
        )

    def record_pause(self, answer: Answer, pause: float, longest: float) -> None:
        """Note that a stream has paused for longer than is on time.

        Parameters
        ----------
        pause, longest
            How long it was, and may be on time, in seconds.
        """
        if pause - self._clients.meter.own_delay() <= longest:
            return
        self._generations.record_pause(answer.run_id, answer.entry.upstream.id)

    def check_quarantine(self, exchange: Exchange) -> None:
        """Refuse a request at once that has ended the upstreams that ran it."""
        left = self._containment.quarantine_seconds_left(exchange.content_id)
        if left is None:
            return
        title = (
            "This request has ended several upstreams that ran it. Do not send it "
            f"unchanged: it is refused for {left:.0f} s more."
        )
        raise exchange.refuse(
            Reason.QUARANTINED, title, self._clock(), retry_after=left
        )

    def record_broken(self, answer: Answer) -> None:
        """Note an answer that broke off, maybe since its upstream ended."""
        self._containment.record_broken(answer.entry.upstream, answer.send)

    async def _try(self, exchange: Exchange, choice: Choice) -> Answer | None:
        """Send once; return None where there was no answer to pass on."""
        entry = choice.entry
        generation = exchange.call.generation
        cost = generation.most_tokens if generation is not None else 0
        entry.open_requests += 1
        entry.open_tokens += cost
        run_before = exchange.run
        send = OpenSend(AbortHandle(), lambda: exchange.may_move, exchange.content_id)
        entry.open_sends.add(send)
        sent_at = self._clock()
        entry.heard_at = max(entry.heard_at, sent_at)
        try:
            response = await self._exchange_heads(exchange, choice, send)
        except ExchangeFailed as error:
            entry.open_sends.discard(send)
            fate = _fate_of(
                send, SendOutcome.BROKEN if error.sent else SendOutcome.UNREACHED
            )
            if fate is SendOutcome.BROKEN:
                self._containment.record_broken(entry.upstream, send)
            if fate is SendOutcome.UNREACHED and error.is_silence:
                upstream = entry.upstream
                self._reachability.note_silent(
                    upstream.data_centre, upstream.id, self._clock(), is_upstream=True
                )
            self._failed(exchange, entry, cost, fate, str(error))
            return None
        except BaseException:
            entry.open_sends.discard(send)
            entry.open_requests -= 1
            entry.open_tokens -= cost
            upstream_id = entry.upstream.id
            if self._times is not None and send.sent_at is not None:
                now = self._clock()
                waited = max(now - send.sent_at, 0.0)
                self._times.record_abort(upstream_id, send.typical_seconds, waited, now)
            self._generations.record_end(exchange.run_id, upstream_id, failed=False)
            raise
        entry.heard_at = self._clock()
        self._reachability.note_heard(entry.upstream.data_centre)
        response_kind = self._dialect.response_kind(response.status, response.headers)
        if response_kind is not ResponseKind.MOVED:
            # Any other process that has the address by now speaks for itself only.
            self._statements.read(
                exchange.call.request_id,
                entry,
                response,
                sent_at=sent_at,
                is_served=response_kind is ResponseKind.ANSWERED,
            )
        answer = Answer(response, entry, cost, exchange.run_id, send, sent_at)
        if response_kind is ResponseKind.ANSWERED:
            self._note_time(exchange, answer)
            send.progress = Progress.BEGUN
            exchange.run = RunStatus.RAN
            return answer
        entry.open_sends.discard(send)
        reason = f"{response_kind.value}, status {response.status}"
        if response_kind in (ResponseKind.NOT_RUN, ResponseKind.MOVED):
            await self._discard(response)
            exchange.note_declined(run_before)
            self._failed(exchange, entry, cost, SendOutcome.DECLINED, reason)
            return None
        response.close()
        self._failed(exchange, entry, cost, SendOutcome.BROKEN, reason)
        return None

    async def _exchange_heads(
        self, exchange: Exchange, choice: Choice, send: OpenSend
    ) -> Response:
        call, entry = exchange.call, choice.entry
        dispatch = Dispatch(
            upstream=entry.upstream,
            time_left=max(exchange.ends_at - self._clock(), 0.0),
            account=exchange.account.name if exchange.account else "",
            priority=exchange.priority,
            last_event_id=exchange.last_event or call.last_event_id,
            fetch_from=choice.fetch_from,
        )

        def note_sent() -> None:
            withheld = self._gate.withheld_reason(
                entry,
                permit_until=choice.permit_until,
                admitted_until=choice.admitted_until,
                now=self._clock(),
            )
            if withheld is not None:
                raise SendWithheld(withheld)
            self._check_way(exchange)
            if self._gate.rates.is_limited(entry, self._clock()):
                part = "counted" if choice.admitted_until else "turn"
                self._metrics.limited_sends.inc(part)
            # What waits for this VM's link is not the upstream's time.
            meter = self._clients.meter
            leaves_at = self._clock() + meter.delay() - meter.own_delay()
            exchange.note_sent(entry.upstream.id, leaves_at)
            self._note_work(exchange, send)
            self._log_send(exchange, choice, dispatch)

        fresh_within = None if exchange.route.is_repeatable else FRESH_WITHIN
        return await self._clients.get(entry.upstream.address).request(
            call.request.method,
            call.request.target,
            headers=self._dialect.upstream_headers(call, dispatch),
            body=call.request.body,
            timeouts=UPSTREAM_TIMEOUTS,
            fresh_within=fresh_within,
            is_answer=lambda head: self._dialect.is_answer(call, head),
            on_sent=note_sent,
            abort_handle=send.handle,
        )

    def _note_work(self, exchange: Exchange, send: OpenSend) -> None:
        """Note what a plain call that is being sent usually takes."""
        if self._times is None or exchange.call.generation is not None:
            return
        send.sent_at = exchange.sent_at
        send.typical_seconds = (
            self._times.median_latency(exchange.service, exchange.route.name) or 0.0
        )

    def _note_time(self, exchange: Exchange, answer: Answer) -> None:
        """Learn from a plain call that was served."""
        sent_at = answer.send.sent_at
        if self._times is None or sent_at is None:
            return
        if answer.response.status >= SERVER_ERROR:
            # A failure may come at once, and tells nothing of the work.
            return
        now = self._clock()
        self._times.record(
            exchange.service,
            exchange.route.name,
            answer.entry.upstream.id,
            max(now - sent_at, 0.0),
            now,
        )

    def _check_way(self, exchange: Exchange) -> None:
        """Refuse what would cross the VM's full link for longer than it has left.

        It would reach its upstream after its caller has left, who could have had an
        answer from another router. Where one account filled the link of a VM (5 Mbit/s)
        for six seconds, four requests came to an upstream 0.5 s and more after that.
        """
        meter = self._clients.meter
        # What is sent goes to the link at once, whatever else the loop has to do.
        delay = meter.delay() - meter.own_delay()
        left = exchange.ends_at - self._clock()
        if left > delay:
            return
        log_event(
            "too late to send",
            request_id=exchange.call.request_id,
            time_left=round(left, 3),
            link_delay_s=round(delay, 3),
        )
        title = "This router's link is full. Send the request to another one."
        raise exchange.refuse(Reason.TOO_LATE, title, self._clock())

    def _note_withheld(
        self, exchange: Exchange, choice: Choice, reason: WithheldReason
    ) -> None:
        entry = choice.entry
        # Its place is given up under this run's name, so the next one needs another.
        exchange.tried.add(entry.upstream.id)
        if reason is WithheldReason.LIMITED:
            rate = entry.backpressure.rate(self._clock()) or 0.0
            exchange.limited_rate = (exchange.limited_rate or 0.0) + rate
        self._metrics.sends_withheld.inc(reason.value)
        log_event(
            "send withheld",
            request_id=exchange.call.request_id,
            upstream=entry.upstream.id,
            data_centre=entry.upstream.data_centre,
            reason=reason.value,
            placed_by=choice.placed_by,
            cold_s=round(max(entry.cold_until - self._clock(), 0.0), 3),
            rate=entry.backpressure.rate(self._clock()),
        )

    def _log_send(self, exchange: Exchange, choice: Choice, dispatch: Dispatch) -> None:
        entry = choice.entry
        log_event(
            "request sent",
            request_id=exchange.call.request_id,
            upstream=entry.upstream.id,
            send=exchange.sends,
            placed_by=choice.placed_by,
            expected_s=round(choice.expected_seconds, 3),
            fetch_from=choice.fetch_from.id if choice.fetch_from else "",
            open_here=entry.open_requests,
            bad_in_row=entry.health.bad_in_row,
            time_left=round(dispatch.time_left, 3),
            priority=dispatch.priority,
            after_event=dispatch.last_event_id,
        )

    async def _discard(self, response: Response) -> None:
        """Read a refusal to its end, so that its connection can be kept."""
        try:
            await response.body()
        except ExchangeFailed as error:
            log_event("upstream rejection interrupted", reason=str(error))

    def _failed(
        self,
        exchange: Exchange,
        entry: Entry,
        cost: int,
        fate: SendOutcome,
        reason: str,
    ) -> None:
        self._note_fate(entry, cost, fate)
        failed = fate is not SendOutcome.ABANDONED
        self._generations.record_end(exchange.run_id, entry.upstream.id, failed=failed)
        log_event(
            "upstream attempt failed",
            request_id=exchange.call.request_id,
            upstream=entry.upstream.id,
            content=exchange.content_id,
            send=exchange.sends,
            fate=fate.value,
            reason=reason,
            bad_in_row=entry.health.bad_in_row,
        )

    def _note_fate(self, entry: Entry, cost: int, fate: SendOutcome) -> None:
        entry.open_requests -= 1
        entry.open_tokens -= cost
        entry.health.record(fate, self._clock())
        self._metrics.sends.inc(fate.value)


def _fate_of(send: OpenSend, fate: SendOutcome) -> SendOutcome:
    """Return how a send ended as far as its upstream is to blame."""
    return SendOutcome.ABANDONED if send.is_withdrawn else fate

"""Send a request to upstreams until one of them responds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lynxchute.containment import Containment
from lynxchute.fleet.retry_mark import RetryMark
from lynxchute.http import (
    AbortHandle,
    ClientPool,
    ExchangeError,
    Headers,
    Response,
    Timeouts,
)
from lynxchute.quarantine import Progress
from lynxchute.reachability import Reachability
from lynxchute.relay.answer import GIVEN_UP, SendWithheld, UpstreamResponse
from lynxchute.relay.chooser import Chooser, no_answer_refusal
from lynxchute.relay.dialect import Dialect, ResponseKind, SendParameters
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.hedging import Hedger
from lynxchute.relay.last_sends import LastSends
from lynxchute.relay.origins import Origins
from lynxchute.relay.refusal import Reason, RunStatus
from lynxchute.relay.resend_planner import ResendPlanner
from lynxchute.relay.resender import Resender
from lynxchute.relay.statement_reader import BackpressureRecorder
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.entry import OpenSend, ResendObstacle, UpstreamEntry
from lynxchute.upstreams.health import SendOutcome
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.retry_budget import RetryBudget
from lynxchute.upstreams.send_gate import SendGate, WithheldReason
from lynxchute.upstreams.service_times import ServiceTimes
from lynxchute.upstreams.stream_origin import StreamOrigin

# Connecting within a region takes a few milliseconds. A lost SYN is retransmitted only
# after a second, so trying another upstream is faster.
CONNECT_TIMEOUT = 0.3
# A keep-alive connection that was idle for more than this many seconds may have been
# closed by the upstream. A request sent on it may fail with an unknown outcome, so only
# requests that are safe to repeat use such a connection.
FRESH_WITHIN = 0.25
SERVER_ERROR = 500
# Seconds for which an upstream is asked again after the end of an answer of which only
# the upstream's existence tells whether it is whole.
MAX_END_CHECK_SECONDS = 2.0
# Bytes of a rejection that are read so that its connection can be used again, and the
# seconds that this may take.
MAX_REJECTION_BYTES = 65_536
MAX_REJECTION_SECONDS = 0.2
UPSTREAM_TIMEOUTS = Timeouts(
    connect=CONNECT_TIMEOUT, first_byte=None, between_bytes=None, keepalive_expiry=4.0
)


class Sender:
    """Sends exchanges to upstreams, with retries where they are allowed.

    Parameters
    ----------
    chooser
        Chooses the upstreams.
    dialect
        Encodes requests and decodes responses.
    clients
        Connections to the upstreams.
    retries
        Limits how often requests are sent again.
    retry_mark
        Tells processes that follow of retries, which more than a reserve needs.
    generations
        Placement that tracks the runs at model engines.
    metrics
        Counts sends by outcome.
    reachability
        Tracks which data centres can be reached.
    containment
        Tracks which requests crash the upstreams that run them.
    gate
        Withholds sends that must not reach an upstream.
    backpressure
        Reads the limits and state that upstreams report in responses.
    clock
        Steady clock in seconds.
    origins
        Knows which software versions began streams.
    planner
        Secures what a request needs to go on before its send is given up.
    times
        Records the latency of plain calls; None if no feature needs it.
    hedger
        Hedges slow calls; None if hedging is disabled.
    last_sends
        Decides what a stopping router may still send.
    is_path_lost
        Returns whether only other routers reach the upstream at an address.
    """

    def __init__(
        self,
        chooser: Chooser,
        dialect: Dialect,
        clients: ClientPool,
        retries: RetryBudget,
        retry_mark: RetryMark,
        generations: Placement,
        metrics: Metrics,
        reachability: Reachability,
        containment: Containment,
        gate: SendGate,
        backpressure: BackpressureRecorder,
        clock: Callable[[], float],
        *,
        origins: Origins,
        planner: ResendPlanner,
        last_sends: LastSends,
        times: ServiceTimes | None = None,
        hedger: Hedger | None = None,
        is_path_lost: Callable[[str], bool] = lambda address: False,
    ) -> None:
        self._is_path_lost = is_path_lost
        self._chooser = chooser
        self._dialect = dialect
        self._clients = clients
        self._retries = retries
        self._retry_mark = retry_mark
        self._generations = generations
        self._metrics = metrics
        self._reachability = reachability
        self._containment = containment
        self._gate = gate
        self._backpressure = backpressure
        self._clock = clock
        self._origins = origins
        self._planner = planner
        self._last_sends = last_sends
        self._resender = Resender(
            planner, self._attempt_unless_withheld, self._discard_answer
        )
        self._times = times
        self._hedger = hedger

    async def send(self, exchange: Exchange) -> UpstreamResponse:
        """Return the first response of an upstream to an exchange.

        Raises
        ------
        Refusal
            If no upstream responds.
        """
        if not exchange.sends:
            self._retries.record_request(exchange.service, self._clock())
        while True:
            self.check_quarantine(exchange)
            self._check_stop(exchange)
            begun = self._resender.take(exchange)
            choice = begun.choice if begun else await self._next_choice(exchange)
            if choice is None:
                continue
            try:
                if begun is not None:
                    answer = await self._resender.result(begun)
                else:
                    answer = await self._attempt_or_hedge(exchange, choice)
            except SendWithheld as error:
                # Nothing was sent, so this does not count as a send.
                self._record_withheld(exchange, choice, error.reason)
                continue
            if answer is not None:
                return answer
            exchange.tried.add(choice.entry.upstream.id)
            if exchange.sends and not await self.claim_retry(exchange):
                self.check_quarantine(exchange)
                raise no_answer_refusal(exchange, self._clock())

    async def _next_choice(self, exchange: Exchange) -> Choice | None:
        """Return the next upstream; None if it runs another process than known."""
        planned = await self._planner.take(exchange)
        if planned is not None:
            return planned
        choice = await self._chooser.choose(exchange)
        if exchange.is_continued and not await self._confirm_process(exchange, choice):
            return None
        if not await self._may_begin(exchange, choice):
            return None
        return choice

    async def _may_begin(self, exchange: Exchange, choice: Choice) -> bool:
        """Return whether a stream may begin at an upstream, as far as is known."""
        upstream = choice.entry.upstream
        version = upstream.software_version
        if not exchange.may_begin_stream or version is None:
            return True
        origin = StreamOrigin(
            exchange.service,
            version,
            "" if upstream.states_version else upstream.id,
            None if upstream.states_version else upstream.started_ms,
            began_at=self._clock(),
        )
        try:
            may_begin = await self._origins.may_begin(exchange, origin)
        except BaseException:
            self._generations.release(choice)
            raise
        if not may_begin:
            self._generations.release(choice)
            self._record_withheld(exchange, choice, WithheldReason.UNRECORDED)
        return may_begin

    async def _confirm_process(self, exchange: Exchange, choice: Choice) -> bool:
        """Return whether an upstream has the software that a stream continues at."""
        try:
            is_confirmed = await self._origins.confirm_process(choice.entry)
        except BaseException:
            self._generations.release(choice)
            raise
        if not is_confirmed:
            self._generations.release(choice)
            # The next attempt needs a new run id, which counts the tried upstreams.
            exchange.tried.add(choice.entry.upstream.id)
        return is_confirmed

    async def _attempt_or_hedge(
        self, exchange: Exchange, choice: Choice
    ) -> UpstreamResponse | None:
        if self._hedger is None or not self._hedger.may_hedge(exchange):
            return await self._attempt(exchange, choice)
        return await self._hedger.send(
            exchange, choice, self._attempt_unless_withheld, self._discard_answer
        )

    async def _attempt_unless_withheld(
        self, exchange: Exchange, choice: Choice
    ) -> UpstreamResponse | None:
        # The first send may have crashed upstreams in the meantime.
        self.check_quarantine(exchange)
        try:
            return await self._attempt(exchange, choice)
        except SendWithheld as error:
            self._record_withheld(exchange, choice, error.reason)
            return None

    def _discard_answer(self, answer: UpstreamResponse) -> None:
        """Close a response that is not needed."""
        failed = answer.response.status >= SERVER_ERROR
        answer.response.close()
        self.release(answer, SendOutcome.FAILED if failed else SendOutcome.ABANDONED)

    async def _plan_resend(
        self, exchange: Exchange, entry: UpstreamEntry, send: OpenSend
    ) -> ResendObstacle | None:
        """Secure what a request needs to go on elsewhere, unless it was not sent."""
        if not exchange.sends or send.handle.connection is None:
            return None
        if not exchange.has_retry_permit and not await self._is_retry_available(
            exchange
        ):
            return ResendObstacle.NO_PERMIT
        return await self._planner.plan(exchange, entry)

    async def _begin_resend(
        self, exchange: Exchange, send: OpenSend
    ) -> ResendObstacle | None:
        """Send a request where it is planned to go on, unless it was not sent."""
        if not exchange.sends or send.handle.connection is None:
            return None
        if not await self.claim_retry(exchange, is_silent=True):
            self._resender.release(exchange)
            return ResendObstacle.NO_PERMIT
        if self._has_other_send(exchange, send):
            # The other one stays open, and must not run beside a third one.
            return None
        return await self._resender.begin(exchange)

    def _has_other_send(self, exchange: Exchange, send: OpenSend) -> bool:
        """Return whether another send of a request is open that is not given up."""
        request_id = exchange.call.request_id
        for entry in self._planner.directory.entries_by_id.values():
            for other in entry.open_sends:
                if other.request_id != request_id or other.is_cancelled:
                    continue
                if other is not send:
                    return True
        return False

    def end(self, exchange: Exchange) -> None:
        """Release what is held for a request that has its final answer."""
        self._resender.end(exchange)
        if exchange.has_retry_permit:
            exchange.has_retry_permit = False
            self._retries.return_permit(exchange.service, self._clock())

    def _refuse_suspected(self, exchange: Exchange) -> bool:
        log_event(
            "request with a suspected prompt part not sent again",
            request_id=exchange.call.request_id,
            parts=exchange.logged_parts,
            send=exchange.sends,
        )
        return False

    async def claim_retry(self, exchange: Exchange, *, is_silent: bool = False) -> bool:
        """Return whether an exchange may be sent again; spend retry budget if so.

        A permit lasts until the next send, so a send that fails before its first byte
        needs no further one. None is needed for a send that has begun already.

        Parameters
        ----------
        is_silent
            Whether its upstream is only silent, and has not ended the connection.
        """
        if exchange.has_valid_resend:
            return True
        if not exchange.may_retry:
            return False
        # A run that brought events is not the cause of its upstream's crash.
        if not exchange.events and self._containment.is_suspected(exchange.prompt):
            return self._refuse_suspected(exchange)
        if exchange.has_retry_permit:
            return True
        has_run = exchange.run_status is not RunStatus.NOT_RUN
        may_be_crash = has_run and not exchange.events and not is_silent
        if may_be_crash and not await self._containment.may_send_again(
            exchange.prompt()
        ):
            return self._refuse_suspected(exchange)
        await self._is_retry_available(exchange)
        if exchange.has_retry_permit:
            return True
        now = self._clock()
        is_permitted = self._retries.permit(exchange.service, now)
        state: dict[str, Any] = {
            "request_id": exchange.call.request_id,
            "service": exchange.service,
            "send": exchange.sends,
            **self._retries.describe(exchange.service, now),
        }
        if not is_permitted:
            log_event("retry budget used up", **state)
            return False
        exchange.has_retry_permit = True
        exchange.retry_permitted_at = now
        log_event("retry permitted", **state)
        return True

    async def _is_retry_available(self, exchange: Exchange) -> bool:
        """Return whether the retry budget permits another send."""
        self._retry_mark.renew()
        if self._retries.is_available(exchange.service, self._clock()):
            return True
        await self._retry_mark.ensure()
        return self._retries.is_available(exchange.service, self._clock())

    def release(self, answer: UpstreamResponse, outcome: SendOutcome) -> None:
        """Record that an upstream no longer works on a request."""
        answer.entry.open_sends.discard(answer.send)
        outcome = _attributed_outcome(answer.send, outcome)
        is_whole = outcome in (SendOutcome.SERVED, SendOutcome.FAILED)
        # The end of a connection may also be that of its upstream.
        is_served = outcome is SendOutcome.SERVED and answer.response.is_framed
        self._containment.record_end(
            answer.send, is_whole=is_whole, is_served=is_served
        )
        self._record_outcome(answer.entry, answer.cost, outcome)
        failed = outcome not in (SendOutcome.SERVED, SendOutcome.ABANDONED)
        upstream_id = answer.entry.upstream.id
        self._generations.record_end(answer.run_id, upstream_id, failed=failed)

    def record_first_event(self, answer: UpstreamResponse) -> None:
        """Record the first event of a stream."""
        own_delay = self._clients.meter.own_delay()
        took_ms = max(self._clock() - answer.sent_at - own_delay, 0.0) * 1000.0
        upstream_id = answer.entry.upstream.id
        self._generations.record_first_event(
            answer.run_id, upstream_id, took_ms=took_ms
        )

    def record_pause(
        self, answer: UpstreamResponse, pause: float, max_pause: float
    ) -> None:
        """Record that a stream paused for longer than its route allows.

        Parameters
        ----------
        pause, max_pause
            Length of the pause and the longest allowed pause, in seconds.
        """
        if pause - self._clients.meter.own_delay() <= max_pause:
            return
        self._generations.record_pause(answer.run_id, answer.entry.upstream.id)

    def check_quarantine(self, exchange: Exchange) -> None:
        """Refuse a request that crashes the upstreams that run it."""
        left = self._containment.quarantine_seconds_left(exchange.content_id)
        if left is None:
            self._check_prompt_parts(exchange)
            return
        title = (
            "This request has ended several upstreams that ran it. Do not send it "
            f"unchanged: it is refused for {left:.0f} s more."
        )
        raise exchange.refuse(
            Reason.QUARANTINED, title, self._clock(), retry_after=left
        )

    def _check_prompt_parts(self, exchange: Exchange) -> None:
        """Refuse a request with a prompt part that crashes upstreams."""
        left = self._containment.part_seconds_left(exchange.prompt)
        if left is None:
            return
        title = (
            "A part of this prompt has crashed several upstreams. Requests with it are "
            f"refused for {left:.0f} s more."
        )
        raise exchange.refuse(
            Reason.PART_QUARANTINED, title, self._clock(), retry_after=left
        )

    async def has_ended_whole(self, answer: UpstreamResponse) -> bool:
        """Return whether the end of a response is that of its body.

        The connection of an unframed response ends with its body, or because its
        upstream crashed; then it takes no further connection.
        """
        if answer.response.is_framed:
            return True
        client = self._clients.get(answer.entry.upstream.address)
        until = self._clock() + MAX_END_CHECK_SECONDS
        while (is_listening := await client.is_listening()) is None:
            # The upstream is silent, which says nothing about the answer.
            if self._clock() >= until:
                return False
        return is_listening

    def record_broken(self, answer: UpstreamResponse) -> None:
        """Record an interrupted response, which may mean that its upstream crashed."""
        self._containment.record_broken(answer.entry.upstream, answer.send)

    async def _attempt(
        self, exchange: Exchange, choice: Choice
    ) -> UpstreamResponse | None:
        """Send once; return None if there is no response to forward."""
        entry = choice.entry
        generation = exchange.call.generation
        cost = generation.max_total_tokens if generation is not None else 0
        entry.open_requests += 1
        entry.open_tokens += cost
        run_before, run_id = exchange.run_status, choice.run_id
        send = OpenSend(
            AbortHandle(),
            lambda: exchange.may_migrate,
            exchange.content_id,
            plan_resend=lambda: self._plan_resend(exchange, entry, send),
            begin_resend=lambda: self._begin_resend(exchange, send),
            release_resend=lambda: self._resender.release(exchange),
            prompt=exchange.prompt(entry.upstream.software_version),
            began_at=self._clock(),
            request_id=exchange.call.request_id,
        )
        entry.open_sends.add(send)
        sent_at = self._clock()
        entry.heard_at = max(entry.heard_at, sent_at)
        send.heard_at = sent_at
        try:
            response = await self._send_request(exchange, choice, send)
        except ExchangeError as error:
            entry.open_sends.discard(send)
            outcome = _attributed_outcome(
                send, SendOutcome.BROKEN if error.sent else SendOutcome.UNREACHED
            )
            if outcome is SendOutcome.BROKEN:
                self._containment.record_broken(entry.upstream, send)
            upstream = entry.upstream
            if (
                outcome is SendOutcome.UNREACHED
                and error.is_timeout
                and not self._is_path_lost(upstream.address)
            ):
                self._reachability.record_timeout(
                    upstream.data_centre, upstream.id, self._clock(), is_upstream=True
                )
            self._record_failure(exchange, run_id, entry, cost, outcome, str(error))
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
            self._generations.record_end(run_id, upstream_id, failed=False)
            raise
        entry.heard_at = send.heard_at = self._clock()
        self._reachability.record_response(entry.upstream.data_centre)
        response_kind = self._dialect.response_kind(response.status, response.headers)
        if response_kind is not ResponseKind.MOVED:
            # A different process that now has the address reports only its own state.
            self._backpressure.record(
                exchange.call.request_id,
                entry,
                response.status,
                response.headers,
                sent_at=sent_at,
                is_served=response_kind is ResponseKind.ANSWERED,
            )
            self._report_backoff(entry, send)
            if entry.upstream.states_version:
                stated = self._dialect.software_version(response.headers)
                self._origins.record_stated_version(entry, stated)
        answer = UpstreamResponse(response, entry, cost, run_id, send, sent_at)
        is_usable = _has_expected_version(exchange, entry)
        if response_kind is ResponseKind.ANSWERED and is_usable:
            self._record_latency(exchange, answer)
            send.progress = Progress.BEGUN
            exchange.run_status = RunStatus.RAN
            return answer
        entry.open_sends.discard(send)
        reason = f"{response_kind.value}, status {response.status}"
        if response_kind in (ResponseKind.NOT_RUN, ResponseKind.MOVED):
            exchange.record_declined(run_before)
            self._record_failure(
                exchange, run_id, entry, cost, SendOutcome.DECLINED, reason
            )
            await self._read_to_end(response)
            return None
        response.close()
        self._record_failure(exchange, run_id, entry, cost, SendOutcome.BROKEN, reason)
        return None

    def _record_unread(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        send: OpenSend,
        status: int,
        headers: Headers,
    ) -> None:
        """Record what a response states that came too late for its request."""
        response_kind = self._dialect.response_kind(status, headers)
        if response_kind is ResponseKind.MOVED:
            return
        self._backpressure.record(
            exchange.call.request_id,
            entry,
            status,
            headers,
            sent_at=exchange.sent_at,
            is_served=response_kind is ResponseKind.ANSWERED,
        )
        self._report_backoff(entry, send)

    def _report_backoff(self, entry: UpstreamEntry, send: OpenSend) -> None:
        """Tell a router that forwards requests of an upstream's backoff."""
        connection = send.handle.connection
        seconds = entry.last_statement.backoff
        if seconds and connection is not None:
            connection.report_backoff(seconds)

    async def _send_request(
        self, exchange: Exchange, choice: Choice, send: OpenSend
    ) -> Response:
        call, entry = exchange.call, choice.entry
        last_event_id = exchange.last_event or call.last_event_id
        software_version = exchange.software_version or ""

        def make_headers() -> list[tuple[bytes, bytes]]:
            parameters = SendParameters(
                upstream=entry.upstream,
                time_left=self._time_left(exchange),
                account=exchange.account.name if exchange.account else "",
                priority=exchange.priority,
                last_event_id=last_event_id,
                fetch_from=choice.fetch_from,
                software_version=software_version,
            )
            return self._dialect.upstream_headers(call, parameters)

        def before_send() -> None:
            if send.is_cancelled:
                raise ExchangeError(GIVEN_UP, sent=False)
            withheld = self._gate.withheld_reason(
                entry,
                cold_permit_until=choice.cold_permit_until,
                rate_permit_until=choice.rate_permit_until,
                now=self._clock(),
            )
            if withheld is not None:
                raise SendWithheld(withheld)
            self.check_quarantine(exchange)
            self._check_stop(exchange)
            self._containment.record_send(send, exchange.call.request_id)
            self._check_link(exchange)
            if self._gate.rates.is_limited(entry, self._clock()):
                admitted_by = "counted" if choice.rate_permit_until else "turn"
                self._metrics.limited_sends.inc(admitted_by)
            # Time spent queueing for this VM's link is not latency of the upstream.
            meter = self._clients.meter
            leaves_at = self._clock() + meter.delay() - meter.own_delay()
            self._count_repeat(exchange)
            exchange.record_send(entry.upstream.id, leaves_at)
            self._set_typical_seconds(exchange, send)
            connection = send.handle.connection
            via = connection.via if connection is not None else ""
            if last_event_id:
                self._count_continuation(exchange, entry)
            self._log_send(exchange, choice, last_event_id, via)

        max_idle = None if exchange.route.is_repeatable else FRESH_WITHIN
        response = await self._clients.get(entry.upstream.address).request(
            call.request.method,
            call.request.target,
            headers=make_headers,
            body=call.request.body,
            timeouts=UPSTREAM_TIMEOUTS,
            max_idle=max_idle,
            matches_request=lambda head: self._dialect.matches_request(call, head),
            before_send=before_send,
            abort_handle=send.handle,
            label=call.request_id,
            on_unread_head=lambda status, headers: self._record_unread(
                exchange, entry, send, status, headers
            ),
        )
        if send.is_cancelled:
            # The head had arrived before the connection was aborted.
            response.close()
            raise ExchangeError(GIVEN_UP, sent=True)
        return response

    def _count_repeat(self, exchange: Exchange) -> None:
        """Count a send that repeats another one, or refuse it at a limit."""
        if not exchange.sends:
            return
        now, service = self._clock(), exchange.service
        is_permitted = exchange.sends < exchange.route.max_attempts and (
            exchange.has_retry_permit or self._retries.permit(service, now)
        )
        if not is_permitted:
            log_event(
                "repeat refused",
                request_id=exchange.call.request_id,
                service=service,
                sends=exchange.sends,
                max_attempts=exchange.route.max_attempts,
            )
            raise no_answer_refusal(exchange, now)
        self._retries.record_sent(service, now)

    def _set_typical_seconds(self, exchange: Exchange, send: OpenSend) -> None:
        """Store the typical latency of a plain call with its open send."""
        if self._times is None or exchange.call.generation is not None:
            return
        send.sent_at = exchange.sent_at
        send.typical_seconds = (
            self._times.median_latency(exchange.service, exchange.route.name) or 0.0
        )

    def _record_latency(self, exchange: Exchange, answer: UpstreamResponse) -> None:
        """Record the latency of a plain call that was served."""
        sent_at = answer.send.sent_at
        if self._times is None or sent_at is None:
            return
        if answer.response.status >= SERVER_ERROR:
            # An error may be returned immediately and says nothing about latency.
            return
        now = self._clock()
        self._times.record(
            exchange.service,
            exchange.route.name,
            answer.entry.upstream.id,
            max(now - sent_at, 0.0),
            now,
        )

    def _check_link(self, exchange: Exchange) -> None:
        """Refuse a request that would queue for the VM's link beyond its deadline.

        It would reach its upstream after the caller has left, while another router
        could have answered it. When one account filled the link of a VM (5 Mbit/s) for
        six seconds, four requests reached an upstream 0.5 s or more after their callers
        had left.
        """
        meter = self._clients.meter
        # Sent bytes go to the link at once, however busy the event loop is.
        delay = meter.delay() - meter.own_delay()
        left = exchange.deadline - self._clock()
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

    def _check_stop(self, exchange: Exchange) -> None:
        """Refuse a request that may not end before this router does."""
        now = self._clock()
        if self._last_sends.ends_in_time(exchange, now):
            return
        log_event(
            "too late to send before the stop",
            request_id=exchange.call.request_id,
            route=exchange.route.name,
            seconds_left=round(self._last_sends.answers_until - now, 3),
            time_left=round(exchange.deadline - now, 3),
        )
        title = "This router is stopping. Send the request again."
        raise exchange.refuse(Reason.STOPPING, title, now)

    def _record_withheld(
        self, exchange: Exchange, choice: Choice, reason: WithheldReason
    ) -> None:
        entry = choice.entry
        # The next attempt needs a new run id, since the placement with this one is
        # released; `run_id` contains the number of tried upstreams.
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

    def _count_continuation(self, exchange: Exchange, entry: UpstreamEntry) -> None:
        """Count a send that continues a stream."""
        version = exchange.software_version
        if version is None:
            relation = "unknown"
        else:
            is_same = version == entry.upstream.software_version
            relation = "same" if is_same else "other"
        self._metrics.streams_continued.inc(relation)

    def _time_left(self, exchange: Exchange) -> float:
        """Return the seconds that an upstream has for a request."""
        return max(exchange.deadline - self._clock(), 0.0)

    def _log_send(
        self, exchange: Exchange, choice: Choice, last_event_id: str, via: str
    ) -> None:
        entry = choice.entry
        permit_age = None
        if exchange.retry_permitted_at is not None:
            permit_age = round(self._clock() - exchange.retry_permitted_at, 3)
        log_event(
            "request sent",
            request_id=exchange.call.request_id,
            upstream=entry.upstream.id,
            send=exchange.sends,
            permit_age_s=permit_age,
            placed_by=choice.placed_by,
            expected_s=round(choice.expected_seconds, 3),
            fetch_from=choice.fetch_from.id if choice.fetch_from else "",
            open_here=entry.open_requests,
            bad_in_row=entry.health.bad_in_row,
            time_left=round(self._time_left(exchange), 3),
            priority=exchange.priority,
            after_event=last_event_id,
            resumes=exchange.call.resumes,
            began_at=exchange.software_version if exchange.is_continued else None,
            software=entry.upstream.software_version,
            via=via,
        )

    async def _read_to_end(self, response: Response) -> None:
        """Read a declined response to its end so that its connection can be reused."""
        if not response.is_framed:
            response.close()
            return
        try:
            async with asyncio.timeout(MAX_REJECTION_SECONDS):
                await response.body(MAX_REJECTION_BYTES)
        except (ExchangeError, TimeoutError) as error:
            log_event("upstream rejection interrupted", reason=repr(error))

    def _record_failure(
        self,
        exchange: Exchange,
        run_id: str,
        entry: UpstreamEntry,
        cost: int,
        outcome: SendOutcome,
        reason: str,
    ) -> None:
        self._record_outcome(entry, cost, outcome)
        is_own_fault = outcome is SendOutcome.UNREACHED and self._is_path_lost(
            entry.upstream.address
        )
        failed = outcome is not SendOutcome.ABANDONED and not is_own_fault
        self._generations.record_end(run_id, entry.upstream.id, failed=failed)
        log_event(
            "upstream attempt failed",
            request_id=exchange.call.request_id,
            upstream=entry.upstream.id,
            content=exchange.content_id,
            parts=exchange.logged_parts,
            send=exchange.sends,
            fate=outcome.value,
            reason=reason,
            bad_in_row=entry.health.bad_in_row,
        )

    def _record_outcome(
        self, entry: UpstreamEntry, cost: int, outcome: SendOutcome
    ) -> None:
        entry.open_requests -= 1
        entry.open_tokens -= cost
        entry.health.record(outcome, self._clock())
        self._chooser.wake_waiters()
        self._metrics.sends.inc(outcome.value)


def _has_expected_version(exchange: Exchange, entry: UpstreamEntry) -> bool:
    """Return whether an upstream's answer may be forwarded after earlier events."""
    version = exchange.software_version
    return version is None or entry.upstream.software_version == version


def _attributed_outcome(send: OpenSend, outcome: SendOutcome) -> SendOutcome:
    """Return the outcome to attribute to the upstream of a send."""
    return SendOutcome.ABANDONED if send.is_withdrawn else outcome

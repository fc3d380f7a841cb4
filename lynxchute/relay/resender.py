"""Send a request elsewhere before its running send is given up."""

from __future__ import annotations

import asyncio

import attrs

from lynxchute.relay.answer import BegunResend, UpstreamResponse
from lynxchute.relay.attempts import Attempt, Discard, cancel_attempt
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.refusal import Refusal
from lynxchute.relay.resend_planner import ResendPlanner
from lynxchute.telemetry import log_event
from lynxchute.upstreams.entry import ResendObstacle

SERVER_ERROR = 500
# Seconds that a running send is kept after the next one has begun, as an upstream that
# declines does so at once. Two upstreams may work on the request meanwhile.
MAX_DECLINE_SECONDS = 0.2
# Seconds after which it is looked again whether a connection has been made.
POLL_SECONDS = 0.02


@attrs.define
class Resender:
    """Sends requests where it is planned, while their running sends stay open.

    Attributes
    ----------
    planner
        Knows where a request goes on.
    attempt
        Sends a request once.
    discard
        Closes a response that is not needed.
    decline_seconds
        For how long a running send is kept after the next one has begun.
    """

    planner: ResendPlanner
    attempt: Attempt
    discard: Discard
    decline_seconds: float = MAX_DECLINE_SECONDS

    async def begin(self, exchange: Exchange) -> ResendObstacle | None:
        """Send a request as planned, and wait until it has not been declined.

        The send is kept until `take` or `release`.

        Returns
        -------
        ResendObstacle or None
            Why the running send has to be kept; None if it can be given up.
        """
        if exchange.begun is None:
            choice = await self.planner.take(exchange)
            if choice is None:
                return ResendObstacle.NO_UPSTREAM
            task = asyncio.ensure_future(self.attempt(exchange, choice))
            exchange.begun = BegunResend(
                choice, task, exchange.last_event, exchange.sends
            )
        begun = exchange.begun
        await self._wait_for_decline(exchange, begun)
        if exchange.begun is not begun:
            return ResendObstacle.ENDED
        if not _has_failed(begun):
            return None
        self._cancel(exchange)
        return ResendObstacle.DECLINED

    def take(self, exchange: Exchange) -> BegunResend | None:
        """Return the send that takes the place of one that has ended, if there is any.

        A send that would repeat events, as the caller has got more since, is dropped.
        """
        if not exchange.has_valid_resend:
            self._drop(exchange)
        begun, exchange.begun = exchange.begun, None
        return begun

    async def result(self, begun: BegunResend) -> UpstreamResponse | None:
        """Return the response to a send that was taken; None if there is none."""
        try:
            return await begun.attempt
        except BaseException:
            cancel_attempt(begun.attempt, self.discard)
            raise

    async def _wait_for_decline(self, exchange: Exchange, begun: BegunResend) -> None:
        """Wait until a send has ended, or was not declined in time."""
        while not begun.attempt.done():
            left = POLL_SECONDS
            if exchange.sends > begun.earlier_sends:
                left = exchange.sent_at + self.decline_seconds - self.planner.clock()
            if left <= 0:
                return
            await asyncio.wait([begun.attempt], timeout=left)

    def release(self, exchange: Exchange) -> None:
        """Give up what is planned or begun for an exchange, if there is anything."""
        self._drop(exchange)
        self.planner.release(exchange)

    def end(self, exchange: Exchange) -> None:
        """Release what is held for a request that has its final answer."""
        self._drop(exchange)
        self.planner.end(exchange)

    def _cancel(self, exchange: Exchange) -> BegunResend | None:
        """Give up the begun send of an exchange; return it, if there is any."""
        begun, exchange.begun = exchange.begun, None
        if begun is not None:
            exchange.tried.add(begun.choice.entry.upstream.id)
            cancel_attempt(begun.attempt, self.discard)
        return begun

    def _drop(self, exchange: Exchange) -> None:
        begun = self._cancel(exchange)
        if begun is None:
            return
        log_event(
            "request not needed elsewhere",
            request_id=exchange.call.request_id,
            upstream=begun.choice.entry.upstream.id,
            after_event=begun.after_event,
        )


def _has_failed(begun: BegunResend) -> bool:
    """Return whether an upstream has not taken a request, or could not serve it."""
    attempt = begun.attempt
    if not attempt.done() or attempt.cancelled():
        return False
    error = attempt.exception()
    if error is not None:
        return isinstance(error, Refusal)
    answer = attempt.result()
    return answer is None or answer.response.status >= SERVER_ERROR

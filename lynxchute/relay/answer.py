"""Results of sending a request to an upstream."""

from __future__ import annotations

import asyncio

import attrs

from lynxchute.http import Response
from lynxchute.upstreams.entry import OpenSend, UpstreamEntry
from lynxchute.upstreams.placement import Choice
from lynxchute.upstreams.send_gate import WithheldReason

GIVEN_UP = "the send was given up"


@attrs.frozen
class UpstreamResponse:
    """The response of an upstream, whose body has not been read yet.

    Attributes
    ----------
    sent_at
        Time at which the request was sent, in seconds.
    """

    response: Response
    entry: UpstreamEntry
    cost: int
    run_id: str
    send: OpenSend
    sent_at: float

    def record_heard(self, now: float) -> None:
        """Record that bytes of the response have arrived, at a time in seconds."""
        self.entry.heard_at = now
        self.send.heard_at = now


@attrs.frozen(eq=False)
class BegunResend:
    """A send that takes the place of one that is about to be given up.

    Attributes
    ----------
    choice
        Where the request was sent.
    attempt
        The send; None if there is no response to forward.
    after_event
        Id of the last event that the caller had as it was sent.
    earlier_sends
        Number of times that the request had been sent before.
    """

    choice: Choice
    attempt: asyncio.Future[UpstreamResponse | None]
    after_event: str
    earlier_sends: int


class SendWithheld(Exception):
    """Raised when a request was assigned to an upstream but must not be sent to it.

    Parameters
    ----------
    reason
        Reason for withholding the send.
    """

    def __init__(self, reason: WithheldReason) -> None:
        super().__init__(reason.value)
        self.reason = reason

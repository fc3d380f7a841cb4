"""Results of sending a request to an upstream."""

from __future__ import annotations

import attrs

from lynxchute.http import Response
from lynxchute.upstreams.entry import OpenSend, UpstreamEntry
from lynxchute.upstreams.send_gate import WithheldReason


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

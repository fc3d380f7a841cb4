"""What comes of sending a request to an upstream."""

from __future__ import annotations

import attrs

from lynxchute.http import Response
from lynxchute.upstreams.entry import Entry, OpenSend
from lynxchute.upstreams.send_gate import WithheldReason


@attrs.frozen
class Answer:
    """An upstream's answer whose body is still to be read.

    Attributes
    ----------
    sent_at
        When the request was sent, in seconds.
    """

    response: Response
    entry: Entry
    cost: int
    run_id: str
    send: OpenSend
    sent_at: float


class SendWithheld(Exception):
    """Report a request that was placed at an upstream and must not be sent there.

    Parameters
    ----------
    reason
        Why.
    """

    def __init__(self, reason: WithheldReason) -> None:
        super().__init__(reason.value)
        self.reason = reason

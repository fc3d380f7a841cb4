"""The progress of a run at its upstream."""

from __future__ import annotations

import enum


class Progress(enum.Enum):
    """How far a run had progressed at its upstream when it broke off.

    Attributes
    ----------
    UNANSWERED
        No response yet; at a model engine the run is still queued.
    BEGUN
        The head of the response was received, but no event or body.
    ANSWERING
        Events or a part of the body were received.
    """

    UNANSWERED = "unanswered"
    BEGUN = "begun"
    ANSWERING = "answering"

"""Latency objectives of a response."""

from __future__ import annotations

import math

import attrs

from lynxchute.overload.claim import Claim


@attrs.frozen
class LatencyObjectives:
    """Latency objectives that a response must meet to be on time for its caller.

    Attributes
    ----------
    first_event_ms
        Milliseconds from now until the first event is late.
    pause_ms
        Longest permitted pause between two events, in milliseconds.
    claim
        The caller and how long its request may wait for a slot; None if the request
        must not be queued.
    """

    first_event_ms: float = math.inf
    pause_ms: float = math.inf
    claim: Claim | None = None


NO_OBJECTIVES = LatencyObjectives()

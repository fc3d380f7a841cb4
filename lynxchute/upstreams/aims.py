"""What an answer must keep to for its caller to have it on time."""

from __future__ import annotations

import math

import attrs

from lynxchute.overload.claim import Claim


@attrs.frozen
class Aims:
    """What an answer must keep to for its caller to have it on time.

    Attributes
    ----------
    first_event_ms
        Milliseconds from now until its first event would be late.
    pause_ms
        The longest pause between two of its events, in milliseconds.
    claim
        Who asks and for how long it can wait for a place; None where nothing waits.
    """

    first_event_ms: float = math.inf
    pause_ms: float = math.inf
    claim: Claim | None = None


NO_AIMS = Aims()

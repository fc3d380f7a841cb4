"""A request that is to be placed at an engine."""

from __future__ import annotations

import attrs

from lynxchute.upstreams.aims import NO_OBJECTIVES, LatencyObjectives
from lynxchute.upstreams.generation import Generation


@attrs.frozen
class PendingRequest:
    """A request that is to be placed at an engine.

    Attributes
    ----------
    aims
        Latency objectives of its response.
    router
        The router process that sends it.
    weight
        Its weight relative to other requests.
    """

    run_id: str
    generation: Generation
    aims: LatencyObjectives = NO_OBJECTIVES
    router: str = ""
    weight: float = 1.0

    @property
    def output_tokens(self) -> int:
        """Return the expected number of output tokens.

        This is half of the maximum if the caller gives no estimate.
        """
        estimate = self.generation.expected_output_tokens
        limit = self.generation.max_output_tokens
        return limit // 2 if estimate is None else min(estimate, limit)

"""A request that needs an engine."""

from __future__ import annotations

import attrs

from lynxchute.upstreams.aims import NO_AIMS, Aims
from lynxchute.upstreams.generation import Generation


@attrs.frozen
class PendingRequest:
    """A request that needs an engine.

    Attributes
    ----------
    aims
        What its answer must keep to.
    router
        The process that sends it.
    weight
        What it counts where callers are weighed.
    """

    run_id: str
    generation: Generation
    aims: Aims = NO_AIMS
    router: str = ""
    weight: float = 1.0

    @property
    def answer_tokens(self) -> int:
        """Return the tokens that its answer is expected to have.

        Where its caller has no guess, half of what it may have.
        """
        guess = self.generation.expected_output_tokens
        most = self.generation.max_output_tokens
        return most // 2 if guess is None else min(guess, most)

"""Estimate how fast an engine reads prompts from the latency of first events."""

from __future__ import annotations

import attrs

# Initial estimate of the prompt tokens read per millisecond, for a large model on
# current accelerators.
DEFAULT_TOKENS_PER_MS = 20.0
MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS = 5.0, 500.0
# Milliseconds until the first event of an idle engine, without the time for reading the
# prompt.
FIRST_EVENT_MS = 35.0
# Weight of the latest first event in the estimate. The first samples weigh more, as in
# a plain mean.
SAMPLE_WEIGHT = 0.1
# Minimum tokens of a prompt for its first event to count as a sample of the speed.
MIN_SAMPLE_TOKENS = 1_500
# Minimum number of samples for the estimate to be used for new engines as well.
MIN_SAMPLES = 3


@attrs.define
class PrefillSpeed:
    """The effective prefill speed of an engine, in prompt tokens per millisecond.

    It is measured with long prompts and includes everything that slows them down: steps
    of other streams between two chunks, and positions far into a prompt, which take
    longer.

    Examples
    --------
    >>> speed = PrefillSpeed()
    >>> for _ in range(60):
    ...     speed.record_prompt(4_000, 35.0 + 4_000 / 20.0)
    >>> round(speed.tokens_per_ms)
    20
    """

    tokens_per_ms: float = DEFAULT_TOKENS_PER_MS
    first_event_ms: float = FIRST_EVENT_MS
    _samples: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether there are enough samples."""
        return self._samples >= MIN_SAMPLES

    def record_prompt(self, tokens: float, took_ms: float) -> None:
        """Record a first event that did not wait behind other prompts."""
        prefill_ms = took_ms - self.first_event_ms
        if tokens < MIN_SAMPLE_TOKENS or prefill_ms <= 0:
            return
        observed = min(max(tokens / prefill_ms, MIN_TOKENS_PER_MS), MAX_TOKENS_PER_MS)
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / (self._samples + 1))
        self.tokens_per_ms += weight * (observed - self.tokens_per_ms)

    def prefill_ms(self, tokens: float) -> float:
        """Return the time for the prefill of a prompt, in milliseconds."""
        return max(tokens, 0.0) / self.tokens_per_ms

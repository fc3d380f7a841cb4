"""How fast an engine reads prompts, from when its first events come."""

from __future__ import annotations

import attrs

# Prompt tokens that an engine reads in a millisecond, until its own speed is
# known: that of a large model on today's accelerators.
USUAL_TOKENS_PER_MS = 20.0
MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS = 5.0, 500.0
# Milliseconds from an idle engine's start of a prompt to its first event, apart
# from reading the prompt.
FIRST_EVENT_MS = 35.0
# Weight of the newest first event in an engine's known speed; the first ones weigh
# more, as the mean of all so far.
NEWEST_WEIGHT = 0.1
# Prompts shorter than this tell nothing of the speed.
TELLING_TOKENS = 1_500
# Prompts after which an engine's speed tells what others are like.
KNOWN_AFTER = 3


@attrs.define
class ReadingSpeed:
    """What an engine reads in a millisecond, as its callers see it.

    It is learned from long prompts with all that holds them up: the steps of the
    streams between two pieces, and what is far into a prompt, which takes longer.

    Examples
    --------
    >>> speed = ReadingSpeed()
    >>> for _ in range(60):
    ...     speed.note(4_000, 35.0 + 4_000 / 20.0)
    >>> round(speed.tokens_per_ms)
    20
    """

    tokens_per_ms: float = USUAL_TOKENS_PER_MS
    first_event_ms: float = FIRST_EVENT_MS
    _seen: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether enough long prompts have told of it."""
        return self._seen >= KNOWN_AFTER

    def note(self, tokens: float, took_ms: float) -> None:
        """Take a first event that waited for nothing but its own prompt."""
        reading_ms = took_ms - self.first_event_ms
        if tokens < TELLING_TOKENS or reading_ms <= 0:
            return
        seen = min(max(tokens / reading_ms, MIN_TOKENS_PER_MS), MAX_TOKENS_PER_MS)
        self._seen += 1
        weight = max(NEWEST_WEIGHT, 1.0 / (self._seen + 1))
        self.tokens_per_ms += weight * (seen - self.tokens_per_ms)

    def reading_ms(self, tokens: float) -> float:
        """Return how long reading a prompt takes, in milliseconds."""
        return max(tokens, 0.0) / self.tokens_per_ms

"""Parameters of a request to a model engine."""

from __future__ import annotations

import attrs

from lynxchute.quarantine import part_key


@attrs.frozen
class PromptPart:
    """A part of a prompt; several prompts may begin with the same parts."""

    id: str
    tokens: int


@attrs.frozen
class Generation:
    """Parameters of a request to a model engine.

    Attributes
    ----------
    prompt_tokens
        Tokens of the whole prompt.
    max_output_tokens
        Most tokens that the response can have.
    parts
        The prompt's parts in order; the last one belongs to this request only.
    expected_output_tokens
        The caller's estimate; None if it gives none.
    software_version
        Software version of the engines that may run it; None for any.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int | None = None
    software_version: str | None = None

    @property
    def max_total_tokens(self) -> int:
        """Return the most tokens that prompt and response can use together."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts may begin with."""
        return self.parts[:-1]

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Return the ids of the shared parts in short form, each once, in order."""
        return tuple(dict.fromkeys(part_key(part.id) for part in self.shared_parts))

    def affinity_key(self, run_id: str) -> str:
        """Return a key that is equal for prompts that should share engines."""
        shared = self.shared_parts
        return shared[-1].id if shared else run_id

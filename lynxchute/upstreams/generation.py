"""What a request asks of a model engine."""

from __future__ import annotations

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt, which other prompts may begin with too."""

    id: str
    tokens: int


@attrs.frozen
class Generation:
    """What a request asks of a model engine.

    Attributes
    ----------
    prompt_tokens
        Tokens of the whole prompt.
    max_output_tokens
        Tokens that the answer can have at most.
    parts
        The prompt's parts in order; the last one is the request's own.
    expected_output_tokens
        The caller's guess; None where it makes none.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int | None = None

    @property
    def most_tokens(self) -> int:
        """Return the tokens that the request can use at most."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts may begin with."""
        return self.parts[:-1]

    def affinity_key(self, run_id: str) -> str:
        """Return what prompts have in common that should go to the same engines."""
        shared = self.shared_parts
        return shared[-1].id if shared else run_id

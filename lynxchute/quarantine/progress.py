"""How far an upstream has come with a run."""

from __future__ import annotations

import enum


class Progress(enum.Enum):
    """How far an upstream had come with a run when it broke off.

    Attributes
    ----------
    UNANSWERED
        It had said nothing; a model engine has such a run waiting.
    BEGUN
        It had sent the head of its answer and nothing of the answer itself.
    ANSWERING
        It had sent events, or a part of a body.
    """

    UNANSWERED = "unanswered"
    BEGUN = "begun"
    ANSWERING = "answering"

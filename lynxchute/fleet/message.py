"""A question of one router to another, as JSON."""

from __future__ import annotations

from typing import Any, ClassVar, Generic, TypeVar

import attrs
import cattrs

PREFIX = "/fleet/"

ReplyT = TypeVar("ReplyT")


class Message(Generic[ReplyT]):
    """A question of one router to another.

    Attributes
    ----------
    NAME
        The path that it is sent to.
    REPLY
        The class of the answer.
    """

    NAME: ClassVar[str]
    REPLY: ClassVar[type[Any]]


@attrs.frozen
class Ack:
    """Say that a message was taken."""


_CONVERTER = cattrs.Converter(forbid_extra_keys=False)


class MessageDecodeError(ValueError):
    """Report a message that is not of its class."""


def to_json(message: Any) -> Any:
    """Return a message as JSON values."""
    return _CONVERTER.unstructure(message)


def from_json(value: Any, cls: type[Any]) -> Any:
    """Return the message of a class.

    Raises
    ------
    MessageUnreadable
        Where the values are not of that class.
    """
    try:
        return _CONVERTER.structure(value, cls)
    except Exception as error:
        raise MessageDecodeError(f"no {cls.__name__}: {error!r}") from error

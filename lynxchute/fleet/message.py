"""Base class and JSON encoding of the messages between routers."""

from __future__ import annotations

from typing import Any, ClassVar, Generic, TypeVar

import attrs
import cattrs

from lynxchute.store.json_value import MAX_PROBLEM_LENGTH, check_json

PREFIX = "/fleet/"

ReplyT = TypeVar("ReplyT")


class Message(Generic[ReplyT]):
    """A request from one router to another.

    Attributes
    ----------
    NAME
        The last part of the URL path that it is sent to.
    REPLY
        The class of the reply.
    MAX_REPLY_BYTES
        Largest size of the reply.
    """

    NAME: ClassVar[str]
    REPLY: ClassVar[type[Any]]
    MAX_REPLY_BYTES: ClassVar[int] = 1_048_576


@attrs.frozen
class Ack:
    """A reply that only acknowledges a message."""


_CONVERTER = cattrs.Converter(forbid_extra_keys=False)


class MessageDecodeError(ValueError):
    """Raised when a message does not match its class."""


def to_json(message: Any) -> Any:
    """Convert a message to JSON values."""
    return _CONVERTER.unstructure(message)


def from_json(value: Any, cls: type[Any]) -> Any:
    """Convert JSON values to a message of a class.

    Raises
    ------
    MessageDecodeError
        When the values do not match the class, or are out of bounds.
    """
    try:
        check_json(value)
        return _CONVERTER.structure(value, cls)
    except Exception as error:
        problem = f"invalid {cls.__name__}: {error!r}"
        raise MessageDecodeError(problem[:MAX_PROBLEM_LENGTH]) from error

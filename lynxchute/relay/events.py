"""Server-sent events of a stream, passed on whole.

Source: the WHATWG HTML standard, section "Server-sent events".
"""

from __future__ import annotations

import attrs

CONTENT_TYPE = "text/event-stream"
SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


@attrs.frozen
class Events:
    """Whole events that arrived together.

    Attributes
    ----------
    data
        The events as they came.
    count
        How many they are.
    first_id, last_id
        The ids of the first and the last of them; empty where they have none.
    """

    data: bytes
    count: int
    first_id: str
    last_id: str


class EventsOutOfOrder(Exception):
    """Report events that do not follow on those before."""


@attrs.define
class EventOrder:
    """See that the numbered events of a stream come without gap or repetition.

    Attributes
    ----------
    last
        The number of the last event; None before the first one, and where
        events are not numbered.

    Examples
    --------
    >>> order = EventOrder(last=4)
    >>> order.check(Events(b"", count=2, first_id="5", last_id="6"))
    >>> order.last
    6
    """

    last: int | None = None

    def check(self, events: Events) -> None:
        """Take the next events.

        Raises
        ------
        EventsOutOfOrder
            Where they are not the next ones.
        """
        if not (events.first_id.isdecimal() and events.last_id.isdecimal()):
            return
        first, last = int(events.first_id), int(events.last_id)
        follows = self.last is None or first == self.last + 1
        if not follows or last - first + 1 != events.count:
            raise EventsOutOfOrder(f"{first} to {last} came after {self.last}")
        self.last = last


@attrs.define
class EventSplitter:
    r"""Cut a stream into whole events.

    Attributes
    ----------
    rest
        The beginning of an event whose end has not come.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    Events(data=b'id: 1\ndata: a\n\n', count=1, first_id='1', last_id='1')
    >>> splitter.rest
    b'id: 2\nda'
    """

    rest: bytes = b""

    def feed(self, data: bytes) -> Events | None:
        """Take bytes as they arrived; return the events that are whole now."""
        data = self.rest + data if self.rest else data
        cut = data.rfind(SEPARATOR)
        if cut < 0:
            self.rest = data
            return None
        cut += len(SEPARATOR)
        whole, self.rest = data[:cut], data[cut:]
        count = whole.count(SEPARATOR)
        if count == 1:
            only = _event_id(whole)
            return Events(whole, 1, only, only)
        events = whole[: -len(SEPARATOR)].split(SEPARATOR)
        return Events(whole, count, _event_id(events[0]), _event_id(events[-1]))


def _event_id(event: bytes) -> str:
    start = event.find(ID_FIELD)
    if start > 0:
        start = event.find(b"\n" + ID_FIELD) + 1
        if start == 0:
            return ""
    if start < 0:
        return ""
    end = event.find(b"\n", start)
    value = event[start + len(ID_FIELD) : end if end >= 0 else None]
    return value.strip().decode("latin-1")

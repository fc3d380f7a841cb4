"""Parsing of server-sent events into complete events.

Source: the WHATWG HTML standard, section "Server-sent events".
"""

from __future__ import annotations

import attrs

CONTENT_TYPE = "text/event-stream"
SEPARATOR = b"\n\n"
ID_FIELD = b"id:"
# An event that is not complete after as many bytes has no end.
MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class Events:
    """Complete events that were received together.

    Attributes
    ----------
    data
        Unmodified bytes of the events.
    count
        Number of events.
    first_id, last_id
        Ids of the first and the last event; empty if they have none.
    """

    data: bytes
    count: int
    first_id: str
    last_id: str


class StreamCut(Exception):
    """Raised when a response ended though its stream had not."""


class EventsOutOfOrder(Exception):
    """Raised when events do not directly follow the previous ones."""


@attrs.define
class EventOrder:
    """Checks that numbered events arrive without gaps or duplicates.

    Attributes
    ----------
    last
        Number of the last event; None before the first one, and while events are not
        numbered.

    Examples
    --------
    >>> order = EventOrder(last=4)
    >>> order.check(Events(b"", count=2, first_id="5", last_id="6"))
    >>> order.last
    6
    """

    last: int | None = None

    def check(self, events: Events) -> None:
        """Check and record the next events.

        Raises
        ------
        EventsOutOfOrder
            If they do not directly follow the previous events.
        """
        if not (events.first_id.isdecimal() and events.last_id.isdecimal()):
            return
        first, last = int(events.first_id), int(events.last_id)
        follows = self.last is None or first == self.last + 1
        if not follows or last - first + 1 != events.count:
            raise EventsOutOfOrder(
                f"events {first} to {last} do not follow event {self.last}"
            )
        self.last = last


@attrs.define
class EventSplitter:
    r"""Splits a byte stream into complete events.

    Attributes
    ----------
    rest
        Bytes of an event that is not complete yet.

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
        """Add received bytes; return the events that are now complete, or None.

        Raises
        ------
        StreamCut
            If an event is longer than any event may be.
        """
        data = self.rest + data if self.rest else data
        boundary = data.rfind(SEPARATOR)
        if boundary < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise StreamCut("an event has no end")
            self.rest = data
            return None
        boundary += len(SEPARATOR)
        complete, self.rest = data[:boundary], data[boundary:]
        count = complete.count(SEPARATOR)
        if count == 1:
            event_id = _event_id(complete)
            return Events(complete, 1, event_id, event_id)
        events = complete[: -len(SEPARATOR)].split(SEPARATOR)
        return Events(complete, count, _event_id(events[0]), _event_id(events[-1]))


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

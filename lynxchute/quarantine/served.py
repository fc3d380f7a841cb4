"""Remember requests that upstreams have served without crashing."""

from __future__ import annotations

from collections import OrderedDict

# Content ids that are remembered, at some 150 bytes each: the requests of a minute on
# the busiest VM.
MAX_REMEMBERED = 2000


class ServedContents:
    """Times at which upstreams last served each request, by content id.

    Examples
    --------
    >>> served = ServedContents()
    >>> served.record_served("q", 100)
    >>> served.was_served_since("q", 50), served.was_served_since("q", 200)
    (True, False)
    >>> served.was_served_since("other", 0)
    False
    """

    def __init__(self) -> None:
        self._at_ms_by_content: OrderedDict[str, int] = OrderedDict()

    def record_served(self, content: str, now_ms: int) -> None:
        """Record that an upstream has served a request without crashing."""
        self._at_ms_by_content[content] = now_ms
        self._at_ms_by_content.move_to_end(content)
        if len(self._at_ms_by_content) > MAX_REMEMBERED:
            self._at_ms_by_content.popitem(last=False)

    def was_served_since(self, content: str, then_ms: int) -> bool:
        """Return whether a request was served on this router after a time."""
        served_ms = self._at_ms_by_content.get(content)
        return served_ms is not None and served_ms > then_ms

"""Requests that upstreams have served: these end none."""

from __future__ import annotations

from collections import OrderedDict

# Contents that are remembered at most, some 150 bytes each: those of a minute of the
# busiest VM.
MAX_REMEMBERED = 2000


class ServedContents:
    """When each request was last served here, by its content.

    Examples
    --------
    >>> served = ServedContents()
    >>> served.record_served("q", 100)
    >>> served.has_served_since("q", 50), served.has_served_since("q", 200), served.has_served_since("other", 0)
    (True, False, False)
    """

    def __init__(self) -> None:
        self._at_ms_by_content: OrderedDict[str, int] = OrderedDict()

    def record_served(self, content: str, now_ms: int) -> None:
        """Note that an upstream has outlived a request."""
        self._at_ms_by_content[content] = now_ms
        self._at_ms_by_content.move_to_end(content)
        if len(self._at_ms_by_content) > MAX_REMEMBERED:
            self._at_ms_by_content.popitem(last=False)

    def has_served_since(self, content: str, then_ms: int) -> bool:
        """Return whether a request was served here after a time."""
        served_ms = self._at_ms_by_content.get(content)
        return served_ms is not None and served_ms > then_ms

"""Remember the prompt parts that upstreams have served without crashing."""

from __future__ import annotations

from collections import OrderedDict, deque

from lynxchute.quarantine.prompt import PromptParts

# Times that are remembered, at some 200 bytes each. A part has one for its version and
# one for any.
MAX_REMEMBERED = 8000
# Stands for a version that is not known.
ANY_VERSION = ""
# Served runs whose times are remembered.
MAX_RUNS = 1000


class ServedParts:
    """Times at which this router last saw each prompt part served.

    Examples
    --------
    >>> served = ServedParts()
    >>> served.record_served(PromptParts("pool m", "v1", "a", ("p", "q")), 100)
    >>> served.last_ms("pool m", "v1", "p"), served.last_ms("pool m", "v2", "p")
    (100, None)
    >>> served.last_ms("pool m", "", "p")
    100
    >>> served.count_since("pool m", "v1", 100), served.count_since("pool m", "v1", 101)
    (1, 0)
    """

    def __init__(self) -> None:
        self._at_ms_by_part: OrderedDict[tuple[str, str, str], int] = OrderedDict()
        self._runs: deque[tuple[int, str, str]] = deque(maxlen=MAX_RUNS)

    def record_served(self, prompt: PromptParts, now_ms: int) -> None:
        """Record that a run with these parts did not crash its upstream."""
        self._runs.append((now_ms, prompt.scope, prompt.version))
        for part in prompt.ids:
            for version in {prompt.version, ANY_VERSION}:
                key = (prompt.scope, version, part)
                self._at_ms_by_part[key] = max(now_ms, self._at_ms_by_part.get(key, 0))
                self._at_ms_by_part.move_to_end(key)
        while len(self._at_ms_by_part) > MAX_REMEMBERED:
            self._at_ms_by_part.popitem(last=False)

    def last_ms(self, scope: str, version: str, part: str) -> int | None:
        """Return when a part was last served; None if that is not remembered.

        For an unknown version, this is when it was last served at any.
        """
        return self._at_ms_by_part.get((scope, version, part))

    def count_since(self, scope: str, version: str, then_ms: int) -> int:
        """Return the number of runs that were served from a time on."""
        return sum(
            at_ms >= then_ms and (run_scope, run_version) == (scope, version)
            for at_ms, run_scope, run_version in self._runs
        )

"""Attribution of emulated engine crashes to prompt parts."""

from __future__ import annotations

from collections.abc import Iterable

from lynxchute.bench.emulator.engine import EngineRun
from lynxchute.bench.emulator.scenario import Arrival
from lynxchute.quarantine import BrokenRun, PartAttribution, Progress, PromptParts
from lynxchute.quarantine.part_suspicion import SHARE_WINDOW_MS
from lynxchute.upstreams.entry import CRASH_WINDOW_SECONDS

SCOPE, VERSION = "emulated", "1"


class EmulatedQuarantine:
    """The routers' knowledge of prompt parts, as if all of them were one.

    Parameters
    ----------
    is_enabled
        Whether requests with blamed parts are refused.
    """

    def __init__(self, *, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._attribution = PartAttribution()
        self._served_at_ms_by_part: dict[str, int] = {}
        self._served_at_ms: list[int] = []
        self._crashes = 0

    def record_crash(
        self, runs: Iterable[tuple[str, EngineRun, Arrival]], now: float
    ) -> None:
        """Record the runs that were open at an engine as it crashed, with their ids."""
        process = f"crash-{self._crashes}"
        self._crashes += 1
        broken = []
        for run_id, run, arrival in runs:
            if run.first_at is None or now - run.first_at >= CRASH_WINDOW_SECONDS:
                continue
            prompt = _prompt(arrival)
            broken.append(BrokenRun(run_id, process, Progress.BEGUN, prompt=prompt))
        self._attribution.record_crash(process, broken, _ms(now))

    def record_served(self, arrival: Arrival, now: float) -> None:
        """Record a run that ended without a crash."""
        self._served_at_ms.append(_ms(now))
        for part in _prompt(arrival).ids:
            self._served_at_ms_by_part[part] = _ms(now)

    def judge(self, now: float) -> None:
        """Quarantine what is proven by the crashes and the served runs so far."""
        now_ms = _ms(now)
        oldest_ms = now_ms - SHARE_WINDOW_MS
        self._served_at_ms = [at for at in self._served_at_ms if at >= oldest_ms]
        attribution = self._attribution
        attribution.record_served(SCOPE, VERSION, self._served_at_ms_by_part, now_ms)
        attribution.record_served_runs({SCOPE: len(self._served_at_ms)})
        attribution.quarantine_proven(now_ms)

    def refuses(self, arrival: Arrival, now: float) -> bool:
        """Return whether a request is refused for its parts."""
        if not self._is_enabled:
            return False
        prompt = _prompt(arrival)
        return any(
            _ms(now) < entry.until_ms and entry.matches(prompt)
            for entry in self._attribution.entries.by_id.values()
        )


def _prompt(arrival: Arrival) -> PromptParts:
    ids = arrival.generation.shared_part_ids
    return PromptParts(SCOPE, VERSION, arrival.account, ids)


def _ms(seconds: float) -> int:
    return int(seconds * 1000)

"""Notice upstreams that have gone silent while they owe answers."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.application import Loop, Tasks
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory, Entry
from lynxchute.upstreams.engines import Engines, EngineSilent
from lynxchute.upstreams.health import Fate

# Seconds between two looks.
STEP_SECONDS = 0.1
# An upstream that owes answers and has sent nothing for this many seconds is
# asked whether it is there. Reading a long prompt takes as long, so that
# silence alone tells nothing.
SILENT_SECONDS = 0.35
# Seconds until it is asked again while it stays silent.
AGAIN_SECONDS = 0.6


class SilenceWatch:
    """Ask silent upstreams whether they are there, and leave those that are not.

    TCP notices a VM without power or behind a partition after seconds only.
    Requests that may run elsewhere are broken off, so that they go on there;
    others wait for their answer as long as they may.

    Parameters
    ----------
    directory
        The upstreams.
    engines
        Asks them.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self, directory: Directory, engines: Engines, clock: Callable[[], float]
    ) -> None:
        self.tasks = Tasks()
        self.loop = Loop("silence", self._step, STEP_SECONDS)
        self._directory = directory
        self._engines = engines
        self._clock = clock

    async def _step(self) -> None:
        now = self._clock()
        for entry in self._directory.entries_by_id.values():
            if not entry.open_sends or now - entry.heard_at < SILENT_SECONDS:
                continue
            if now - entry.probed_at < AGAIN_SECONDS:
                continue
            if not any(send.may_move() for send in entry.open_sends):
                continue
            entry.probed_at = now
            self.tasks.spawn(self._probe(entry))

    async def _probe(self, entry: Entry) -> None:
        asked_at = self._clock()
        try:
            await self._engines.probe(entry.upstream)
        except EngineSilent as error:
            if entry.heard_at < asked_at:
                self._leave(entry, str(error))

    def _leave(self, entry: Entry, reason: str) -> None:
        moving = [send for send in entry.open_sends if send.may_move()]
        log_event(
            "upstream silent",
            upstream=entry.upstream.id,
            open_sends=len(entry.open_sends),
            moving=len(moving),
            reason=reason,
        )
        entry.health.note(Fate.UNREACHED, self._clock())
        for send in moving:
            send.handle.abort()

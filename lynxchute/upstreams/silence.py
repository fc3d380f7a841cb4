"""Notice upstreams that have gone silent while they owe answers."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.application import Loop, Tasks
from lynxchute.reachability import Reachability
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable
from lynxchute.upstreams.entry import Entry
from lynxchute.upstreams.health import SendOutcome
from lynxchute.upstreams.probes import handle_probe

# Seconds between two looks.
STEP_SECONDS = 0.1
# An upstream that owes answers and has sent nothing for this many seconds is
# asked whether it is there. Reading a long prompt takes as long, so that
# silence alone tells nothing.
SILENT_SECONDS = 0.35
# Where another one of its data centre has just been found silent, it is asked
# after this many seconds: longer than the pause between two events of a stream.
SUSPECT_SECONDS = 0.1
# Seconds between two questions to a data centre that is out of reach.
CUT_AGAIN_SECONDS = 0.5
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
    reachability
        Which data centres can be reached.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self,
        directory: Directory,
        engines: EngineClient,
        reachability: Reachability,
        clock: Callable[[], float],
    ) -> None:
        self.tasks = Tasks()
        self.loop = Loop("silence", self._step, STEP_SECONDS, self._is_owed)
        self._directory = directory
        self._engines = engines
        self._reachability = reachability
        self._clock = clock
        self._asked_cut_at: dict[str, float] = {}

    def _is_owed(self) -> bool:
        """Return whether an upstream may have to be asked."""
        if self._reachability.is_any_cut:
            return True
        return any(e.open_sends for e in self._directory.entries_by_id.values())

    async def _step(self) -> None:
        now = self._clock()
        is_any_cut = self._reachability.is_any_cut
        for entry in self._directory.entries_by_id.values():
            # Nearly all of many: 3,000 took 0.9 ms a step, and take 0.1 with this.
            if not entry.open_sends and not is_any_cut:
                continue
            if self._is_silent(entry, now, SILENT_SECONDS):
                self._ask(entry, now)
            elif self._reachability.is_cut(entry.upstream.data_centre):
                self._ask_cut(entry, now)

    def _is_silent(self, entry: Entry, now: float, seconds: float) -> bool:
        """Return whether an upstream owes answers and is due to be asked."""
        if not entry.open_sends or now - entry.heard_at < seconds:
            return False
        if now - entry.probed_at < AGAIN_SECONDS:
            return False
        return any(send.may_move() for send in entry.open_sends)

    def _ask_cut(self, entry: Entry, now: float) -> None:
        """Ask one upstream after the other whether its data centre is back."""
        data_centre = entry.upstream.data_centre
        asked_at = self._asked_cut_at.get(data_centre, -CUT_AGAIN_SECONDS)
        if now - asked_at < CUT_AGAIN_SECONDS or not entry.takes_work:
            return
        if now - entry.probed_at < AGAIN_SECONDS:
            return
        self._asked_cut_at[data_centre] = now
        self._ask(entry, now)

    def _ask(self, entry: Entry, now: float) -> None:
        entry.probed_at = now
        self.tasks.spawn(self._probe(entry))

    async def _probe(self, entry: Entry) -> None:
        asked_at = self._clock()
        try:
            probe = await self._engines.probe(entry.upstream)
        except EngineUnavailable as error:
            if entry.heard_at >= asked_at:
                return
            if error.is_silence:
                self._suspect_others(entry)
            self._leave(entry, str(error))
            return
        self._note_heard(entry.upstream.data_centre)
        handle_probe(self._directory, entry, probe, self._clock())

    def _note_heard(self, data_centre: str) -> None:
        if not self._reachability.is_cut(data_centre):
            return
        self._reachability.note_heard(data_centre)
        for entry in self._directory.entries_by_id.values():
            if entry.upstream.data_centre == data_centre:
                entry.health.resume()

    def _suspect_others(self, silent: Entry) -> None:
        """Ask the others of a data centre sooner than their silence would have it."""
        data_centre, now = silent.upstream.data_centre, self._clock()
        self._reachability.note_silent(
            data_centre, silent.upstream.id, now, is_upstream=True
        )
        for entry in self._directory.entries_by_id.values():
            if entry.upstream.data_centre != data_centre or entry is silent:
                continue
            if self._is_silent(entry, now, SUSPECT_SECONDS):
                self._ask(entry, now)

    def _leave(self, entry: Entry, reason: str) -> None:
        entry.health.record(SendOutcome.UNREACHED, self._clock())
        moving = [send for send in entry.open_sends if send.may_move()]
        if not moving:
            return
        log_event(
            "upstream silent",
            upstream=entry.upstream.id,
            open_sends=len(entry.open_sends),
            moving=len(moving),
            reason=reason,
        )
        for send in moving:
            send.cancel()

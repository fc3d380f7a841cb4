"""Let sound upstreams fall silent for about a second and go on, beside other faults.

It has a random generator of its own, so that its draws don't shift the other faults'.
"""

import asyncio
import collections
import json
import random
import time

from lynxchute.standins.link import Partition

# Seeds with silent upstreams. Other seeds keep the faults that they had.
SILENT_SEEDS = range(66_000, 70_000)
# Every 2nd of them has planned work only beside the silence.
PLANNED_INTERVAL = 2
SILENCE_SECONDS = (0.3, 1.6)
SILENCES_IN_SERIES = (1, 3)
PAUSE_IN_SERIES = (0.05, 0.6)
SERIES_INTERVAL = (0.1, 1.0)
# Series that may overlap.
CONCURRENT_SERIES = 2
CHANGE_SHARE = 0.5
IDLE_TIMEOUTS_MS = (1500, 3000, 5000)
# Streams are open for longer than in other seeds, and callers wait longer.
EVENT_DELAY = 0.2
DEADLINES_MS = (3000, 5000, 8000)
CALLERS_PER_ROUTER = 6
LOG_NAME = "silences.log"
# Version of the only engine that has other software when the fleet starts.
LONE_VERSION = "v2"


def has_silence(seed):
    """Return whether sound upstreams fall silent in a seed."""
    return seed in SILENT_SEEDS


def is_planned_only(seed):
    """Return whether a seed with silent upstreams has planned work only."""
    return seed % PLANNED_INTERVAL == 0


class SilenceInjector:
    """Silence upstreams towards all routers at a time, in series that may overlap."""

    def __init__(self, fleet, seed):
        self.counts = collections.Counter()
        self._fleet = fleet
        self._rng = random.Random(f"silence of {seed}")
        self._silent = set()
        self._is_active = has_silence(seed)

    async def run(self, seconds):
        if not self._is_active:
            return
        end = asyncio.get_running_loop().time() + seconds
        series = [self._run_series(end) for _ in range(CONCURRENT_SERIES)]
        await asyncio.gather(*series)

    def clear(self):
        """Let all upstreams answer as fast as in other seeds."""
        self._fleet.use_short_delays()

    async def _run_series(self, end):
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self._rng.uniform(*SERIES_INTERVAL))
            choose = self._rng.choice(CHOICES)
            chosen = [u for u in choose(self) if u not in self._silent]
            if not chosen:
                continue
            self._silent.update(chosen)
            try:
                await self._silence_repeatedly(chosen)
            finally:
                self._silent.difference_update(chosen)

    async def _silence_repeatedly(self, upstreams):
        for _ in range(self._rng.randint(*SILENCES_IN_SERIES)):
            seconds = self._rng.uniform(*SILENCE_SECONDS)
            changes_configuration = self._rng.random() < CHANGE_SHARE
            change_delay = self._rng.uniform(0.0, seconds)
            self._log_silence(upstreams, seconds)
            self.counts["silences"] += 1
            try:
                for upstream in upstreams:
                    upstream.link.partition(Partition.SILENT)
                if changes_configuration:
                    await asyncio.sleep(change_delay)
                    await self._change_idle_timeout()
                    seconds -= change_delay
                await asyncio.sleep(seconds)
            finally:
                for upstream in upstreams:
                    await upstream.link.restore()
            await asyncio.sleep(self._rng.uniform(*PAUSE_IN_SERIES))

    def _log_silence(self, upstreams, seconds):
        """Write a silence to a file that is kept with the routers' logs."""
        ids = [upstream.standin.id for upstream in upstreams]
        line = {"time": time.time(), "upstreams": ids, "seconds": round(seconds, 3)}
        with (self._fleet.folder / LOG_NAME).open("a") as log:
            log.write(json.dumps(line) + "\n")

    async def _change_idle_timeout(self):
        self._fleet.idle_timeout_ms = self._rng.choice(IDLE_TIMEOUTS_MS)
        await self._fleet.configure()

    # Choices of upstreams

    def _running(self):
        return [upstream for upstream in self._fleet.upstreams if upstream.is_up]

    def _pick_one(self):
        return [self._rng.choice(self._running())]

    def _pick_lone_engine(self):
        """Return an engine that no other one shares the version with, or any engine."""
        engines = [u for u in self._running() if u.standin.events]
        versions = collections.Counter(u.standin.software_version for u in engines)
        lone = [u for u in engines if versions[u.standin.software_version] == 1]
        return [self._rng.choice(lone or engines)]

    def _pick_service(self):
        service = self._rng.choice(self._running()).standin.service
        return [u for u in self._running() if u.standin.service == service]

    def _pick_data_centre(self):
        data_centre = self._rng.choice(self._running()).standin.data_centre
        return [u for u in self._running() if u.standin.data_centre == data_centre]


CHOICES = (
    SilenceInjector._pick_one,
    SilenceInjector._pick_lone_engine,
    SilenceInjector._pick_lone_engine,
    SilenceInjector._pick_service,
    SilenceInjector._pick_data_centre,
)

"""Requests with a prompt part that crashes engines, beside sound ones."""

import asyncio
import itertools
from collections import Counter, defaultdict

import attrs

from lynxchute.http import ExchangeError
from tests.platform_support import PlatformCaller, event_ids

ROUTERS = ("a-1", "a-2", "b-1", "b-2")
ENGINES = 8
EVENTS = 6
PART = "deadbeef"
# Seconds by which all routers must refuse a part after its fifth crash, and requests
# with the part that may still reach engines later than that.
CONTACT_SECONDS = 3.0
CRASHES_TO_KNOW = 5
MAX_LATE = 3
# Share of the sound requests that are served at the first attempt from twice
# `CONTACT_SECONDS` after the fifth crash on.
MIN_SOUND_SHARE = 0.95
PART_REFUSAL = b"crashing-prompt-part"
_numbers = itertools.count(1)


@attrs.frozen
class SoundResult:
    sent_at: float
    status: int
    is_whole: bool
    body: bytes


@attrs.define(slots=False)
class PartPlay:
    """Sends requests to all routers in turn and restarts engines that crash.

    Attributes
    ----------
    deadly_parts, sound_parts
        Return the parts before the last one of the request with a number, with tokens.
    deadly_interval, sound_interval
        Seconds between two requests.
    down_seconds
        Seconds for which an engine is down after a crash.
    vms
        The routers that requests are sent to in turn.
    vm_of
        Returns the router for the request with a number; None sends to all in turn.
    vm_by_id
        The router that each request was sent to.
    crash_interval
        Seconds between crashes of the busiest engine, whatever it runs; 0 for none.
    """

    deployment: object
    deadly_parts: object = lambda number: [(PART, 50)]
    sound_parts: object = lambda number: [("aa", 50)]
    deadly_interval: float = 0.3
    sound_interval: float = 0.05
    down_seconds: float = 1.5
    path: str = "/stream/x"
    vms: tuple = ROUTERS
    vm_of: object = None
    crash_interval: float = 0.0
    crash_times: list = attrs.Factory(list)
    crash_times_by_part: dict = attrs.Factory(lambda: defaultdict(list))
    deadly_parts_by_id: dict = attrs.Factory(dict)
    vm_by_id: dict = attrs.Factory(dict)
    deadly_answers: list = attrs.Factory(list)
    sound_results: list = attrs.Factory(list)
    _tasks: set = attrs.Factory(set)
    _crashes_by_engine: dict = attrs.Factory(dict)
    _crash_runs_by_engine: dict = attrs.Factory(dict)
    _down: set = attrs.Factory(set)

    def prepare(self, *parts, **options):
        for engine in self.deployment.engines:
            engine.crash_parts.update(parts or [PART])
            engine.events, engine.event_delay = EVENTS, 0.01
            for name, value in options.items():
                setattr(engine, name, value)

    async def run(self, seconds):
        """Play for some seconds, then wait for what is open."""
        loops = [
            asyncio.create_task(self._watch_crashes()),
            asyncio.create_task(self._crash_busy_engines()),
            asyncio.create_task(self._send_regularly(self._send_sound, "sound")),
            asyncio.create_task(self._send_regularly(self._send_deadly, "deadly")),
        ]
        try:
            await asyncio.sleep(seconds)
        finally:
            for task in loops[1:]:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            loops[0].cancel()

    @property
    def crashes(self):
        return len(self.crash_times)

    @property
    def late(self):
        """Return the most requests with one part that reached engines too late."""
        return max(map(len, self.late_by_part.values()), default=0)

    @property
    def late_by_part(self):
        """Return the sends of requests with each part that came too late."""
        arrivals = []
        for engine in self.deployment.engines:
            arrivals += engine.arrival_log.items()
        late_by_part = {}
        for part, times in self.crash_times_by_part.items():
            if len(times) < CRASHES_TO_KNOW:
                continue
            known_from = times[CRASHES_TO_KNOW - 1] + CONTACT_SECONDS
            late_by_part[part] = [
                request_id
                for time, request_id in arrivals
                if part in self.deadly_parts_by_id.get(request_id, ())
                and time > known_from
            ]
        return late_by_part

    @property
    def sound_share(self):
        """Return the share of sound requests served once the part must be known."""
        if self.crashes:
            fifth_or_last = self.crash_times[:CRASHES_TO_KNOW][-1]
            begin = fifth_or_last + 2 * CONTACT_SECONDS
        else:
            begin = 0.0
        results = [r for r in self.sound_results if r.sent_at > begin]
        if not results:
            return None
        return sum(result.is_whole for result in results) / len(results)

    @property
    def refused_sound(self):
        """Return the sound requests that were refused for a part."""
        return [r for r in self.sound_results if PART_REFUSAL in r.body]

    def summary(self):
        statuses = Counter(status for status, _ in self.deadly_answers)
        return {
            "crashes": self.crashes,
            "late": self.late,
            "sound": self.sound_share,
            "sound_refused": len(self.refused_sound),
            "deadly": dict(statuses),
        }

    async def _send_regularly(self, send, kind):
        for number in itertools.count():
            interval = self.sound_interval if kind == "sound" else self.deadly_interval
            if not interval:
                return
            task = asyncio.create_task(send(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(interval)

    async def _send_sound(self, number):
        sent_at = asyncio.get_running_loop().time()
        status, body = await self._request(number, self.sound_parts(number), "sound")
        is_whole = status == 200 and event_ids(body) == list(range(1, EVENTS + 1))
        self.sound_results.append(SoundResult(sent_at, status, is_whole, body))

    async def send_deadly(self, numbers, interval):
        """Send requests with these numbers at an interval, and wait for them."""
        tasks = []
        for number in numbers:
            tasks.append(asyncio.create_task(self._send_deadly(number)))
            await asyncio.sleep(interval)
        await asyncio.gather(*tasks)

    async def _send_deadly(self, number):
        status, body = await self._request(number, self.deadly_parts(number), "deadly")
        self.deadly_answers.append((status, body))

    async def _request(self, number, parts, kind):
        vms = [vm for vm in self.vms if vm in self.deployment.routers]
        vm = self.vm_of(number) if self.vm_of else vms[number % len(vms)]
        request_id = f"{kind}{next(_numbers)}"
        self.vm_by_id[request_id] = vm
        if kind == "deadly":
            self.deadly_parts_by_id[request_id] = {part for part, _ in parts}
        caller = PlatformCaller(self.deployment, vm)
        prompt = ",".join(f"{part}:{tokens}" for part, tokens in parts)
        headers = [
            *caller.headers(request_id),
            ("X-Model", "m"),
            ("X-Token-Counts", "100,60"),
            ("X-Prompt-Prefix", f"{prompt},{request_id.encode().hex()[-20:]}:10"),
        ]
        try:
            response = await caller.client.request(
                "POST", self.path, headers=headers, body=request_id.encode()
            )
            return response.status, await response.body()
        except (ExchangeError, OSError):
            return 0, b""
        finally:
            caller.client.close()

    async def _crash_busy_engines(self):
        while self.crash_interval:
            await asyncio.sleep(self.crash_interval)
            up = [e for e in self.deployment.engines if e not in self._down]
            if up:
                max(up, key=lambda engine: engine.open_connections).crash()

    async def _watch_crashes(self):
        while True:
            await asyncio.sleep(0.01)
            for engine in self.deployment.engines:
                if engine.crashes == self._crashes_by_engine.get(engine, 0):
                    continue
                self._crashes_by_engine[engine] = engine.crashes
                self._record_crash(engine)
                task = asyncio.create_task(self._restart(engine))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _record_crash(self, engine):
        now = asyncio.get_running_loop().time()
        self.crash_times.append(now)
        self._down.add(engine)
        runs = engine.crash_runs[self._crash_runs_by_engine.get(engine, 0) :]
        self._crash_runs_by_engine[engine] = len(engine.crash_runs)
        for part in {part for run in runs for part in run.shared_part_ids}:
            if part in engine.crash_parts:
                self.crash_times_by_part[part].append(now)

    async def _restart(self, engine):
        await asyncio.sleep(self.down_seconds)
        await engine.start_new_process(self.deployment.store)
        self._down.discard(engine)

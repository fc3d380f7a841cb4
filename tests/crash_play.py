"""Router processes whose engines crash under prompt parts, beside other trouble.

The fleet has as many routers, data centres and engines as one of three deployments, or
few engines. Routers are killed, suspended and stopped, the store is away and engines
are replaced in one random series, while requests with crashing parts come beside sound
ones. `python -m tests.crash_play` plays variants by their names, also with the code of
another checkout.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import random
import sys
import tempfile
import types

import attrs
import defopt

from lynxchute.event_loop import run as run_loop
from lynxchute.platform.names import UPSTREAM_TABLE
from tests.part_play import CONTACT_SECONDS, CRASHES_TO_KNOW, MAX_LATE, PART, PartPlay
from tests.suspension_play import run_beside
from tests.swap_play import SwapFleet

OTHER_PART = "beefdead"
PLAY_SECONDS = 25.0
SEED = 89
# Share of the sound requests at routers in touch that must be served at the first try.
MIN_SOUND_SHARE = 0.5
# Ranges in seconds: between two faults, of an outage of the store, of a suspension.
FAULT_INTERVAL = (0.5, 2.5)
OUTAGE_SECONDS = (1.0, 4.0)
SUSPENSION_SECONDS = (0.5, 3.5)
KILLS_OF_ALL = 5
KILL_INTERVAL = 1.2
TURN_SECONDS = 1.0


@attrs.frozen
class Shape:
    """The size of a deployment."""

    routers: tuple
    engines_per_data_centre: int


SHAPES = {
    "naipes": Shape(("a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"), 2),
    "yukimichi": Shape(("a-1", "a-2", "a-3", "b-1", "b-2", "c-1", "c-2"), 2),
    "few": Shape(("a-1", "a-2", "b-1", "b-2"), 1),
    "voltbay": Shape(("a-1", "a-2", "a-3", "b-1", "b-2", "c-1", "c-2"), 4),
}


@attrs.frozen
class Variant:
    """How requests with crashing parts come.

    Attributes
    ----------
    parts
        Parts that crash engines, one in each request in turn.
    interval, down_seconds
        Seconds between two such requests, and until a crashed engine is back.
    trouble
        Name of the method of `Trouble` that runs beside it.
    retries
        How often a caller repeats a request that got no answer, under another id.
    """

    parts: tuple = (PART,)
    interval: float = 0.3
    path: str = "/stream/x"
    down_seconds: float = 1.5
    trouble: str = "disturb_at_random"
    retries: int = 0


VARIANTS = {
    "calm": Variant(trouble="none"),
    "usual": Variant(),
    "fast": Variant(interval=0.1),
    "slow": Variant(interval=1.5),
    "two": Variant((PART, OTHER_PART), down_seconds=4.0),
    "two_calm": Variant((PART, OTHER_PART), down_seconds=4.0, trouble="none"),
    "once": Variant(path="/once/x"),
    "retried": Variant(retries=2),
    "all_killed": Variant(trouble="kill_all_in_series"),
    "all_killed_slow": Variant(interval=0.8, trouble="kill_all_in_series"),
    "suspended": Variant(trouble="suspend_in_turn"),
    "suspended_two": Variant((PART, OTHER_PART), trouble="suspend_in_turn"),
}


@attrs.define(slots=False)
class RecordingPlay(PartPlay):
    """Lets callers repeat requests, and records which router got which request."""

    retries: int = 0
    sound_vms: list = attrs.Factory(list)

    async def _send_deadly(self, number):
        for _ in range(self.retries + 1):
            status, body = await self._request(
                number, self.deadly_parts(number), "deadly"
            )
            self.deadly_answers.append((status, body))
            if status not in (0, 502):
                return

    def is_down(self, engine):
        return engine in self._down

    async def replace(self, engine):
        """End an engine's process without a crash, and start a new one."""
        self._down.add(engine)
        await engine.stop()
        await engine.start_new_process(self.deployment.store)
        self._down.discard(engine)

    async def _send_sound(self, number):
        vm = self.vms[number % len(self.vms)]
        await super()._send_sound(number)
        self.sound_vms.append((self.sound_results[-1], vm))


class CrashFleet(SwapFleet):
    """Router processes and stand-ins with the attributes that a part play needs."""

    async def start_shape(self, shape):
        """Start the routers and engines of a deployment."""
        await self.start(shape.routers)
        for engine in list(self._surplus(shape.engines_per_data_centre)):
            await self.store.drop(UPSTREAM_TABLE, engine.id)
            await engine.stop()
            self.upstreams.remove(engine)

    def _surplus(self, most):
        """Return the engines beyond a number in each data centre."""
        count_by_data_centre = collections.Counter()
        for engine in self.engines:
            count_by_data_centre[engine.data_centre] += 1
            if count_by_data_centre[engine.data_centre] > most:
                yield engine

    @property
    def engines(self):
        return [upstream for upstream in self.upstreams if upstream.service == "pool"]

    @property
    def settings(self):
        return {
            vm: types.SimpleNamespace(callers=f"127.0.0.1:{router.ports['front']}")
            for vm, router in self.routers.items()
        }

    def is_disturbed(self, vm, time):
        return self._is_disturbed(vm, time)


@attrs.define
class Trouble:
    """Disturb routers, the store and engines at random moments."""

    fleet: CrashFleet
    played: RecordingPlay
    rng: random.Random
    counts: dict = attrs.Factory(dict)

    async def none(self):
        """Disturb nothing."""

    async def disturb_at_random(self):
        """Disturb until cancelled; faults overlap."""
        faults = (
            self.kill_one,
            self.kill_all,
            self.suspend,
            self.lose_store,
            self.replace_engine,
            self.hand_over,
        )
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL))
                fault = self.rng.choices(faults, (4, 1, 3, 2, 3, 1))[0]
                name = fault.__name__
                self.counts[name] = self.counts.get(name, 0) + 1
                group.create_task(fault())

    async def kill_all_in_series(self):
        """Kill all routers again as soon as they serve, while the part is unknown."""
        for _ in range(KILLS_OF_ALL):
            await asyncio.sleep(KILL_INTERVAL)
            await self.kill_all()

    async def suspend_in_turn(self):
        """Suspend each router in turn, the judge among them, two at a time."""
        vms = sorted(self.fleet.routers)
        for number in itertools.count():
            pair = [vms[number % len(vms)], vms[(number + 1) % len(vms)]]
            await self.fleet.suspend(pair, TURN_SECONDS)

    def _some(self, most):
        vms = sorted(self.fleet.routers)
        return self.rng.sample(vms, self.rng.randint(1, most))

    async def kill_one(self):
        await self.fleet.kill(self._some(2))

    async def kill_all(self):
        await self.fleet.kill(sorted(self.fleet.routers))

    async def suspend(self):
        await self.fleet.suspend(self._some(3), self.rng.uniform(*SUSPENSION_SECONDS))

    async def lose_store(self):
        self.fleet.set_store_away(True)
        self.fleet.disturb(self.fleet.routers)
        try:
            await asyncio.sleep(self.rng.uniform(*OUTAGE_SECONDS))
        finally:
            self.fleet.set_store_away(False)
            self.fleet.disturb(self.fleet.routers)

    async def replace_engine(self):
        """Let an engine lose its process; it comes back under a new id."""
        engine = self.rng.choice(self.fleet.engines)
        if not self.played.is_down(engine):
            await self.played.replace(engine)

    async def hand_over(self):
        await self.fleet.hand_over(self._some(1)[0])


def late_in_touch(play, fleet):
    """Return the late sends by part, of requests to routers in touch."""
    found = {}
    for part, request_ids in play.late_by_part.items():
        times = {}
        for engine in fleet.engines:
            times |= {request: time for time, request in engine.arrival_log.items()}
        found[part] = [
            request_id
            for request_id in request_ids
            if not fleet.is_disturbed(play.vm_by_id[request_id], times[request_id])
        ]
    return found


def sound_share(play, fleet):
    """Return the share of sound requests served, at routers in touch, and their number.

    Counted are those sent once the fifth crash of each part must be known and its
    engines are back.
    """
    fifth_or_last = [t[:CRASHES_TO_KNOW][-1] for t in play.crash_times_by_part.values()]
    begin = max(fifth_or_last, default=0.0) + 2 * CONTACT_SECONDS + play.down_seconds
    results = [
        result
        for result, vm in play.sound_vms
        if result.sent_at > begin
        and not fleet.is_disturbed(vm, result.sent_at)
        and not fleet.is_disturbed(vm, result.sent_at + 1.0)
    ]
    if not results:
        return 1.0, 0
    return sum(result.is_whole for result in results) / len(results), len(results)


async def play(folder, shape, variant, *, seed=SEED, seconds=PLAY_SECONDS, code=None):
    """Play one variant; return its counts and what was broken."""
    rng = random.Random(seed)
    fleet = CrashFleet(folder, code=code)
    parts = variant.parts
    played = RecordingPlay(
        fleet,
        deadly_parts=lambda number: [
            (rng.choice(("aa", "ab")), 50),
            (parts[number % len(parts)], 30),
        ],
        sound_parts=lambda number: [(("aa", "ab", "ac")[number % 3], 50)],
        vms=shape.routers,
        deadly_interval=variant.interval,
        down_seconds=variant.down_seconds,
        path=variant.path,
        retries=variant.retries,
    )
    trouble = Trouble(fleet, played, rng)
    try:
        await fleet.start_shape(shape)
        played.prepare(*parts)
        series = getattr(trouble, variant.trouble)
        await run_beside(series(), played.run(seconds))
    finally:
        await fleet.stop()
    late = {part: len(found) for part, found in late_in_touch(played, fleet).items()}
    share, counted = sound_share(played, fleet)
    violations = []
    if max(late.values(), default=0) > MAX_LATE:
        violations.append(f"{late} late sends")
    if share < MIN_SOUND_SHARE and counted > 20:
        violations.append(f"{share:.2f} of {counted} sound requests served")
    refused = len(played.refused_sound)
    if refused:
        violations.append(f"{refused} sound requests refused for a part")
    crashes = {part: len(t) for part, t in played.crash_times_by_part.items()}
    return {
        "crashes": crashes,
        "late": late,
        "late at any router": {
            part: len(found) for part, found in played.late_by_part.items()
        },
        "sound": [round(share, 3), counted],
        "trouble": trouble.counts,
        "violations": violations,
    }


def main(
    *names: str,
    shape: str = "naipes",
    code: str | None = None,
    seconds: float = PLAY_SECONDS,
    seed: int = SEED,
    seeds: int = 1,
    keep: pathlib.Path | None = None,
) -> None:
    """Play variants one after another, and print a line of JSON for each.

    Parameters
    ----------
    names
        Names of variants; none for all.
    shape
        Name of the deployment.
    code
        Folder of the routers' code; this one by default.
    seconds
        Seconds for which requests are sent.
    seed
        First seed.
    seeds
        Number of seeds.
    keep
        Folder for the routers' logs; none by default.
    """
    is_broken = False
    for number in range(seed, seed + seeds):
        for name in names or VARIANTS:
            with tempfile.TemporaryDirectory() as temporary:
                folder = pathlib.Path(temporary)
                if keep is not None:
                    folder = keep / f"{shape}-{name}-{number}"
                    folder.mkdir(parents=True, exist_ok=True)
                counts = run_loop(
                    play(
                        folder,
                        SHAPES[shape],
                        VARIANTS[name],
                        seed=number,
                        seconds=seconds,
                        code=code,
                    )
                )
            is_broken = is_broken or bool(counts["violations"])
            played = {"variant": name, "shape": shape, "seed": number}
            print(json.dumps(played | counts), flush=True)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    defopt.run(main)

"""Router processes of a small deployment whose upstreams fail most first sends.

It has seven routers in three data centres, few plain calls at three services with few
slots, and engines of two speeds. All routers are separate processes, which are killed,
stopped, suspended and started by signals, in series that overlap. `python -m
tests.swap_play` plays one series by its name.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile
from unittest import mock

import attrs
import defopt

from lynxchute.edge.settings import DeploymentBounds
from lynxchute.event_loop import run as run_loop
from lynxchute.http import ExchangeError, HttpClient, Timeouts
from lynxchute.platform.names import UPSTREAM_TABLE
from lynxchute.standins.budget_rules import BudgetRules, Sent, overspent
from lynxchute.standins.places import Places
from lynxchute.standins.platform_store import Outage, PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from lynxchute.standins.upstream_run import Fault
from tests.mutant_router import MUTANT_VARIABLE
from tests.platform_support import ACCOUNT, HOST, configuration
from tests.router_process import RouterProcess

BOUNDS = DeploymentBounds(retry_extra=54.0)
ROUTERS = ("a-1", "a-2", "a-3", "b-1", "b-2", "c-1", "c-2")
DATA_CENTRES = ("a", "b", "c")
ENGINES_PER_DATA_CENTRE = 4
# Seconds between the events of engines of the two speeds, and events of a stream.
EVENT_DELAYS = (0.010, 0.010, 0.013)
EVENTS = 8
# Tokens that two accounts have paid for: more than they can use, and far less.
SCARCE_ACCOUNT = "scarce"
PREPAID_BY_ACCOUNT = {ACCOUNT: 10_000_000, SCARCE_ACCOUNT: 2_500}
TOKENS = (100, 60)
TOKENS_PER_EVENT = 3
# Requests a second, over all routers, by kind: as the deployment has them, and with so
# many that may be sent again that the limit of retries binds.
RATES_BY_MIX = {
    "usual": {"safe": 4.0, "unsafe": 9.0, "stream": 8.0, "once": 28.0},
    "repeatable": {"safe": 40.0, "stream": 24.0},
}
SERVICE_BY_KIND = {"safe": "app", "unsafe": "app", "stream": "pool", "once": "pool"}
ATTEMPTS_BY_KIND = {"safe": 2, "unsafe": 1, "stream": 2, "once": 1}
DEADLINES = {"safe": 0.9, "unsafe": 0.9, "stream": 3.0, "once": 3.0}
FAILED_SHARE = 0.8
PLAY_SECONDS = 12.0
# Seconds after a disturbance in which no limits with a time bound apply to a router.
DISTURBED_SECONDS = 3.0
CALLER_TIMEOUTS = Timeouts(first_byte=6.0, between_bytes=6.0)


class FailingSends(list):
    """Faults that let a share of all requests fail."""

    def __init__(self, fault, share, rng):
        super().__init__()
        self.fault, self.share = fault, share
        self._rng = rng

    def __bool__(self):
        return self.share > 0.0

    def pop(self, index=0):
        return self.fault if self._rng.random() < self.share else None


@attrs.define
class SwapFleet:
    """The processes, stand-ins and records of one play.

    Attributes
    ----------
    code
        Folder of the routers' code; None for this one.
    mutant
        Name of the limit that the routers ignore; empty for none.
    sent_by_id
        The requests of callers by id.
    statuses
        Status of each answer, 0 for none.
    spent_by_account
        Tokens of the prompts that ran and of the events that callers got.
    disturbed
        Times in seconds at which routers were disturbed, by VM.
    """

    folder: pathlib.Path
    code: str | None = None
    fault: Fault = Fault.RESET
    mutant: str = ""
    sent_by_id: dict = attrs.Factory(dict)
    statuses: list = attrs.Factory(list)
    spent_by_account: dict = attrs.Factory(collections.Counter)
    disturbed: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    ended_ids: set = attrs.Factory(set)
    routers: dict = attrs.Factory(dict)
    upstreams: list = attrs.Factory(list)
    store: PlatformStoreStandin = attrs.field(factory=PlatformStoreStandin)
    store_ports: dict = attrs.Factory(dict)
    _numbers: object = attrs.Factory(lambda: itertools.count(1))
    _rng: random.Random = attrs.Factory(lambda: random.Random(80))
    _ended: list = attrs.Factory(list)

    async def start(self, vms=ROUTERS):
        for data_centre in DATA_CENTRES:
            delay = EVENT_DELAYS[DATA_CENTRES.index(data_centre)]
            for _ in range(ENGINES_PER_DATA_CENTRE):
                await self._add_upstream("pool", data_centre, EVENTS, delay)
            app = await self._add_upstream("app", data_centre, 0, 0.015)
            app.places = Places(6, 0)
        document = configuration()
        document["tenants"] = [
            {"name": name, "api_keys": [f"key-of-{name}"], "prepaid": tokens}
            for name, tokens in PREPAID_BY_ACCOUNT.items()
        ]
        await self.store.configure(document)
        await self.add_routers(vms)
        await asyncio.gather(*(self.routers[vm].ready() for vm in vms))

    async def _add_upstream(self, service, data_centre, events, delay):
        upstream = PlatformUpstreamStandin(
            service, data_centre, events=events, event_delay=delay
        )
        upstream.faults = FailingSends(self.fault, 0.0, self._rng)
        await upstream.start()
        await upstream.register(self.store)
        self.upstreams.append(upstream)
        return upstream

    async def add_routers(self, vms):
        """Start the first processes of VMs."""
        for vm in vms:
            self.store_ports[vm] = await self.store.open_port()
            self.routers[vm] = self._new_process(vm)
        for vm in vms:
            await self.routers[vm].start()

    def _new_process(self, vm):
        process = RouterProcess(self.folder, vm, self.store_ports[vm], code=self.code)
        process.settings["zones"] = dict.fromkeys(DATA_CENTRES, "r")
        bounds = process.settings["bounds"]
        bounds["retry_budget_extra"] = BOUNDS.retry_extra
        if self.mutant:
            process.module = "tests.mutant_router"
            process.environment[MUTANT_VARIABLE] = self.mutant
        return process

    def disturb(self, vms):
        now = asyncio.get_running_loop().time()
        for vm in vms:
            self.disturbed[vm].append(now)

    async def kill(self, vms):
        """Kill routers and start their next processes at once."""
        self.disturb(vms)
        await asyncio.gather(*(self.routers[vm].kill() for vm in vms))
        for vm in vms:
            await self.routers[vm].start()

    async def replace(self, vms, by):
        """Kill routers for good and start VMs of other names."""
        self.disturb(vms)
        for vm in vms:
            process = self.routers.pop(vm)
            self._ended.append(process)
            await process.kill()
        await self.add_routers(by)

    async def suspend(self, vms, seconds):
        """Suspend routers (SIGSTOP) for some seconds."""
        self.disturb(vms)
        for vm in vms:
            self.routers[vm].send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.disturb(vms)
        for vm in vms:
            self.routers[vm].send_signal(signal.SIGCONT)

    async def hand_over(self, vm):
        """Stop a router in order; its next process starts while it still drains."""
        self.disturb([vm])
        leaving = self.routers[vm]
        leaving.send_signal(signal.SIGTERM)
        self._ended.append(leaving)
        self.routers[vm] = self._new_process(vm)
        await self.routers[vm].start()

    def set_store_away(self, is_away, vms=None):
        for vm in vms or self.store_ports:
            outage = Outage.RESET if is_away else Outage.NONE
            self.store.faults_by_port[self.store_ports[vm]].outage = outage

    async def crash_engines(self, count):
        """Lose engines for good, and start as many others."""
        engines = [u for u in self.upstreams if u.service == "pool"]
        alive = [u for u in engines if u.id not in self.ended_ids]
        for engine in alive[:count]:
            self.ended_ids.add(engine.id)
            await self.store.drop(UPSTREAM_TABLE, engine.id)
            await engine.stop()
            new = await self._add_upstream("pool", engine.data_centre, EVENTS, 0.01)
            new.faults.share = engine.faults.share

    def set_failing(self, share):
        for upstream in self.upstreams:
            upstream.faults.share = share

    async def send_all(self, mix, seconds=PLAY_SECONDS):
        """Send requests of all kinds at their rates, to the routers in turn."""
        kinds = []
        for kind, rate in RATES_BY_MIX[mix].items():
            kinds += [(n / rate, kind) for n in range(int(seconds * rate))]
        loop = asyncio.get_running_loop()
        began, tasks = loop.time(), []
        for number, (at, kind) in enumerate(sorted(kinds)):
            await asyncio.sleep(max(began + at - loop.time(), 0.0))
            vms = sorted(self.routers)
            router = self.routers[vms[number % len(vms)]]
            tasks.append(asyncio.create_task(self._send(router, kind)))
        await asyncio.gather(*tasks)

    def send(self, vm, kind):
        """Begin to send a request to a router; return its task."""
        return asyncio.create_task(self._send(self.routers[vm], kind))

    async def _send(self, router, kind):
        now = asyncio.get_running_loop().time()
        account = self._rng.choice(list(PREPAID_BY_ACCOUNT))
        sent = Sent(
            f"w{next(self._numbers)}",
            SERVICE_BY_KIND[kind],
            router.vm,
            now,
            DEADLINES[kind],
            ATTEMPTS_BY_KIND[kind],
        )
        self.sent_by_id[sent.request_id] = sent
        headers = [
            ("Host", HOST),
            ("X-Request-Id", sent.request_id),
            ("X-Deadline-Ms", str(int(sent.deadline * 1000))),
            ("X-Credential", f"key-of-{account}"),
        ]
        if sent.service == "pool":
            headers.append(("X-Model", "m"))
            headers.append(("X-Token-Counts", f"{TOKENS[0]},{TOKENS[1]}"))
            headers.append(("X-Prompt-Prefix", f"aa:90,{sent.request_id}:10"))
        address = f"127.0.0.1:{router.ports['front']}"
        client = HttpClient(address, timeouts=CALLER_TIMEOUTS)
        status, body = 0, b""
        try:
            response = await client.request(
                "GET" if kind == "safe" else "POST",
                f"/{kind}/x",
                headers=headers,
                body=b"" if kind == "safe" else sent.request_id.encode(),
            )
            status = response.status
            while (piece := await response.read()) is not None:
                body += piece
        except (ExchangeError, OSError):
            pass
        finally:
            client.close()
        self.statuses.append(status)
        if sent.service == "pool" and status == 200:
            events = body.count(b"\n\n")
            self.spent_by_account[account] += TOKENS[0] + TOKENS_PER_EVENT * events

    def rules(self):
        """Return what upstreams received, to be checked."""
        received_by_service = collections.defaultdict(list)
        for upstream in self.upstreams:
            received_by_service[upstream.service] += upstream.received
        return BudgetRules(
            BOUNDS,
            received_by_service,
            self.sent_by_id,
            is_disturbed=self._is_disturbed,
            has_ended=lambda upstream_id, time: upstream_id in self.ended_ids,
        )

    def _is_disturbed(self, vm, time):
        return any(0.0 <= time - t < DISTURBED_SECONDS for t in self.disturbed[vm])

    def violations(self):
        """Return a description of each limit that was passed, prepaid tokens too."""
        paid = overspent(self.spent_by_account, PREPAID_BY_ACCOUNT)
        return [*self.rules().violations(), *paid]

    def summary(self):
        """Return the counts of a play."""
        rules = self.rules()
        peaks, counts = {}, {}
        for service, peak in rules.retry_peaks().items():
            peaks[service] = [peak.retries, round(peak.permitted, 1)]
            received = rules.received_by_service[service]
            counts[service] = len(received) - len({r.request_id for r in received})
        return {
            "retries": counts,
            "retries of permitted": peaks,
            "extra attempts": len(rules.extra_attempts()),
            "wrong deadlines": len(rules.wrong_deadlines()[0]),
            "in backoff": sum(rules.sends_in_backoff().values()),
            "spent": dict(self.spent_by_account),
            "served": self.statuses.count(200),
            "requests": len(self.statuses),
            "violations": self.violations(),
        }

    async def stop(self):
        for router in [*self.routers.values(), *self._ended]:
            await router.kill()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.close()


async def undisturbed(fleet):
    """Disturb nothing."""


async def all_killed_once(fleet):
    """Kill all routers."""
    await asyncio.sleep(4.0)
    await fleet.kill(ROUTERS)


async def all_killed_three_times(fleet):
    """Kill all routers again as soon as they serve."""
    for _ in range(3):
        await asyncio.sleep(2.5)
        await fleet.kill(ROUTERS)


async def killed_in_turn(fleet):
    """Kill the routers one after another, twice."""
    await asyncio.sleep(1.0)
    for vm in (*ROUTERS, *ROUTERS):
        await fleet.kill([vm])
        await asyncio.sleep(0.5)


async def suspended_in_series(fleet):
    """Suspend changing groups of routers while others are killed."""
    await asyncio.sleep(2.0)
    for vms, killed in ((ROUTERS[:4], ROUTERS[4:6]), (ROUTERS[3:], ROUTERS[:2])):
        suspending = asyncio.create_task(fleet.suspend(vms, 2.5))
        await asyncio.sleep(0.7)
        await fleet.kill(killed)
        await suspending
        await asyncio.sleep(0.5)


async def all_suspended(fleet):
    """Suspend all routers together, twice."""
    await asyncio.sleep(2.5)
    for _ in range(2):
        await fleet.suspend(ROUTERS, 1.5)
        await asyncio.sleep(1.0)


async def handed_over_in_turn(fleet):
    """Stop the routers in turn, each beside its next process."""
    await asyncio.sleep(1.0)
    for vm in ROUTERS:
        await fleet.hand_over(vm)
        await asyncio.sleep(0.9)


async def replaced_in_turn(fleet):
    """Kill the routers for good one by one and start VMs of other names."""
    await asyncio.sleep(2.0)
    for vm in ROUTERS:
        await fleet.replace([vm], [f"{vm}-new"])
        await asyncio.sleep(0.6)


async def killed_without_the_store(fleet):
    """Kill all routers at the end of an outage of the store, and again."""
    await asyncio.sleep(2.0)
    fleet.set_store_away(True)
    await asyncio.sleep(1.5)
    await fleet.kill(ROUTERS)
    fleet.set_store_away(False)
    await asyncio.sleep(2.5)
    await fleet.kill(ROUTERS)


async def engines_crash(fleet):
    """Lose engines while routers are suspended and killed."""
    await asyncio.sleep(1.5)
    for vm in ROUTERS[:4]:
        await fleet.crash_engines(2)
        suspending = asyncio.create_task(fleet.suspend([vm], 1.0))
        await fleet.kill([ROUTERS[-1]])
        await suspending


async def all_engines_crash(fleet):
    """Lose all engines at once, twice, the second time as all routers are killed."""
    await asyncio.sleep(2.5)
    await fleet.crash_engines(len(DATA_CENTRES) * ENGINES_PER_DATA_CENTRE)
    await asyncio.sleep(2.5)
    await fleet.crash_engines(len(DATA_CENTRES) * ENGINES_PER_DATA_CENTRE)
    await fleet.kill(ROUTERS)


async def killed_beside_a_restore(fleet):
    """Kill all routers as the store comes back from a copy, and once more."""
    await asyncio.sleep(2.0)
    copy = fleet.store.version
    await asyncio.sleep(2.5)
    fleet.disturb(ROUTERS)
    await asyncio.gather(*(fleet.routers[vm].kill() for vm in ROUTERS))
    await fleet.store.restore_copy(copy)
    await fleet.kill(ROUTERS)
    await asyncio.sleep(3.0)
    await fleet.kill(ROUTERS)


async def refused_with_backoff(fleet):
    """Let plain upstreams refuse with backoff while routers are killed."""
    loop = asyncio.get_running_loop()
    for number in range(4):
        await asyncio.sleep(1.5)
        for upstream in fleet.upstreams:
            if upstream.service == "app":
                upstream.backoff_until = loop.time() + 1.2
        if number % 2:
            await fleet.kill(ROUTERS[number::2])


async def refused_for_long(fleet):
    """Let plain upstreams refuse with backoffs of three seconds."""
    loop = asyncio.get_running_loop()
    for _ in range(2):
        await asyncio.sleep(1.0)
        for upstream in fleet.upstreams:
            if upstream.service == "app":
                upstream.backoff_until = loop.time() + 3.0
        await asyncio.sleep(4.0)


SERIES = {
    series.__name__: series
    for series in (
        undisturbed,
        all_killed_once,
        all_killed_three_times,
        killed_in_turn,
        suspended_in_series,
        all_suspended,
        handed_over_in_turn,
        replaced_in_turn,
        killed_without_the_store,
        engines_crash,
        all_engines_crash,
        killed_beside_a_restore,
        refused_with_backoff,
        refused_for_long,
    )
}
FAULTS = {fault.value: fault for fault in Fault}


@contextlib.contextmanager
def late_answers(seconds):
    """Let upstreams wait before they answer, also before they refuse."""
    answer = PlatformUpstreamStandin._answer

    async def answer_late(upstream, exchange):
        await asyncio.sleep(seconds)
        return await answer(upstream, exchange)

    with mock.patch.object(PlatformUpstreamStandin, "_answer", answer_late):
        yield


async def play(
    folder,
    name,
    *,
    mix,
    code=None,
    fault=Fault.RESET,
    share=FAILED_SHARE,
    delay=0.0,
    mutant="",
):
    """Play one series; return the fleet, which has ended."""
    fleet = SwapFleet(folder, code, fault, mutant)
    try:
        await fleet.start()
        fleet.set_failing(share)
        with late_answers(delay):
            await asyncio.gather(fleet.send_all(mix), SERIES[name](fleet))
    finally:
        await fleet.stop()
    return fleet


def main(
    *names: str,
    code: str | None = None,
    mix: str = "repeatable",
    fault: str = "reset",
    share: float = FAILED_SHARE,
    delay: float = 0.0,
    mutant: str = "",
    keep: pathlib.Path | None = None,
) -> None:
    """Play series one after another, and print a line of JSON for each.

    Parameters
    ----------
    names
        Names of series; none for all.
    code
        Folder of the routers' code; this one by default.
    mix
        Name of the traffic's mix.
    fault
        What goes wrong with requests at upstreams.
    share
        Share of requests with which it does.
    delay
        Seconds for which upstreams wait before they answer.
    mutant
        Name of the limit that the routers ignore; none by default.
    keep
        Folder for the routers' logs; none by default.
    """
    is_broken = False
    for name in names or SERIES:
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if keep is not None:
                folder = keep / name
                folder.mkdir(parents=True, exist_ok=True)
            fleet = run_loop(
                play(
                    folder,
                    name,
                    mix=mix,
                    code=code,
                    fault=FAULTS[fault],
                    share=share,
                    delay=delay,
                    mutant=mutant,
                )
            )
        summary = fleet.summary()
        is_broken = is_broken or bool(summary["violations"])
        print(json.dumps({"series": name, "mix": mix, **summary}), flush=True)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    defopt.run(main)

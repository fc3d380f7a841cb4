"""Router and upstream processes whose upstreams stand still while they are configured.

Eight routers in three data centres, twelve engines and three plain services carry the
traffic of one of two deployments. Upstreams are suspended by signals in series, beside
changes of the configuration, killed routers and orderly stops. `python -m
tests.suspension_play` plays series by their names.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile

import attrs
import defopt

from lynxchute.edge.settings import DeploymentBounds
from lynxchute.event_loop import run as run_loop
from lynxchute.http import ExchangeError, HttpClient, Timeouts
from lynxchute.standins.budget_rules import BudgetRules, Sent
from lynxchute.standins.link import Partition
from lynxchute.standins.lost_answers import AnswerRules, Outcome
from lynxchute.standins.platform_store import PlatformStoreStandin
from lynxchute.standins.upstream_run import Fault
from tests.mutant_router import MUTANT_VARIABLE
from tests.platform_support import HOST, KEY, configuration, route
from tests.router_process import RouterProcess
from tests.soak.links import UpstreamLinks
from tests.upstream_process import UpstreamProcess

BOUNDS = DeploymentBounds(retry_extra=56.0)
DATA_CENTRES = ("a", "b", "c")
ROUTERS = ("a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2")
ENGINES_PER_DATA_CENTRE = 4
EVENT_DELAYS = (0.018, 0.018, 0.023)
GRACE_SECONDS = 8
PLAY_SECONDS = 20.0
# What draws kinds of requests, and upstreams and routers for faults.
SEED = 83
REQUESTS_PER_SECOND = 60.0
# Connections that callers keep to each router.
CALLERS_PER_ROUTER = 24
# Seconds after a router was killed or suspended for which nothing is asked of it.
DISTURBED_SECONDS = 3.0
# Ways in which a router may lose its links without the end of any open answer.
QUIET_PARTITIONS = (
    Partition.HANG,
    Partition.HANG_REFUSE,
    Partition.KEEP_REFUSE,
    Partition.SILENT,
)
# Factors by which configurations extend the timeouts of routes.
TIMEOUT_FACTORS = (1.0, 1.2, 1.5)
CALLER_TIMEOUTS = Timeouts(connect=2.0, first_byte=20.0, between_bytes=20.0)


@attrs.frozen
class Kind:
    """A kind of request.

    Attributes
    ----------
    share
        Requests of this kind, relative to the other kinds.
    timeout, deadline
        Seconds of the route, and of the caller.
    attempts
        Upstreams to which the route lets a request be sent.
    kind
        Kind of the route, as a configuration names it.
    tokens
        Tokens of the prompt and of the longest answer; empty for a plain call.
    """

    service: str
    share: float
    timeout: float
    deadline: float
    attempts: int
    kind: str = "streaming"
    is_resumable: bool = False
    tokens: tuple = ()

    @property
    def is_repeatable(self):
        return self.kind == "safe" or self.is_resumable

    def route(self, name, **options):
        fields = {
            "timeout_ms": int(self.timeout * 1000),
            "max_attempts": self.attempts,
            "stream_resume": self.is_resumable,
        }
        if self.kind == "streaming":
            fields |= {"sticky_sessions": True, "gap_aim_ms": 400}
        fields |= options
        return route(name, f"/{name}/", self.service, self.kind, **fields)


@attrs.frozen
class Mix:
    """The traffic of a deployment.

    Attributes
    ----------
    work_seconds
        Seconds that a plain call takes.
    failed_share
        Share of plain calls that fail.
    """

    kinds_by_name: dict
    work_seconds: float
    failed_share: float


def _mix(plain_timeout, plain_deadline, work_seconds):
    kinds = {
        "report": Kind(
            "pool", 14.5, 12.0, 12.0, 2, is_resumable=True, tokens=(3700, 80)
        ),
        "ruling": Kind("pool", 11.0, 6.0, 6.0, 1, tokens=(2900, 40)),
        "query": Kind(
            "pool", 20.3, 15.0, 15.0, 2, is_resumable=True, tokens=(1100, 100)
        ),
        "post": Kind("app", 11.5, plain_timeout, plain_deadline, 1, "unsafe"),
        "fetch": Kind("app", 8.0, plain_timeout, plain_deadline, 2, "safe"),
    }
    return Mix(kinds, work_seconds, 0.08)


MIXES = {
    "naipes": _mix(0.8, 1.5, 0.06),
    "yukimichi": _mix(1.0, 1.0, 0.03),
}
EVENTS = 60


@attrs.define
class SuspensionFleet:
    """The processes and records of one play.

    Attributes
    ----------
    code
        Folder of the routers' code; None for this one.
    mutant
        Name of what the routers do wrong; empty for nothing.
    has_links
        Whether routers have links of their own to upstreams, which can be lost.
    killed
        When routers were killed or suspended, in seconds, by VM.
    """

    folder: pathlib.Path
    mix: Mix
    code: str | None = None
    mutant: str = ""
    failed_share: float | None = None
    fault: Fault = Fault.FAIL
    has_links: bool = False
    links: UpstreamLinks | None = None
    sent_by_id: dict = attrs.Factory(dict)
    outcomes: list = attrs.Factory(list)
    killed: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    routers: dict = attrs.Factory(dict)
    upstreams: list = attrs.Factory(list)
    store: PlatformStoreStandin = attrs.field(factory=PlatformStoreStandin)
    configurations: int = 0
    _version: int = 1
    _idle_ms: int = 3000
    _timeout_factor: float = 1.0
    _further_routes: int = 0
    _numbers: object = attrs.Factory(lambda: itertools.count(1))
    rng: random.Random = attrs.Factory(lambda: random.Random(SEED))
    _idle_clients: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )

    # Set-up

    async def start(self):
        self._make_upstreams()
        if self.has_links:
            self.links = UpstreamLinks(self.folder, ROUTERS)
            for upstream in self.upstreams:
                await self.links.add(upstream.standin.address)
        await asyncio.gather(*(u.start(self.store) for u in self.upstreams))
        await self._put_configuration()
        for vm in ROUTERS:
            await self._start_router(vm)
        await asyncio.gather(*(router.ready() for router in self.routers.values()))

    def _make_upstreams(self):
        share = self.failed_share
        for data_centre, delay in zip(DATA_CENTRES, EVENT_DELAYS, strict=True):
            for _ in range(ENGINES_PER_DATA_CENTRE):
                engine = UpstreamProcess(
                    self.folder,
                    "pool",
                    data_centre,
                    events=EVENTS,
                    event_delay=delay,
                    fault=self.fault,
                    failed_share=share or 0.0,
                )
                self.upstreams.append(engine)
            app = UpstreamProcess(
                self.folder,
                "app",
                data_centre,
                event_delay=self.mix.work_seconds,
                slots=12,
                fault=self.fault,
                failed_share=self.mix.failed_share if share is None else share,
            )
            self.upstreams.append(app)

    async def _start_router(self, vm):
        previous = self.routers.get(vm)
        if previous is None:
            store_port = await self.store.open_port()
        else:
            store_port = int(
                previous.settings["platform"]["address"].rpartition(":")[2]
            )
        process = RouterProcess(self.folder, vm, store_port, code=self.code)
        process.settings["zones"] = dict.fromkeys(DATA_CENTRES, "r")
        process.settings["limits"]["memory_mb"] = 300
        bounds = process.settings["bounds"]
        bounds["retry_budget_extra"] = BOUNDS.retry_extra
        bounds["grace_s"] = GRACE_SECONDS
        if self.links is not None:
            process.module = "tests.linked_router"
            process.links_file = self.links.file(vm)
        if self.mutant:
            process.module = "tests.mutant_router"
            process.environment[MUTANT_VARIABLE] = self.mutant
        await process.start()
        self.routers[vm] = process
        self._idle_clients.pop(vm, None)

    async def _put_configuration(self):
        document = configuration(version=self._version, prepaid=100_000_000)
        routes = []
        for name, kind in self.mix.kinds_by_name.items():
            timeout_ms = int(kind.timeout * 1000 * self._timeout_factor)
            routes.append(kind.route(name, timeout_ms=timeout_ms))
        safe = self.mix.kinds_by_name["fetch"]
        for number in range(self._further_routes):
            routes.append(safe.route(f"further-{number}"))
        document["routes"] = routes
        document["limits"]["idle_timeout_ms"] = self._idle_ms
        document["limits"]["max_body_bytes"] = 1_000_000
        await self.store.configure(document)

    # What happens

    async def configure(self):
        """Change the idle timeout, the timeouts of routes or the routes."""
        self._version += 1
        self.configurations += 1
        what = self._version % 3
        if what == 0:
            self._idle_ms = self.rng.choice((1500, 3000, 5000))
        elif what == 1:
            self._timeout_factor = self.rng.choice(TIMEOUT_FACTORS)
        else:
            self._further_routes += 1
        await self._put_configuration()

    async def silence(self, share, seconds, services=("pool", "app")):
        """Suspend a share of the upstreams for some seconds."""
        upstreams = [u for u in self.upstreams if u.service in services]
        chosen = self.rng.sample(upstreams, round(len(upstreams) * share))
        for upstream in chosen:
            upstream.suspend()
        await asyncio.sleep(seconds)
        for upstream in chosen:
            upstream.resume()

    async def lose_links(self, vms, how, seconds):
        """Cut routers off from all upstreams for some seconds."""
        self.links.partition(vms, how)
        await asyncio.sleep(seconds)
        await self.links.restore(vms)

    def record_killed(self, vm):
        self.killed[vm].append(asyncio.get_running_loop().time())

    async def kill(self, vm):
        """Kill a router and start its next process."""
        self.record_killed(vm)
        await self.routers[vm].kill()
        await self._start_router(vm)

    async def hand_over(self, vm):
        """Stop a router in order; start its next process once it has ended."""
        router = self.routers[vm]
        router.send_signal(signal.SIGTERM)
        await router.process.wait()
        await self._start_router(vm)

    async def suspend_router(self, vm, seconds):
        self.routers[vm].send_signal(signal.SIGSTOP)
        self.record_killed(vm)
        await asyncio.sleep(seconds)
        self.routers[vm].send_signal(signal.SIGCONT)
        self.record_killed(vm)

    # Callers

    async def send_all(self, seconds=PLAY_SECONDS):
        """Send requests at a steady rate to the routers that take connections."""
        names = list(self.mix.kinds_by_name)
        weights = [kind.share for kind in self.mix.kinds_by_name.values()]
        loop = asyncio.get_running_loop()
        began, tasks = loop.time(), []
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            at = began + number / REQUESTS_PER_SECOND
            await asyncio.sleep(max(at - loop.time(), 0.0))
            vm = ROUTERS[number % len(ROUTERS)]
            name = self.rng.choices(names, weights)[0]
            tasks.append(asyncio.create_task(self._send(vm, name)))
        await asyncio.gather(*tasks)

    async def _send(self, vm, name):
        kind = self.mix.kinds_by_name[name]
        router = self.routers[vm]
        loop = asyncio.get_running_loop()
        request_id = f"h{next(self._numbers)}"
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(int(kind.deadline * 1000))),
            ("X-Credential", KEY),
        ]
        if kind.tokens:
            headers.append(("X-Model", "m"))
            headers.append(("X-Token-Counts", f"{kind.tokens[0]},{kind.tokens[1]}"))
            prefix = f"aa:{kind.tokens[0] - 10},{request_id}:10"
            headers.append(("X-Prompt-Prefix", prefix))
        outcome = Outcome(
            request_id,
            vm,
            loop.time(),
            min(kind.timeout, kind.deadline),
            min(kind.timeout * TIMEOUT_FACTORS[-1], kind.deadline),
            kind.is_repeatable,
        )
        self.sent_by_id[request_id] = Sent(
            request_id,
            kind.service,
            vm,
            outcome.sent_at,
            kind.deadline,
            kind.attempts,
        )
        clients = self._idle_clients[vm]
        client = clients.popleft() if clients else self._new_client(router)
        try:
            response = await client.request(
                "GET" if kind.kind == "safe" else "POST",
                f"/{name}/x",
                headers=headers,
                body=b"" if kind.kind == "safe" else request_id.encode() * 20,
            )
            outcome.status = response.status
            while await response.read() is not None:
                pass
            outcome.is_whole = True
        except ExchangeError as error:
            outcome.was_sent = error.sent
        outcome.ended_at = loop.time()
        self.outcomes.append(outcome)
        if self.routers[vm] is router and len(clients) < CALLERS_PER_ROUTER:
            clients.append(client)
        else:
            client.close()

    def _new_client(self, router):
        address = f"127.0.0.1:{router.ports['front']}"
        return HttpClient(address, timeouts=CALLER_TIMEOUTS)

    # Records

    def budget_rules(self):
        received_by_service = collections.defaultdict(list)
        for upstream in self.upstreams:
            received_by_service[upstream.service] += upstream.standin.received
        return BudgetRules(
            BOUNDS,
            received_by_service,
            self.sent_by_id,
            is_disturbed=self._is_disturbed,
        )

    def answer_rules(self):
        received = [item for u in self.upstreams for item in u.standin.received]
        return AnswerRules.of(self.outcomes, received, self._is_killed)

    def _is_disturbed(self, vm, time):
        return any(0.0 <= time - t < DISTURBED_SECONDS for t in self.killed[vm])

    def _is_killed(self, outcome):
        """Return whether the router was killed or stood still during a request."""
        return any(
            outcome.sent_at - DISTURBED_SECONDS <= t <= outcome.ended_at
            for t in self.killed[outcome.router]
        )

    def violations(self):
        budget, answers = self.budget_rules(), self.answer_rules()
        return [*budget.violations(), *answers.violations()]

    def summary(self):
        rules = self.budget_rules()
        peaks = {
            service: [peak.retries, round(peak.permitted, 1)]
            for service, peak in rules.retry_peaks().items()
        }
        counts = {
            service: len(received) - len({item.request_id for item in received})
            for service, received in rules.received_by_service.items()
        }
        statuses = collections.Counter(
            outcome.status if outcome.is_whole else f"{outcome.status} cut"
            for outcome in self.outcomes
        )
        return {
            "retries": counts,
            "retries of permitted": peaks,
            "configurations": self.configurations,
            "requests": len(self.outcomes),
            "seconds, 99 in 100": self._slow_seconds(),
            "statuses": {
                str(status): n for status, n in sorted(statuses.items(), key=str)
            },
            "violations": self.violations(),
        }

    def _slow_seconds(self):
        """Return the seconds within which nearly all answers ended, by status."""
        seconds_by_status = collections.defaultdict(list)
        for outcome in self.outcomes:
            seconds_by_status[outcome.status].append(outcome.seconds)
        return {
            str(status): round(sorted(found)[int(len(found) * 0.99)], 2)
            for status, found in sorted(seconds_by_status.items())
        }

    async def stop(self):
        for router in self.routers.values():
            await router.kill()
        await asyncio.gather(*(upstream.stop() for upstream in self.upstreams))
        if self.links is not None:
            await self.links.stop()
        await self.store.close()


async def _configure_repeatedly(fleet, interval=1.0):
    while True:
        await asyncio.sleep(interval)
        await fleet.configure()


async def _silence_repeatedly(fleet):
    for share in itertools.cycle((1.0, 0.6)):
        await asyncio.sleep(1.5)
        await fleet.silence(share, fleet.rng.uniform(1.0, 1.3))


async def engines_suspended(fleet):
    """Let engines stand still four times, each as the configuration changes."""
    for share, seconds in ((1.0, 1.2), (0.6, 1.1), (1.0, 1.3), (0.6, 1.0)):
        await asyncio.sleep(2.4)
        await fleet.configure()
        await asyncio.sleep(0.6)
        await fleet.silence(share, seconds, ("pool",))


async def in_series(fleet):
    """Let all upstreams stand still in series, beside many configurations."""
    await asyncio.gather(_configure_repeatedly(fleet, 0.7), _silence_repeatedly(fleet))


async def killed_in_turn(fleet):
    """Kill routers in turn beside silence and configurations."""

    async def kill():
        for vm in itertools.cycle(ROUTERS):
            await asyncio.sleep(1.5)
            await fleet.kill(vm)

    await asyncio.gather(in_series(fleet), kill())


async def all_killed(fleet):
    """Kill all routers as upstreams stand still, twice."""

    async def kill():
        for _ in range(2):
            await asyncio.sleep(6.0)
            await asyncio.gather(*(fleet.kill(vm) for vm in ROUTERS))

    await asyncio.gather(in_series(fleet), kill())


async def stopped_in_turn(fleet):
    """Stop routers in order, one after another, beside silence."""

    async def stop():
        for vm in itertools.cycle(ROUTERS):
            await asyncio.sleep(0.5)
            await fleet.hand_over(vm)

    await asyncio.gather(in_series(fleet), stop())


async def stopped_two_at_a_time(fleet):
    """Stop two routers at a time in order, while a third one stands still."""

    async def stop():
        for first, second, third in itertools.cycle(
            (ROUTERS[0:3], ROUTERS[3:6], (*ROUTERS[6:], ROUTERS[0]))
        ):
            await asyncio.sleep(0.5)
            await asyncio.gather(
                fleet.hand_over(first),
                fleet.hand_over(second),
                fleet.suspend_router(third, 5.0),
            )

    await asyncio.gather(in_series(fleet), stop())


async def links_lost(fleet):
    """Let some routers lose their links, beside configurations."""

    async def lose():
        for how in itertools.cycle(QUIET_PARTITIONS):
            await asyncio.sleep(1.0)
            vms = fleet.rng.sample(ROUTERS, fleet.rng.choice((1, 2, 4)))
            await fleet.lose_links(vms, how, fleet.rng.uniform(1.0, 3.0))

    await asyncio.gather(_configure_repeatedly(fleet), lose())


async def links_lost_in_series(fleet):
    """Lose links beside silence, configurations, and routers that stop in order."""
    await asyncio.gather(links_lost(fleet), stopped_in_turn(fleet))


LINK_SERIES = (links_lost, links_lost_in_series)
SERIES = {
    series.__name__: series
    for series in (
        engines_suspended,
        in_series,
        killed_in_turn,
        all_killed,
        stopped_in_turn,
        stopped_two_at_a_time,
        *LINK_SERIES,
    )
}


async def run_beside(series, traffic):
    """Run a series until the traffic has ended."""
    running = asyncio.create_task(series)
    try:
        await traffic
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    if not running.cancelled() and running.exception() is not None:
        raise running.exception()


async def play(folder, name, mix, *, seconds=PLAY_SECONDS, **options):
    """Play one series; return the fleet, which has ended."""
    has_links = SERIES[name] in LINK_SERIES
    fleet = SuspensionFleet(folder, MIXES[mix], has_links=has_links, **options)
    try:
        await fleet.start()
        await run_beside(SERIES[name](fleet), fleet.send_all(seconds))
    finally:
        await fleet.stop()
    return fleet


def main(
    *names: str,
    mix: str = "naipes",
    code: str | None = None,
    seconds: float = PLAY_SECONDS,
    mutant: str = "",
    share: float | None = None,
    fault: str = "fail",
    keep: pathlib.Path | None = None,
    seed: int = SEED,
) -> None:
    """Play series one after another, and print a line of JSON for each.

    Parameters
    ----------
    names
        Names of series; none for all.
    mix
        Name of the traffic's mix.
    code
        Folder of the routers' code; this one by default.
    seconds
        Seconds for which requests are sent.
    mutant
        Name of what the routers do wrong; nothing by default.
    share
        Share of all requests that fail; that of the mix by default.
    fault
        How they fail.
    keep
        Folder for the routers' logs; none by default.
    seed
        Draws the requests and the faults.
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
                    mix,
                    seconds=seconds,
                    code=code,
                    mutant=mutant,
                    failed_share=share,
                    fault=Fault(fault),
                    rng=random.Random(seed),
                )
            )
        summary = fleet.summary()
        is_broken = is_broken or bool(summary["violations"])
        played = {"series": name, "mix": mix, "seed": seed}
        print(json.dumps(played | summary), flush=True)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    defopt.run(main)

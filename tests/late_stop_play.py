"""A router process that stops in order while callers keep using it.

`python -m tests.late_stop_play` plays stops by their names: in calm, and with a store
or other routers that do not answer.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import signal
import sys
import tempfile

import attrs
import defopt

from lynxchute.event_loop import run as run_loop
from lynxchute.http import ExchangeError, HttpClient, Timeouts
from lynxchute.standins.link import Partition
from lynxchute.standins.lost_answers import AnswerRules, Outcome
from lynxchute.standins.platform_store import Outage, PlatformStoreStandin
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.platform_support import HOST, KEY, configuration, route
from tests.router_process import RouterProcess
from tests.soak.links import UpstreamLinks

STOPPED = "a-1"
OTHERS = ("a-2", "a-3", "b-1", "b-2", "b-3")
# In the play of tunnels it reaches all upstreams only through the router that stops.
CUT_ROUTER = "a-2"
GRACE_SECONDS = 8
# Seconds after the signal for which callers go on.
PLAY_SECONDS = GRACE_SECONDS + 0.5
# Seconds that answers of each service take.
SECONDS_BY_SERVICE = {"short": 0.3, "long": 3.5}
ROUTE_TIMEOUT = 9.0
CALLERS = 12
PAUSE_SECONDS = 0.1
CALLER_TIMEOUTS = Timeouts(connect=0.5, first_byte=12.0, between_bytes=12.0)


@attrs.define
class StopFleet:
    """The processes and records of one play.

    Attributes
    ----------
    stopped_at
        When the router was asked to stop, in seconds of the loop's clock.
    """

    folder: pathlib.Path
    code: str | None = None
    outcomes: list = attrs.Factory(list)
    routers: dict = attrs.Factory(dict)
    upstreams: list = attrs.Factory(list)
    store: PlatformStoreStandin = attrs.field(factory=PlatformStoreStandin)
    stopped_at: float = 0.0
    store_ports: dict = attrs.Factory(dict)
    links: UpstreamLinks | None = None
    _numbers: object = attrs.Factory(lambda: itertools.count(1))

    async def start(self, vms=(STOPPED, *OTHERS), *, has_tunnels=False):
        await self._start_upstreams()
        if has_tunnels:
            self.links = UpstreamLinks(self.folder, vms)
            for upstream in self.upstreams:
                await self.links.add(upstream.address)
        for vm in vms:
            await self._start_router(vm)
        await asyncio.gather(*(router.ready() for router in self.routers.values()))
        if self.links is not None:
            self.links.partition([CUT_ROUTER], Partition.REFUSE)

    async def _start_upstreams(self):
        for service, seconds in SECONDS_BY_SERVICE.items():
            for data_centre in ("a", "b"):
                upstream = PlatformUpstreamStandin(
                    service, data_centre, event_delay=seconds
                )
                await upstream.start()
                await upstream.register(self.store)
                self.upstreams.append(upstream)
        document = configuration()
        app = next(s for s in document["services"] if s["name"] == "app")
        for service in SECONDS_BY_SERVICE:
            document["services"].append({**app, "name": service})
            document["routes"].append(
                route(
                    service,
                    f"/{service}/",
                    service,
                    "unsafe",
                    timeout_ms=int(ROUTE_TIMEOUT * 1000),
                )
            )
        await self.store.configure(document)

    async def _start_router(self, vm):
        self.store_ports[vm] = await self.store.open_port()
        process = RouterProcess(self.folder, vm, self.store_ports[vm], code=self.code)
        process.settings["bounds"]["grace_s"] = GRACE_SECONDS
        if self.links is not None:
            process.module = "tests.linked_router"
            process.links_file = self.links.file(vm)
        self.routers[vm] = process
        await process.start()

    def silence_store(self):
        """Let the store answer nothing to the router that stops."""
        self.store.faults_by_port[self.store_ports[STOPPED]].outage = Outage.SILENT

    def suspend_others(self):
        for vm in OTHERS:
            if vm in self.routers:
                self.routers[vm].send_signal(signal.SIGSTOP)

    def stop_router(self):
        self.stopped_at = asyncio.get_running_loop().time()
        self.routers[STOPPED].send_signal(signal.SIGTERM)

    async def send_until(self, end, service, vm=STOPPED):
        """Send requests one after another on one connection, renewed if it ends."""
        loop = asyncio.get_running_loop()
        address = f"127.0.0.1:{self.routers[vm].ports['front']}"
        client = HttpClient(address, timeouts=CALLER_TIMEOUTS)
        while loop.time() < end:
            await self._send(client, service, vm)
            await asyncio.sleep(PAUSE_SECONDS)
        client.close()

    async def _send(self, client, service, vm):
        loop = asyncio.get_running_loop()
        outcome = Outcome(
            f"s{next(self._numbers)}",
            vm,
            loop.time(),
            ROUTE_TIMEOUT,
            ROUTE_TIMEOUT,
            False,
        )
        headers = [
            ("Host", HOST),
            ("X-Request-Id", outcome.request_id),
            ("X-Deadline-Ms", str(int(ROUTE_TIMEOUT * 1000))),
            ("X-Credential", KEY),
        ]
        try:
            response = await client.request(
                "POST", f"/{service}/x", headers=headers, body=b"something"
            )
            outcome.status = response.status
            while await response.read() is not None:
                pass
            outcome.is_whole = True
        except ExchangeError as error:
            outcome.was_sent = error.sent
        outcome.ended_at = loop.time()
        self.outcomes.append(outcome)

    def rules(self):
        received = [item for u in self.upstreams for item in u.received]
        return AnswerRules.of(self.outcomes, received)

    def arrivals_after_stop(self):
        """Return when upstreams got requests, in seconds after the signal."""
        times = [item.at for u in self.upstreams for item in u.received]
        return sorted(t - self.stopped_at for t in times if t > self.stopped_at)

    def unknown(self):
        """Return the requests that got an answer that does not say if they ran."""
        return [o for o in self.outcomes if o.status in (502, 504)]

    def summary(self):
        statuses = collections.Counter(
            str(o.status) if o.is_whole else f"{o.status} cut" for o in self.outcomes
        )
        arrivals = self.arrivals_after_stop()
        late = [round(o.sent_at - self.stopped_at, 2) for o in self.unknown()]
        refused = [
            o.sent_at - self.stopped_at for o in self.outcomes if o.status == 503
        ]
        return {
            "statuses": dict(sorted(statuses.items())),
            "first refused": round(min(refused, default=0.0), 2),
            "last passed on": round(max(arrivals, default=0.0), 2),
            "unknown, sent at": late,
            "violations": self.rules().violations(),
        }

    async def stop(self):
        for router in self.routers.values():
            await router.kill()
        for upstream in self.upstreams:
            await upstream.stop()
        if self.links is not None:
            await self.links.stop()
        await self.store.close()


def calm(fleet):
    """Let everything answer."""


def silent_store(fleet):
    """Let the store answer nothing from the signal on."""
    fleet.silence_store()


def silent_routers(fleet):
    """Let the other routers stand still from the signal on."""
    fleet.suspend_others()


def forwarding(fleet):
    """Let the router that stops be the only one that reaches upstreams."""


def all_silent(fleet):
    """Let neither the store nor other routers answer."""
    fleet.silence_store()
    fleet.suspend_others()


STOPS = {
    stop.__name__: stop
    for stop in (calm, silent_store, silent_routers, all_silent, forwarding)
}


async def play(folder, name, *, code=None, services=tuple(SECONDS_BY_SERVICE)):
    """Play one stop; return the fleet, which has ended."""
    fleet = StopFleet(folder, code)
    try:
        vms = (STOPPED,)
        if name == forwarding.__name__:
            vms = (STOPPED, CUT_ROUTER)
            await fleet.start(vms, has_tunnels=True)
        else:
            await fleet.start()
        loop = asyncio.get_running_loop()
        end = loop.time() + 1.5 + PLAY_SECONDS
        callers = [
            asyncio.create_task(fleet.send_until(end, service, vm))
            for service in services
            for vm in vms
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(1.5)
        STOPS[name](fleet)
        fleet.stop_router()
        await asyncio.gather(*callers)
    finally:
        await fleet.stop()
    return fleet


def main(
    *names: str, code: str | None = None, keep: pathlib.Path | None = None
) -> None:
    """Play stops one after another, and print a line of JSON for each.

    Parameters
    ----------
    names
        Names of stops; none for all.
    code
        Folder of the routers' code; this one by default.
    keep
        Folder for the routers' logs; none by default.
    """
    is_broken = False
    for name in names or STOPS:
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if keep is not None:
                folder = keep / name
                folder.mkdir(parents=True, exist_ok=True)
            fleet = run_loop(play(folder, name, code=code))
        summary = fleet.summary()
        is_broken = is_broken or bool(summary["violations"])
        print(json.dumps({"stop": name, **summary}), flush=True)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    defopt.run(main)

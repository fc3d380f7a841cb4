"""Helpers that several test modules share."""

import asyncio
import ipaddress
import json
import os
from unittest import mock

import testtools

from lynxchute.event_loop import run as run_loop
from lynxchute.http import HttpClient
from lynxchute.standins import deployment as standins
from lynxchute.standins.callers import streamed_text
from lynxchute.standins.counts import counted_by_account, served_by_account
from lynxchute.standins.deployment import MODEL, Deployment, Shape, caller_key
from lynxchute.standins.link import Link
from lynxchute.standins.service import ServiceServer
from lynxchute.upstreams.rate_limits import RateLimits
from lynxchute.upstreams.rate_sharing import MostlyCentral

ACCOUNT = "kanda"
CHAT = "/v1/chat/completions"
# Loopback address of this test process. A router of another run may still probe a port
# that its upstream has left and that the kernel has given out again.
OWN_HOST = str(ipaddress.IPv4Address("127.64.0.0") + os.getpid())


def unlimited_rates():
    """Return rate limits of a router without the store's clock and other routers."""
    return RateLimits(
        MostlyCentral(), lambda *_: None, lambda _: None, lambda _: 0, lambda _: 0.0
    )


class AsyncTestCase(testtools.TestCase):
    """Run each test's coroutine on a new event loop."""

    def run_async(self, work, timeout=60):
        async def run_with_timeout():
            async with asyncio.timeout(timeout):
                return await work

        return run_loop(run_with_timeout())


def small_shape(**changes):
    values = {
        "routers_by_data_centre": {"kyu-a": 2, "kyu-b": 2},
        "budgets": {ACCOUNT: 100_000, "poor": 10},
    }
    return Shape(**{**values, **changes})


class IsolatedDeployment(Deployment):
    """Deployment with plain services that routers of other test runs cannot reach."""

    async def _start_upstreams(self):
        start_upstream = standins._start_upstream

        async def start(standin, service, data_centre):
            if not isinstance(standin, ServiceServer):
                return await start_upstream(standin, service, data_centre)
            with mock.patch.object(standins, "HOST", OWN_HOST):
                return await start_upstream(standin, service, data_centre)

        with mock.patch.object(standins, "_start_upstream", start):
            await super()._start_upstreams()

    async def _start_links(self, vm, data_centre):
        await super()._start_links(vm, data_centre)
        links_by_address = self._links_by_vm[vm].upstream_links_by_address
        for address in self._service_addresses:
            await links_by_address[address].stop()
            links_by_address[address] = Link(address)
            await links_by_address[address].start(OWN_HOST)

    def _upstream_address(self, vm, address):
        reached_at = super()._upstream_address(vm, address)
        if address not in self._service_addresses:
            return reached_at
        return f"{OWN_HOST}:{reached_at.rpartition(':')[2]}"

    @property
    def _service_addresses(self):
        names = self.services_by_name
        return [u.address for u in self.document.upstreams if u.name in names]


def with_deployment(case, scenario, **changes):
    """Run a scenario on a new deployment, and stop the deployment afterwards."""

    async def work():
        deployment = IsolatedDeployment(small_shape(**changes))
        await deployment.start()
        try:
            return await scenario(deployment)
        finally:
            await deployment.stop()

    return case.run_async(work())


def question(text="which road first?", **more):
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 64,
        **more,
    }


class Caller:
    """Send requests to one router of a deployment."""

    def __init__(self, deployment, vm, account=ACCOUNT):
        self.client = HttpClient(f"127.0.0.1:{deployment.caller_port(vm)}")
        self.headers = [("Authorization", f"Bearer {caller_key(account)}")]

    async def send(self, method, target, value=None, more=()):
        body = json.dumps(value).encode() if value is not None else b""
        response = await self.client.request(
            method, target, headers=[*self.headers, *more], body=body
        )
        return response.status, response.headers, await response.body()

    async def ask(self, value, more=()):
        return await self.send("POST", CHAT, value, more)


async def until(condition, timeout=10):
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.02)


async def wait_for_matching_counts(deployment, timeout=10):
    """Wait until the routers' counts equal the upstreams' records of use."""
    async with asyncio.timeout(timeout):
        while counted_by_account(deployment) != served_by_account(deployment):
            await asyncio.sleep(0.02)


def runs(deployment):
    """Return the records of runs of all upstreams."""
    return [run for upstream in deployment.upstreams for run in upstream.records()]


def engine_runs(deployment):
    engines = deployment.engines_by_name.values()
    return [run for engine in engines for run in engine.records()]


def stream_text(body):
    """Return the text of a streamed answer and whether it is complete."""
    return streamed_text(body), body.endswith(b"data: [DONE]\n\n")

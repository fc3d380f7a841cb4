"""Test that test runs at the same time do not take each other's ports."""

import os
import subprocess
import sys
from pathlib import Path
from unittest import mock

from tests import platform_support
from tests.platform_support import PlatformCaller, PlatformTestCase, free_port
from tests.support import until

# Another test run: listens on the port given as its argument if it finds it free. The
# process id, by which a run chooses where to look first, is that of the first run.
OTHER_RUN = """
import os
import sys

process_id = int(sys.argv[2])
os.getpid = lambda: process_id
from lynxchute.address import Address
from lynxchute.listening import listen
from tests.platform_support import PORTS, free_port

port = int(sys.argv[1])
is_found = any(free_port() == port for _ in range(PORTS))
listener = listen(Address("127.0.0.1", port)) if is_found else None
print(is_found, flush=True)
sys.stdin.read()
"""


class FreePortTest(PlatformTestCase):
    def start_other_run(self, port):
        process = subprocess.Popen(
            [sys.executable, "-c", OTHER_RUN, str(port), str(os.getpid())],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.communicate)
        return process.stdout.readline().strip()

    def test_no_other_run_takes_a_port_before_its_router_listens(self):
        """Guards against "Address already in use" as a router of a test starts."""
        taken = []

        def find_port():
            port = free_port()
            if not taken:
                taken.append(self.start_other_run(port))
            return port

        async def scenario(deployment):
            with mock.patch.object(platform_support, "free_port", find_port):
                router = await deployment.start_router("a-1")
            await until(router.is_ready)
            caller = PlatformCaller(deployment, "a-1")
            self.assertEqual(200, (await caller.send("GET", "/safe/x"))[0])

        self.with_platform(scenario, routers=())
        self.assertEqual([b"False"], taken)

    def test_upstreams_and_links_come_back_at_ports_that_no_connection_takes(self):
        """Guards against "Address already in use" as an upstream or a link returns."""
        ephemeral = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
        first_ephemeral = int(ephemeral.split()[0])

        async def scenario(deployment):
            links = deployment.upstream_links_by_vm["a-1"]
            ports = [listening.port for listening in (*deployment.upstreams, *links)]
            self.assertEqual([], [port for port in ports if port >= first_ephemeral])

        self.with_platform(scenario, routers=("a-1",), has_upstream_links=True)

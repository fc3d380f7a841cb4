"""Pause accepting caller connections while the VM is overloaded."""

from __future__ import annotations

from lynxchute.application import PeriodicTask
from lynxchute.http import HttpServer
from lynxchute.relay.load import RouterLoad
from lynxchute.telemetry import log_event

# Seconds between two polls of the load: a caller that saturates the VM opens about ten
# connections in that time.
POLL_SECONDS = 0.05


class ConnectionGate(PeriodicTask):
    """Pause accepting connections while the VM is full, and resume afterwards.

    Load balancers send a caller's connections to one VM and detect only after two
    seconds that it is not ready. Requests refused until then have already used the
    VM's link, and delay the requests that the VM serves. A connection that is not
    accepted uses no bandwidth, and the caller tries another VM immediately.

    Parameters
    ----------
    server
        Server for callers.
    load
        Load of this router.
    """

    def __init__(self, server: HttpServer, load: RouterLoad) -> None:
        super().__init__("entrance", self._poll, POLL_SECONDS, self._poll_load)
        self._server = server
        self._load = load

    def _poll_load(self) -> bool:
        """Poll the load; return whether accepting must be paused or resumed."""
        self._load.poll()
        return self._load.is_full == self._server.is_accepting

    async def _poll(self) -> None:
        is_full = self._load.is_full
        if is_full and self._server.is_accepting:
            await self._server.pause_accepting()
            log_event(
                "VM full: not accepting connections", **self._load.describe_link()
            )
        elif not is_full and not self._server.is_accepting:
            await self._server.resume_accepting()
            log_event("accepting connections again", **self._load.describe_link())

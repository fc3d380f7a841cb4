"""Take no connections of callers while the VM is full."""

from __future__ import annotations

from lynxchute.application import PeriodicTask
from lynxchute.http import HttpServer
from lynxchute.relay.load import RouterLoad
from lynxchute.telemetry import log_event

# Seconds between two looks: a caller whose account fills the VM opens some ten
# connections in that time.
LOOK_SECONDS = 0.05


class Entrance(PeriodicTask):
    """Close the way in while the VM is full, and open it again.

    Balancers send a caller's connections to one VM and notice after two seconds that
    it is not ready. What it refuses has crossed its link by then, and holds up what it
    still serves; a connection that is not taken costs the link nothing, and its caller
    goes to another VM at once.

    Parameters
    ----------
    server
        Takes the callers' connections.
    load
        Tells whether the VM is full.
    """

    def __init__(self, server: HttpServer, load: RouterLoad) -> None:
        super().__init__("entrance", self._look, LOOK_SECONDS, self._is_due_now)
        self._server = server
        self._load = load

    def _is_due_now(self) -> bool:
        """Take note of the load; return whether the way in is to change."""
        self._load.poll()
        return self._load.is_full == self._server.is_accepting

    async def _look(self) -> None:
        is_full = self._load.is_full
        if is_full and self._server.is_accepting:
            await self._server.pause_accepting()
            log_event("VM full: not accepting connections")
        elif not is_full and not self._server.is_accepting:
            await self._server.resume_accepting()
            log_event("accepting connections again")

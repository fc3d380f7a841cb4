"""Notice lost links early, and their return at once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lynxchute.application import PeriodicTask, Tasks
from lynxchute.telemetry import Metrics, log_event
from lynxchute.tunnels.client import UpstreamClient
from lynxchute.tunnels.paths import PathState
from lynxchute.tunnels.pool import UpstreamClients
from lynxchute.upstreams.directory import Directory

STEP_SECONDS = 0.1
# Checks at a time, so that links that return do not bring all connections at once.
MAX_CHECKS = 8
# Lost paths that a log line names.
MAX_LOGGED = 16
# Seconds within which an upstream must have been connected to for its path to be
# verified when another path is lost, and seconds between two verifications.
RECENTLY_USED_SECONDS = 30.0
VERIFY_SECONDS = 3.0
# Paths that are verified when one is lost, those used last first.
MAX_VERIFIED = 32


class PathWatch:
    """Check lost paths until they return, and the others when one is lost.

    Parameters
    ----------
    clients
        The clients of upstreams.
    directory
        The upstreams; their pauses end when their path changes.
    metrics
        Shows how many paths are lost.
    clock
        Seconds on the steady clock.
    on_lost
        Called repeatedly with an address that only other routers reach, and whether
        its open connections seem to hang.
    """

    def __init__(
        self,
        clients: UpstreamClients,
        directory: Directory,
        metrics: Metrics,
        clock: Callable[[], float],
        on_lost: Callable[[str, bool], None],
    ) -> None:
        self.tasks = Tasks()
        self.loop = PeriodicTask("paths", self._step, STEP_SECONDS, self._is_due)
        self._clients = clients
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        self._on_lost = on_lost
        self._checks = asyncio.Semaphore(MAX_CHECKS)
        self._checking: set[str] = set()
        self._lost_since: dict[str, float] = {}
        self._is_cut_off = False
        clients.paths.listeners.append(self._handle_change)

    def _is_due(self) -> bool:
        return bool(self._lost_since)

    def _handle_change(self, address: str) -> None:
        now, state = self._clock(), self._clients.paths.state(address)
        if state is not PathState.UNREACHABLE:
            for entry in self._directory.at_address(address):
                entry.health.resume()
        if state is PathState.DIRECT:
            since = self._lost_since.pop(address, now)
            log_event(
                "path to upstream restored",
                address=address,
                seconds=round(now - since, 3),
            )
        else:
            self._lost_since.setdefault(address, now)
            log_event("path to upstream lost", address=address, state=state.value)
        if state is PathState.LOST:
            if self._clients.paths.has_hung(address):
                self._check_now(address)
            self._verify_others(now)
        self._update_cut_off()

    def _update_cut_off(self) -> None:
        paths = self._clients.paths
        self._metrics.lost_paths.set(len(self._lost_since))
        if paths.is_cut_off is self._is_cut_off:
            return
        self._is_cut_off = paths.is_cut_off
        lost, tunnels = paths.lost_addresses[:MAX_LOGGED], paths.tunnel_count
        self._metrics.cut_off.set(float(self._is_cut_off))
        if self._is_cut_off:
            log_event("router cut off from upstreams", lost=lost, tunnels=tunnels)
        else:
            log_event("router reaches upstreams again", lost=lost, tunnels=tunnels)

    def _verify_others(self, now: float) -> None:
        due = []
        for client in self._clients.clients_by_address.values():
            if not isinstance(client, UpstreamClient):
                continue
            if now - client.used_at > RECENTLY_USED_SECONDS:
                continue
            if now - client.verified_at < VERIFY_SECONDS:
                continue
            if not self._clients.paths.is_lost(client.registered_address):
                due.append(client)
        due.sort(key=lambda client: client.used_at, reverse=True)
        for client in due[:MAX_VERIFIED]:
            client.verified_at = now
            self._start(client, client.verify)

    async def _step(self) -> None:
        paths, now = self._clients.paths, self._clock()
        for address in list(self._lost_since):
            if not self._directory.has_address(address):
                paths.forget(address)
            if not paths.is_lost(address):
                # The upstream is gone, or its process has restarted.
                self._lost_since.pop(address, None)
            elif paths.state(address) is PathState.LOST:
                self._on_lost(address, paths.is_hanging(address))
        for address in paths.checks_due(now):
            # The client may have been dropped while its last attempt was under way.
            client = self._clients.get(address)
            if isinstance(client, UpstreamClient) and len(self._checking) < MAX_CHECKS:
                self._start(client, client.check)
        self._update_cut_off()

    def _check_now(self, address: str) -> None:
        client = self._clients.get(address)
        if isinstance(client, UpstreamClient):
            self._start(client, client.check)

    def _start(
        self, client: UpstreamClient, check: Callable[[], Awaitable[None]]
    ) -> None:
        if client.registered_address not in self._checking:
            self._checking.add(client.registered_address)
            self.tasks.spawn(self._check(client, check))

    async def _check(
        self, client: UpstreamClient, check: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            async with self._checks:
                await check()
        finally:
            self._checking.discard(client.registered_address)

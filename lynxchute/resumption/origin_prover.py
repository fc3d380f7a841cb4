"""Find out whether the processes that began streams are those of their entries."""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import Callable

from lynxchute.application import Tasks
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable, Probe
from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.stream_origin import StreamOrigin

# A probe that had been sent before the stream began says nothing; the next one does.
MAX_PROBES = 2
# Seconds until an upstream that did not answer is asked again.
RETRY_SECONDS = 0.3


class Proof(enum.Enum):
    """Whether the process at the origin of a stream ran when the stream began.

    Attributes
    ----------
    PROVEN
        It is known to have run.
    OPEN
        That is not known yet, or its upstream cannot be asked any more.
    REPLACED
        Another process was noticed since, which may have begun the stream.
    """

    PROVEN = "proven"
    OPEN = "open"
    REPLACED = "replaced"


class OriginProver:
    """Asks upstreams whether they still run the processes that began streams.

    An upstream may restart under its id with other software and begin streams before
    its new entry arrives. If it states after the first event of a stream that it is
    still the known process, then that process began the stream.

    Parameters
    ----------
    directory
        The upstreams.
    engines
        Asks upstreams which process they are.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        directory: Directory,
        engines: EngineClient,
        clock: Callable[[], float],
    ) -> None:
        self.tasks = Tasks()
        self._directory = directory
        self._engines = engines
        self._clock = clock
        self._probe_by_upstream: dict[str, asyncio.Task[bool]] = {}
        self._failed_at_by_upstream: dict[str, float] = {}

    def proof(self, origin: StreamOrigin) -> Proof:
        """Return what is known of an origin without asking."""
        if not origin.is_proven:
            origin.is_proven = self._has_run(origin)
        if origin.is_proven:
            return Proof.PROVEN
        entry = self._directory.entries_by_id.get(origin.upstream)
        if entry is None or entry.upstream.started_ms == origin.started_ms:
            return Proof.OPEN
        return Proof.REPLACED

    def _has_run(self, origin: StreamOrigin) -> bool:
        """Return whether the process is known to have run when the stream began."""
        if not origin.upstream or origin.started_ms is None:
            return True
        entry = self._directory.entries_by_id.get(origin.upstream)
        if entry is None:
            return False
        if entry.upstream.started_ms == origin.started_ms:
            return origin.began_at <= entry.seen_until
        replacement = entry.replacement_of(origin.started_ms)
        return replacement is not None and origin.began_at <= replacement.seen_until

    async def prove(self, origin: StreamOrigin) -> Proof:
        """Return what is known of an origin, and ask its upstream if needed."""
        for _ in range(MAX_PROBES):
            proof = self.proof(origin)
            entry = self._directory.entries_by_id.get(origin.upstream)
            if proof is not Proof.OPEN or entry is None:
                return proof
            if not await asyncio.shield(self.start_probe(entry)):
                break
        return self.proof(origin)

    def ask_later(self, entry: UpstreamEntry) -> None:
        """Start a probe, unless one is under way or has failed just now."""
        failed_at = self._failed_at_by_upstream.get(entry.upstream.id, -math.inf)
        if self._clock() - failed_at >= RETRY_SECONDS:
            self.start_probe(entry)

    def start_probe(self, entry: UpstreamEntry) -> asyncio.Task[bool]:
        """Return a probe that is under way, or start one; all streams share it."""
        upstream_id = entry.upstream.id
        probe = self._probe_by_upstream.get(upstream_id)
        if probe is None or probe.done():
            probe = self.tasks.spawn(self._probe(entry))
            self._probe_by_upstream[upstream_id] = probe
            probe.add_done_callback(lambda _: self._forget(upstream_id))
        return probe

    def _forget(self, upstream_id: str) -> None:
        probe = self._probe_by_upstream.get(upstream_id)
        if probe is not None and probe.done():
            del self._probe_by_upstream[upstream_id]

    async def _probe(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream answers."""
        upstream_id = entry.upstream.id
        try:
            await self.ask(entry)
        except EngineUnavailable as error:
            if upstream_id in self._directory.entries_by_id:
                self._failed_at_by_upstream[upstream_id] = self._clock()
            log_event(
                "upstream process not stated", upstream=upstream_id, reason=str(error)
            )
            return False
        self._failed_at_by_upstream.pop(upstream_id, None)
        return True

    async def ask(self, entry: UpstreamEntry) -> Probe:
        """Ask an upstream which process it is.

        Raises
        ------
        EngineUnavailable
            If it does not answer.
        """
        asked_at = self._clock()
        probe = await self._engines.probe(entry.upstream)
        if self._directory.record_start(entry, probe.started_ms, self._clock()):
            self._directory.changed()
        elif probe.started_ms == entry.upstream.started_ms:
            entry.seen_until = max(entry.seen_until, asked_at)
        return probe

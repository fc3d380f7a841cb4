"""Origins of streams that other routers have not been told yet."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from lynxchute.resumption.origin_memory import OriginMemory
from lynxchute.resumption.origin_prover import OriginProver, Proof
from lynxchute.resumption.origin_replicator import OriginReplicator
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.stream_origin import StreamOrigin

# Seconds after which an origin that could not be proven is told to nobody.
MAX_UNPROVEN_SECONDS = 5.0


class UntoldOrigins:
    """Holds origins back until they are needed elsewhere and proven.

    Other routers need none while a service has one software version. An origin of a
    process that was replaced unseen would mislead them.

    Parameters
    ----------
    memory
        The origins that this router knows.
    prover
        Asks upstreams which process they are.
    replicator
        Sends origins to other routers.
    directory
        The upstreams.
    is_sole_version
        Returns whether a service is known to have one software version only.
    wake
        Called when origins may have been proven.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self,
        memory: OriginMemory,
        prover: OriginProver,
        replicator: OriginReplicator,
        directory: Directory,
        is_sole_version: Callable[[str], bool],
        wake: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._memory = memory
        self._prover = prover
        self._replicator = replicator
        self._directory = directory
        self._is_sole_version = is_sole_version
        self._wake = wake
        self._clock = clock
        # Expiry times of origins that are told once they are proven.
        self._unproven_by_key: dict[str, float] = {}
        # The same of origins that nobody needs yet.
        self._unneeded_by_service: dict[str, OrderedDict[str, float]] = {}

    @property
    def is_due(self) -> bool:
        """Return whether origins wait that other routers need."""
        return bool(self._unproven_by_key) or any(
            not self._is_sole_version(service) for service in self._unneeded_by_service
        )

    def add(self, key: str, service: str, expires_at: float) -> None:
        """Hold an origin back that was put into the memory."""
        if not self._is_sole_version(service):
            self._unproven_by_key[key] = expires_at
            self._wake()
            return
        unneeded = self._unneeded_by_service.setdefault(service, OrderedDict())
        unneeded[key] = expires_at
        while unneeded and next(iter(unneeded.values())) <= self._clock():
            unneeded.popitem(last=False)

    def enqueue_proven(self) -> None:
        """Queue what is needed and proven; ask the upstreams of what is not proven."""
        for service in list(self._unneeded_by_service):
            if not self._is_sole_version(service):
                self._unproven_by_key.update(self._unneeded_by_service.pop(service))
        for key, expires_at in list(self._unproven_by_key.items()):
            origin = self._memory.get(key, self._clock())
            if origin is None:
                del self._unproven_by_key[key]
                continue
            proof = self._prover.proof(origin)
            if proof is Proof.PROVEN:
                del self._unproven_by_key[key]
                # A change of the memory lets it be written to the store.
                self._memory.put(key, origin, expires_at=expires_at, now=self._clock())
                self._replicator.enqueue(key, origin, expires_at)
                continue
            if proof is Proof.REPLACED or not self._ask(origin):
                del self._unproven_by_key[key]
                self._log_unproven(key, origin, proof)

    def _ask(self, origin: StreamOrigin) -> bool:
        """Ask an upstream which process it is; return whether that is of use."""
        entry = self._directory.entries_by_id.get(origin.upstream)
        is_late = self._clock() - origin.began_at > MAX_UNPROVEN_SECONDS
        if entry is None or is_late:
            return False
        self._prover.start_probe(entry).add_done_callback(self._wake_if_answered)
        return True

    def _wake_if_answered(self, probe: asyncio.Task[bool]) -> None:
        if not probe.cancelled() and probe.exception() is None and probe.result():
            self._wake()

    def _log_unproven(self, key: str, origin: StreamOrigin, proof: Proof) -> None:
        log_event(
            "stream origin not proven",
            key=key,
            upstream=origin.upstream,
            software=origin.software_version,
            started_ms=origin.started_ms,
            age=round(self._clock() - origin.began_at, 3),
            proof=proof.value,
        )

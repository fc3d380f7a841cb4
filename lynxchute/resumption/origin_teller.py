"""Tell other routers where streams began."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import attrs

from lynxchute.resumption.origin_memory import OriginMemory
from lynxchute.resumption.origin_prover import OriginProver, Proof
from lynxchute.resumption.origin_replicator import OriginReplicator
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.stream_origin import StreamOrigin

# Seconds for which the upstream of an origin is asked.
MAX_UNPROVEN_SECONDS = 5.0


@attrs.frozen
class _Unproven:
    """Until when an origin is remembered, and its upstream asked, in seconds."""

    expires_at: float
    ask_until: float


class OriginTeller:
    """Tells origins as soon as other routers need them, and again once they are proven.

    No other router needs them while a service has one software version. A router that
    knows an origin unproven asks its upstream before a stream goes on.

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
        clock: Callable[[], float],
    ) -> None:
        self._memory = memory
        self._prover = prover
        self._replicator = replicator
        self._directory = directory
        self._is_sole_version = is_sole_version
        self._clock = clock
        # Origins that are told again once they are proven.
        self._unproven_by_key: dict[str, _Unproven] = {}
        # Expiry times of origins that nobody needs yet.
        self._unneeded_by_service: dict[str, OrderedDict[str, float]] = {}

    @property
    def has_unproven(self) -> bool:
        """Return whether origins have to be proven."""
        return bool(self._unproven_by_key)

    @property
    def has_needed(self) -> bool:
        """Return whether other routers need origins that they were not told."""
        return any(
            not self._is_sole_version(service) for service in self._unneeded_by_service
        )

    def add(self, key: str, origin: StreamOrigin, expires_at: float) -> bool:
        """Tell an origin if it is needed; return whether there is something to send."""
        if not self._is_sole_version(origin.service):
            self._tell(key, origin, expires_at)
            return True
        unneeded = self._unneeded_by_service.setdefault(origin.service, OrderedDict())
        unneeded[key] = expires_at
        while unneeded and next(iter(unneeded.values())) <= self._clock():
            unneeded.popitem(last=False)
        return False

    def _tell(self, key: str, origin: StreamOrigin, expires_at: float) -> None:
        unproven = _Unproven(expires_at, self._clock() + MAX_UNPROVEN_SECONDS)
        if not self._is_settled(origin, unproven):
            self._unproven_by_key[key] = unproven
        self._replicator.enqueue(key, origin, expires_at)

    def tell_needed(self) -> None:
        """Queue what other routers need by now."""
        for service in list(self._unneeded_by_service):
            if self._is_sole_version(service):
                continue
            for key, expires_at in self._unneeded_by_service.pop(service).items():
                origin = self._memory.get(key, self._clock())
                if origin is not None:
                    self._tell(key, origin, expires_at)

    async def prove(self) -> None:
        """Queue what is proven by now; ask the upstreams of the others."""
        for key, unproven in list(self._unproven_by_key.items()):
            origin = self._memory.get(key, self._clock())
            if origin is not None and not self._is_settled(origin, unproven):
                continue
            del self._unproven_by_key[key]
            if origin is None or not origin.is_proven:
                continue
            # A change of the memory lets it be written to the store.
            expires_at = unproven.expires_at
            self._memory.put(key, origin, expires_at=expires_at, now=self._clock())
            self._replicator.enqueue(key, origin, expires_at)

    def _is_settled(self, origin: StreamOrigin, unproven: _Unproven) -> bool:
        """Return whether an origin is proven or cannot be; ask its upstream if not."""
        proof = self._prover.proof(origin)
        if proof is Proof.PROVEN:
            return True
        entry = self._directory.entries_by_id.get(origin.upstream)
        is_late = self._clock() > unproven.ask_until
        if proof is Proof.OPEN and entry is not None and not is_late:
            self._prover.ask_later(entry)
            return False
        if origin.is_assumed:
            return True
        log_event(
            "stream origin not proven",
            upstream=origin.upstream,
            software=origin.software_version,
            started_ms=origin.started_ms,
            age=round(self._clock() - origin.began_at, 3),
            proof=proof.value,
        )
        return True

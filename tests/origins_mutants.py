"""Faulty variants of the knowledge of streams, which the fuzzing must detect."""

from unittest import mock

import attrs

from lynxchute.resumption import stream_origins
from lynxchute.resumption.origin_prover import OriginProver
from lynxchute.resumption.stream_origins import StreamOrigins
from lynxchute.upstreams import directory
from lynxchute.upstreams.directory import Directory


def trust_each_origin():
    async def verify(self, origin, *, heard_at=None):
        return True

    return mock.patch.object(StreamOrigins, "verify", verify)


def prove_origins_by_any_answer():
    async def ask(self, entry):
        probe = await self._engines.probe(entry.upstream)
        entry.seen_until = self._clock()
        return probe

    return mock.patch.object(OriginProver, "ask", ask)


def prove_origins_without_an_answer():
    async def probe(self, entry):
        entry.seen_until = self._clock()
        return True

    return mock.patch.object(OriginProver, "_probe", probe)


def trust_each_entry():
    async def confirm_process(self, entry):
        return True

    return mock.patch.object(StreamOrigins, "confirm_process", confirm_process)


def keep_the_version_of_a_restarted_upstream():
    record_start = Directory.record_start

    def keeping(self, entry, started_ms, now=0.0):
        version = entry.upstream.software_version
        is_new = record_start(self, entry, started_ms, now)
        if is_new:
            found = self.entries_by_id[entry.upstream.id]
            found.upstream = attrs.evolve(found.upstream, software_version=version)
        return is_new

    return mock.patch.object(Directory, "record_start", keeping)


def take_each_version_for_the_only_one():
    def agreed_version(self, service, replies):
        return min(filter(None, self._versions(service)), default=None)

    return mock.patch.object(StreamOrigins, "_agreed_version", agreed_version)


def forget_how_long_an_entry_takes():
    return mock.patch.object(directory, "REGISTRATION_SECONDS", -1.0)


def take_streams_of_a_restart_for_older_ones():
    return mock.patch.object(
        Directory, "restarts_known_until", lambda self: float("inf")
    )


def take_each_told_origin_for_proven():
    def from_message(known, now):
        origin = stream_origins_from_message(known, now)
        return attrs.evolve(origin, is_proven=True)

    stream_origins_from_message = stream_origins.from_message
    return mock.patch.object(stream_origins, "from_message", from_message)


MUTANTS = (
    trust_each_origin,
    prove_origins_by_any_answer,
    prove_origins_without_an_answer,
    trust_each_entry,
    keep_the_version_of_a_restarted_upstream,
    take_each_version_for_the_only_one,
    forget_how_long_an_entry_takes,
    take_streams_of_a_restart_for_older_ones,
    take_each_told_origin_for_proven,
)

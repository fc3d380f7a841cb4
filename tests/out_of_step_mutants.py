"""Faulty variants of what routers out of step go by, which the fuzzing must detect."""

import asyncio
from unittest import mock

from lynxchute.resumption.default_versions import DefaultVersions
from lynxchute.resumption.origin_rows import OriginRows
from lynxchute.resumption.stream_origins import StreamOrigins
from lynxchute.resumption.version_record import VersionRecord

CACHE_SECONDS = 1.0


def keep_the_versions_of_the_store():
    read_versions = VersionRecord.read_versions

    async def kept(self, service):
        cache = vars(self).setdefault("cache_of_mutant", {})
        read_at, versions = cache.get(service, (float("-inf"), None))
        if versions is None or self._clock() - read_at > CACHE_SECONDS:
            versions = await read_versions(self, service)
            cache[service] = self._clock(), versions
        return versions

    return mock.patch.object(VersionRecord, "read_versions", kept)


def go_by_one_reply_without_the_store():
    async def agreed_version(self, service, replies_by_vm, reading):
        stored = await asyncio.shield(reading)
        informed = [r for r in replies_by_vm.values() if r.is_history_known]
        if stored is None and not informed:
            return None
        versions = set(stored or ())
        versions.update(*(reply.versions for reply in informed))
        if self._is_history_known():
            versions |= self._versions(service)
        return versions.pop() if len(versions) == 1 else None

    return mock.patch.object(StreamOrigins, "_agreed_version", agreed_version)


def ignore_the_store_while_the_view_is_young():
    agreed_version = StreamOrigins._agreed_version

    async def agreed_here(self, service, replies_by_vm, reading):
        version = self.sole_version(service)
        if version is not None:
            return version
        return await agreed_version(self, service, replies_by_vm, reading)

    return mock.patch.object(StreamOrigins, "_agreed_version", agreed_here)


def begin_streams_before_the_row_names_their_version():
    async def ensure_recorded(self, service, version):
        return True

    return mock.patch.object(VersionRecord, "ensure_recorded", ensure_recorded)


def take_each_row_of_origins_for_read():
    return mock.patch.object(OriginRows, "have_read", lambda self, vms, since: True)


def begin_streams_before_their_origins_are_stored():
    async def store(self, key, origin, expires_at, **options):
        return True

    return mock.patch.object(OriginRows, "store", store)


def go_by_the_default_version_as_known():
    async def read(self, service):
        return self.get(service)

    return mock.patch.object(DefaultVersions, "read", read)


MUTANTS = (
    keep_the_versions_of_the_store,
    go_by_one_reply_without_the_store,
    ignore_the_store_while_the_view_is_young,
    begin_streams_before_the_row_names_their_version,
    take_each_row_of_origins_for_read,
    begin_streams_before_their_origins_are_stored,
    go_by_the_default_version_as_known,
)

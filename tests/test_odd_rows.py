"""Rows of other writers that are invalid, beside those that a fleet lives on."""

import json

from lynxchute.platform.names import UPSTREAM_TABLE
from tests.odd_rows import (
    JOINING_VERSION,
    MEMBER,
    ROUTERS,
    SURROGATE,
    UPSTREAM,
    OddRowPlay,
    encoded,
    put_answer,
)
from tests.platform_support import PlatformTestCase

FLEET_TABLE = "fleet"


class OddRowCase(PlatformTestCase):
    def play(self, spoil):
        async def scenario(deployment):
            await OddRowPlay(self, deployment).run(spoil)

        self.with_platform(scenario, routers=ROUTERS)


async def spoil_nothing(store):
    pass


class SoundRowTest(OddRowCase):
    def test_a_fleet_serves_without_errors_beside_sound_rows(self):
        self.play(spoil_nothing)


class OddUpstreamTest(OddRowCase):
    """Guards against callbacks and requests that end at a row of the upstreams."""

    def test_a_service_that_cannot_be_encoded_ends_no_callback(self):
        async def spoil(store):
            value = encoded(UPSTREAM, service=SURROGATE, state="ready")
            await store.put(UPSTREAM_TABLE, "odd", value)

        self.play(spoil)

    def test_a_key_that_cannot_be_encoded_gets_no_requests(self):
        async def spoil(store):
            for number in range(3):
                value = encoded(UPSTREAM, state="ready", address=f"127.0.0.1:{number}")
                await store.put(UPSTREAM_TABLE, f"{SURROGATE}{number}", value)

        self.play(spoil)

    def test_thousands_of_odd_entries_leave_the_sound_ones(self):
        async def spoil(store):
            for number in range(1_200):
                value = encoded(UPSTREAM, slots=-1)
                await store.put(UPSTREAM_TABLE, f"a{SURROGATE}{number}", value)
                await store.put(UPSTREAM_TABLE, f"{'k' * 2_000}{number}", value)
                await store.put(UPSTREAM_TABLE, f"a{number}", value)

        self.play(spoil)

    def test_a_long_version_leaves_room_for_the_other_versions(self):
        async def spoil(store):
            value = encoded(UPSTREAM, version="v" * 20_000)
            await store.put(UPSTREAM_TABLE, "odd", value)

        async def scenario(deployment):
            await OddRowPlay(self, deployment).run(spoil)
            services = json.loads(
                deployment.store.value(FLEET_TABLE, "software-versions")
            )
            self.assertIn(JOINING_VERSION, services["pool"])

        self.with_platform(scenario, routers=ROUTERS)


class OddFleetRowTest(OddRowCase):
    """Guards against routers that follow rows which no router wrote."""

    def test_a_secret_that_cannot_be_read_is_not_used(self):
        async def spoil(store):
            await store.put(FLEET_TABLE, "secret", b"\xff\xfe")

        self.play(spoil)

    def test_a_row_under_another_key_replaces_no_router(self):
        async def scenario(deployment):
            address = deployment.routers["a-1"].members.own.address

            async def spoil(store):
                value = encoded(MEMBER, vm="a-1", data_centre="a")
                await store.put(FLEET_TABLE, "router/z-1", value)

            await OddRowPlay(self, deployment).run(spoil)
            known = deployment.routers["b-1"].members.by_vm["a-1"]
            self.assertEqual(address, known.address)

        self.with_platform(scenario, routers=ROUTERS)

    def test_a_strength_beyond_its_range_outranks_no_router(self):
        async def scenario(deployment):
            async def spoil(store):
                value = encoded(MEMBER, strength=1e308, is_leaving=False)
                await store.put(FLEET_TABLE, "router/z-1", value)

            await OddRowPlay(self, deployment).run(spoil)
            self.assertNotIn("z-1", deployment.routers["b-1"].members.by_vm)

        self.with_platform(scenario, routers=ROUTERS)

    def test_rows_of_marks_and_versions_end_no_callback(self):
        async def spoil(store):
            for value in (b"[1]", encoded({}, era=10**400, since_ms=10**400)):
                for key in (
                    "era",
                    "default-versions",
                    "software-versions",
                    "quarantine",
                ):
                    await store.put(FLEET_TABLE, key, value)
            await store.put(FLEET_TABLE, "retries", encoded({}, until_ms=10**400))

        self.play(spoil)


class OddAnswerTest(OddRowCase):
    """Guards against feeds that end at one item of the store's answer."""

    def test_items_without_key_or_with_bad_base64_stop_no_feed(self):
        async def spoil(store):
            for table in (UPSTREAM_TABLE, FLEET_TABLE):
                await put_answer(store, table, "no-key", key=...)
                await put_answer(store, table, "bad-key", key=[1])
                await put_answer(store, table, "bad-value", value="x")
                await put_answer(store, table, "no-text", value=7)

        self.play(spoil)

    def test_versions_beyond_all_numbers_stop_no_feed(self):
        async def spoil(store):
            for table in (UPSTREAM_TABLE, FLEET_TABLE):
                await put_answer(store, table, "long", ver=10**400)
                await put_answer(store, table, "large", ver=2**64)
                await put_answer(store, table, "text", ver="x")
                await put_answer(store, table, "negative", ver=-1)

        self.play(spoil)


class OddConfigurationTest(OddRowCase):
    """Guards against configurations that end requests or hide later ones."""

    def test_a_version_beyond_all_numbers_hides_no_later_one(self):
        async def scenario(deployment):
            async def spoil(store):
                await deployment.configure(version=10**400)
                await deployment.configure(version=2)

            await OddRowPlay(self, deployment).run(spoil)
            versions = {r.configurations.current.version for r in routers(deployment)}
            self.assertEqual({2}, versions)

        self.with_platform(scenario, routers=ROUTERS)


def routers(deployment):
    return list(deployment.routers.values())

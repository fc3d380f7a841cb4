"""Crowds that send more than they should: a router lives and answers in its memory."""

import pathlib
import tempfile

from tests.crowd_play import MAX_OPEN_FILES, MEMORY_MB, play
from tests.support import AsyncTestCase

PLAY_TIMEOUT = 120
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200


class CrowdTestCase(AsyncTestCase):
    def check(self, name, **options):
        with tempfile.TemporaryDirectory() as folder:
            found = self.run_async(
                play(pathlib.Path(folder), name, **options), PLAY_TIMEOUT
            )
        self.assertTrue(found.is_alive, found)
        self.assertTrue(found.is_served, found)
        self.assertLess(found.peak_megabytes, MEMORY_MB, found)
        self.assertLess(found.descriptors, MAX_OPEN_FILES - FILE_DESCRIPTORS, found)


class RequestsAheadTest(CrowdTestCase):
    """Guards against memory that grows with what callers send ahead."""

    def test_one_connection(self):
        self.check("ahead")

    def test_one_connection_that_reads_its_answers(self):
        self.check("ahead_read")

    def test_eight_connections(self):
        self.check("ahead_eight")

    def test_the_readiness_port(self):
        self.check("ahead_ready")

    def test_the_port_of_other_routers(self):
        self.check("ahead_peers")

    def test_the_metrics_port(self):
        self.check("ahead_metrics")

    def test_metrics_that_nobody_reads(self):
        self.check("ahead_metrics_found")

    def test_many_connections(self):
        self.check("ahead_many")

    def test_many_connections_at_the_readiness_port(self):
        self.check("ahead_ready_many")


class BodiesTest(CrowdTestCase):
    """Guards against bodies that fill the memory, or keep others out of it."""

    def test_bodies_that_stop_short(self):
        self.check("short_bodies")

    def test_bodies_in_pieces_that_stop_short(self):
        self.check("short_bodies_in_pieces")

    def test_bodies_that_trickle(self):
        self.check("trickled_bodies")

    def test_the_readiness_port(self):
        self.check("short_bodies_ready")

    def test_the_port_of_other_routers(self):
        self.check("short_bodies_peers")

    def test_the_metrics_port(self):
        self.check("short_bodies_metrics")

    def test_chunked_bodies_without_their_end(self):
        self.check("chunked")

    def test_whole_bodies(self):
        self.check("whole_bodies")


class ConnectionsTest(CrowdTestCase):
    """Guards against connections that use up memory or descriptors."""

    def test_heads_without_their_end(self):
        self.check("heads")

    def test_descriptors(self):
        self.check("connections")


class MixedCrowdTest(CrowdTestCase):
    """Guards against crowds that are harmless apart and not together."""

    def test_at_all_ports(self):
        self.check("mixed")

    def test_beside_an_outage_of_the_store(self):
        self.check("mixed", beside="outage")

    def test_beside_a_stop(self):
        self.check("mixed", beside="stop")

    def test_beside_limits_that_change(self):
        self.check("mixed", beside="limits")

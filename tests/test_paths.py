"""How a router decides that a path to an upstream is lost, and that it is back."""

import random
from unittest import mock

import testtools

from lynxchute.tunnels.paths import (
    ASKED_LAST_SECONDS,
    CHECK_SECONDS,
    FLAP_SECONDS,
    MAX_CHECKS_NEEDED,
    NEAR_BONUS,
    REFUSED_SECONDS,
    Helper,
    PathState,
    UpstreamPaths,
)
from tests.fuzz import run
from tests.paths_machine import PathsMachine

NEAR, FAR = Helper("a-2", True), Helper("b-1", False)


class PathsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.paths = UpstreamPaths(random.Random(1))

    def test_one_lost_path_is_not_a_router_cut_off(self):
        self.paths.record_lost("u1", 1.0, hangs=True)
        self.assertFalse(self.paths.is_cut_off)
        self.paths.record_lost("u2", 1.1, hangs=True)
        self.assertTrue(self.paths.is_cut_off)
        self.paths.record_direct("u3", 1.2)
        self.assertFalse(self.paths.is_cut_off)

    def test_open_connections_are_given_up_only_where_new_ones_hang(self):
        for address in ("u1", "u2"):
            self.paths.record_lost(address, 1.0, hangs=False)
        self.assertTrue(self.paths.is_cut_off)
        self.assertFalse(self.paths.is_hanging("u1"))

    def test_one_attempt_without_an_answer_may_be_a_lost_packet(self):
        self.paths.record_lost("u1", 1.0, hangs=True)
        self.assertFalse(self.paths.is_hanging("u1"))
        self.paths.record_check_failed("u1", 1.3, hangs=True)
        self.assertTrue(self.paths.is_hanging("u1"))

    def test_an_upstream_that_nobody_reaches_may_only_be_silent(self):
        for address in ("u1", "u2"):
            self.paths.record_unreachable(address, 1.0, hangs=True)
            self.paths.record_check_failed(address, 1.3, hangs=True)
            self.assertFalse(self.paths.is_hanging(address))

    def test_a_returning_path_lets_the_others_be_checked_at_once(self):
        for address in ("u1", "u2"):
            self.paths.record_lost(address, 1.0, hangs=False)
        self.assertEqual([], self.paths.checks_due(1.1))
        self.paths.record_direct("u1", 1.1)
        self.assertEqual(["u2"], self.paths.checks_due(1.1))

    def test_a_path_that_flaps_has_to_pass_more_checks(self):
        now, needed = 1.0, []
        for _ in range(6):
            self.paths.record_lost("u1", now, hangs=False)
            count = 0
            while self.paths.is_lost("u1"):
                now += CHECK_SECONDS
                self.paths.record_direct("u1", now)
                count += 1
            needed.append(count)
        self.assertEqual([1, 2, 4, 8, MAX_CHECKS_NEEDED, MAX_CHECKS_NEEDED], needed)
        self.paths.record_lost("u1", now + FLAP_SECONDS, hangs=False)
        self.paths.record_direct("u1", now + FLAP_SECONDS + 1)
        self.assertEqual(PathState.DIRECT, self.paths.state("u1"))

    def test_helpers_of_the_own_data_centre_are_preferred_up_to_a_bound(self):
        self.assertEqual(["a-2", "b-1"], self.order(1.0))
        for _ in range(NEAR_BONUS + 1):
            self.paths.record_tunnel("a-2", 1)
        self.assertEqual(["b-1", "a-2"], self.order(1.0))

    def test_a_router_that_refused_is_asked_last_and_not_for_the_same(self):
        self.paths.record_refused("a-2", "u1", 1.0, is_unreachable=True)
        self.assertEqual(["b-1"], self.order(1.1))
        self.assertEqual(["b-1", "a-2"], self.order(1.1, "u2"))
        self.assertEqual(["b-1", "a-2"], self.order(1.0 + REFUSED_SECONDS))
        self.assertEqual(["a-2", "b-1"], self.order(1.0 + ASKED_LAST_SECONDS))

    def test_a_weak_router_is_asked_after_a_strong_one(self):
        weak = Helper("a-2", True, strength=0.05)
        self.assertEqual(["b-1", "a-2"], self.paths.helpers_for("u1", [weak, FAR], 1.0))

    def order(self, now, address="u1"):
        return self.paths.helpers_for(address, [NEAR, FAR], now)


def check_no_lost_path():
    return mock.patch.object(UpstreamPaths, "checks_due", lambda self, now: [])


def lose_a_path_at_each_failed_check():
    def record_check_failed(self, address, now, *, hangs):
        self.record_unreachable(address, now, hangs=hangs)

    return mock.patch.object(UpstreamPaths, "record_check_failed", record_check_failed)


def restore_no_path():
    return mock.patch.object(UpstreamPaths, "record_direct", lambda *args: None)


def forget_nothing():
    return mock.patch.object(UpstreamPaths, "forget", lambda *args: None)


def take_every_loss_for_the_own_fault():
    cut_off = property(lambda self: bool(self.lost_addresses))
    return mock.patch.object(UpstreamPaths, "is_cut_off", cut_off)


def find_nobody_unreachable():
    def record_unreachable(self, address, now, *, hangs):
        self.record_lost(address, now, hangs=hangs)

    return mock.patch.object(UpstreamPaths, "record_unreachable", record_unreachable)


MUTANTS = (
    check_no_lost_path,
    lose_a_path_at_each_failed_check,
    restore_no_path,
    forget_nothing,
    take_every_loss_for_the_own_fault,
    find_nobody_unreachable,
)


class PathsFuzzTest(testtools.TestCase):
    def test_random_histories_break_nothing(self):
        run(200, 40, machine=PathsMachine)

    def test_fuzzing_detects_each_mutant(self):
        for mutant in MUTANTS:
            with mutant():
                error = self.assertRaises(
                    AssertionError, run, 200, 40, shrink=False, machine=PathsMachine
                )
            self.assertIsNotNone(error, mutant.__name__)

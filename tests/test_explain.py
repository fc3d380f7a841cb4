"""What the command that reads logs says of requests."""

import contextlib
import io
import json
import os
import sys
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from lynxchute.explain import command
from lynxchute.explain.log_lines import MAX_NAMED, LogReader
from lynxchute.explain.losses import MAX_OPEN, ON_TIME, Losses, cause_of
from lynxchute.explain.payers import NOT_NAMED, PROBE_REASONS, Payers
from lynxchute.operators import client


def ended(request_id="q1", at=10.0, **more):
    fields = {
        "time": at,
        "event": "request ended",
        "vm": "a-1",
        "request_id": request_id,
        "outcome": "served",
        "route": "ask",
        "events": 5,
        "seconds": 2.0,
        "first_byte": 0.2,
        "longest_pause": 0.1,
        "objective": 1.0,
        "max_pause": 0.3,
    }
    return json.dumps({**fields, **more})


def searched(request_id="q1", at=9.9, **more):
    fields = {
        "time": at,
        "event": "no tokens for a request",
        "vm": "a-1",
        "request_id": request_id,
        "tokens": 500,
        "unused": 100,
        "store_answers": True,
    }
    return json.dumps({**fields, **more})


def read(*lines):
    return list(LogReader().read(lines, "log"))


def cause(*lines):
    *others, last = read(*lines)
    return cause_of(last, others[0] if others else None)


class CauseTest(testtools.TestCase):
    def test_each_way_to_be_late_has_its_name(self):
        self.assertEqual(ON_TIME, cause(ended()))
        self.assertEqual("late by first event", cause(ended(first_byte=1.2)))
        self.assertEqual("late by pause", cause(ended(longest_pause=0.31)))
        self.assertEqual("late answer", cause(ended(events=0, seconds=1.1)))
        self.assertEqual(ON_TIME, cause(ended(events=0, seconds=0.9)))
        self.assertEqual("left by its caller", cause(ended(outcome="left")))
        self.assertEqual(
            "broken off: broken", cause(ended(outcome="broken off: broken"))
        )

    def test_a_refusal_for_tokens_says_whether_there_were_some(self):
        refused = ended(outcome="refused: budget-unreachable")
        self.assertEqual("refused: no tokens left", cause(searched(), refused))
        elsewhere = searched(unused=900)
        expected = "refused: tokens elsewhere or set aside"
        self.assertEqual(expected, cause(elsewhere, refused))
        away = searched(unused=900, store_answers=False)
        expected = "refused: tokens elsewhere, store away"
        self.assertEqual(expected, cause(away, refused))


class LossesTest(testtools.TestCase):
    def test_they_are_counted_by_route_cause_and_moment(self):
        losses = Losses(step=4.0)
        lines = [ended(at=t, first_byte=2.0) for t in (10.0, 11.0, 21.0)]
        lines.append(ended(at=12.0))
        for line in read(*lines):
            losses.take(line)
        self.assertEqual({("ask", "late by first event"): 3}, dict(losses.by_cause()))
        self.assertEqual([8, 16], list(losses.by_moment()))
        self.assertEqual(4, losses.requests["ask"])

    def test_what_never_ends_is_forgotten(self):
        losses = Losses()
        (line,) = read(searched())
        for number in range(MAX_OPEN + 50):
            line.fields["request_id"] = f"q{number}"
            losses.take(line)
        self.assertEqual(MAX_OPEN, len(losses._searches))


class ReaderTest(testtools.TestCase):
    def test_what_collectors_write_before_a_line_is_passed_over(self):
        (line,) = read(f"  12.3 front-a {ended()}\n")
        self.assertEqual("q1", line.request_id)

    def test_lines_that_are_no_routers_are_named_and_bounded(self):
        reader = LogReader()
        lines = ["hello", '{"time": 1}', "{", '{"time": "x", "event": "y"}'] * 20
        self.assertEqual([], list(reader.read(lines, "log")))
        self.assertEqual("log:1: no line of a router", reader.findings[0])
        self.assertEqual((80, MAX_NAMED), (reader.strange, len(reader.findings)))


class ClientTest(testtools.TestCase):
    def run_it(self, *arguments):
        asked = []

        class Nobody(client.RouterClient):
            def run(self, statement):
                asked.append((tuple(self._routers), statement))

        self.patch(client, "RouterClient", Nobody)
        self.patch(sys, "argv", ["lynxchute", *arguments])
        self.patch(os, "environ", {**os.environ, client.KEY_VARIABLE: "key"})
        output = io.StringIO()
        with redirect_stdout(output), contextlib.suppress(SystemExit):
            client.main()
        return asked, output.getvalue()

    def test_a_router_is_told_apart_from_the_statement(self):
        asked, _ = self.run_it("-r", "10.0.0.1:80,10.0.0.2:80", "show", "vms")
        routers = ("10.0.0.1:80", "10.0.0.2:80")
        self.assertEqual([(routers, "show vms")], asked)

    def test_it_says_its_version(self):
        asked, output = self.run_it("--version")
        self.assertEqual([], asked)
        self.assertRegex(output, r"^lynxchute [0-9]+\.[0-9]+")


def started(vm, data_centre):
    fields = {"event": "started", "vm": vm, "data_centre": data_centre, "time": 1.0}
    return json.dumps(fields)


def refused(reason="overloaded", **more):
    fields = {"event": "request refused", "vm": "a-1", "reason": reason, "time": 10.0}
    return json.dumps({**fields, **more})


class PayersTest(testtools.TestCase):
    def payers(self, *lines):
        payers = Payers()
        for line in read(*lines):
            payers.take(line)
        return payers

    def test_each_request_counts_once_by_each_dimension(self):
        payers = self.payers(
            ended(account="kanda"),
            ended(account="kanda", first_byte=1.2),
            ended(account="nara", vm="b-1", outcome="left"),
            refused(account="kanda", route="ask"),
            started("a-1", "a"),
        )
        kanda = payers.by_account["kanda"]
        self.assertEqual((3, 1, 1), (kanda.requests, kanda.late, kanda.lost))
        self.assertEqual({"refused: overloaded": 1}, kanda.lost_by_cause)
        self.assertEqual(4, payers.by_route["ask"].requests)
        by_data_centre = payers.by_data_centre()
        self.assertEqual(3, by_data_centre["a"].requests)
        self.assertEqual(1, by_data_centre[NOT_NAMED].lost)

    def test_probes_of_the_configuration_count_apart(self):
        lines = [refused(reason) for reason in sorted(PROBE_REASONS)]
        payers = self.payers(*lines, refused())
        self.assertEqual(len(PROBE_REASONS), payers.probes)
        self.assertEqual(1, payers.by_vm["a-1"].requests)


class CommandTest(testtools.TestCase):
    def test_who_pays_is_told_by_each_dimension(self):
        text = "\n".join([started("a-1", "a"), ended(account="kanda"), refused()])
        status, output, _ = self.run_it(text, "--payers")
        self.assertEqual(command.EXIT_DONE, status)
        for title in ("by data centre", "by VM", "by client account", "by route"):
            self.assertIn(title, output)
        self.assertIn("refused: overloaded 1", output)

    def run_it(self, text, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with TemporaryDirectory() as folder:
            file = Path(folder) / "router.log"
            file.write_text(text, encoding="utf-8")
            argv = ["lynxchute", "explain", str(file), *arguments]
            self.addCleanup(setattr, sys, "argv", sys.argv)
            sys.argv = argv
            raises = self.assertRaises(SystemExit)
            with redirect_stdout(output), redirect_stderr(errors), raises as raised:
                client.main()
        return raised.exception.code, output.getvalue(), errors.getvalue()

    def test_the_story_of_a_request_is_told_in_order(self):
        text = "\n".join([ended(outcome="refused: budget"), searched()])
        status, output, _ = self.run_it(text, "--request", "q1")
        self.assertEqual(command.EXIT_DONE, status)
        first, second = output.splitlines()
        self.assertIn("no tokens for a request", first)
        self.assertIn("request ended", second)

    def test_a_request_that_is_not_there_is_said(self):
        status, _, errors = self.run_it(ended(), "--request", "other")
        self.assertEqual(command.EXIT_NOTHING, status)
        self.assertIn("other", errors)

    def test_the_table_of_losses(self):
        text = "\n".join([ended(first_byte=2.0), ended()])
        status, output, _ = self.run_it(text, "--lost")
        self.assertEqual(command.EXIT_DONE, status)
        self.assertIn("late by first event", output)
        self.assertIn("50.0%", output)

    def test_strange_lines_are_told_with_their_number(self):
        status, _, errors = self.run_it(f"{ended()}\nnot ours\n", "--lost")
        self.assertEqual(command.EXIT_STRANGE, status)
        self.assertIn(":2: no line of a router", errors)

"""Tests of the command that analyses router logs."""

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
from lynxchute.explain.log_lines import MAX_FINDINGS, LogReader
from lynxchute.explain.losses import MAX_FAILED_SEARCHES, ON_TIME, Losses, loss_cause
from lynxchute.explain.payers import PROBE_REASONS, UNKNOWN, OutcomeTallies
from lynxchute.operators import client


def request_ended(request_id="q1", at=10.0, **overrides):
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
    return json.dumps({**fields, **overrides})


def search_failed(request_id="q1", at=9.9, **overrides):
    fields = {
        "time": at,
        "event": "no tokens for a request",
        "vm": "a-1",
        "request_id": request_id,
        "tokens": 500,
        "unused": 100,
        "store_answers": True,
    }
    return json.dumps({**fields, **overrides})


def read(*lines):
    return list(LogReader().read(lines, "log"))


def cause(*lines):
    *others, last = read(*lines)
    return loss_cause(last, others[0] if others else None)


class CauseTest(testtools.TestCase):
    def test_late_requests_get_specific_causes(self):
        self.assertEqual(ON_TIME, cause(request_ended()))
        self.assertEqual("late by first event", cause(request_ended(first_byte=1.2)))
        self.assertEqual("late by pause", cause(request_ended(longest_pause=0.31)))
        self.assertEqual("late answer", cause(request_ended(events=0, seconds=1.1)))
        self.assertEqual(ON_TIME, cause(request_ended(events=0, seconds=0.9)))
        self.assertEqual("left by its caller", cause(request_ended(outcome="left")))
        self.assertEqual(
            "broken off: broken", cause(request_ended(outcome="broken off: broken"))
        )

    def test_token_refusals_tell_whether_tokens_were_left(self):
        request_refused = request_ended(outcome="refused: budget-unreachable")
        self.assertEqual(
            "refused: no tokens left", cause(search_failed(), request_refused)
        )
        elsewhere = search_failed(unused=900)
        expected = "refused: tokens elsewhere or set aside"
        self.assertEqual(expected, cause(elsewhere, request_refused))
        away = search_failed(unused=900, store_answers=False)
        expected = "refused: tokens elsewhere, store away"
        self.assertEqual(expected, cause(away, request_refused))


class LossesTest(testtools.TestCase):
    def test_counts_by_route_cause_and_interval(self):
        losses = Losses(step=4.0)
        lines = [request_ended(at=t, first_byte=2.0) for t in (10.0, 11.0, 21.0)]
        lines.append(request_ended(at=12.0))
        for line in read(*lines):
            losses.add_line(line)
        self.assertEqual({("ask", "late by first event"): 3}, dict(losses.by_cause()))
        self.assertEqual([8, 16], list(losses.by_interval()))
        self.assertEqual(4, losses.requests["ask"])

    def test_failed_searches_are_bounded(self):
        losses = Losses()
        (line,) = read(search_failed())
        for number in range(MAX_FAILED_SEARCHES + 50):
            line.fields["request_id"] = f"q{number}"
            losses.add_line(line)
        self.assertEqual(MAX_FAILED_SEARCHES, len(losses._failed_searches))


class ReaderTest(testtools.TestCase):
    def test_ignores_prefixes_of_log_collectors(self):
        (line,) = read(f"  12.3 front-a {request_ended()}\n")
        self.assertEqual("q1", line.request_id)

    def test_invalid_lines_are_reported_up_to_a_limit(self):
        reader = LogReader()
        lines = ["hello", '{"time": 1}', "{", '{"time": "x", "event": "y"}'] * 20
        self.assertEqual([], list(reader.read(lines, "log")))
        self.assertEqual("log:1: no line of a router", reader.findings[0])
        self.assertEqual(
            (80, MAX_FINDINGS), (reader.invalid_count, len(reader.findings))
        )


class ClientTest(testtools.TestCase):
    def run_command(self, *arguments):
        calls = []

        class RecordingClient(client.RouterClient):
            def run(self, statement):
                calls.append((tuple(self._routers), statement))

        self.patch(client, "RouterClient", RecordingClient)
        self.patch(sys, "argv", ["lynxchute", *arguments])
        self.patch(os, "environ", {**os.environ, client.KEY_VARIABLE: "key"})
        output = io.StringIO()
        with redirect_stdout(output), contextlib.suppress(SystemExit):
            client.main()
        return calls, output.getvalue()

    def test_router_option_is_not_part_of_the_statement(self):
        calls, _ = self.run_command("-r", "10.0.0.1:80,10.0.0.2:80", "show", "vms")
        routers = ("10.0.0.1:80", "10.0.0.2:80")
        self.assertEqual([(routers, "show vms")], calls)

    def test_prints_version(self):
        calls, output = self.run_command("--version")
        self.assertEqual([], calls)
        self.assertRegex(output, r"^lynxchute [0-9]+\.[0-9]+")


def router_started(vm, data_centre):
    fields = {"event": "started", "vm": vm, "data_centre": data_centre, "time": 1.0}
    return json.dumps(fields)


def request_refused(reason="overloaded", **overrides):
    fields = {"event": "request refused", "vm": "a-1", "reason": reason, "time": 10.0}
    return json.dumps({**fields, **overrides})


class OutcomeTalliesTest(testtools.TestCase):
    def tallies(self, *lines):
        tallies = OutcomeTallies()
        for line in read(*lines):
            tallies.add_line(line)
        return tallies

    def test_counts_each_request_once_per_dimension(self):
        tallies = self.tallies(
            request_ended(account="kanda"),
            request_ended(account="kanda", first_byte=1.2),
            request_ended(account="nara", vm="b-1", outcome="left"),
            request_refused(account="kanda", route="ask"),
            router_started("a-1", "a"),
        )
        kanda = tallies.by_account["kanda"]
        self.assertEqual((3, 1, 1), (kanda.requests, kanda.late, kanda.lost))
        self.assertEqual({"refused: overloaded": 1}, kanda.lost_by_cause)
        self.assertEqual(4, tallies.by_route["ask"].requests)
        by_data_centre = tallies.by_data_centre()
        self.assertEqual(3, by_data_centre["a"].requests)
        self.assertEqual(1, by_data_centre[UNKNOWN].lost)

    def test_counts_probes_separately(self):
        lines = [request_refused(reason) for reason in sorted(PROBE_REASONS)]
        tallies = self.tallies(*lines, request_refused())
        self.assertEqual(len(PROBE_REASONS), tallies.probes)
        self.assertEqual(1, tallies.by_vm["a-1"].requests)


class CommandTest(testtools.TestCase):
    def test_payers_prints_a_table_per_dimension(self):
        text = "\n".join(
            [
                router_started("a-1", "a"),
                request_ended(account="kanda"),
                request_refused(),
            ]
        )
        status, output, _ = self.run_command(text, "--payers")
        self.assertEqual(command.EXIT_DONE, status)
        for title in ("by data centre", "by VM", "by client account", "by route"):
            self.assertIn(title, output)
        self.assertIn("refused: overloaded 1", output)

    def run_command(self, text, *arguments):
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

    def test_request_lines_are_printed_by_time(self):
        text = "\n".join([request_ended(outcome="refused: budget"), search_failed()])
        status, output, _ = self.run_command(text, "--request", "q1")
        self.assertEqual(command.EXIT_DONE, status)
        first, second = output.splitlines()
        self.assertIn("no tokens for a request", first)
        self.assertIn("request ended", second)

    def test_all_attempts_at_a_stream_are_printed(self):
        resumed = {"event": "stream to be resumed", "vm": "b-1", "resumes": "q1"}
        lines = [
            request_ended("q1", at=10.0),
            json.dumps({**resumed, "request_id": "q2", "time": 11.0}),
            json.dumps({**resumed, "request_id": "q3", "time": 12.0}),
            request_ended("q3", at=13.0),
            request_ended("other", at=14.0),
        ]
        for request_id in ("q1", "q2", "q3"):
            output = self.run_command("\n".join(lines), "--request", request_id)[1]
            for found in ("q1", "q2", "q3"):
                self.assertIn(found, output)
            self.assertNotIn("other", output)

    def test_reports_an_unknown_request(self):
        status, _, errors = self.run_command(request_ended(), "--request", "other")
        self.assertEqual(command.EXIT_NOT_FOUND, status)
        self.assertIn("other", errors)

    def test_lost_prints_causes_and_shares(self):
        text = "\n".join([request_ended(first_byte=2.0), request_ended()])
        status, output, _ = self.run_command(text, "--lost")
        self.assertEqual(command.EXIT_DONE, status)
        self.assertIn("late by first event", output)
        self.assertIn("50.0%", output)

    def test_invalid_lines_are_reported_with_line_numbers(self):
        status, _, errors = self.run_command(f"{request_ended()}\nnot ours\n", "--lost")
        self.assertEqual(command.EXIT_INVALID, status)
        self.assertIn(":2: no line of a router", errors)

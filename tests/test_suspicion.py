"""Attribution of upstream crashes to requests, and the quarantine."""

import json

import attrs
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lynxchute.quarantine import (
    BrokenRun,
    CrashAttribution,
    Progress,
    PromptParts,
    Quarantine,
    QuarantineEntry,
    QuarantineRecord,
    Suspect,
    Verdict,
)
from lynxchute.quarantine.quarantine import UNCONFIRMED_MS
from lynxchute.quarantine.record import MAX_QUARANTINED
from lynxchute.quarantine.suspicion import (
    AMBIGUOUS_CRASHES_TO_QUARANTINE,
    BLAME_EXPIRY_MS,
    LATE_REPORT_MS,
    MAX_CRASHES,
    MAX_QUARANTINE_MS,
    MAX_SUSPECTS,
    QUARANTINE_MS,
    REPORT_WINDOW_MS,
    SAME_CRASH_MS,
)

BEGUN, UNANSWERED, ANSWERING = Progress.BEGUN, Progress.UNANSWERED, Progress.ANSWERING


class CrashScenario:
    """A sequence of upstream crashes."""

    def __init__(self, attribution=None):
        self.attribution = attribution or CrashAttribution()
        self.now_ms = 1_000
        self.crashes = 0

    def crash(self, **progress_by_content):
        """Crash an upstream with these open runs; return the findings."""
        process = f"e{self.crashes}"
        self.crashes += 1
        for content, progress in progress_by_content.items():
            run = BrokenRun(content, process, progress)
            self.attribution.record_run(run, self.now_ms)
        self.now_ms += REPORT_WINDOW_MS
        return self.attribution.judge(self.now_ms)

    @property
    def quarantined(self):
        return set(self.attribution.quarantined_by_content)

    def suspected_crashes(self, content):
        suspect = self.attribution.suspects_by_content.get(content)
        return len(suspect.ended) if suspect else 0


class CrashAttributionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.scenario = CrashScenario()

    def test_a_request_is_quarantined_after_three_crashes(self):
        for _ in range(2):
            self.scenario.crash(q=BEGUN)
            self.assertEqual(set(), self.scenario.quarantined)
        found = self.scenario.crash(q=BEGUN)
        self.assertEqual({"q"}, self.scenario.quarantined)
        self.assertEqual([Verdict.QUARANTINED], [f.verdict for f in found])

    def test_only_the_run_that_had_begun_is_blamed(self):
        for _ in range(3):
            self.scenario.crash(q=BEGUN, waiting=UNANSWERED, answering=ANSWERING)
        self.assertEqual({"q"}, self.scenario.quarantined)
        self.assertEqual(0, self.scenario.suspected_crashes("waiting"))
        self.assertEqual(0, self.scenario.suspected_crashes("answering"))

    def test_a_run_beside_the_cause_in_each_crash_is_not_quarantined(self):
        # Both had begun before each crash, so only a crash with one of them open tells
        # them apart.
        for _ in range(AMBIGUOUS_CRASHES_TO_QUARANTINE + 1):
            self.scenario.crash(q=BEGUN, beside=BEGUN)
        self.assertEqual(set(), self.scenario.quarantined)
        self.scenario.crash(q=BEGUN)
        self.assertEqual({"q"}, self.scenario.quarantined)

    def test_a_run_with_a_suspected_part_is_blamed_before_a_frequent_request(self):
        # Each request with the part is new; the sound one is sent again and again.
        for number in range(8):
            for content, part in ((f"deadly{number}", "p"), ("sound", "s")):
                prompt = PromptParts("pool m", "v1", "a", ("shared", part))
                run = BrokenRun(content, f"e{number}", BEGUN, prompt=prompt)
                self.scenario.attribution.record_run(run, self.scenario.now_ms)
            self.scenario.now_ms += REPORT_WINDOW_MS
            self.scenario.attribution.judge(self.scenario.now_ms)
            self.scenario.attribution.parts.record_served(
                "pool m", "v1", {"s": self.scenario.now_ms}, self.scenario.now_ms
            )
            if number == 0:
                # One crash in which nothing else was seen.
                alone = BrokenRun("sound", "alone", BEGUN)
                self.scenario.attribution.record_run(alone, self.scenario.now_ms)
        self.assertNotIn("sound", self.scenario.quarantined)

    def test_unanswered_runs_are_told_apart_by_earlier_crashes(self):
        # Plain services send no head before the answer, so all open runs look alike.
        self.scenario.crash(q=UNANSWERED, one=UNANSWERED)
        self.scenario.crash(q=UNANSWERED, two=UNANSWERED, three=UNANSWERED)
        self.assertEqual(1, self.scenario.suspected_crashes("one"))
        self.assertEqual(0, self.scenario.suspected_crashes("two"))
        self.scenario.crash(q=UNANSWERED)
        self.assertEqual({"q"}, self.scenario.quarantined)

    def test_a_cause_that_is_never_alone_is_found(self):
        for number in range(AMBIGUOUS_CRASHES_TO_QUARANTINE):
            self.assertEqual(set(), self.scenario.quarantined)
            self.scenario.crash(**{"q": UNANSWERED, f"other{number}": UNANSWERED})
        self.assertEqual({"q"}, self.scenario.quarantined)

    def test_a_run_beside_two_causes_is_not_quarantined(self):
        self.scenario.crash(q=UNANSWERED, unlucky=UNANSWERED)
        self.scenario.crash(q=UNANSWERED, unlucky=UNANSWERED)
        self.scenario.crash(other=UNANSWERED, unlucky=UNANSWERED)
        self.assertEqual(set(), self.scenario.quarantined)

    def test_an_open_copy_of_a_quarantined_request_explains_a_crash(self):
        for _ in range(3):
            self.scenario.crash(q=BEGUN)
        self.assertEqual([], self.scenario.crash(q=BEGUN, beside=BEGUN))
        self.assertEqual(0, self.scenario.suspected_crashes("beside"))

    def test_copies_open_in_one_crash_count_once(self):
        for _ in range(4):
            self.scenario.attribution.record_run(
                BrokenRun("q", "e", BEGUN), self.scenario.now_ms
            )
        self.scenario.attribution.judge(self.scenario.now_ms + REPORT_WINDOW_MS)
        self.assertEqual(1, self.scenario.suspected_crashes("q"))

    def test_concurrent_crashes_under_copies_of_one_request_add_up(self):
        for number in range(6):
            run = BrokenRun("q", f"e{number}", BEGUN)
            self.scenario.attribution.record_run(run, self.scenario.now_ms)
        self.scenario.attribution.judge(self.scenario.now_ms + REPORT_WINDOW_MS)
        self.assertEqual({"q"}, self.scenario.quarantined)

    def test_crashes_of_an_upstream_with_a_fixed_id_are_separated_by_time(self):
        for number in range(3):
            for _ in range(2):
                # Two routers report the same crash.
                run = BrokenRun("q", "engine-1", BEGUN, is_start_known=False)
                self.scenario.attribution.record_run(run, self.scenario.now_ms)
                self.scenario.now_ms += REPORT_WINDOW_MS
            self.scenario.attribution.judge(self.scenario.now_ms)
            if number < 2:
                self.assertEqual(number + 1, self.scenario.suspected_crashes("q"))
            self.scenario.now_ms += SAME_CRASH_MS
        self.assertEqual({"q"}, self.scenario.quarantined)

    def test_a_run_sent_after_a_crash_broke_off_in_another_one(self):
        attribution = self.scenario.attribution
        for number in range(3):
            now_ms = self.scenario.now_ms
            run = BrokenRun(
                "q", "engine-1", BEGUN, is_start_known=False, began_ms=now_ms
            )
            self.scenario.now_ms += 50
            attribution.record_run(run, self.scenario.now_ms)
            self.scenario.now_ms += REPORT_WINDOW_MS
            attribution.judge(self.scenario.now_ms)
            crashes = len(attribution._crash_by_process)
            self.assertEqual(number + 1, crashes)
        self.assertEqual({"q"}, self.scenario.quarantined)

    def test_crashes_are_judged_after_the_report_window(self):
        attribution, now_ms = self.scenario.attribution, self.scenario.now_ms
        attribution.record_run(BrokenRun("waiting", "e", UNANSWERED), now_ms)
        self.assertEqual([], attribution.judge(now_ms + REPORT_WINDOW_MS - 1))
        attribution.record_run(
            BrokenRun("q", "e", BEGUN), now_ms + REPORT_WINDOW_MS - 1
        )
        attribution.judge(now_ms + REPORT_WINDOW_MS)
        self.assertEqual(1, self.scenario.suspected_crashes("q"))
        self.assertEqual(0, self.scenario.suspected_crashes("waiting"))

    def test_a_late_report_counts(self):
        self.scenario.crash(waiting=UNANSWERED)
        late = self.scenario.now_ms + LATE_REPORT_MS // 2
        self.scenario.attribution.record_run(BrokenRun("q", "e0", BEGUN), late)
        self.assertEqual(1, self.scenario.suspected_crashes("q"))

    def test_a_served_request_is_cleared(self):
        for _ in range(2):
            self.scenario.crash(q=BEGUN)
        self.assertTrue(self.scenario.attribution.clear("q"))
        self.scenario.crash(q=BEGUN)
        self.assertEqual(1, self.scenario.suspected_crashes("q"))
        self.assertFalse(self.scenario.attribution.clear("stranger"))

    def test_old_crashes_do_not_count(self):
        for _ in range(2):
            self.scenario.crash(q=BEGUN)
        self.scenario.now_ms += BLAME_EXPIRY_MS
        self.assertTrue(self.scenario.attribution.expire(self.scenario.now_ms))
        self.scenario.crash(q=BEGUN)
        self.assertEqual(set(), self.scenario.quarantined)

    def test_quarantine_expires_and_lasts_longer_each_time(self):
        for _ in range(3):
            self.scenario.crash(q=BEGUN)
        durations_ms = []
        for _ in range(7):
            entry = self.scenario.attribution.quarantined_by_content["q"]
            durations_ms.append(entry.until_ms - self.scenario.now_ms)
            self.scenario.now_ms = entry.until_ms
            self.scenario.attribution.expire(self.scenario.now_ms)
            self.assertEqual(set(), self.scenario.quarantined)
            # One more crash is enough.
            self.scenario.crash(q=BEGUN)
        self.assertEqual([QUARANTINE_MS, 2 * QUARANTINE_MS], durations_ms[:2])
        self.assertEqual(MAX_QUARANTINE_MS, durations_ms[-1])

    def test_state_is_bounded(self):
        for number in range(MAX_SUSPECTS + 50):
            self.scenario.crash(**{f"q{number}": BEGUN})
        self.assertEqual(
            MAX_SUSPECTS, len(self.scenario.attribution.suspects_by_content)
        )
        for number in range(2 * MAX_CRASHES):
            run = BrokenRun(f"r{number}", f"p{number}", BEGUN)
            self.scenario.attribution.record_run(run, self.scenario.now_ms)
        found = self.scenario.attribution.judge(self.scenario.now_ms + REPORT_WINDOW_MS)
        self.assertEqual(MAX_CRASHES, len(found))

    def test_quarantine_entries_are_limited_to_a_row(self):
        attribution = self.scenario.attribution
        items = [
            QuarantineEntry(f"q{n}", 0, 1_000 + n) for n in range(MAX_QUARANTINED + 9)
        ]
        attribution.merge_record(QuarantineRecord(tuple(items)))
        self.assertEqual(MAX_QUARANTINED, len(attribution.record().quarantined))
        attribution.adopt_quarantine(QuarantineEntry("late", 0, 9_000))
        for _ in range(3):
            self.scenario.crash(q=BEGUN)
        kept = {item.content for item in attribution.record().quarantined}
        self.assertEqual(MAX_QUARANTINED, len(kept))
        # Entries that expire first are dropped.
        self.assertLessEqual({"q", "late"}, kept)
        self.assertNotIn("q0", kept)

    def test_a_successor_continues_from_the_row(self):
        for _ in range(2):
            self.scenario.crash(q=BEGUN)
        row = self.scenario.attribution.record().encode()
        successor = CrashScenario()
        successor.crashes, successor.now_ms = 10, self.scenario.now_ms
        successor.attribution.merge_record(QuarantineRecord.decode(row).ok)
        successor.crash(q=BEGUN)
        self.assertEqual({"q"}, successor.quarantined)

    def test_findings_of_two_judges_are_merged(self):
        other = CrashScenario()
        other.crashes = 10
        for scenario in (self.scenario, other):
            for _ in range(2):
                scenario.crash(q=BEGUN)
        self.scenario.attribution.merge_record(other.attribution.record())
        self.assertEqual(4, self.scenario.suspected_crashes("q"))

    def test_requests_released_in_the_store_are_released(self):
        for _ in range(3):
            self.scenario.crash(q=BEGUN)
        self.scenario.attribution.record_written(self.scenario.attribution.record())
        self.scenario.attribution.merge_record(QuarantineRecord())
        self.assertEqual(set(), self.scenario.quarantined)

    def test_a_release_holds_while_another_request_is_quarantined(self):
        for _ in range(3):
            self.scenario.crash(released=BEGUN)
        written = self.scenario.attribution.record()
        self.scenario.attribution.record_written(written)
        for _ in range(3):
            self.scenario.crash(q=BEGUN)
        # An operator changed the row before the judge did.
        self.scenario.attribution.merge_record(QuarantineRecord())
        self.assertEqual({"q"}, self.scenario.quarantined)


runs = st.dictionaries(
    st.sampled_from(["culprit", "a", "b", "c", "d"]), st.sampled_from(list(Progress))
)


class CrashAttributionFuzzTest(TestCase):
    @given(st.lists(runs, max_size=20))
    def test_requests_that_are_served_in_between_are_never_quarantined(self, crashes):
        scenario = CrashScenario()
        for number, open_runs in enumerate(crashes):
            scenario.crash(**open_runs)
            # Request "a" is served after every second crash.
            if number % 2:
                scenario.attribution.clear("a")
        self.assertNotIn("a", scenario.quarantined)

    @given(st.lists(runs, max_size=12), st.integers(0, 3))
    def test_a_cause_is_found_whatever_else_is_open(self, crashes, others):
        scenario = CrashScenario()
        for open_runs in crashes:
            scenario.crash(**open_runs)
        for number in range(AMBIGUOUS_CRASHES_TO_QUARANTINE):
            beside = {f"new{number}.{other}": UNANSWERED for other in range(others)}
            scenario.crash(deadly=BEGUN, **beside)
        self.assertIn("deadly", scenario.quarantined)

    @given(st.lists(runs, max_size=20))
    def test_a_row_round_trips(self, crashes):
        scenario = CrashScenario()
        for open_runs in crashes:
            scenario.crash(**open_runs)
        record = scenario.attribution.record()
        self.assertEqual(record, QuarantineRecord.decode(record.encode()).ok)


class RecordTest(TestCase):
    @given(st.binary(max_size=60))
    def test_any_bytes_can_be_decoded(self, value):
        QuarantineRecord.decode(value)

    @given(
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
            lambda inner: (
                st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner)
            ),
            max_leaves=8,
        )
    )
    def test_any_entry_can_be_decoded(self, entry):
        value = json.dumps({"quarantined": [entry], "suspects": entry}).encode()
        self.assertTrue(QuarantineRecord.decode(value).is_error())

    def test_the_largest_row_fits_into_the_store(self):
        content = "f" * 32
        item = QuarantineEntry(content, 10**12, 10**12, 10)
        suspect = Suspect(
            content, (f"i-{'f' * 10}/{10**12}",) * AMBIGUOUS_CRASHES_TO_QUARANTINE, 5
        )
        suspects = [
            attrs.evolve(suspect, content=f"{number:032x}") for number in range(400)
        ]
        attribution = CrashAttribution()
        attribution.merge_record(QuarantineRecord((), tuple(suspects)))
        quarantined = (item,) * MAX_QUARANTINED
        full = attrs.evolve(attribution.record(), quarantined=quarantined)
        self.assertLess(len(full.encode()), 65_536)


class QuarantineTest(TestCase):
    def item(self, content, until_ms=10_000):
        return QuarantineEntry(content, 0, until_ms)

    def test_the_store_is_authoritative(self):
        quarantine = Quarantine()
        self.assertEqual(["a"], quarantine.replace([self.item("a")], 0))
        self.assertEqual([], quarantine.replace([self.item("a")], 0))
        quarantine.replace([], 0)
        self.assertIsNone(quarantine.find("a", 0))

    def test_reported_entries_count_until_stored(self):
        quarantine = Quarantine()
        quarantine.add([self.item("a", 10**6)], 0)
        quarantine.replace([], UNCONFIRMED_MS - 1)
        self.assertIsNotNone(quarantine.find("a", 0))
        quarantine.replace([], UNCONFIRMED_MS)
        self.assertIsNone(quarantine.find("a", 0))

    def test_the_entry_of_parts_that_lasts_longest_counts(self):
        quarantine = Quarantine()
        short = QuarantineEntry("x", 0, 10, parts=("p", "q"), scope="pool m")
        long = QuarantineEntry("y", 0, 20, parts=("p",), scope="pool m")
        quarantine.add([short, long], 0)
        found = quarantine.find_parts(PromptParts("pool m", "v1", "a", ("p", "q")))
        self.assertEqual("y", found.content)
        self.assertIsNone(quarantine.find_parts(PromptParts("pool", "", "a", ("p",))))

    def test_late_reports_do_not_outlive_the_row(self):
        # Guards against a released request that is refused for long afterwards: a
        # router's feed of the store may be faster than the judge's message.
        quarantine = Quarantine()
        quarantine.replace([self.item("a")], 0)
        quarantine.add([self.item("a")], 1)
        quarantine.replace([], 2)
        self.assertIsNone(quarantine.find("a", 2))

    def test_entries_expire_and_are_bounded(self):
        quarantine = Quarantine()
        items = [self.item(f"q{n}", 100 + n) for n in range(MAX_QUARANTINED + 5)]
        quarantine.replace(items, 0)
        self.assertEqual(MAX_QUARANTINED, len(quarantine.by_content))
        self.assertEqual(5, quarantine.dropped)
        self.assertIsNone(quarantine.find("q0", 0))
        last = items[-1]
        self.assertIsNotNone(quarantine.find(last.content, last.until_ms - 1))
        self.assertIsNone(quarantine.find(last.content, last.until_ms))

"""Fuzzing of the decoders of all rows and of the store's answers."""

import json
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lynxchute.fleet import message
from lynxchute.fleet.members import Member
from lynxchute.fleet.store_messages import StoreChangesRequest
from lynxchute.platform import answers
from lynxchute.platform.configuration import decode_configuration
from lynxchute.platform.upstreams import decode_upstream
from lynxchute.quarantine.record import QuarantineRecord
from lynxchute.store import Row, RowId, json_value
from tests.odd_rows import MEMBER, UPSTREAM
from tests.platform_support import configuration

QUARANTINE = {"quarantined": [], "suspects": []}
ODD = [None, True, -1, 1e308, 10**400, 2**64, "", "x\ud800", "y" * 600, [], {}, [[1]]]
FIXED = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
odd = st.sampled_from(ODD) | st.text(st.characters(), max_size=4) | st.integers()


def decode_upstream_value(value):
    return decode_upstream(Row(RowId("servers", "i-1"), value, 1))


CASES = [
    (UPSTREAM, decode_upstream_value),
    (MEMBER, Member.decode),
    (QUARANTINE, QuarantineRecord.decode),
    (configuration(), decode_configuration),
]


def check_usable(value):
    """Check that a decoded value can be logged, encoded and compared with times."""
    text = repr(value)
    assert "\\ud" not in text, "a lone surrogate"
    assert len(text) < 20_000, "a long text"


@FIXED
@given(st.sampled_from(CASES), st.data(), odd)
def fuzz_rows(case, data, value):
    good, decode = case
    name = data.draw(st.sampled_from(sorted(good)))
    result = decode(json.dumps({**good, name: value}).encode())
    if result.is_ok():
        check_usable(result.ok)
    else:
        assert len(result.error) < 1_000, "a long problem"


@FIXED
@given(st.lists(st.dictionaries(st.sampled_from(["key", "ver", "value", "part"]), odd)))
def fuzz_answers(items):
    sound = {"key": "sound", "ver": 7, "value": "eA=="}
    found = answers.decode_items({"rows": [*items, sound]}, "t", 0)
    assert found.rows[-1] == Row(RowId("t", "sound"), b"x", 7)
    for row in found.rows:
        row.id.key.encode()
        assert 0 <= row.version < 2**48, "a version out of range"


@FIXED
@given(st.sampled_from(["table", "after", "era"]), odd)
def fuzz_messages(name, value):
    good = {"table": "t", "after": 1, "era": None}
    try:
        decoded = message.from_json({**good, name: value}, StoreChangesRequest)
    except message.MessageDecodeError as error:
        assert len(str(error)) < 1_000, "a long problem"
        return
    check_usable(decoded)
    float(decoded.after)


def allow_odd_messages():
    return mock.patch.object(message, "check_json", lambda value: None)


def allow_surrogates():
    return mock.patch.object(json_value, "is_encodable", lambda text: True)


def allow_surrogate_keys():
    return mock.patch.object(answers, "is_encodable", lambda text: True)


def allow_large_versions():
    return mock.patch.object(answers, "NUMBER_MASK", 10**500)


MUTANTS = {
    allow_odd_messages: fuzz_messages,
    allow_surrogates: fuzz_rows,
    allow_surrogate_keys: fuzz_answers,
    allow_large_versions: fuzz_answers,
}


class OddRowFuzzTest(TestCase):
    def test_odd_fields_of_rows_give_usable_values_or_problems(self):
        fuzz_rows()

    def test_odd_messages_give_usable_values_or_problems(self):
        fuzz_messages()

    def test_odd_items_of_answers_remove_no_sound_one(self):
        fuzz_answers()

    def test_fuzzing_detects_mutants(self):
        for mutant, fuzz in MUTANTS.items():
            with self.subTest(mutant.__name__), mutant():
                self.assertRaises((AssertionError, OverflowError, UnicodeError), fuzz)

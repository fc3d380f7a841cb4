"""The upstream of a request is chosen under one run id, whatever happens meanwhile."""

import asyncio
import types

import testtools

from lynxchute.overload.claim import AdmissionPending
from lynxchute.relay.chooser import Chooser
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.placement import Choice, Placement
from lynxchute.upstreams.upstream import Upstream

SERVICE = "pool"
QUEUE_SECONDS = 0.01


class FakeExchange:
    """What the chooser uses of an exchange."""

    def __init__(self):
        self.call = types.SimpleNamespace(generation=None, request_id="q")
        self.route = types.SimpleNamespace(latency_objective=1.0)
        self.service = SERVICE
        self.software_version = self.limited_rate = None
        self.deadline = float("inf")
        self.max_wait = 1.0
        self.tried = set()

    @property
    def excluded(self):
        return self.tried

    @property
    def run_id(self):
        return f"q.{len(self.tried)}"

    def aims(self, now):
        return None


class QueueingPlacement(Placement):
    """Queues a request once, while another send of it fails."""

    def __init__(self, exchange):
        self._exchange = exchange
        self.run_ids, self.ended = [], []

    async def choose(self, run_id, generation, candidates, aims=None):
        self.run_ids.append(run_id)
        if len(self.run_ids) == 1:
            self._exchange.tried.add("u1")
            raise AdmissionPending(QUEUE_SECONDS, 0)
        return Choice(candidates[0])

    def record_end(self, run_id, upstream_id, *, failed):
        self.ended.append(run_id)


def chooser_with(placement):
    directory = Directory()
    for name in ("u1", "u2"):
        directory.put(Upstream(name, SERVICE, f"{name}:1", "a"))
    return Chooser(
        directory,
        None,
        placement,
        placement,
        types.SimpleNamespace(is_unreachable=lambda data_centre: False),
        types.SimpleNamespace(
            is_evacuated=lambda upstream: False, has_room=lambda entry, now: True
        ),
        types.SimpleNamespace(has_lagged=lambda: False),
        lambda: 0.0,
    )


class RunIdTest(testtools.TestCase):
    def test_a_queued_request_keeps_its_run_id_while_another_send_fails(self):
        exchange = FakeExchange()
        placement = QueueingPlacement(exchange)
        choice = asyncio.run(chooser_with(placement).choose(exchange))
        self.assertEqual("u2", choice.entry.upstream.id)
        self.assertEqual(["q.0", "q.0"], placement.run_ids)

"""Tests that the metrics match those of `prometheus_client`."""

import random

import prometheus_client
import testtools
from prometheus_client.parser import text_string_to_metric_families

from lynxchute.telemetry.exposition import exposition
from lynxchute.telemetry.instruments import Counter, Gauge, Histogram

BOUNDS = (0.1, 0.5, 2.0)


def samples(text):
    found = {}
    for family in text_string_to_metric_families(text.decode()):
        for sample in family.samples:
            if not sample.name.endswith("_created"):
                labels = tuple(sorted(sample.labels.items()))
                found[sample.name, labels] = sample.value
    return found


class InstrumentsTest(testtools.TestCase):
    def test_exposition_equals_that_of_prometheus_client(self):
        registry = prometheus_client.CollectorRegistry()
        theirs = (
            prometheus_client.Counter("x_sends", "Sends.", ["fate"], registry=registry),
            prometheus_client.Gauge("x_open", "Open.", registry=registry),
            prometheus_client.Histogram(
                "x_seconds", "Took.", registry=registry, buckets=BOUNDS
            ),
        )
        ours = (
            Counter("x_sends", "Sends.", ("fate",)),
            Gauge("x_open", "Open."),
            Histogram("x_seconds", "Took.", BOUNDS),
        )
        rng = random.Random(1)
        for _ in range(500):
            fate, value = rng.choice("abc"), rng.uniform(0, 3)
            theirs[0].labels(fate).inc()
            ours[0].inc(fate)
            for gauge in (theirs[1], ours[1]):
                gauge.set(value)
            seconds = rng.choice(BOUNDS) if value > 2.5 else value
            for histogram in (theirs[2], ours[2]):
                histogram.observe(seconds)
        text, content_type = exposition(ours)
        self.assertEqual(prometheus_client.CONTENT_TYPE_LATEST, content_type)
        found = samples(text)
        expected = samples(prometheus_client.generate_latest(registry))
        self.assertEqual(set(expected), set(found))
        for key, value in expected.items():
            self.assertAlmostEqual(value, found[key])

    def test_value_equal_to_a_bound_is_in_its_bucket(self):
        histogram = Histogram("x_seconds", "Took.", BOUNDS)
        for value in (0.1, 0.5, 2.0, 2.1):
            histogram.observe(value)
        self.assertEqual([1, 1, 1, 1], histogram.counts)
        self.assertAlmostEqual(4.7, histogram.total)

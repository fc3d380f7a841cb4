"""Write instruments out in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    generate_latest,
)
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from lynxchute.telemetry.instruments import (
    Counter,
    Gauge,
    Histogram,
    Instrument,
    LabelledGauge,
)


class InstrumentCollector(Collector):
    """Hand instruments to `prometheus_client`.

    Parameters
    ----------
    instruments
        What is exposed.
    """

    def __init__(self, instruments: Iterable[Instrument]) -> None:
        self._instruments = list(instruments)

    def collect(self) -> Iterator[Metric]:
        """Yield a family for each instrument."""
        for instrument in self._instruments:
            if isinstance(instrument, Counter):
                yield _counter(instrument)
            elif isinstance(instrument, Gauge):
                yield GaugeMetricFamily(
                    instrument.name, instrument.text, value=instrument.value
                )
            elif isinstance(instrument, LabelledGauge):
                yield _labelled_gauge(instrument)
            else:
                yield _histogram(instrument)


def exposition(instruments: Iterable[Instrument]) -> tuple[bytes, str]:
    """Return instruments in Prometheus' text format, and its media type."""
    registry = CollectorRegistry()
    registry.register(InstrumentCollector(instruments))
    return generate_latest(registry), CONTENT_TYPE_LATEST


def _counter(counter: Counter) -> Metric:
    family = CounterMetricFamily(
        counter.name, counter.text, labels=list(counter.label_names)
    )
    if not counter.label_names and not counter.values_by_labels:
        family.add_metric([], 0.0)
    for labels, value in counter.values_by_labels.items():
        family.add_metric(list(labels), value)
    return family


def _labelled_gauge(gauge: LabelledGauge) -> Metric:
    family = GaugeMetricFamily(gauge.name, gauge.text, labels=list(gauge.label_names))
    for labels, value in gauge.values_by_labels.items():
        family.add_metric(list(labels), value)
    return family


def _histogram(histogram: Histogram) -> Metric:
    buckets: list[tuple[str, float]] = []
    count = 0
    for bound, values in zip(histogram.bounds, histogram.counts, strict=False):
        count += values
        buckets.append((str(bound), count))
    buckets.append(("+Inf", sum(histogram.counts)))
    return HistogramMetricFamily(
        histogram.name, histogram.text, buckets=buckets, sum_value=histogram.total
    )

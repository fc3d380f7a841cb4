"""Renders instruments in the Prometheus text format."""

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
    """Converts instruments to the metric families of `prometheus_client`.

    Parameters
    ----------
    instruments
        The instruments to expose.
    """

    def __init__(self, instruments: Iterable[Instrument]) -> None:
        self._instruments = list(instruments)

    def collect(self) -> Iterator[Metric]:
        """Yield one metric family per instrument."""
        for instrument in self._instruments:
            if isinstance(instrument, Counter):
                yield _counter_family(instrument)
            elif isinstance(instrument, Gauge):
                yield GaugeMetricFamily(
                    instrument.name, instrument.help_text, value=instrument.value
                )
            elif isinstance(instrument, LabelledGauge):
                yield _labelled_gauge_family(instrument)
            else:
                yield _histogram_family(instrument)


def exposition(instruments: Iterable[Instrument]) -> tuple[bytes, str]:
    """Return the instruments in the Prometheus text format, and its media type."""
    registry = CollectorRegistry()
    registry.register(InstrumentCollector(instruments))
    return generate_latest(registry), CONTENT_TYPE_LATEST


def _counter_family(counter: Counter) -> Metric:
    family = CounterMetricFamily(
        counter.name, counter.help_text, labels=list(counter.label_names)
    )
    if not counter.label_names and not counter.values_by_labels:
        family.add_metric([], 0.0)
    for labels, value in counter.values_by_labels.items():
        family.add_metric(list(labels), value)
    return family


def _labelled_gauge_family(gauge: LabelledGauge) -> Metric:
    family = GaugeMetricFamily(
        gauge.name, gauge.help_text, labels=list(gauge.label_names)
    )
    for labels, value in gauge.values_by_labels.items():
        family.add_metric(list(labels), value)
    return family


def _histogram_family(histogram: Histogram) -> Metric:
    buckets: list[tuple[str, float]] = []
    count = 0
    for bound, bucket_count in zip(histogram.bounds, histogram.counts, strict=False):
        count += bucket_count
        buckets.append((str(bound), count))
    buckets.append(("+Inf", sum(histogram.counts)))
    return HistogramMetricFamily(
        histogram.name, histogram.help_text, buckets=buckets, sum_value=histogram.total
    )

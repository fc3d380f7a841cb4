"""Counters, gauges and histograms that are cheap to create and to update.

`prometheus_client` renders them and is imported only when metrics are first requested.
Its own instruments would take 99 of the 1,128 million instructions of a start.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

import attrs

from lynxchute.clock import steady_seconds


@attrs.define(eq=False)
class Counter:
    """A value per set of labels that only increases."""

    name: str
    help_text: str
    label_names: tuple[str, ...] = ()
    values_by_labels: dict[tuple[str, ...], float] = attrs.Factory(dict)

    def inc(self, *labels: str) -> None:
        """Increment the value for a set of labels."""
        values = self.values_by_labels
        values[labels] = values.get(labels, 0.0) + 1.0


@attrs.define(eq=False)
class Gauge:
    """A value that can go up and down."""

    name: str
    help_text: str
    value: float = 0.0

    def set(self, value: float) -> None:
        """Set the value."""
        self.value = float(value)


@attrs.define(eq=False)
class LabelledGauge:
    """A value per set of labels that can go up and down."""

    name: str
    help_text: str
    label_names: tuple[str, ...] = ()
    values_by_labels: dict[tuple[str, ...], float] = attrs.Factory(dict)

    def replace(self, values_by_label: Mapping[str, float]) -> None:
        """Replace all values of a gauge with one label; remove absent ones."""
        self.values_by_labels = {
            (label,): float(value) for label, value in values_by_label.items()
        }


@attrs.define(eq=False)
class Histogram:
    """Counts of observed durations in buckets.

    Attributes
    ----------
    bounds
        Upper bounds of the buckets in ascending order, in seconds. One more bucket is
        unbounded.
    counts
        Observations in each bucket, not cumulative.
    total
        Sum of all observations, in seconds.
    """

    name: str
    help_text: str
    bounds: tuple[float, ...]
    counts: list[int] = attrs.Factory(
        lambda self: [0] * (len(self.bounds) + 1), takes_self=True
    )
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Record an observation."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    @contextmanager
    def time(self) -> Iterator[None]:
        """Record the duration of a ``with`` block."""
        started_at = steady_seconds()
        try:
            yield
        finally:
            self.observe(steady_seconds() - started_at)


Instrument = Counter | Gauge | LabelledGauge | Histogram

"""Counters, gauges and histograms that cost next to nothing to make and to change.

`prometheus_client` writes them out; it is loaded when somebody asks for them first. Its
own instruments would be 99 of the 1,128 million instructions of a start.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

import attrs

from lynxchute.clock import steady_seconds


@attrs.define(eq=False)
class Counter:
    """A number that only grows, for each set of labels."""

    name: str
    text: str
    label_names: tuple[str, ...] = ()
    values_by_labels: dict[tuple[str, ...], float] = attrs.Factory(dict)

    def inc(self, *labels: str) -> None:
        """Add one to the number with these labels."""
        values = self.values_by_labels
        values[labels] = values.get(labels, 0.0) + 1.0


@attrs.define(eq=False)
class Gauge:
    """A number that goes up and down."""

    name: str
    text: str
    value: float = 0.0

    def set(self, value: float) -> None:
        """Take a new value."""
        self.value = float(value)


@attrs.define(eq=False)
class LabelledGauge:
    """A number that goes up and down, for each set of labels."""

    name: str
    text: str
    label_names: tuple[str, ...] = ()
    values_by_labels: dict[tuple[str, ...], float] = attrs.Factory(dict)

    def replace(self, values_by_label: Mapping[str, float]) -> None:
        """Take new values of the one label; what is not among them goes."""
        self.values_by_labels = {
            (label,): float(value) for label, value in values_by_label.items()
        }


@attrs.define(eq=False)
class Histogram:
    """How many values there were up to each bound; values in seconds.

    Attributes
    ----------
    bounds
        Upper bounds of the buckets, in order; one more has no bound.
    counts
        Values in each bucket.
    total
        The sum of all values.
    """

    name: str
    text: str
    bounds: tuple[float, ...]
    counts: list[int] = attrs.Factory(
        lambda self: [0] * (len(self.bounds) + 1), takes_self=True
    )
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    @contextmanager
    def time(self) -> Iterator[None]:
        """Count the seconds that something takes."""
        began = steady_seconds()
        try:
            yield
        finally:
            self.observe(steady_seconds() - began)


Instrument = Counter | Gauge | LabelledGauge | Histogram

"""Seeded plans of silences: upstreams that send nothing for a while and go on."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping, Sequence

import attrs

# Range of the duration of a silence, in seconds; a sound upstream may be silent for
# about a second.
SILENCE_SECONDS = (0.8, 1.1)
# Range of the time between two silences, in seconds.
BETWEEN_SECONDS = (0.3, 0.8)


@attrs.frozen
class Silence:
    """A silence of some upstreams at the same time.

    Attributes
    ----------
    after
        Seconds since the end of the silence before, or since the start of the plan.
    seconds
        Its duration.
    names
        The upstreams that are silent.
    """

    after: float
    seconds: float
    names: tuple[str, ...]


def plan_silences(
    groups: Sequence[tuple[str, ...]], rng: random.Random
) -> list[Silence]:
    """Return one silence for each group of upstreams, in random order.

    Examples
    --------
    >>> plan = plan_silences([("a",), ("b", "c")], random.Random(1))
    >>> sorted(silence.names for silence in plan)
    [('a',), ('b', 'c')]
    """
    plan = []
    for names in rng.sample(groups, len(groups)):
        after, seconds = rng.uniform(*BETWEEN_SECONDS), rng.uniform(*SILENCE_SECONDS)
        plan.append(Silence(after, seconds, names))
    return plan


def singles_and_data_centres(
    names_by_data_centre: Mapping[str, Sequence[str]],
) -> Iterator[tuple[str, ...]]:
    """Yield each upstream alone, then all upstreams of each data centre together."""
    for names in names_by_data_centre.values():
        for name in names:
            yield (name,)
    for names in names_by_data_centre.values():
        yield tuple(names)

"""How much of what is scarce an account may have, as a multiple of the others."""

from __future__ import annotations

# Weights beyond these are mistakes, and would leave the others next to nothing.
LEAST_WEIGHT = 0.01
MOST_WEIGHT = 100.0
USUAL_WEIGHT = 1.0


def usable_weight(value: object) -> float:
    """Return a weight, or the usual one in place of what is none.

    Examples
    --------
    >>> [usable_weight(value) for value in (3, float("nan"), -1, "x")]
    [3.0, 1.0, 1.0, 1.0]
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return USUAL_WEIGHT
    if not LEAST_WEIGHT <= value <= MOST_WEIGHT:
        return USUAL_WEIGHT
    return float(value)

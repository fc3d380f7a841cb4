"""How much of what is scarce an account may have, as a multiple of the others."""

from __future__ import annotations

# Weights beyond these are mistakes, and would leave the others next to nothing.
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
DEFAULT_WEIGHT = 1.0


def usable_weight(value: object) -> float:
    """Return a weight, or the usual one in place of what is none.

    Examples
    --------
    >>> [usable_weight(value) for value in (3, float("nan"), -1, "x")]
    [3.0, 1.0, 1.0, 1.0]
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return DEFAULT_WEIGHT
    if not MIN_WEIGHT <= value <= MAX_WEIGHT:
        return DEFAULT_WEIGHT
    return float(value)

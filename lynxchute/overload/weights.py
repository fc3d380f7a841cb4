"""Weights of client accounts: their shares relative to an account of weight 1."""

from __future__ import annotations

# Weights outside of these bounds are mistakes: they would leave other accounts next to
# nothing.
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
DEFAULT_WEIGHT = 1.0


def usable_weight(value: object) -> float:
    """Return a weight, or the default weight in place of an invalid one.

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

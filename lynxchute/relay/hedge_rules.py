"""When to hedge a slow call, and when hedging would only add load."""

from __future__ import annotations

from collections.abc import Sequence

from lynxchute.upstreams.expected_finish import UpstreamState

# Share of an upstream's calls that complete before a call to it is hedged.
HEDGE_QUANTILE = 0.95
# Bounds of the hedge delay in multiples of the route's median latency. Twice the median
# is ordinary; three times the median is slow, even for an upstream that is always slow.
MIN_MEDIAN_FACTOR, MAX_MEDIAN_FACTOR = 2.0, 3.0
# Hedge delay as a share of the latency objective while no latencies are known. It is
# short enough for the second response to be on time.
DEFAULT_DELAY_SHARE = 0.4
# Share of the retry budget that hedges may use. The rest is for retries after failures,
# without which callers get no response at all.
HEDGE_BUDGET_SHARE = 0.4
# Largest share of a service's upstreams that may be busy or slow. With more of them,
# hedges would add load to an overloaded service.
MAX_BUSY_SHARE = 0.5
# Largest share of a service's open calls that may be hedged at once, in addition to
# one. If many calls are slow together, no single upstream is the cause.
MAX_OPEN_SHARE = 0.1


def hedge_delay(
    quantile: float | None, median: float | None, objective: float
) -> float | None:
    """Return the seconds after which a call is hedged, or None for never.

    Parameters
    ----------
    quantile
        Latency that nearly all calls to its upstream stay below, in seconds; None if
        unknown.
    median
        Median latency of calls of its route at any upstream, in seconds; None if
        unknown.
    objective
        Latency objective in seconds.

    Examples
    --------
    >>> hedge_delay(0.12, 0.05, 0.4)
    0.12
    >>> hedge_delay(2.0, 0.05, 0.4) == 3 * 0.05
    True
    >>> hedge_delay(None, None, 0.4) == 0.4 * DEFAULT_DELAY_SHARE
    True
    """
    if median is None:
        return objective * DEFAULT_DELAY_SHARE if objective > 0 else None
    if quantile is None:
        return median * MAX_MEDIAN_FACTOR
    lowest, highest = median * MIN_MEDIAN_FACTOR, median * MAX_MEDIAN_FACTOR
    return min(max(quantile, lowest), highest)


def allows_hedge(states: Sequence[UpstreamState], open_hedges: int) -> bool:
    """Return whether few enough upstreams are busy to allow one more hedge.

    Parameters
    ----------
    open_hedges
        Number of open hedges of this router to these upstreams.
    """
    if len(states) < 2:
        return False
    open_calls = sum(max(state.open_requests, 0) for state in states)
    if open_hedges >= 1 + open_calls * MAX_OPEN_SHARE:
        return False
    busy = sum(1 for state in states if state.is_busy)
    return busy <= len(states) * MAX_BUSY_SHARE

"""When a slow call is sent a second time, and when that would only add load."""

from __future__ import annotations

from collections.abc import Sequence

from lynxchute.upstreams.expected_finish import UpstreamState

# The share of an upstream's calls that are answered before another would be hedged.
QUANTILE = 0.95
# The same delay in usual times of the route: what takes twice as long as usual is
# nothing strange; what takes three times as long is, also at an upstream that is always
# slow.
LEAST_USUAL_TIMES, MOST_USUAL_TIMES = 2.0, 3.0
# The share of the objective after which a call is hedged while nothing is known yet:
# the second answer can still be on time.
UNKNOWN_SHARE = 0.4
# The share of the retry budget that hedges may use. The rest stays for tries after
# failures, without which their callers have no answer at all.
BUDGET_SHARE = 0.4
# The share of a service's upstreams that may be busy or slow: with more of them hedges
# would add work where there is too much.
MOST_BUSY_SHARE = 0.5
# The share of a service's open calls that may have a second send at once, beside one.
# What makes many calls slow together is no single upstream.
MOST_OPEN_SHARE = 0.1


def hedge_delay(
    longest: float | None, usual: float | None, objective: float
) -> float | None:
    """Return after how many seconds a call is hedged; None for never.

    Parameters
    ----------
    longest
        What nearly all calls of its upstream kept to, in seconds; None if not known.
    usual
        What calls of its route usually take at any upstream, likewise.
    objective
        When its answer is late.

    Examples
    --------
    >>> hedge_delay(0.12, 0.05, 0.4)
    0.12
    >>> hedge_delay(2.0, 0.05, 0.4) == 3 * 0.05
    True
    >>> hedge_delay(None, None, 0.4) == 0.4 * UNKNOWN_SHARE
    True
    """
    if usual is None:
        return objective * UNKNOWN_SHARE if objective > 0 else None
    if longest is None:
        return usual * MOST_USUAL_TIMES
    least, most = usual * LEAST_USUAL_TIMES, usual * MOST_USUAL_TIMES
    return min(max(longest, least), most)


def has_room(states: Sequence[UpstreamState], open_hedges: int) -> bool:
    """Return whether so few upstreams are busy that one more send does no harm.

    Parameters
    ----------
    open_hedges
        Second sends of this router to them that are open.
    """
    if len(states) < 2:
        return False
    open_calls = sum(max(state.open_requests, 0) for state in states)
    if open_hedges >= 1 + open_calls * MOST_OPEN_SHARE:
        return False
    busy = sum(1 for state in states if state.is_busy)
    return busy <= len(states) * MOST_BUSY_SHARE

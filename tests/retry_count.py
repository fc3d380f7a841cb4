"""Count the retries of a whole fleet against the limit that its settings state."""

import collections
from bisect import bisect_left, bisect_right

import attrs


@attrs.frozen
class RetryPeak:
    """The window in which a service got the most retries beyond its limit.

    Attributes
    ----------
    excess
        Retries beyond the limit; negative if all windows are within it.
    retries, permitted
        Retries in the window, and how many the limit permits there.
    begins_at
        Start of the window in seconds.
    """

    excess: float
    retries: int
    permitted: float
    begins_at: float


def retry_times(arrivals):
    """Return when upstreams got requests beyond the first arrival of each.

    Parameters
    ----------
    arrivals
        Time in seconds and request id of each arrival at any upstream of a service.

    Examples
    --------
    >>> retry_times([(2.0, "a"), (1.0, "a"), (3.0, "b")])
    [2.0]
    """
    found, seen = [], set()
    for time, request_id in sorted(arrivals):
        if request_id in seen:
            found.append(time)
        seen.add(request_id)
    return found


def worst_window(arrivals, request_times, bounds):
    """Return the window in which a service got most retries beyond its limit.

    Requests are counted in the window, in the one before it and in the one half a
    window before it; the largest of the three numbers applies.

    Parameters
    ----------
    arrivals
        Time in seconds and request id of each arrival at any upstream of the service.
    request_times
        When callers sent requests for the service, in seconds.
    bounds
        The `DeploymentBounds` with the limit.
    """
    window = bounds.retry_window
    retries, requests = retry_times(arrivals), sorted(request_times)

    def count(times, begin):
        return bisect_left(times, begin + window) - bisect_left(times, begin)

    worst = RetryPeak(-bounds.retry_extra, 0, bounds.retry_extra, 0.0)
    for last in retries:
        # The window that ends with a retry begins just after the retry a window before.
        begin = last - window + 1e-9
        found = bisect_right(retries, last) - bisect_left(retries, begin)
        most = max(count(requests, begin - back) for back in (0, window / 2, window))
        permitted = bounds.retry_share * most + bounds.retry_extra
        if found - permitted > worst.excess:
            worst = RetryPeak(found - permitted, found, permitted, begin)
    return worst


def arrivals_by_service(upstreams):
    """Return the arrivals at stand-in upstreams, as time and request id, by service."""
    found = collections.defaultdict(list)
    for upstream in upstreams:
        arrivals = zip(upstream.arrival_times, upstream.arrivals, strict=True)
        found[upstream.service] += arrivals
    return found

"""Summary figures of a simulated scenario."""

from __future__ import annotations

from collections import defaultdict

import attrs

from lynxchute.bench.emulator.play import Outcome, Played, Request

# This share of a request's value is independent of its size; the rest is proportional
# to its size relative to the mean size.
FLAT_SHARE = 0.3
# Number of prompt tokens that cost an engine about as much as one answer token.
OUTPUT_WEIGHT = 10


@attrs.frozen
class Figures:
    """Figures of one simulation; shares are of requests unless stated otherwise.

    Attributes
    ----------
    value
        The value for callers, as a share of the value if all requests were on time.
    fairness
        Jain's fairness index of the accounts' shares on time: 1 if all are equal.
    worst_tenth
        The mean share on time of the worst tenth of the accounts.
    """

    value: float
    on_time: float
    late_first: float
    late_pause: float
    refused: float
    failed: float
    read_again_per_request: float
    fetched_per_request: float
    first_event_ms_p50: float
    first_event_ms_p95: float
    fairness: float
    worst_tenth: float


def figures_by_kind(played: Played) -> dict[str, Figures]:
    """Return the figures of each kind of request, and of all as ``all``."""
    by_kind: dict[str, list[Request]] = defaultdict(list)
    for request in played.requests:
        by_kind[request.arrival.kind.name].append(request)
    found = {"all": _figures(played, played.requests)}
    for name, requests in by_kind.items():
        found[name] = _figures(played, requests)
    return found


def _figures(played: Played, requests: list[Request]) -> Figures:
    count = max(len(requests), 1)
    sizes = [_size(request) for request in requests]
    mean_size = sum(sizes) / count
    earned_value = total_value = 0.0
    outcomes: dict[Outcome | None, int] = defaultdict(int)
    first_event_ms = []
    for request, size in zip(requests, sizes, strict=True):
        kind = request.arrival.kind
        factor = min(FLAT_SHARE + (1 - FLAT_SHARE) * size / mean_size, 4.0)
        total_value += kind.value * factor
        outcomes[request.outcome] += 1
        if request.outcome is Outcome.ON_TIME:
            earned_value += kind.value * factor
        elif request.outcome in (Outcome.LATE_FIRST, Outcome.LATE_PAUSE):
            earned_value += kind.late_value * factor
        if request.began_at is not None:
            first_event_ms.append((request.began_at - request.arrival.at) * 1000.0)
    first_event_ms.sort()
    shares = _shares_on_time(requests)
    return Figures(
        value=earned_value / total_value if total_value else 1.0,
        on_time=outcomes[Outcome.ON_TIME] / count,
        late_first=outcomes[Outcome.LATE_FIRST] / count,
        late_pause=outcomes[Outcome.LATE_PAUSE] / count,
        refused=outcomes[Outcome.REFUSED] / count,
        failed=(outcomes[Outcome.FAILED] + outcomes[None]) / count,
        read_again_per_request=played.read_again / max(len(played.requests), 1),
        fetched_per_request=played.fetched / max(len(played.requests), 1),
        first_event_ms_p50=_percentile(first_event_ms, 0.5),
        first_event_ms_p95=_percentile(first_event_ms, 0.95),
        fairness=_jain(shares),
        worst_tenth=_mean(sorted(shares)[: max(len(shares) // 10, 1)]),
    )


def _size(request: Request) -> float:
    arrival = request.arrival
    return arrival.generation.prompt_tokens + OUTPUT_WEIGHT * arrival.output_tokens


def _shares_on_time(requests: list[Request]) -> list[float]:
    """Return the share of requests on time for each account."""
    on_time: dict[str, int] = defaultdict(int)
    counts: dict[str, int] = defaultdict(int)
    for request in requests:
        counts[request.arrival.account] += 1
        on_time[request.arrival.account] += request.outcome is Outcome.ON_TIME
    return [on_time[account] / count for account, count in counts.items()]


def _jain(shares: list[float]) -> float:
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares) ** 2 / (len(shares) * squares)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _percentile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]

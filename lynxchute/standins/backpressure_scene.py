"""Have engines ask for less load, and count the requests sent in spite of that."""

from __future__ import annotations

import asyncio

import attrs

from lynxchute.standins.arrivals import max_in_window
from lynxchute.standins.callers import CallerRequest, Callers
from lynxchute.standins.deployment import Deployment

# Rate limit that an engine declares for all routers together, in requests a second.
# Once LIMIT_GRACE_SECONDS have passed since its first declaration, it may receive at
# most 1.5 x 4 s x 0.5 + 5 = 8 requests within any four seconds.
LIMIT = 0.5
MAX_IN_LIMIT_SPAN = 8
LIMIT_SPAN = 4.0
LIMIT_GRACE_SECONDS = 3.0
# Seconds for which another engine refuses every request with a backoff, and the number
# of requests that one router may still send it later than BACKOFF_GRACE_SECONDS after
# its first refusal.
BACKOFF_SECONDS = 3.0
BACKOFF_GRACE_SECONDS = 0.5
MAX_LATE_IN_BACKOFF = 2
# Seconds within which all routers must know that a third engine announces its leaving.
LEAVING_GRACE_SECONDS = 2.0
# The first engine of each of these data centres is throttled.
THROTTLED_DATA_CENTRES = ("kyu-a", "kyu-b", "kyu-c")


@attrs.frozen
class ThrottlingViolations:
    """Requests that throttled engines received in violation of what they asked for."""

    limit_passed: int
    sent_to_leaving: int
    sent_in_backoff: int


async def run_throttling_scene(
    deployment: Deployment, callers: Callers, rate: float, seconds: float
) -> ThrottlingViolations:
    """Have three engines declare a limit, a backoff and leaving; count violations.

    Parameters
    ----------
    rate, seconds
        Requests a second that callers send meanwhile, and for how long.
    """
    engines = []
    for data_centre in THROTTLED_DATA_CENTRES:
        name = min(n for n in deployment.engines_by_name if n.startswith(data_centre))
        engines.append(deployment.engines_by_name[name])
    limited, leaving, backing_off = engines
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    limited.limit, leaving.announces_leaving = LIMIT, True
    backing_off.backoff_until = started_at + BACKOFF_SECONDS
    await callers.run(seconds, rate)
    limited_arrivals = limited.arrival_log.since(started_at + LIMIT_GRACE_SECONDS)
    excess = max_in_window(limited_arrivals, LIMIT_SPAN) - MAX_IN_LIMIT_SPAN
    limited.limit = None
    return ThrottlingViolations(
        limit_passed=max(excess, 0),
        sent_to_leaving=len(
            leaving.arrival_log.since(started_at + LEAVING_GRACE_SECONDS)
        ),
        sent_in_backoff=_sent_in_backoff(backing_off.refusals, callers.sent),
    )


def _sent_in_backoff(
    refusals: list[tuple[float, str]], sent: list[CallerRequest]
) -> int:
    """Return how many requests routers sent in a backoff beyond the allowed ones."""
    vm_by_request = {a.request_id: a.vm for item in sent for a in item.attempts}
    first_refusal_by_vm: dict[str, float] = {}
    late_sends_by_vm: dict[str, int] = {}
    for at, request_id in refusals:
        vm = vm_by_request.get(request_id, "")
        first_refusal = first_refusal_by_vm.setdefault(vm, at)
        is_late = at >= first_refusal + BACKOFF_GRACE_SECONDS
        late_sends_by_vm[vm] = late_sends_by_vm.get(vm, 0) + is_late
    return sum(
        max(late_sends - MAX_LATE_IN_BACKOFF, 0)
        for late_sends in late_sends_by_vm.values()
    )

"""Engines that say what they want, and what routers send them all the same."""

from __future__ import annotations

import asyncio

import attrs

from lynxchute.standins.arrivals import most_within
from lynxchute.standins.callers import Callers, Sent
from lynxchute.standins.deployment import Deployment

# Requests a second that an engine names as its limit of all routers together. So many
# seconds after it has first done so it gets no more than 1.5 x 4 s x 0.5 + 5 = 8 within
# four seconds.
LIMIT = 0.5
LIMIT_MOST = 8
LIMIT_SPAN = 4.0
LIMIT_KNOWN_SECONDS = 3.0
# Seconds for which another one turns everybody away, and requests that a router may
# send it later than half a second after it was turned away.
BACKOFF_SECONDS = 3.0
BACKOFF_KNOWN_SECONDS = 0.5
BACKOFF_MOST = 2
# Seconds after a third one has begun to say that it leaves in which all have heard.
LEAVING_SECONDS = 2.0
# The data centres whose first engines these are.
THROTTLED_IN = ("kyu-a", "kyu-b", "kyu-c")


@attrs.frozen
class ThrottledSends:
    """What throttled engines got that they should not have got."""

    limit_passed: int
    sent_to_leaving: int
    sent_in_backoff: int


async def press_throttled(
    deployment: Deployment, callers: Callers, rate: float, seconds: float
) -> ThrottledSends:
    """Have engines state what they want, and count what they get all the same.

    Parameters
    ----------
    rate, seconds
        Of the requests meanwhile.
    """
    engines = []
    for data_centre in THROTTLED_IN:
        name = min(n for n in deployment.engines_by_name if n.startswith(data_centre))
        engines.append(deployment.engines_by_name[name])
    limited, leaving, backing_off = engines
    loop = asyncio.get_running_loop()
    began = loop.time()
    limited.limit, leaving.says_it_leaves = LIMIT, True
    backing_off.backoff_until = began + BACKOFF_SECONDS
    await callers.run(seconds, rate)
    bound = limited.taken.since(began + LIMIT_KNOWN_SECONDS)
    passed = most_within(bound, LIMIT_SPAN) - LIMIT_MOST
    limited.limit = None
    return ThrottledSends(
        limit_passed=max(passed, 0),
        sent_to_leaving=len(leaving.taken.since(began + LEAVING_SECONDS)),
        sent_in_backoff=_sent_in_backoff(backing_off.refusals, callers.sent),
    )


def _sent_in_backoff(refusals: list[tuple[float, str]], sent: list[Sent]) -> int:
    """Return the requests that routers sent in a backoff beyond what they may."""
    vm_by_request = {a.request_id: a.vm for item in sent for a in item.attempts}
    first_by_vm: dict[str, float] = {}
    late_by_vm: dict[str, int] = {}
    for at, request_id in refusals:
        vm = vm_by_request.get(request_id, "")
        first = first_by_vm.setdefault(vm, at)
        is_late = at >= first + BACKOFF_KNOWN_SECONDS
        late_by_vm[vm] = late_by_vm.get(vm, 0) + is_late
    return sum(max(late - BACKOFF_MOST, 0) for late in late_by_vm.values())

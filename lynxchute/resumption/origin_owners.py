"""Routers that remember where a stream began."""

from __future__ import annotations

from lynxchute.fleet.members import Members
from lynxchute.rendezvous import ranked


def owners_in_order(members: Members, key: str) -> list[str]:
    """Return the other routers in the order in which they remember a stream.

    The order is the same at all routers that know the same members. Each of the first
    three is in another data centre than the one before it, so that the loss of a data
    centre leaves one of those that remember the stream.
    """
    order = ranked(key, members.by_vm)
    for position in range(1, min(len(order), 3)):
        before = members.by_vm[order[position - 1]].data_centre
        for vm in order[position:]:
            if members.by_vm[vm].data_centre != before:
                order.remove(vm)
                order.insert(position, vm)
                break
    return [vm for vm in order if vm != members.own.vm]

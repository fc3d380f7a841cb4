"""Routers that remember where a stream began."""

from __future__ import annotations

import hashlib
from bisect import bisect_left

from lynxchute.fleet.members import Members

# Routers that are named for a stream: those that remember it, and others to ask.
MAX_OWNERS = 17
HASH_BYTES = 8


class OriginOwners:
    """Orders the routers for each stream along a ring of hashes.

    The order is the same at all routers that know the same members, and a router that
    comes or goes changes it for few streams only. Finding the place on the ring takes
    a few microseconds for hundreds of routers.

    Parameters
    ----------
    members
        The registered routers.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._changes = -1
        self._hashes: list[bytes] = []
        self._vms: list[str] = []

    def in_order(self, key: str) -> list[str]:
        """Return other routers in the order in which they remember a stream.

        Each of the first three is in another data centre than the one before it, so
        that the loss of a data centre leaves one of those that remember the stream.
        """
        self._refresh()
        begin = bisect_left(self._hashes, _hash(key))
        order = [*self._vms[begin:], *self._vms[:begin]]
        by_vm = self._members.by_vm
        for position in range(1, min(len(order), 3)):
            before = by_vm[order[position - 1]].data_centre
            for vm in order[position:]:
                if by_vm[vm].data_centre != before:
                    order.remove(vm)
                    order.insert(position, vm)
                    break
        own = self._members.own.vm
        return [vm for vm in order[:MAX_OWNERS] if vm != own]

    def _refresh(self) -> None:
        """Order the routers anew after a change of registrations."""
        if self._changes == self._members.changes:
            return
        points = sorted((_hash(vm), vm) for vm in self._members.by_vm)
        self._hashes = [point for point, _ in points]
        self._vms = [vm for _, vm in points]
        self._changes = self._members.changes


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()

"""Decide which attempt at a non-repeatable call may run.

A call with an idempotency key is claimed in the platform's table before a
byte of it leaves. While the platform is out of reach, only a key that names
this data centre (``kyu-a:…``) can be claimed, by asking every router of the
data centre; a call without a key cannot be a retry that anyone could tell.
"""

from __future__ import annotations

import asyncio
import enum

import attrs

from lynxchute.members import Liveness
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import LookupReply, LookupRequest
from lynxchute.records import RequestRecord
from lynxchute.tables import (
    Committed,
    OutcomeUnknown,
    Row,
    Swap,
    Transaction,
    Unavailable,
)

CLAIM_PREFIX = "claim/"
KEY_SEPARATOR = ":"
TRIES = 3
LOST_ROUTERS_BORNE = 1


class ClaimState(enum.Enum):
    """What came of a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNDECIDED = "undecided"


@attrs.frozen
class Claim:
    """The answer to a claim.

    Attributes
    ----------
    known
        The attempt that has the call, where it is known.
    """

    state: ClaimState
    known: RequestRecord | None = None


def claim_key(request_id: str) -> str:
    """Return the key of a call's claim."""
    return CLAIM_PREFIX + request_id


class Claims:
    """Claim non-repeatable calls for attempts of this router.

    Parameters
    ----------
    node
        This incarnation.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    async def claim(self, record: RequestRecord, key: str) -> Claim:
        """Claim a call for an attempt; nothing may be sent without it."""
        row = _row(record)
        swap = Swap(claim_key(record.request_id), None, row)
        for _ in range(TRIES):
            try:
                outcome = await self._node.table.write(Transaction((swap,)))
            except OutcomeUnknown:
                continue
            except Unavailable:
                break
            if isinstance(outcome, Committed):
                return Claim(ClaimState.GRANTED)
            found = outcome.rows_by_key[swap.key]
            if found == row:
                return Claim(ClaimState.GRANTED)
            return Claim(ClaimState.TAKEN, _record(found, record))
        return await self._claim_here(record, key)

    async def release(self, record: RequestRecord) -> None:
        """Give up a claim whose call certainly did not run."""
        swap = Swap(claim_key(record.request_id), _row(record), None)
        for _ in range(TRIES):
            try:
                await self._node.table.write(Transaction((swap,)))
            except OutcomeUnknown:
                continue
            except Unavailable:
                return
            return

    async def _claim_here(self, record: RequestRecord, key: str) -> Claim:
        """Claim a call within this data centre, whose name its key bears."""
        node = self._node
        prefix, separator, _ = key.partition(KEY_SEPARATOR)
        if not separator or prefix != node.data_centre:
            return Claim(ClaimState.UNDECIDED)
        now = node.now()
        lost = len(node.members.past_by_incarnation)
        work = []
        for vm, member in node.members.by_vm.items():
            if member.heartbeat.data_centre != node.data_centre:
                continue
            if node.members.liveness(vm, now) is Liveness.GONE:
                lost += 1
                continue
            work.append(self._look_up(vm, record.request_id))
        if lost > LOST_ROUTERS_BORNE:
            return Claim(ClaimState.UNDECIDED)
        for reply in await asyncio.gather(*work):
            if reply is None:
                return Claim(ClaimState.UNDECIDED)
            known = reply.record
            if known is not None and known.attempt != record.attempt:
                return Claim(ClaimState.TAKEN, known)
        return Claim(ClaimState.GRANTED)

    async def _look_up(self, vm: str, request_id: str) -> LookupReply | None:
        try:
            return await self._node.peers.ask(vm, LookupRequest(request_id))
        except PeerUnreachable:
            return None


def _row(record: RequestRecord) -> Row:
    return {
        "attempt": record.attempt,
        "entry": record.entry,
        "upstream": record.upstream,
        "digest": record.digest,
    }


def _record(row: Row | None, ours: RequestRecord) -> RequestRecord | None:
    """Return what a claim's row says of the attempt that made it."""
    if row is None:
        return None
    return attrs.evolve(
        ours,
        attempt=row["attempt"],
        entry=row["entry"],
        upstream=row["upstream"],
        digest=row["digest"],
        holder="",
        witness="",
    )

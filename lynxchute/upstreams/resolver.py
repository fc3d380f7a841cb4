"""Find out what a request used whose entry router is given up."""

from __future__ import annotations

import asyncio

from lynxchute.http import ClientPool, ExchangeFailed
from lynxchute.node import Node
from lynxchute.records import RequestRecord
from lynxchute.upstreams.engine import Run, RunState, cancel_run, run_of

POLL_INTERVAL = 0.3
PATIENCE = 120.0


class OrphanResolver:
    """Ask the upstream of an orphaned request.

    Parameters
    ----------
    node
        This incarnation.
    clients
        Connections to the upstreams.
    """

    def __init__(self, node: Node, clients: ClientPool) -> None:
        self._node = node
        self._clients = clients

    async def resolve(self, record: RequestRecord) -> int | None:
        """Return the tokens to bill, or None where the request never ran.

        An engine's answer is left to end, so that the caller's retry finds
        it whole. Where the upstream cannot say, all that was reserved is
        billed: then nothing is ever spent unbilled.
        """
        if not record.can_cancel:
            return record.reserved
        deadline = self._node.now() + PATIENCE
        while self._node.now() < deadline:
            run = await self._ask(record)
            if run is not None and run.state is RunState.NEVER_RAN:
                return None
            if run is not None and run.state is not RunState.RUNNING:
                return run.total_tokens
            await asyncio.sleep(POLL_INTERVAL)
        return record.reserved

    async def _ask(self, record: RequestRecord) -> Run | None:
        """Return what the engine says; None where it says nothing."""
        upstreams = self._node.configuration.upstreams_by_name
        upstream = upstreams.get(record.upstream)
        if upstream is None:
            return None
        client = self._clients.get(upstream.address)
        try:
            run = await run_of(client, record.attempt)
            if run.state is RunState.UNKNOWN:
                run = await cancel_run(client, record.attempt)
        except ExchangeFailed:
            return None
        return run

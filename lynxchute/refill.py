"""Bring tokens of a budget to the holder that runs short of them."""

from __future__ import annotations

import asyncio
import contextlib

from lynxchute.application import Tasks
from lynxchute.flusher import Flusher
from lynxchute.ledger import FREE, budget_key
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import RecallRequest
from lynxchute.tables import Unavailable

ROUNDS = 3
OWN_SHARE = "own share"
PLATFORM = "platform"
PLATFORM_AWAY = "platform (out of reach)"


class Refill:
    """Fetch tokens from the platform and from other holders.

    Parameters
    ----------
    node
        The incarnation that runs short.
    flusher
        Writes its grants.
    tasks
        Runs the fetching in the background.
    """

    def __init__(self, node: Node, flusher: Flusher, tasks: Tasks) -> None:
        self._node = node
        self._flusher = flusher
        self._tasks = tasks
        self._wanted_by_account: dict[str, dict[str, int]] = {}
        self._running_by_account: dict[str, asyncio.Task[None]] = {}
        self._tried_by_account: dict[str, tuple[str, ...]] = {}

    def tried(self, account: str) -> tuple[str, ...]:
        """Return where the last refill of a budget looked."""
        return self._tried_by_account.get(account, (OWN_SHARE,))

    def want(self, account: str, attempt: str, tokens: int) -> None:
        """Note that an attempt waits for tokens."""
        self._wanted_by_account.setdefault(account, {})[attempt] = tokens
        self._note_shortfall(account)

    def unwant(self, account: str, attempt: str) -> None:
        """Note that an attempt no longer waits."""
        wanted = self._wanted_by_account.get(account, {})
        wanted.pop(attempt, None)
        if not wanted:
            self._wanted_by_account.pop(account, None)
        self._note_shortfall(account)

    async def run(self, account: str, timeout: float) -> None:
        """Fetch tokens for all that waits; several callers share one fetch."""
        task = self._running_by_account.get(account)
        if task is None or task.done():
            task = self._tasks.spawn(self._fetch(account))
            self._running_by_account[account] = task
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await asyncio.shield(task)

    def _lacking(self, account: str) -> int:
        wanted = sum(self._wanted_by_account.get(account, {}).values())
        return max(wanted - self._node.holder.available(account), 0)

    def _note_shortfall(self, account: str) -> None:
        lacking = 0
        if account in self._wanted_by_account:
            lacking = self._lacking(account)
        self._node.holder.set_shortfall(account, lacking)

    async def _fetch(self, account: str) -> None:
        tried = [OWN_SHARE]
        for _ in range(ROUNDS):
            if not await self._fetch_from_platform(account):
                tried.append(PLATFORM_AWAY)
                break
            tried.append(PLATFORM)
            self._note_shortfall(account)
            if not self._lacking(account):
                break
            recalled, asked = await self._recall(account, self._lacking(account))
            tried.extend(asked)
            if not recalled:
                break
        self._tried_by_account[account] = tuple(dict.fromkeys(tried))

    async def _fetch_from_platform(self, account: str) -> bool:
        """Take what the platform has free; return whether it answered."""
        key = budget_key(account)
        try:
            rows = await self._node.table.read(keys=(key,))
        except Unavailable:
            return False
        free = rows[key][FREE] if key in rows else 0
        self._node.holder.learn_free(account, free)
        self._note_shortfall(account)
        before = self._lacking(account)
        while free and before:
            self._flusher.wake()
            if not await self._flusher.wrote(self._node.settings.timeouts.reserve):
                return False
            after = self._lacking(account)
            if after >= before or not after:
                break
            before = after
        return True

    async def _recall(self, account: str, wanted: int) -> tuple[int, list[str]]:
        """Ask the other holders for spare tokens; return what went back."""
        asked = self._holders_to_ask()
        work = [
            self._recall_from(vm, account, wanted, spread) for vm, _, spread in asked
        ]
        results = await asyncio.gather(*work)
        places = [f"data centre {place}" for _, place, _ in asked]
        return sum(results), places

    def _holders_to_ask(self) -> list[tuple[str, str, bool]]:
        """Return VM, data centre and whether the VM is to ask its neighbours."""
        node = self._node
        now = node.now()
        asked = []
        for heartbeat in node.members.live(now, node.data_centre).values():
            if heartbeat.incarnation != node.incarnation:
                asked.append((heartbeat.vm, node.data_centre, False))
        others = {peer.data_centre for peer in node.settings.peers}
        others.discard(node.data_centre)
        for data_centre in sorted(others):
            live = list(node.members.live(now, data_centre).values())
            if live:
                chosen = node.random.choice(live)
                asked.append((chosen.vm, data_centre, True))
        return asked

    async def _recall_from(
        self, vm: str, account: str, wanted: int, spread: bool
    ) -> int:
        request = RecallRequest(account, wanted, spread)
        try:
            reply = await self._node.peers.ask(vm, request)
        except PeerUnreachable:
            return 0
        return reply.tokens

    async def give_back(self, request: RecallRequest) -> int:
        """Give spare tokens back to the platform for another holder."""
        node = self._node
        tokens = node.holder.spare(request.account, request.wanted, node.now())
        if tokens:
            self._flusher.wake()
            if not await self._flusher.wrote(node.settings.timeouts.peer / 2):
                tokens = 0
        if not request.spread:
            return tokens
        near = RecallRequest(request.account, request.wanted)
        work = []
        for heartbeat in node.members.live(node.now(), node.data_centre).values():
            if heartbeat.incarnation != node.incarnation:
                work.append(
                    self._recall_from(heartbeat.vm, near.account, near.wanted, False)
                )
        return tokens + sum(await asyncio.gather(*work))

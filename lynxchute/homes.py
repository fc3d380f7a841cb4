"""Hold a stake of every budget whose requests come to this router."""

from __future__ import annotations

from lynxchute.application import Loop
from lynxchute.ledger import FREE, budget_key
from lynxchute.node import Node
from lynxchute.rendezvous import ranked
from lynxchute.tables import Unavailable

INTERVAL = 0.5
MAX_ACCOUNTS = 2000


class Homes:
    """Keep the holder's shares in step with who is whose home.

    Parameters
    ----------
    node
        This incarnation.
    """

    def __init__(self, node: Node) -> None:
        self.loop = Loop("homes", self._step, INTERVAL)
        self._node = node
        self._seen: frozenset[str] = frozenset()
        self._version = -1

    async def _step(self) -> None:
        node = self._node
        if not node.holder.takes_work:
            return
        live = frozenset(node.members.live(node.now(), node.data_centre))
        if live == self._seen and self._version == node.configuration_version:
            return
        accounts = [a.name for a in node.configuration.accounts[:MAX_ACCOUNTS]]
        accounts.extend(node.holder.shares_by_account)
        homes = {name for name in accounts if ranked(name, live)[0] == node.incarnation}
        if not await self._learn_free(homes):
            return
        for name in accounts:
            node.holder.set_home(name, name in homes)
        self._seen = live
        self._version = node.configuration_version

    async def _learn_free(self, accounts: set[str]) -> bool:
        """Read what the platform has of budgets; return whether it answered."""
        node = self._node
        keys = tuple(budget_key(account) for account in accounts)
        try:
            rows = await node.table.read(keys=keys)
        except Unavailable:
            return False
        for account in accounts:
            row = rows.get(budget_key(account))
            if row is not None:
                node.holder.learn_free(account, row[FREE])
        return True

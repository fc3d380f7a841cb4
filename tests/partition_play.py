"""Routers that are cut off from the store and from one another."""

import asyncio

from lynxchute.standins.link import Direction, Link

# Seconds until long polls have ended that use no link.
SETTLE_SECONDS = 2.5


class RouterPartitions:
    """Links of the routers of a deployment to the store and to one another.

    A link that is cut loses what is under way too: answers to a long poll that the
    store has already begun, and replies of routers. Only connections to and from
    routers that are named can be cut; all by default.
    """

    def __init__(self, deployment, *, how=None, vms=()):
        self._deployment = deployment
        self._how = how
        self._vms = vms or tuple(deployment.routers)
        self.store_link_by_vm = {}
        self.peer_link_by_pair = {}

    async def __aenter__(self):
        for vm in list(self._deployment.routers):
            await self.follow(vm)
        await asyncio.sleep(SETTLE_SECONDS)
        return self

    async def __aexit__(self, *_):
        for link in [*self.store_link_by_vm.values(), *self.peer_link_by_pair.values()]:
            await link.stop()

    async def follow(self, vm):
        """Let a router's connections to the store and to others use links."""
        if vm not in self.store_link_by_vm:
            port = self._deployment.store_ports[vm]
            self.store_link_by_vm[vm] = await _started(f"127.0.0.1:{port}")
            for other in set(self.store_link_by_vm) - {vm}:
                if not {vm, other} & set(self._vms):
                    continue
                for pair in ((vm, other), (other, vm)):
                    address = self._deployment.settings[pair[1]].peers
                    self.peer_link_by_pair[pair] = await _started(str(address))
        router = self._deployment.routers[vm]
        router.platform.store.move(f"127.0.0.1:{self.store_link_by_vm[vm].port}")

        def address_of(member):
            link = self.peer_link_by_pair.get((vm, member.vm))
            return f"127.0.0.1:{link.port}" if link is not None else member.address

        # Connections that were opened before would not use the links.
        router.peers.close()
        router.peers.address_of = address_of

    def cut_store(self, vms):
        for vm in vms:
            self._cut(self.store_link_by_vm[vm])

    def cut_peers(self, vms, others):
        """Cut routers off from others, in both directions."""
        for vm in vms:
            for other in set(others) - {vm}:
                self._cut(self.peer_link_by_pair[vm, other])
                self._cut(self.peer_link_by_pair[other, vm])

    def cut(self, vms):
        """Cut routers off from the store and from all others but themselves."""
        self.cut_store(vms)
        self.cut_peers(vms, set(self._deployment.routers) - set(vms))

    async def heal(self):
        for link in [*self.store_link_by_vm.values(), *self.peer_link_by_pair.values()]:
            await link.restore()

    def _cut(self, link):
        if self._how is None:
            link.hold(*Direction)
        else:
            link.partition(self._how)


async def _started(target):
    link = Link(target)
    await link.start()
    return link

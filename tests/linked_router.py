"""A router that reaches others over links of its own, which tests can cut.

The file named in LINKS_VARIABLE maps the addresses of upstreams and other routers to
those of the links.
"""

import json
import os
import pathlib
import signal

from lynxchute.platform.__main__ import main

LINKS_VARIABLE = "LYNXCHUTE_TEST_LINKS"


def use_links():
    """Let new routers of this process connect to the links, if there are any."""
    name = os.environ.get(LINKS_VARIABLE)
    if not name:
        return
    # As a router does before its long imports, which come first here.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lynxchute.fleet.client import HttpPeers
    from lynxchute.tunnels import UpstreamClients

    prepare = UpstreamClients.__attrs_post_init__
    prepare_peers = HttpPeers.__init__

    def address_of(address):
        return json.loads(pathlib.Path(name).read_text()).get(address, address)

    def prepare_with_links(clients):
        prepare(clients)
        clients.address_of = address_of

    def prepare_peers_with_links(peers, *arguments):
        prepare_peers(peers, *arguments)
        peers.address_of = lambda member: address_of(member.address)

    UpstreamClients.__attrs_post_init__ = prepare_with_links
    HttpPeers.__init__ = prepare_peers_with_links


if __name__ == "__main__":
    use_links()
    main()

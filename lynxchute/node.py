"""What one incarnation of a router is and has."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable

import attrs

from lynxchute.accounting import Accounting
from lynxchute.book import Book
from lynxchute.configuration import Configuration
from lynxchute.entry import Entry
from lynxchute.grants import DemandPolicy
from lynxchute.holder import Holder
from lynxchute.journal import Journal
from lynxchute.members import Heartbeat, Members
from lynxchute.peers import HttpPeers, Peers
from lynxchute.settings import RouterSettings
from lynxchute.tables import HttpTable, Table


@attrs.define
class Node:
    """The state of one incarnation, shared by its components.

    Attributes
    ----------
    clock
        Seconds on a clock that only goes forward.
    """

    settings: RouterSettings
    incarnation: str
    accounting: Accounting
    members: Members
    peers: Peers
    table: Table
    configuration: Configuration
    configuration_version: int = 0
    clock: Callable[[], float] = time.monotonic
    random: random.Random = attrs.Factory(random.Random)

    @property
    def holder(self) -> Holder:
        """Return what this incarnation owns."""
        return self.accounting.holder

    @property
    def book(self) -> Book:
        """Return the copies that this incarnation keeps."""
        return self.accounting.book

    @property
    def data_centre(self) -> str:
        """Return the data centre of this router."""
        return self.settings.data_centre

    def now(self) -> float:
        """Return the time, in seconds."""
        return self.clock()

    def new_attempt(self, request_id: str) -> str:
        """Return a name for one more attempt at a request."""
        return f"{request_id}.{secrets.token_hex(6)}"


def make_node(settings: RouterSettings) -> Node:
    """Return a new incarnation of a router."""
    generation = time.time_ns() // 1_000_000
    incarnation = f"{settings.vm}.{generation:x}{secrets.token_hex(2)}"
    data_centres = {peer.data_centre for peer in settings.peers}
    data_centres.add(settings.data_centre)
    journal: Journal[Entry] = Journal(incarnation, settings.vm, settings.data_centre)
    own = Heartbeat(
        vm=settings.vm,
        data_centre=settings.data_centre,
        incarnation=incarnation,
        generation=generation,
        counter=0,
    )
    holder = Holder(
        journal,
        DemandPolicy(parts=len(data_centres)),
        max_unflushed=settings.limits.max_unflushed_charges,
    )
    return Node(
        settings=settings,
        incarnation=incarnation,
        accounting=Accounting(holder, Book(incarnation)),
        members=Members(
            own,
            suspect_after=settings.membership.suspect_after,
            gone_after=settings.membership.recover_after,
        ),
        peers=HttpPeers(
            {peer.vm: str(peer.address) for peer in settings.peers},
            settings.fleet_key.value,
            settings.timeouts.peer,
        ),
        table=HttpTable(
            str(settings.platform.table), timeout=settings.platform.timeout
        ),
        configuration=settings.configuration,
    )

"""Interface to the knowledge of where streams began."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import attrs

from lynxchute.upstreams.entry import UpstreamEntry
from lynxchute.upstreams.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from lynxchute.relay.exchange import Exchange


@attrs.frozen
class OriginLookup:
    """What is known of the origin of a stream.

    Attributes
    ----------
    origin
        Where the stream began; None if not known.
    source
        Where that was known from: ``here``, ``router``, ``store``, ``sole
        version``, ``default version`` or ``nowhere``.
    peer
        The other router that knew it, if any.
    replies
        How many other routers had replied.
    view_age
        Seconds since the store last answered about upstreams.
    may_lack_upstreams
        Whether upstreams of the version may serve that this router has not heard of.
    """

    origin: StreamOrigin | None
    source: str
    peer: str = ""
    replies: int = 0
    view_age: float = 0.0
    may_lack_upstreams: bool = False

    @property
    def is_recorded(self) -> bool:
        """Return whether the stream itself is known, not only its service."""
        return self.origin is not None and not self.source.endswith(" version")


class Origins(ABC):
    """Knows which software versions began streams."""

    @abstractmethod
    def record(
        self, account: str, attempt: str, origin: StreamOrigin, *, timeout: float
    ) -> None:
        """Remember where the stream of an attempt began.

        Parameters
        ----------
        timeout
            Seconds that the stream may last.
        """

    @abstractmethod
    async def find(self, account: str, attempt: str, service: str) -> OriginLookup:
        """Return where the stream of an attempt began.

        Parameters
        ----------
        attempt
            Id of the attempt that brought its first event; empty if not known.
        service
            Service to which the stream's route leads.
        """

    @abstractmethod
    async def verify(
        self, origin: StreamOrigin, *, heard_at: float | None = None
    ) -> bool:
        """Return whether the version at an origin is known to have begun its stream.

        Parameters
        ----------
        heard_at
            When the last event of the stream arrived here, in seconds on the steady
            clock; None if it came over another router.
        """

    async def may_begin(
        self, exchange: Exchange, origin: StreamOrigin, *, has_begun: bool = False
    ) -> bool:
        """Return whether a stream may begin at an upstream, as an origin names it.

        It may if routers that start later learn at which version it began, whatever
        happens to all that run now.

        Parameters
        ----------
        has_begun
            Whether the upstream runs it already, so that it is worth waiting longer.
        """
        return True

    async def verify_begun(self, exchange: Exchange) -> bool:
        """Return whether a stream that has begun is known to have a stated origin."""
        if not exchange.events:
            return True
        if exchange.origin is None:
            return False
        return await self.verify(exchange.origin, heard_at=exchange.last_event_at)

    @abstractmethod
    def record_stated_version(self, entry: UpstreamEntry, version: str) -> None:
        """Record the software version that an upstream states in a response."""

    @abstractmethod
    async def confirm_process(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream still runs the process that its entry states."""

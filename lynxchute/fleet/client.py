"""HTTP client for messages to other routers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TypeVar, cast

from lynxchute.fleet.members import Member, Members
from lynxchute.fleet.message import (
    PREFIX,
    Message,
    MessageDecodeError,
    from_json,
    to_json,
)
from lynxchute.http import ClientPool, ExchangeError, LinkMeter, Timeouts
from lynxchute.telemetry import log_event

ReplyT = TypeVar("ReplyT")
SECRET_HEADER = "Lynxchute-Fleet"

# A reply within a region takes a few ms; these timeouts leave room for a router that
# takes five times as long as usual.
TIMEOUTS = Timeouts(
    connect=0.12,
    first_byte=0.6,
    between_bytes=0.6,
    whole_body=2.0,
    keepalive_expiry=20.0,
)


class PeerUnreachable(Exception):
    """Raised when a router gave no valid reply; it may have processed the message."""


class MessageUnknown(PeerUnreachable):
    """Raised when a router of an older build does not know a message."""


class Peers(ABC):
    """Interface for sending messages to other routers."""

    @abstractmethod
    async def ask(self, vm: str, message: Message[ReplyT]) -> ReplyT:
        """Send a message to the router on a VM and return its reply.

        Raises
        ------
        PeerUnreachable
            When the router gave no valid reply.
        """


class HttpPeers(Peers):
    """Send messages to other routers over HTTP.

    Parameters
    ----------
    members
        The registered routers; successes and failures are recorded there.
    secret
        Returns the shared secret that authenticates the fleet's messages.
    clock
        Returns the seconds on the steady clock.
    meter
        Measures how long messages are queued for the VM's network link.

    Attributes
    ----------
    address_of
        Returns the address at which this router connects to another one.
    meter
        Measures how long messages are queued for the VM's network link.
    """

    def __init__(
        self,
        members: Members,
        secret: Callable[[], str],
        clock: Callable[[], float],
        meter: LinkMeter,
    ) -> None:
        self.address_of: Callable[[Member], str] = lambda member: member.address
        self._members = members
        self._secret = secret
        self._clock = clock
        self.meter = meter
        self._clients = ClientPool(TIMEOUTS, meter)

    @property
    def secret(self) -> str:
        """Return the fleet's secret; empty while it is not known."""
        return self._secret()

    async def ask(self, vm: str, message: Message[ReplyT]) -> ReplyT:
        """Send a message to the router on a VM and return its reply."""
        member = self._members.by_vm.get(vm)
        if member is None or not self._secret():
            raise PeerUnreachable(
                f"{vm} is not registered, or the fleet secret is not known yet"
            )
        try:
            status, value = await self._clients.get(self.address_of(member)).post_json(
                PREFIX + message.NAME,
                to_json(message),
                headers=[(SECRET_HEADER, self._secret())],
                limit=message.MAX_REPLY_BYTES,
            )
            if status == 404:
                raise MessageUnknown(f"{vm} does not know the message {message.NAME}")
            if status != 200:
                raise PeerUnreachable(f"{vm} answered with status {status}")
            reply = cast(ReplyT, from_json(value, message.REPLY))
        except MessageUnknown:
            self._members.record_success(vm)
            raise
        except (ExchangeError, MessageDecodeError, PeerUnreachable) as error:
            if self._members.record_failure(vm, self._clock()):
                log_event("router does not answer", peer=vm, reason=str(error))
            raise PeerUnreachable(f"{vm}: {error}") from error
        self._members.record_success(vm)
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        self._clients.close()

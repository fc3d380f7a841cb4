"""Ask other routers."""

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

# An answer within a region takes a few ms; a router that took five times as
# long as usual for its work would still be in time.
TIMEOUTS = Timeouts(
    connect=0.12, first_byte=0.6, between_bytes=0.6, keepalive_expiry=20.0
)


class PeerUnreachable(Exception):
    """Report that a router gave no answer; it may have taken the message."""


class Peers(ABC):
    """The fleet's other routers."""

    @abstractmethod
    async def ask(self, vm: str, message: Message[ReplyT]) -> ReplyT:
        """Return a router's answer.

        Raises
        ------
        PeerUnreachable
            Where none came.
        """


class HttpPeers(Peers):
    """Reach the routers over HTTP.

    Parameters
    ----------
    members
        Who they are; how they answer is noted there.
    secret
        Returns what proves that a message comes from the fleet.
    clock
        Seconds on the steady clock.
    meter
        Tells how long messages wait for the VM's link.

    Attributes
    ----------
    address_of
        Returns where a router is reached from here.
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
        self._clients = ClientPool(TIMEOUTS, meter)

    async def ask(self, vm: str, message: Message[ReplyT]) -> ReplyT:
        """Return a router's answer."""
        member = self._members.by_vm.get(vm)
        if member is None or not self._secret():
            raise PeerUnreachable(f"{vm} is not known")
        try:
            status, value = await self._clients.get(self.address_of(member)).post_json(
                PREFIX + message.NAME,
                to_json(message),
                headers=[(SECRET_HEADER, self._secret())],
            )
            if status != 200:
                raise PeerUnreachable(f"{vm} answered {status}")
            reply = cast(ReplyT, from_json(value, message.REPLY))
        except (ExchangeError, MessageDecodeError, PeerUnreachable) as error:
            if self._members.record_failure(vm, self._clock()):
                log_event("router does not answer", peer=vm, reason=str(error))
            raise PeerUnreachable(f"{vm}: {error}") from error
        self._members.record_success(vm)
        return reply

    def close(self) -> None:
        """Drop the idle connections."""
        self._clients.close()

"""Ask other routers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import TypeVar

from lynxchute.http import ExchangeFailed, HttpClient, Timeouts
from lynxchute.peers.messages import INTERNAL_PREFIX, Message, from_json, to_json

ReplyT = TypeVar("ReplyT")
FLEET_KEY_HEADER = "Lynxchute-Fleet-Key"


class PeerUnreachable(Exception):
    """Report that a router gave no answer; it may have taken the message."""


class Peers(ABC):
    """The fleet's other routers."""

    @abstractmethod
    async def ask(
        self, vm: str, message: Message[ReplyT], *, timeout: float | None = None
    ) -> ReplyT:
        """Return a router's answer.

        Raises
        ------
        PeerUnreachable
            Where none came.
        """

    def close(self) -> None:
        """Let go of what is held open."""


class HttpPeers(Peers):
    """Reach the routers over HTTP.

    Parameters
    ----------
    addresses_by_vm
        Their internal addresses.
    fleet_key
        The key that proves that a message comes from the fleet.
    timeout
        Seconds to wait for an answer.
    """

    def __init__(
        self, addresses_by_vm: Mapping[str, str], fleet_key: str, timeout: float
    ) -> None:
        self._headers = [(FLEET_KEY_HEADER, fleet_key)]
        limits = Timeouts(
            connect=min(timeout, 0.5), first_byte=timeout, between_bytes=timeout
        )
        self._clients_by_vm = {
            vm: HttpClient(address, timeouts=limits, max_connections=64)
            for vm, address in addresses_by_vm.items()
        }

    async def ask(
        self, vm: str, message: Message[ReplyT], *, timeout: float | None = None
    ) -> ReplyT:
        """Return a router's answer."""
        client = self._clients_by_vm.get(vm)
        if client is None:
            raise PeerUnreachable(f"no address is known for {vm}")
        limits = None
        if timeout is not None:
            limits = Timeouts(connect=0.5, first_byte=timeout, between_bytes=timeout)
        try:
            status, value = await client.post_json(
                INTERNAL_PREFIX + message.NAME,
                to_json(message),
                headers=self._headers,
                timeouts=limits,
            )
        except ExchangeFailed as error:
            raise PeerUnreachable(f"{vm}: {error}") from error
        if status != 200:
            raise PeerUnreachable(f"{vm} answered {status}")
        try:
            reply: ReplyT = from_json(value, message.REPLY)
        except ValueError as error:
            raise PeerUnreachable(f"{vm}: {error}") from error
        return reply

    def close(self) -> None:
        """Drop the idle connections."""
        for client in self._clients_by_vm.values():
            client.close()

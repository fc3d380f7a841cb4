"""HTTP server for messages from other routers."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from typing import Any

from lynxchute.fleet.client import SECRET_HEADER
from lynxchute.fleet.message import (
    PREFIX,
    Message,
    MessageDecodeError,
    from_json,
    to_json,
)
from lynxchute.fleet.messages import MESSAGES_BY_NAME
from lynxchute.http import (
    BadRequest,
    HttpServer,
    LinkMeter,
    Request,
    RequestHead,
    Responder,
    not_found,
)
from lynxchute.overload import ConnectionLimit, InboundMemory

Handler = Callable[[Any], Awaitable[Any]]
RequestHandler = Callable[[Request, Responder], Awaitable[None]]


class PeerServer:
    """Dispatch each message from another router to the handler of its class.

    Parameters
    ----------
    secret
        Returns the shared secret that authenticates the fleet's messages; empty
        while it is not known.
    meter
        Counts the bytes that pass over the VM's network link.
    inbound
        Limits the memory of received messages; by default they have a bound of their
        own.
    connection_limit
        Limits the accepted connections; None for no limit.

    Attributes
    ----------
    handlers_by_class
        The handlers by class of message.
    handlers_by_path
        The handlers of requests that are no messages, by path.
    server
        The underlying HTTP server.
    """

    def __init__(
        self,
        secret: Callable[[], str],
        meter: LinkMeter,
        inbound: InboundMemory | None = None,
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        self.handlers_by_class: dict[type[Message[Any]], Handler] = {}
        self.handlers_by_path: dict[str, RequestHandler] = {}
        self.server = HttpServer(
            self._handle,
            check_head=self._check_head,
            meter=meter,
            inbound=inbound,
            connection_limit=connection_limit,
        )
        self._secret = secret

    def _check_head(self, head: RequestHead) -> None:
        """Refuse all but other routers before anything of their bodies is kept."""
        given = head.headers.get(SECRET_HEADER.lower(), "")
        secret = self._secret()
        if not secret or not hmac.compare_digest(given.encode(), secret.encode()):
            raise BadRequest(401, "The fleet's secret is wrong.")

    async def _handle(self, request: Request, respond: Responder) -> None:
        handler = self.handlers_by_path.get(request.path)
        if handler is not None:
            await handler(request, respond)
            return
        cls = MESSAGES_BY_NAME.get(request.path.removeprefix(PREFIX))
        if cls is None or cls not in self.handlers_by_class:
            await not_found(request, respond)
            return
        try:
            message = from_json(request.json(), cls)
        except MessageDecodeError as error:
            raise BadRequest(422, str(error)) from error
        # The handler must finish even if the sender disconnects: its decision, such as
        # a reservation, takes effect all the same.
        respond.survives_disconnect = True
        reply = await self.handlers_by_class[cls](message)
        await respond.json(200, to_json(reply))

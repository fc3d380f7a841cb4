"""Answer the fleet's other routers."""

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
    Responder,
    not_found,
)

Answer = Callable[[Any], Awaitable[Any]]


class PeerServer:
    """Hand each message of another router to what answers its class.

    Parameters
    ----------
    secret
        Returns what proves that a message comes from the fleet; empty while
        it is not known.
    meter
        Counts what goes over the VM's link.

    Attributes
    ----------
    answers_by_class
        Who answers which message.
    """

    def __init__(self, secret: Callable[[], str], meter: LinkMeter) -> None:
        self.handlers_by_class: dict[type[Message[Any]], Answer] = {}
        self.server = HttpServer(self._handle, meter=meter)
        self._secret = secret

    async def _handle(self, request: Request, respond: Responder) -> None:
        given = request.headers.get(SECRET_HEADER.lower(), "")
        secret = self._secret()
        if not secret or not hmac.compare_digest(given.encode(), secret.encode()):
            await respond.json(401, {"error": "the fleet's secret is wrong"})
            return
        cls = MESSAGES_BY_NAME.get(request.path.removeprefix(PREFIX))
        if cls is None or cls not in self.handlers_by_class:
            await not_found(request, respond)
            return
        try:
            message = from_json(request.json(), cls)
        except MessageDecodeError as error:
            raise BadRequest(422, str(error)) from error
        # What was decided is decided, also where the asker no longer waits.
        respond.survives_disconnect = True
        reply = await self.handlers_by_class[cls](message)
        await respond.json(200, to_json(reply))

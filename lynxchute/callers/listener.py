"""The listener for callers and operators."""

from __future__ import annotations

import secrets

from lynxchute.application import Component
from lynxchute.callers.chat import PATH as CHAT_PATH
from lynxchute.callers.chat import ChatService
from lynxchute.callers.problem import Problem, ProblemType
from lynxchute.callers.service import PlainService
from lynxchute.callers.serving import Serving
from lynxchute.configuration import AccountConfiguration, hash_key
from lynxchute.http import BadRequest, HttpServer, Request, Responder, ServerLimits
from lynxchute.operators.service import COMMANDS_PATH, OperatorService

BEARER = "bearer "
MODELS_PATH = "/v1/models"


def bearer_key(request: Request) -> str:
    """Return the key that a request bears, or the empty string."""
    value = request.headers.get("authorization", "")
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip()


class CallerListener(Component):
    """Serve callers and operators.

    Parameters
    ----------
    serving
        The parts that serve requests.
    chat, plain, operators
        What each path is served by.
    """

    def __init__(
        self,
        serving: Serving,
        chat: ChatService,
        plain: PlainService,
        operators: OperatorService,
    ) -> None:
        settings = serving.node.settings
        limits = ServerLimits(max_body_bytes=settings.limits.max_body_bytes)
        self.server = HttpServer(self._handle, limits=lambda: limits)
        self._address = settings.listen.callers
        self._serving = serving
        self._chat = chat
        self._plain = plain
        self._operators = operators

    async def start(self) -> None:
        """Begin to listen."""
        await self.server.start(self._address.host, self._address.port)

    async def drain(self, deadline: float) -> None:
        """Refuse new requests and let the open ones end."""
        self._serving.leaving = True
        await self.server.drain(deadline)

    async def stop(self) -> None:
        """Drop every connection."""
        await self.server.kill()

    async def _handle(self, request: Request, respond: Responder) -> None:
        # What has been reserved is settled also where the caller leaves.
        respond.outlives_caller = True
        if request.path == COMMANDS_PATH:
            await self._operators.serve(request, respond, bearer_key(request))
            return
        account = self._account(request)
        if account is None:
            title = (
                "No client account has this API key. Send 'Authorization: Bearer …'."
            )
            await Problem(ProblemType.UNAUTHORIZED, title).send(respond)
            return
        if request.path == MODELS_PATH:
            await self._list_models(respond)
            return
        refusal = self._serving.refusal(account.name)
        if refusal is not None:
            await refusal.send(respond)
            return
        with self._serving.counted(account.name):
            await self._serve(request, respond, account)

    def _account(self, request: Request) -> AccountConfiguration | None:
        # The key's hash is looked up, so that the time taken tells nothing
        # of the keys themselves.
        key = bearer_key(request)
        accounts = self._serving.node.configuration.accounts_by_key_hash
        return accounts.get(hash_key(key)) if key else None

    async def _serve(
        self, request: Request, respond: Responder, account: AccountConfiguration
    ) -> None:
        caller = self._serving.identify(request, account, secrets.token_hex(16))
        if isinstance(caller, Problem):
            await caller.send(respond)
            return
        if request.path == CHAT_PATH:
            if request.method != "POST":
                raise BadRequest(405, "Chat completions are asked for with POST.")
            await self._chat.serve(request, respond, caller)
            return
        route = self._serving.node.configuration.route_for_path(request.path)
        if route is None:
            title = f"No route leads to {request.path!r}."
            await Problem(ProblemType.NOT_FOUND, title).send(respond)
            return
        await self._plain.serve(request, respond, caller, route)

    async def _list_models(self, respond: Responder) -> None:
        models = []
        for model in self._serving.node.configuration.routes_by_model:
            models.append(
                {"id": model, "object": "model", "created": 0, "owned_by": "lynxchute"}
            )
        await respond.json(200, {"object": "list", "data": models})

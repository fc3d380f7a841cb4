"""HTTP endpoint for operators' statements."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.callers.dialect import bearer_key
from lynxchute.config import Configuration
from lynxchute.config.document import hash_key
from lynxchute.http import Request, Responder
from lynxchute.operators.runner import MISTAKES, NOT_DONE, Answer, StatementRunner
from lynxchute.telemetry import log_event

COMMANDS_PATH = "/v1/operator/commands"
STATUS_BY_STATE = {MISTAKES: 422}


class OperatorService:
    """Authenticate operators by key, and execute their statements.

    Parameters
    ----------
    runner
        Executes the statements.
    configuration
        Returns the configuration in force, which lists the operators and their keys.
    """

    def __init__(
        self, runner: StatementRunner, configuration: Callable[[], Configuration | None]
    ) -> None:
        self._runner = runner
        self._configuration = configuration

    async def serve(self, request: Request, respond: Responder) -> None:
        """Handle one statement, sent as ``{"statement": "…"}``."""
        # The statement runs to completion even if the operator disconnects.
        respond.survives_disconnect = True
        current = self._configuration()
        key = bearer_key(request.headers)
        operators = current.operators_by_key if current is not None else {}
        operator = operators.get(hash_key(key)) if key else None
        if operator is None:
            answer = Answer(NOT_DONE, "No operator has this key.")
            await respond.json(401, answer.to_json())
            return
        value = request.json()
        text = value.get("statement") if isinstance(value, dict) else None
        if not isinstance(text, str):
            answer = Answer(MISTAKES, 'Send {"statement": "…"}.')
            await respond.json(422, answer.to_json())
            return
        answer = await self._runner.run(
            text, operator=operator.name, role=operator.role
        )
        log_event(
            "statement run",
            operator=operator.name,
            statement=text,
            operation=answer.operation,
            state=answer.state,
            detail=answer.detail,
        )
        await respond.json(STATUS_BY_STATE.get(answer.state, 200), answer.to_json())

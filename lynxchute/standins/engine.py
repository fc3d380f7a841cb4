"""A stand-in for a model engine with an OpenAI-style interface.

It answers chat completions token by token, keeps each answer under the
request id for a while, and can resume and cancel by that id. Its records
say what truly ran.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import attrs

from lynxchute.http import (
    BadRequest,
    HttpServer,
    Request,
    Responder,
    not_found,
)
from lynxchute.standins.faults import FAULTS_PATH, Faults
from lynxchute.standins.text import answer_tokens, prompt_tokens

REQUESTS_PATH = "/v1/requests/"
EVENT_STREAM = "text/event-stream"


@attrs.define(eq=False)
class Generation:
    """One run of the model.

    Attributes
    ----------
    done
        Tokens generated so far.
    state
        ``running``, ``finished`` or ``cancelled``.
    """

    request_id: str
    model: str
    tokens: list[str]
    prompt_tokens: int
    created: int
    done: int = 0
    state: str = "running"
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def advance(self, state: str | None = None) -> None:
        """Generate one token, or end; wake the readers."""
        if state is None:
            self.done += 1
            if self.done >= len(self.tokens):
                self.state = "finished"
        else:
            self.state = state
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def usage(self) -> dict[str, int]:
        """Return the usage as the interface words it."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.done,
            "total_tokens": self.prompt_tokens + self.done,
        }


class EngineServer:
    """Serve a model engine over HTTP, with faults.

    Parameters
    ----------
    models
        The models that are loaded.
    first_token_delay, token_delay
        Seconds until the first token, and between tokens.
    """

    def __init__(
        self,
        models: tuple[str, ...],
        *,
        first_token_delay: float = 0.005,
        token_delay: float = 0.002,
    ) -> None:
        self.models = models
        self.faults = Faults()
        self.by_request_id: dict[str, Generation] = {}
        self.refused_ids: set[str] = set()
        self.server = HttpServer(self._handle)
        self._first_token_delay = first_token_delay
        self._token_delay = token_delay
        self._tasks: set[asyncio.Task[None]] = set()

    def records(self) -> list[dict[str, Any]]:
        """Return what ran, one record for each run."""
        found = []
        for generation in self.by_request_id.values():
            found.append(
                {
                    "request_id": generation.request_id,
                    "state": generation.state,
                    **generation.usage(),
                }
            )
        return found

    async def _handle(self, request: Request, respond: Responder) -> None:
        if request.path == FAULTS_PATH:
            await self.faults.serve(request, respond)
            return
        if request.path == "/state":
            await respond.json(200, {"runs": self.records()})
            return
        if not await self.faults.before():
            await respond.json(503, {"error": "outage"})
            return
        if request.path == "/v1/chat/completions":
            await self._complete(request, respond)
            return
        if request.path.startswith(REQUESTS_PATH):
            await self._by_id(request, respond)
            return
        if request.path == "/load":
            running = sum(g.state == "running" for g in self.by_request_id.values())
            await respond.json(200, {"running": running, "models": self.models})
            return
        await not_found(request, respond)

    async def _complete(self, request: Request, respond: Responder) -> None:
        question = request.json()
        if question.get("model") not in self.models:
            raise BadRequest(404, "the model is not loaded")
        request_id = request.headers.get("x-request-id", "")
        if request_id in self.by_request_id or request_id in self.refused_ids:
            await respond.json(409, {"error": "the request id is known or cancelled"})
            return
        generation = Generation(
            request_id,
            question["model"],
            answer_tokens(question),
            prompt_tokens(question),
            int(time.time()),
        )
        self.by_request_id[request_id] = generation
        task = asyncio.create_task(self._generate(generation))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if question.get("stream"):
            await self._stream(generation, respond, 0)
            return
        await self._answer(generation, respond)

    async def _answer(self, generation: Generation, respond: Responder) -> None:
        while generation.state == "running":
            await generation.changed.wait()
        if generation.state == "cancelled":
            respond.abort()
            return
        headers = [("X-Request-Id", generation.request_id)]
        await respond.json(200, _whole_answer(generation), headers)

    async def _generate(self, generation: Generation) -> None:
        await asyncio.sleep(self._first_token_delay)
        while generation.state == "running":
            generation.advance()
            await asyncio.sleep(self._token_delay)

    async def _stream(
        self, generation: Generation, respond: Responder, position: int
    ) -> None:
        headers = [
            ("Content-Type", EVENT_STREAM),
            ("Transfer-Encoding", "chunked"),
            ("X-Request-Id", generation.request_id),
        ]
        await respond.start(200, headers)
        while True:
            changed = generation.changed
            if position < generation.done:
                tokens = generation.tokens[position : generation.done]
                position = generation.done
                await respond.send(
                    b"".join(_token_event(generation, t) for t in tokens)
                )
                continue
            if self.faults.break_streams or generation.state == "cancelled":
                respond.abort()
                return
            if generation.state == "finished":
                break
            await changed.wait()
        await respond.send(_last_events(generation))
        await respond.finish()

    async def _by_id(self, request: Request, respond: Responder) -> None:
        request_id, _, rest = request.path[len(REQUESTS_PATH) :].partition("/")
        generation = self.by_request_id.get(request_id)
        if request.method == "DELETE":
            await self._cancel(request_id, generation, respond)
            return
        if generation is None:
            await respond.json(404, {"state": "unknown"})
            return
        if rest == "stream":
            start = int(request.target.partition("from=")[2] or 0)
            await self._stream(generation, respond, start)
            return
        if rest == "answer":
            await self._answer(generation, respond)
            return
        answer = {"state": generation.state, "usage": generation.usage()}
        await respond.json(200, answer)

    async def _cancel(
        self, request_id: str, generation: Generation | None, respond: Responder
    ) -> None:
        if generation is None:
            self.refused_ids.add(request_id)
            await respond.json(200, {"state": "never_ran", "usage": None})
            return
        if generation.state == "running":
            generation.advance("cancelled")
        answer = {"state": generation.state, "usage": generation.usage()}
        await respond.json(200, answer)


def _chunk(generation: Generation, choices: list[Any], **more: Any) -> bytes:
    value = {
        "id": f"chatcmpl-{generation.request_id}",
        "object": "chat.completion.chunk",
        "created": generation.created,
        "model": generation.model,
        "choices": choices,
        **more,
    }
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"


def _token_event(generation: Generation, token: str) -> bytes:
    delta = {"role": "assistant", "content": token}
    choice = {"index": 0, "delta": delta, "finish_reason": None}
    return _chunk(generation, [choice])


def _last_events(generation: Generation) -> bytes:
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    ending = _chunk(generation, [choice])
    usage = _chunk(generation, [], usage=generation.usage())
    return ending + usage + b"data: [DONE]\n\n"


def _whole_answer(generation: Generation) -> dict[str, Any]:
    message = {"role": "assistant", "content": "".join(generation.tokens)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "id": f"chatcmpl-{generation.request_id}",
        "object": "chat.completion",
        "created": generation.created,
        "model": generation.model,
        "choices": [choice],
        "usage": generation.usage(),
    }

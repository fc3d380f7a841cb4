"""A stand-in for a model engine with an OpenAI-style interface.

It answers chat completions token by token, numbers its events, and can resume
a stream after an event that another engine sent. It records each run.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import OrderedDict
from typing import Any

import attrs

from lynxchute.callers import names
from lynxchute.callers.question import parse_chat_request
from lynxchute.config.from_document import CHAT_PATH
from lynxchute.http import BadRequest, Request, Responder, not_found
from lynxchute.standins.text import answer_tokens, prompt_tokens
from lynxchute.standins.upstream import UpstreamServer, account_of, request_id_of
from lynxchute.upstreams.load_report import LOAD_PATH

EVENT_STREAM = "text/event-stream"
# Number of prompt prefixes that the stand-in reports as cached.
MAX_CACHED_PREFIXES = 64
# Seconds from the start of a run that crashes the process to the crash, and from the
# crash until the restarted process serves requests.
CRASH_SECONDS = 0.03
RESTART_SECONDS = 0.6
DONE = b"data: [DONE]\n\n"


@attrs.define(eq=False)
class Generation:
    """One run of the model.

    Attributes
    ----------
    done
        Tokens of the answer so far, including those that another engine sent.
    state
        ``running``, ``finished`` or ``cancelled``.
    is_stream
        Whether its answer is a stream.
    """

    request_id: str
    account: str
    model: str
    tokens: list[str]
    prompt_tokens: int
    created: int
    software_version: str = ""
    done: int = 0
    state: str = "running"
    is_stream: bool = False

    @property
    def is_running(self) -> bool:
        """Return whether the run has not ended."""
        return self.state == "running"

    def usage(self) -> dict[str, int]:
        """Return the token usage in the fields of the OpenAI API."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.done,
            "total_tokens": self.prompt_tokens + self.done,
        }


class EngineServer(UpstreamServer):
    """Serve a simulated model engine over HTTP, and inject faults.

    Parameters
    ----------
    name
        Its name in the routers' configuration.
    models
        The models that it has loaded.
    first_token_delay, token_delay
        Seconds until the first token, and between tokens.

    Attributes
    ----------
    crash_texts
        Message texts that crash the process as soon as it runs a prompt with one.
    restarts
        The number of crashes so far.
    token_delay
        Seconds between tokens.
    """

    def __init__(
        self,
        name: str,
        models: tuple[str, ...],
        *,
        first_token_delay: float = 0.005,
        token_delay: float = 0.002,
    ) -> None:
        super().__init__(name)
        self.models = models
        self.runs: list[Generation] = []
        self.crash_texts: set[str] = set()
        self.restarts = 0
        self._restart_task: asyncio.Task[None] | None = None
        self._cached_tokens_by_prefix: OrderedDict[str, int] = OrderedDict()
        self._first_token_delay = first_token_delay
        self.token_delay = token_delay

    def records(self) -> list[dict[str, Any]]:
        """Return one record for each run."""
        rows = []
        for run in self.runs:
            rows.append(
                {
                    "request_id": run.request_id,
                    "account": run.account,
                    "state": run.state,
                    **run.usage(),
                }
            )
        return rows

    async def serve(self, request: Request, respond: Responder) -> None:
        """Serve one request."""
        if request.path == CHAT_PATH:
            await self._serve_chat(request, respond)
            return
        if request.path == LOAD_PATH:
            running = sum(run.is_running for run in self.runs)
            cached = list(self._cached_tokens_by_prefix.items())
            load = {"running": running, "cached": cached}
            await respond.json(200, load, self.backpressure_headers())
            return
        await not_found(request, respond)

    async def _serve_chat(self, request: Request, respond: Responder) -> None:
        question = request.json()
        if question.get("model") not in self.models:
            raise BadRequest(404, "the model is not loaded")
        self._cache_prefix(request)
        last = request.headers.get(names.LAST_EVENT.lower(), "")
        run = Generation(
            request_id_of(request),
            account_of(request),
            question["model"],
            answer_tokens(question),
            prompt_tokens(question),
            int(time.time()),
            software_version=self.software_version,
            done=int(last) if last.isdecimal() else 0,
            is_stream=bool(question.get("stream")),
        )
        self.runs.append(run)
        texts = {str(message["content"]) for message in question["messages"]}
        if not self.crash_texts.isdisjoint(texts):
            await self._crash(run, respond)
            return
        try:
            if run.is_stream:
                await self._stream(run, respond)
            else:
                await self._answer(run, respond)
        finally:
            if run.is_running:
                run.state = "cancelled"

    async def _crash(self, run: Generation, respond: Responder) -> None:
        """Crash the process shortly after the run starts, with all open connections."""
        run.state = "cancelled"
        headers = [("Content-Type", EVENT_STREAM), (names.REQUEST_ID, run.request_id)]
        await respond.start(200, [*headers, ("Transfer-Encoding", "chunked")])
        await asyncio.sleep(CRASH_SECONDS)
        if self._restart_task is None or self._restart_task.done():
            self.restarts += 1
            self._restart_task = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        port = self.server.port
        await self.server.kill()
        await asyncio.sleep(RESTART_SECONDS)
        await self.server.start("127.0.0.1", port)

    def _cache_prefix(self, request: Request) -> None:
        parsed = parse_chat_request(request)
        if parsed.is_error():
            return
        question = parsed.ok
        self._cached_tokens_by_prefix[question.prefix] = question.prefix_bound
        self._cached_tokens_by_prefix.move_to_end(question.prefix)
        if len(self._cached_tokens_by_prefix) > MAX_CACHED_PREFIXES:
            self._cached_tokens_by_prefix.popitem(last=False)

    async def _answer(self, run: Generation, respond: Responder) -> None:
        await asyncio.sleep(self._first_token_delay)
        while run.done < len(run.tokens):
            run.done += 1
            await asyncio.sleep(self.token_delay)
        run.state = "finished"
        headers = [(names.REQUEST_ID, run.request_id), *self.backpressure_headers()]
        await respond.json(200, _whole_answer(run), headers)

    async def _stream(self, run: Generation, respond: Responder) -> None:
        headers = [
            ("Content-Type", EVENT_STREAM),
            ("Transfer-Encoding", "chunked"),
            (names.REQUEST_ID, run.request_id),
            *self.backpressure_headers(),
        ]
        await respond.start(200, headers)
        await asyncio.sleep(self._first_token_delay)
        while run.done < len(run.tokens):
            token = run.tokens[run.done]
            run.done += 1
            await respond.send(_with_event_id(run.done, _token_event(run, token)))
            if self.faults.break_streams:
                run.state = "cancelled"
                respond.abort()
                return
            await asyncio.sleep(self.token_delay)
        run.state = "finished"
        final_events = (_stop_event(run), _usage_event(run), DONE)
        for number, event in enumerate(final_events, start=len(run.tokens) + 1):
            await respond.send(_with_event_id(number, event))
        await respond.finish()


def _with_event_id(number: int, event: bytes) -> bytes:
    return b"id: %d\n%s" % (number, event)


def _chunk(run: Generation, choices: list[Any], **fields: Any) -> bytes:
    value = {
        "id": f"chatcmpl-{run.request_id}",
        "object": "chat.completion.chunk",
        "created": run.created,
        "model": run.model,
        "system_fingerprint": run.software_version,
        "choices": choices,
        **fields,
    }
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"


def _token_event(run: Generation, token: str) -> bytes:
    delta = {"role": "assistant", "content": token}
    return _chunk(run, [{"index": 0, "delta": delta, "finish_reason": None}])


def _stop_event(run: Generation) -> bytes:
    return _chunk(run, [{"index": 0, "delta": {}, "finish_reason": "stop"}])


def _usage_event(run: Generation) -> bytes:
    return _chunk(run, [], usage=run.usage())


def _whole_answer(run: Generation) -> dict[str, Any]:
    message = {"role": "assistant", "content": "".join(run.tokens)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "id": f"chatcmpl-{run.request_id}",
        "object": "chat.completion",
        "created": run.created,
        "model": run.model,
        "choices": [choice],
        "usage": run.usage(),
    }

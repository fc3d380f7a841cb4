"""Validation of chat completion requests."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import attrs
from expression import Error, Ok, Result

from lynxchute.http import BadRequest, Request
from lynxchute.upstreams.generation import Generation, PromptPart

TOKENS_PER_MESSAGE = 8
MAX_MESSAGES = 4096
PREFIX_CHARACTERS = 1024


@attrs.frozen
class ChatRequest:
    """A chat completion request.

    Attributes
    ----------
    max_tokens
        Largest number of output tokens that the caller accepts; None if not stated.
    prompt_bound
        Upper bound of the prompt's token count for any tokenizer.
    wants_usage
        Whether a stream should end with a usage event.
    prefix
        Hash of the beginning of the prompt; equal for prompts with the same beginning.
    prefix_bound
        Upper bound of the token count of that beginning for any tokenizer.
    """

    model: str
    stream: bool
    max_tokens: int | None
    prompt_bound: int
    wants_usage: bool
    prefix: str
    prefix_bound: int
    body: dict[str, Any]

    def generation(self, request_id: str, max_tokens: int) -> Generation:
        """Return the request's demand on an engine."""
        prefix_tokens = min(self.prefix_bound, self.prompt_bound)
        other_tokens = self.prompt_bound - prefix_tokens
        return Generation(
            model=self.model,
            prompt_tokens=self.prompt_bound,
            max_output_tokens=max_tokens,
            parts=(
                PromptPart(self.prefix, prefix_tokens),
                PromptPart(request_id, other_tokens),
            ),
        )

    def engine_body(self, max_tokens: int) -> bytes:
        """Return the request body to send to the engine."""
        body = {**self.body, "max_tokens": max_tokens}
        body.pop("max_completion_tokens", None)
        if self.stream:
            body["stream_options"] = {"include_usage": True}
        return json.dumps(body, separators=(",", ":")).encode()


def parse_chat_request(request: Request) -> Result[ChatRequest, tuple[str, ...]]:
    """Return the chat request, or all validation errors."""
    try:
        body = request.json()
    except BadRequest as error:
        return Error((error.reason,))
    if not isinstance(body, dict):
        return Error(("The body is no JSON object.",))
    problems = [*_check_messages(body), *_check_numbers(body)]
    if not isinstance(body.get("model"), str):
        problems.append("'model' must be a string.")
    for name in ("stream", "logprobs"):
        if not isinstance(body.get(name, False), bool | None):
            problems.append(f"{name!r} must be true or false.")
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        problems.append("'stream_options' must be an object.")
    if problems:
        return Error(tuple(problems))
    max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    prefix = _prompt_prefix(body)
    chat_request = ChatRequest(
        model=body["model"],
        stream=bool(body.get("stream")),
        max_tokens=max_tokens,
        prompt_bound=_max_prompt_tokens(body["messages"]),
        prefix=hashlib.blake2b(prefix, digest_size=8).hexdigest(),
        prefix_bound=len(prefix),
        wants_usage=bool((options or {}).get("include_usage")),
        body=body,
    )
    return Ok(chat_request)


def _check_messages(body: dict[str, Any]) -> list[str]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return ["'messages' must be a list of at least one message."]
    if len(messages) > MAX_MESSAGES:
        return [f"'messages' may hold at most {MAX_MESSAGES} messages."]
    problems = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            problems.append(f"'messages[{index}]' must have a 'role'.")
            continue
        if not isinstance(message.get("content"), str | list | None):
            problems.append(f"'messages[{index}].content' must be a string or list.")
    return problems


def _check_numbers(body: dict[str, Any]) -> list[str]:
    problems = []
    for name in ("max_tokens", "max_completion_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            problems.append(f"{name!r} must be a whole number above 0.")
    if body.get("n", 1) not in (1, None):
        problems.append("'n' must be 1.")
    return problems


def _prompt_prefix(body: dict[str, Any]) -> bytes:
    """Return the beginning of a prompt, which engines may have cached."""
    text = json.dumps([body["model"], body["messages"]], ensure_ascii=False)
    return text[:PREFIX_CHARACTERS].encode("utf-8", "surrogatepass")


def _max_prompt_tokens(messages: list[Any]) -> int:
    """Return an upper bound of the prompt's tokens: no token is shorter than a byte."""
    text = json.dumps(messages, ensure_ascii=False, separators=(",", ":"))
    return len(text.encode("utf-8", "surrogatepass")) + TOKENS_PER_MESSAGE * len(
        messages
    )

"""Simulated callers that retry refused requests and verify the answers."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any

import attrs

from lynxchute.callers import names
from lynxchute.config.from_document import CHAT_PATH
from lynxchute.http import ExchangeError, HttpClient, Timeouts
from lynxchute.relay.events import SEPARATOR
from lynxchute.relay.refusal import TYPE_PREFIX, Reason, RunStatus
from lynxchute.standins.counts import paid_by_account, served_by_account
from lynxchute.standins.deployment import MODEL, Deployment, caller_key
from lynxchute.standins.text import answer_tokens

MAX_ATTEMPTS = 12
PERMANENT_REFUSALS = frozenset({400, 401, 402, 404, 413})
# Upper bound of the tokens of one request: a refusal is false if the budget has more
# left.
MAX_REQUEST_TOKENS = 400
PLAIN_SHARE, STREAM_SHARE = 0.25, 0.7
RETRY_SECONDS, MAX_RETRY_SECONDS = 0.2, 0.5
# Problem types of streams that can only be begun anew.
UNRESUMABLE = (
    TYPE_PREFIX + Reason.ORIGIN_UNKNOWN.value,
    TYPE_PREFIX + Reason.VERSION_GONE.value,
)


@attrs.define
class Attempt:
    """One attempt to send a request, and its result.

    Attributes
    ----------
    vm
        The VM whose router it was sent to; empty before it is sent.
    run
        The run status that a refusal states; empty without a refusal.
    output_tokens
        Tokens of the answer that reached the caller.
    is_broken_off
        Whether the router ended the exchange before the answer was complete. A caller
        that has waited too long ends it itself.
    """

    request_id: str
    vm: str = ""
    status: int = 0
    run: str = ""
    output_tokens: int = 0
    is_broken_off: bool = False


@attrs.define
class CallerRequest:
    """A request of a caller, with all its attempts.

    Attributes
    ----------
    outcome
        ``answered``, ``refused`` or ``lost``.
    is_correct
        Whether the answer was complete and belonged to the request; None without one.
    partial, first_attempt
        Complete events of a broken stream, and the attempt that brought the first one.
    versions
        Software versions of the engines that made the stream's events.
    false_refusal
        Whether it was refused although its account's budget had tokens left.
    """

    account: str
    name: str
    is_plain: bool
    attempts: list[Attempt] = attrs.Factory(list)
    outcome: str = "lost"
    is_correct: bool | None = None
    false_refusal: bool = False
    partial: bytes = b""
    first_attempt: str = ""
    versions: set[str] = attrs.Factory(set)

    def may_retry(self) -> bool:
        """Return whether the caller may send it again.

        Calls of the plain service are not idempotent: they are retried only after a
        refusal that states that they have not run.
        """
        last = self.attempts[-1]
        return not self.is_plain or last.run == RunStatus.NOT_RUN.value


@attrs.frozen
class Reply:
    """A response with its body, as far as it arrived."""

    status: int
    body: bytes
    retry_after: float = RETRY_SECONDS


class Callers:
    """Send requests to random routers of a deployment, as a load balancer does.

    Parameters
    ----------
    deployment
        The deployment whose routers are called.
    rng
        The source of randomness.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.sent: list[CallerRequest] = []
        self._deployment = deployment
        self._random = rng

    async def run(self, seconds: float, rate: float) -> None:
        """Send requests at a rate for a while, and wait for their answers."""
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self._run_request()))
            await asyncio.sleep(self._random.expovariate(rate))
        await asyncio.gather(*tasks)

    async def _run_request(self) -> None:
        account = self._random.choice(list(self._deployment.shape.budgets))
        is_plain = self._random.random() < PLAIN_SHARE
        sent = CallerRequest(account, f"r{len(self.sent)}", is_plain)
        self.sent.append(sent)
        stream = self._random.random() < STREAM_SHARE
        for number in range(MAX_ATTEMPTS):
            attempt = Attempt(f"{sent.name}-{number}")
            sent.attempts.append(attempt)
            reply = await self._send(sent, attempt, stream=stream)
            if reply is not None and self._record_reply(
                sent, attempt, reply, stream=stream
            ):
                return
            if not sent.may_retry():
                sent.outcome = "refused"
                return
            delay = reply.retry_after if reply is not None else RETRY_SECONDS
            await asyncio.sleep(delay)

    async def _send(
        self, sent: CallerRequest, attempt: Attempt, *, stream: bool
    ) -> Reply | None:
        """Send a request to a running router; return None if no response came."""
        vms = list(self._deployment.routers_by_vm)
        attempt.vm = self._random.choice(vms)
        port = self._deployment.caller_port(attempt.vm)
        client = HttpClient(f"127.0.0.1:{port}", timeouts=Timeouts(0.5, 8.0, 4.0))
        headers = [
            (names.AUTHORIZATION, f"Bearer {caller_key(sent.account)}"),
            (names.REQUEST_ID, attempt.request_id),
        ]
        if sent.partial:
            last = sent.partial.rpartition(b"id: ")[2].partition(b"\n")[0].decode()
            headers.append((names.LAST_EVENT, last))
            headers.append((names.RESUMES, sent.first_attempt))
        target, value = CHAT_PATH, self._chat_request(sent, stream=stream)
        if sent.is_plain:
            target, value = self._deployment.shape.prefix, {"ticket": sent.name}
        try:
            response = await client.request(
                "POST", target, headers=headers, body=json.dumps(value).encode()
            )
        except ExchangeError as error:
            attempt.is_broken_off = error.sent and not error.is_timeout
            client.close()
            return None
        body = b""
        try:
            while (chunk := await response.read()) is not None:
                body += chunk
        except ExchangeError as error:
            attempt.is_broken_off = not error.is_timeout
            return Reply(response.status, body)
        finally:
            client.close()
        wait = float(response.headers.get("retry-after", str(RETRY_SECONDS)))
        return Reply(response.status, body, min(wait, MAX_RETRY_SECONDS))

    def _chat_request(self, sent: CallerRequest, *, stream: bool) -> dict[str, Any]:
        message = {"role": "user", "content": f"Which road first? {sent.name}"}
        return {
            "model": MODEL,
            "messages": [message],
            "max_tokens": 64,
            "stream": stream,
        }

    def _record_reply(
        self, sent: CallerRequest, attempt: Attempt, reply: Reply, *, stream: bool
    ) -> bool:
        """Record a reply; return whether the request is finished."""
        attempt.status = reply.status
        if reply.status == 200 and stream and not sent.is_plain:
            _add_events(sent, attempt, reply.body)
            reply = attrs.evolve(reply, body=sent.partial)
        if reply.status == 200:
            is_complete, is_correct = self._check_answer(
                sent, reply.body, stream=stream
            )
            if not is_complete:
                return False
            if not stream and not sent.is_plain:
                usage = json.loads(reply.body)["usage"]
                attempt.output_tokens = usage["completion_tokens"]
            sent.outcome = "answered"
            sent.is_correct = is_correct
            return True
        try:
            problem = json.loads(reply.body)
        except ValueError:
            return False
        attempt.run = problem.get("run", "")
        if problem.get("type") in UNRESUMABLE:
            sent.partial, sent.first_attempt = b"", ""
            sent.versions.clear()
        if reply.status in PERMANENT_REFUSALS:
            sent.outcome = "refused"
            sent.false_refusal = self._could_pay(sent, reply.status)
            return True
        return False

    def _check_answer(
        self, sent: CallerRequest, body: bytes, *, stream: bool
    ) -> tuple[bool, bool]:
        """Return whether an answer is complete, and whether its content is correct."""
        if sent.is_plain:
            try:
                path = str(json.loads(body)["path"])
            except ValueError:
                return False, False
            return True, path == self._deployment.shape.prefix
        expected = "".join(answer_tokens(self._chat_request(sent, stream=stream)))
        if not stream and not body.endswith(b"}"):
            return False, False
        if not stream:
            message = json.loads(body)["choices"][0]["message"]
            return True, str(message["content"]) == expected
        if not body.endswith(b"data: [DONE]\n\n"):
            return False, False
        return True, streamed_text(body) == expected

    def _could_pay(self, sent: CallerRequest, status: int) -> bool:
        """Return whether the account's budget left could have paid for the request."""
        if status != 402:
            return True
        paid = paid_by_account(self._deployment)[sent.account]
        return (
            paid - served_by_account(self._deployment)[sent.account]
            > MAX_REQUEST_TOKENS
        )


def _add_events(sent: CallerRequest, attempt: Attempt, body: bytes) -> None:
    """Add the complete events of an attempt to those of the attempts before."""
    events = (
        body[: body.rfind(SEPARATOR) + len(SEPARATOR)] if SEPARATOR in body else b""
    )
    if events and not sent.partial:
        sent.first_attempt = attempt.request_id
    sent.partial += events
    for line in events.decode().split("\n"):
        data = line.removeprefix("data: ")
        if data not in (line, "[DONE]"):
            chunk = json.loads(data)
            sent.versions.add(chunk["system_fingerprint"])
            attempt.output_tokens += any(c["delta"] for c in chunk["choices"])


def streamed_text(body: bytes) -> str:
    """Return the concatenated text of a streamed answer."""
    text = ""
    for line in body.decode().split("\n"):
        data = line.removeprefix("data: ")
        if data == line or data == "[DONE]":
            continue
        for choice in json.loads(data)["choices"]:
            text += choice["delta"].get("content", "")
    return text

"""Callers as they are outside: they repeat, and judge what they get."""

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
from lynxchute.relay.refusal import RunStatus
from lynxchute.standins.counts import paid_by_account, served_by_account
from lynxchute.standins.deployment import MODEL, Deployment, caller_key
from lynxchute.standins.text import answer_tokens

TRIES = 12
REFUSED_FOR_GOOD = frozenset({400, 401, 402, 404, 413})
# A request that needs no more than this could still be paid.
MOST_TOKENS = 400
CALL_SHARE, STREAM_SHARE = 0.25, 0.7
PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.2, 0.5


@attrs.define
class Attempt:
    """One send of a request, and what came of it.

    Attributes
    ----------
    vm
        Whose router it was sent to; empty before.
    run
        What a refusal said of it; empty without one.
    """

    request_id: str
    vm: str = ""
    status: int = 0
    run: str = ""


@attrs.define
class Sent:
    """A request of a caller, with all its attempts.

    Attributes
    ----------
    outcome
        ``answered``, ``refused`` or ``lost``.
    right
        Whether the answer was whole and its own; None without one.
    false_refusal
        Whether it was refused although its budget had tokens left.
    """

    account: str
    name: str
    is_call: bool
    attempts: list[Attempt] = attrs.Factory(list)
    outcome: str = "lost"
    right: bool | None = None
    false_refusal: bool = False

    def may_repeat(self) -> bool:
        """Return whether the caller may send it again.

        A call of the plain service may run once; it is sent again only after a
        refusal that says that it has not run.
        """
        last = self.attempts[-1]
        return not self.is_call or last.run == RunStatus.NOT_RUN.value


@attrs.frozen
class Reply:
    """An answer read to its end."""

    status: int
    body: bytes
    retry_after: float


class Callers:
    """Send requests to the routers as a balancer would.

    Parameters
    ----------
    deployment
        Whose routers are called.
    rng
        The source of randomness.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.sent: list[Sent] = []
        self._deployment = deployment
        self._random = rng

    async def run(self, seconds: float, rate: float) -> None:
        """Send requests at a rate for a while, and wait for their answers."""
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self._one()))
            await asyncio.sleep(self._random.expovariate(rate))
        await asyncio.gather(*tasks)

    async def _one(self) -> None:
        account = self._random.choice(list(self._deployment.shape.budgets))
        is_call = self._random.random() < CALL_SHARE
        sent = Sent(account, f"r{len(self.sent)}", is_call)
        self.sent.append(sent)
        stream = self._random.random() < STREAM_SHARE
        for number in range(TRIES):
            attempt = Attempt(f"{sent.name}-{number}")
            sent.attempts.append(attempt)
            reply = await self._try(sent, attempt, stream=stream)
            if reply is not None and self._take(sent, attempt, reply, stream=stream):
                return
            if not sent.may_repeat():
                sent.outcome = "refused"
                return
            pause = reply.retry_after if reply is not None else PAUSE_SECONDS
            await asyncio.sleep(pause)

    async def _try(self, sent: Sent, attempt: Attempt, *, stream: bool) -> Reply | None:
        """Send a request to a live router; None where no answer came."""
        vms = list(self._deployment.routers_by_vm)
        attempt.vm = self._random.choice(vms)
        port = self._deployment.caller_port(attempt.vm)
        client = HttpClient(f"127.0.0.1:{port}", timeouts=Timeouts(0.5, 8.0, 4.0))
        headers = [
            (names.AUTHORIZATION, f"Bearer {caller_key(sent.account)}"),
            (names.REQUEST_ID, attempt.request_id),
        ]
        target, value = CHAT_PATH, self._question(sent, stream=stream)
        if sent.is_call:
            target, value = self._deployment.shape.prefix, {"ticket": sent.name}
        try:
            response = await client.request(
                "POST", target, headers=headers, body=json.dumps(value).encode()
            )
            body = await response.body()
        except ExchangeError:
            return None
        finally:
            client.close()
        wait = float(response.headers.get("retry-after", str(PAUSE_SECONDS)))
        return Reply(response.status, body, min(wait, MAX_PAUSE_SECONDS))

    def _question(self, sent: Sent, *, stream: bool) -> dict[str, Any]:
        message = {"role": "user", "content": f"Which road first? {sent.name}"}
        return {
            "model": MODEL,
            "messages": [message],
            "max_tokens": 64,
            "stream": stream,
        }

    def _take(
        self, sent: Sent, attempt: Attempt, reply: Reply, *, stream: bool
    ) -> bool:
        """Note a reply; return whether the caller is done."""
        attempt.status = reply.status
        if reply.status == 200:
            whole, right = self._judge(sent, reply.body, stream=stream)
            if not whole:
                return False
            sent.outcome = "answered"
            sent.right = right
            return True
        attempt.run = json.loads(reply.body).get("run", "")
        if reply.status in REFUSED_FOR_GOOD:
            sent.outcome = "refused"
            sent.false_refusal = self._budget_left(sent, reply.status)
            return True
        return False

    def _judge(self, sent: Sent, body: bytes, *, stream: bool) -> tuple[bool, bool]:
        """Return whether an answer says that it is whole, and whether it is right."""
        if sent.is_call:
            path = str(json.loads(body)["path"])
            return True, path == self._deployment.shape.prefix
        expected = "".join(answer_tokens(self._question(sent, stream=stream)))
        if not stream:
            message = json.loads(body)["choices"][0]["message"]
            return True, str(message["content"]) == expected
        if not body.endswith(b"data: [DONE]\n\n"):
            return False, False
        return True, text_of(body) == expected

    def _budget_left(self, sent: Sent, status: int) -> bool:
        """Return whether the budget, less what ran so far, covers a request."""
        if status != 402:
            return True
        paid = paid_by_account(self._deployment)[sent.account]
        return paid - served_by_account(self._deployment)[sent.account] > MOST_TOKENS


def text_of(body: bytes) -> str:
    """Return the text of a streamed answer."""
    text = ""
    for line in body.decode().split("\n"):
        data = line.removeprefix("data: ")
        if data == line or data == "[DONE]":
            continue
        for choice in json.loads(data)["choices"]:
            text += choice["delta"].get("content", "")
    return text

"""Run a deployment on stand-ins through faults, and count what was promised.

The last line is a JSON object, measured from the stand-ins' own records.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from typing import Any

import attrs
import defopt
from absl import logging

from lynxchute.callers.problem import Run
from lynxchute.http import ExchangeFailed, HttpClient, Timeouts
from lynxchute.ledger import BUDGET_PREFIX, CHARGE_PREFIX
from lynxchute.records import request_id_for
from lynxchute.standins.deployment import (
    MODEL,
    OPERATOR_KEY,
    Deployment,
    Shape,
    caller_key,
)
from lynxchute.standins.text import answer_tokens

SCENE_SECONDS = 4.0
TRIES = 12
SEED = 7
REFUSED_FOR_GOOD = frozenset({401, 402, 404, 413, 422})


@attrs.define
class Sent:
    """A request that a caller sent, and how it ended.

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
    key: str
    service: bool
    outcome: str = "lost"
    status: int = 0
    run: str = ""
    right: bool | None = None
    false_refusal: bool = False

    @property
    def request_id(self) -> str:
        """Return the name that the routers give it."""
        return request_id_for(self.account, self.key)


@attrs.frozen
class Reply:
    """An answer read to its end; an empty body where it broke off."""

    status: int
    body: bytes = b""
    retry_after: float = 0.2


class Callers:
    """Send requests to the routers as the platform's balancer would.

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
        self._count = 0

    async def run(self, seconds: float, rate: float) -> None:
        """Send requests at a rate for a while, and wait for their answers."""
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self._one()))
            await asyncio.sleep(self._random.expovariate(rate))
        await asyncio.gather(*tasks)

    async def _one(self) -> None:
        self._count += 1
        account = self._random.choice(list(self._deployment.shape.budgets))
        is_service = self._random.random() < 0.25
        sent = Sent(account, f"key-{self._count}", is_service)
        self.sent.append(sent)
        stream = self._random.random() < 0.7
        for _ in range(TRIES):
            reply = await self._try(sent, stream=stream)
            if reply is None:
                await asyncio.sleep(0.2)
                continue
            if self._take(sent, reply, stream=stream):
                return
            await asyncio.sleep(reply.retry_after)

    async def _try(self, sent: Sent, *, stream: bool) -> Reply | None:
        """Send a request to a live router; None where no answer came."""
        vms = list(self._deployment.routers_by_vm)
        port = self._deployment.caller_port(self._random.choice(vms))
        client = HttpClient(f"127.0.0.1:{port}", timeouts=Timeouts(0.5, 8.0, 4.0))
        headers = [
            ("Authorization", f"Bearer {caller_key(sent.account)}"),
            ("Idempotency-Key", sent.key),
        ]
        target = "/v1/chat/completions"
        value: dict[str, Any] = self._question(sent, stream=stream)
        if sent.service:
            target = self._deployment.shape.prefix
            value = {"ticket": sent.key}
        try:
            response = await client.request(
                "POST", target, headers=headers, body=json.dumps(value).encode()
            )
            body = await response.body()
        except ExchangeFailed:
            return None
        finally:
            client.close()
        wait = float(response.headers.get("retry-after", "0.2"))
        return Reply(response.status, body, min(wait, 0.5))

    def _question(self, sent: Sent, *, stream: bool) -> dict[str, Any]:
        message = {"role": "user", "content": f"Which road first? {sent.key}"}
        return {
            "model": MODEL,
            "messages": [message],
            "max_tokens": 64,
            "stream": stream,
        }

    def _take(self, sent: Sent, reply: Reply, *, stream: bool) -> bool:
        """Note a reply; return whether the caller is done."""
        sent.status = reply.status
        if reply.status == 200:
            whole, right = self._judge(sent, reply.body, stream=stream)
            if not whole:
                return False
            sent.outcome = "answered"
            sent.right = right
            return True
        sent.run = json.loads(reply.body).get("run", "")
        if reply.status in REFUSED_FOR_GOOD:
            sent.outcome = "refused"
            sent.false_refusal = self._budget_left(sent)
            return True
        return False

    def _judge(self, sent: Sent, body: bytes, *, stream: bool) -> tuple[bool, bool]:
        """Return whether an answer says that it is whole, and whether it is right."""
        if sent.service:
            path = str(json.loads(body)["path"])
            return True, path == self._deployment.shape.prefix
        expected = "".join(answer_tokens(self._question(sent, stream=stream)))
        if not stream:
            message = json.loads(body)["choices"][0]["message"]
            return True, str(message["content"]) == expected
        if not body.endswith(b"data: [DONE]\n\n"):
            return False, False
        text = ""
        for event in body.decode().split("\n\n"):
            data = event.removeprefix("data: ")
            if data in ("", "[DONE]"):
                continue
            for choice in json.loads(data)["choices"]:
                text += choice["delta"].get("content", "")
        return True, text == expected

    def _budget_left(self, sent: Sent) -> bool:
        """Return whether the budget, less what ran so far, covers a request."""
        if sent.status != 402:
            return True
        rows = self._deployment.table.store.rows_by_key
        paid = int(rows[BUDGET_PREFIX + sent.account]["paid"])
        return paid - served_by_account(self._deployment, self.sent)[sent.account] > 400


def served_by_account(deployment: Deployment, sent: list[Sent]) -> dict[str, int]:
    """Return the tokens that upstreams truly used, by account."""
    accounts = {item.request_id: item.account for item in sent}
    served = dict.fromkeys(deployment.shape.budgets, 0)
    for engine in deployment.engines_by_name.values():
        for record in engine.records():
            request_id = record["request_id"].partition(".")[0]
            served[accounts[request_id]] += record["total_tokens"]
    for service in deployment.services_by_name.values():
        for run in service.runs:
            served[accounts[run["request_id"]]] += 1
    return served


def measure(deployment: Deployment, sent: list[Sent]) -> dict[str, int]:
    """Return the counts of the last line."""
    charges = _rows(deployment, CHARGE_PREFIX)
    budgets = _rows(deployment, BUDGET_PREFIX)
    ran: dict[str, int] = {}
    for engine in deployment.engines_by_name.values():
        for record in engine.records():
            request_id = record["request_id"].partition(".")[0]
            ran[request_id] = ran.get(request_id, 0) + 1
    service_runs: dict[str, int] = {}
    for service in deployment.services_by_name.values():
        for run in service.runs:
            name = run["request_id"]
            service_runs[name] = service_runs.get(name, 0) + 1
    served = served_by_account(deployment, sent)
    overspend = 0
    for account, tokens in served.items():
        overspend += max(tokens - budgets[account]["paid"], 0)
    answered = [item for item in sent if item.outcome == "answered"]
    refused = [item for item in sent if item.outcome != "answered"]
    not_run_but_ran = 0
    for item in refused:
        has_run = item.request_id in ran or item.request_id in service_runs
        not_run_but_ran += item.run == Run.NOT_RUN.value and has_run
    everything = {*ran, *service_runs}
    charged = sum(budget["charged"] for budget in budgets.values())
    billed = sum(charge["tokens"] for charge in charges.values())
    return {
        "requests": len(sent),
        "answered": len(answered),
        "refused": len(refused),
        "false_refusals": sum(item.false_refusal for item in refused)
        + sum(item.outcome == "lost" for item in refused),
        "overspend_tokens": overspend,
        "billed_never": len(everything - set(charges)),
        "billed_twice": int(charged != billed),
        "wrong_or_partial_answers": sum(not item.right for item in answered),
        "run_twice": sum(count > 1 for count in service_runs.values()),
        "not_run_but_ran": not_run_but_ran,
    }


PROMISES = (
    "overspend_tokens",
    "billed_never",
    "billed_twice",
    "wrong_or_partial_answers",
    "run_twice",
    "not_run_but_ran",
)


def _rows(deployment: Deployment, prefix: str) -> dict[str, dict[str, Any]]:
    rows = deployment.table.store.rows_by_key.items()
    return {key[len(prefix) :]: row for key, row in rows if key.startswith(prefix)}


async def _operate(deployment: Deployment, vm: str, statement: str) -> dict[str, Any]:
    client = HttpClient(f"127.0.0.1:{deployment.caller_port(vm)}")
    headers = [("Authorization", f"Bearer {OPERATOR_KEY}")]
    _, answer = await client.post_json(
        "/v1/operator/commands", {"statement": statement}, headers=headers
    )
    client.close()
    found: dict[str, Any] = answer
    return found


def _amagumo() -> Shape:
    """Return Amagumo's deployment at today's size."""
    budgets = {f"crew-{index}": 40_000 for index in range(1, 8)}
    budgets.update({"road-1": 400_000, "road-2": 400_000, "coop": 6_000})
    return Shape(
        routers_by_data_centre={"kyu-a": 3, "kyu-b": 3, "kyu-c": 2},
        budgets=budgets,
        link_delay=0.0015,
    )


async def _play(deployment: Deployment, callers: Callers, rate: float) -> None:
    """Go through the scenes."""
    _say("all is well")
    await callers.run(SCENE_SECONDS, rate)
    _say("kyu-c is cut off; its account 'coop' is topped up there, twice")
    deployment.set_cut("kyu-c", True)
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    await asyncio.sleep(SCENE_SECONDS / 2)
    for _ in range(2):
        answer = await _operate(
            deployment, "kyu-c-1", "top up coop by 5000 as kyu-c:night-1"
        )
        _say(f"  {answer['state']}: {answer['detail']}")
    await scene
    _say("kyu-a-1 dies with open streams; the platform loses answers")
    deployment.table.faults.lose_answers = 0.2
    scene = asyncio.create_task(callers.run(SCENE_SECONDS, rate))
    await asyncio.sleep(SCENE_SECONDS / 3)
    await deployment.kill_router("kyu-a-1")
    await scene
    _say("the link heals, and kyu-a-1 is replaced")
    deployment.table.faults.lose_answers = 0.0
    deployment.set_cut("kyu-c", False)
    await deployment.start_router("kyu-a-1")
    await callers.run(SCENE_SECONDS, rate)


def _say(text: str) -> None:
    print(text, flush=True)


async def _settle(deployment: Deployment, seconds: float) -> None:
    """Wait until every charge is durable."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        nodes = [router.node for router in deployment.routers_by_vm.values()]
        if all(node.holder.idle and not node.book.copies_by_attempt for node in nodes):
            return
        await asyncio.sleep(0.1)
    _say("some charges are still on their way")


def _print_table(sent: list[Sent]) -> None:
    print(f"\n{'account':<10}{'requests':>10}{'answered':>10}{'refused':>10}")
    for account in sorted({item.account for item in sent}):
        mine = [item for item in sent if item.account == account]
        answered = sum(item.outcome == "answered" for item in mine)
        row = f"{account:<10}{len(mine):>10}{answered:>10}{len(mine) - answered:>10}"
        print(row)
    print()


async def _run(rate: float) -> int:
    deployment = Deployment(_amagumo())
    _say("starting three data centres with eight routers on stand-ins")
    await deployment.start()
    callers = Callers(deployment, random.Random(SEED))
    try:
        await _play(deployment, callers, rate)
        _say("waiting for the last charges")
        await _settle(deployment, 8.0)
        result = measure(deployment, callers.sent)
    finally:
        await deployment.stop()
    _print_table(callers.sent)
    print(json.dumps(result))
    return int(any(result[name] for name in PROMISES))


def run(*, rate: float = 40.0) -> None:
    """Run the demonstration.

    Parameters
    ----------
    rate
        Requests a second.
    """
    logging.set_verbosity(logging.ERROR)
    sys.exit(asyncio.run(_run(rate)))


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()

"""Faults of a stand-in, which can be read and changed over HTTP."""

from __future__ import annotations

import asyncio
import random

import attrs

from lynxchute.http import BadRequest, Request, Responder

FAULTS_PATH = "/faults"


@attrs.define
class Faults:
    """The faults that a stand-in injects at present.

    Attributes
    ----------
    outage
        Whether every request is answered 503 without taking effect.
    lose_answers
        Share of requests, 0 to 1, that take effect but get no answer.
    delay
        Seconds by which each request is delayed before it takes effect.
    break_streams
        Whether every open or new stream is aborted after its next event.
    seed
        Seed of the random choice of the answers that are lost.
    """

    outage: bool = False
    lose_answers: float = 0.0
    delay: float = 0.0
    break_streams: bool = False
    seed: int = 0
    _random: random.Random = attrs.field(
        init=False, factory=lambda: random.Random(0), repr=False
    )

    def change(self, values: dict[str, object]) -> None:
        """Set the given faults; reject unknown names and wrong types."""
        known = {field.name for field in attrs.fields(Faults)} - {"_random"}
        for name, value in values.items():
            if name not in known:
                raise BadRequest(422, f"no fault is called {name!r}")
            expected = type(getattr(self, name))
            if not isinstance(value, int | float):
                raise BadRequest(422, f"{name} takes a {expected.__name__}")
            setattr(self, name, expected(value))
        self._random = random.Random(self.seed)

    async def is_up_after_delay(self) -> bool:
        """Delay a request; return False in an outage."""
        if self.delay:
            await asyncio.sleep(self.delay)
        return not self.outage

    def should_lose_answer(self) -> bool:
        """Return whether to drop this request's answer, chosen at random."""
        return self.lose_answers > 0 and self._random.random() < self.lose_answers

    async def serve(self, request: Request, respond: Responder) -> None:
        """Return the faults as JSON; a POST changes them first."""
        if request.method == "POST":
            values = request.json()
            if not isinstance(values, dict):
                raise BadRequest(422, "faults are a JSON object")
            self.change(values)
        values_shown = attrs.asdict(
            self, filter=lambda field, _: field.name != "_random"
        )
        await respond.json(200, values_shown)

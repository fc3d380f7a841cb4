"""Faults that can be switched on in a stand-in, over HTTP."""

from __future__ import annotations

import asyncio
import random

import attrs

from lynxchute.http import BadRequest, Request, Responder

FAULTS_PATH = "/faults"


@attrs.define
class Faults:
    """What a stand-in does wrong at the moment.

    Attributes
    ----------
    outage
        Answer 503 and do nothing.
    lose_answers
        Share of requests, 0 to 1, that take effect but whose answer is lost.
    delay
        Seconds that each request waits before it takes effect.
    break_streams
        Cut every open and new stream after its next event.
    seed
        Seed of the choice which answers are lost.
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
        """Set the named faults; refuse unknown names and wrong types."""
        known = {field.name for field in attrs.fields(Faults)} - {"_random"}
        for name, value in values.items():
            if name not in known:
                raise BadRequest(422, f"no fault is called {name!r}")
            expected = type(getattr(self, name))
            if not isinstance(value, int | float):
                raise BadRequest(422, f"{name} takes a {expected.__name__}")
            setattr(self, name, expected(value))
        self._random = random.Random(self.seed)

    async def before(self) -> bool:
        """Wait out the delay; return whether the service is up."""
        if self.delay:
            await asyncio.sleep(self.delay)
        return not self.outage

    def loses_answer(self) -> bool:
        """Return whether this request's answer is to be lost."""
        return self.lose_answers > 0 and self._random.random() < self.lose_answers

    async def serve(self, request: Request, respond: Responder) -> None:
        """Show the faults, or change them with a POST."""
        if request.method == "POST":
            values = request.json()
            if not isinstance(values, dict):
                raise BadRequest(422, "faults are a JSON object")
            self.change(values)
        shown = attrs.asdict(self, filter=lambda field, _: field.name != "_random")
        await respond.json(200, shown)

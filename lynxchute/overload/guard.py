"""What a router can still serve in time, and what goes elsewhere."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

import attrs

from lynxchute.overload.load import IDLE_LOAD, Load, LoadSource
from lynxchute.overload.shares import AccountShares

# Seconds for which a VM is not ready at least: the balancer notices after two, and the
# connections that end after that find another VM.
SPELL_SECONDS = 3.0
# Seconds after which it is ready again, however full it is, and for how long then: what
# took its place may be as full by then.
LONGEST_SPELL = 8.0
REST_SECONDS = 4.0
# Seconds for which a request counts as one that was just asked: work that is done for
# nobody, as at a start, sends nobody elsewhere.
ASKED_SECONDS = 1.0
# Times its share of the objective that a request of an account within its share may
# wait: the account in excess goes first, and makes room.
WITHIN_SHARE_PATIENCE = 1.5


@attrs.frozen
class Limits:
    """How much of a resource is used before work goes elsewhere.

    Attributes
    ----------
    passes, brief_passes
        How often a request waits for the resource until its answer begins; and one that
        needs no place at an engine and no tokens.
    slow_share
        How many times its latency objective a request may wait for it. For the
        processor that is more than once: refusing takes a third of the work, and an
        answer that is late is worth more to a caller than two refusals.
    least_use
        Use below which nothing is over, whatever the delay: one long event is no load.
    shed_use, shed_delay
        Use and seconds of waiting from which on the VM is not ready: the balancer takes
        two seconds to notice, and a burst must not make callers late meanwhile.
    kept_use
        The use that open connections may make; those beyond end, so that callers find
        another VM with their next request.
    full_use, full_delay
        About which new connections are closed, as what is open would be late for them:
        none at half of it, each at one and a half.
    """

    waits_per_request: float
    brief_passes: float
    slow_share: float
    least_use: float
    shed_use: float
    shed_delay: float
    kept_use: float
    full_use: float
    full_delay: float


LINK_LIMITS = Limits(
    waits_per_request=1.0,
    brief_passes=1.0,
    slow_share=0.3,
    least_use=0.0,
    shed_use=0.7,
    shed_delay=0.2,
    kept_use=0.55,
    full_use=math.inf,
    full_delay=0.15,
)
PROCESSOR_LIMITS = Limits(
    waits_per_request=6.0,
    brief_passes=2.0,
    slow_share=3.0,
    least_use=0.6,
    shed_use=0.75,
    shed_delay=0.02,
    kept_use=0.8,
    full_use=math.inf,
    full_delay=0.02,
)
MEMORY_LIMITS = Limits(
    waits_per_request=1.0,
    brief_passes=1.0,
    slow_share=0.3,
    least_use=0.0,
    shed_use=0.7,
    shed_delay=math.inf,
    kept_use=0.55,
    full_use=0.85,
    full_delay=math.inf,
)


@attrs.frozen
class Resource:
    """A resource of the VM and its limits."""

    source: LoadSource
    limits: Limits

    @property
    def name(self) -> str:
        """Return the resource in one word."""
        return self.source.name

    def load(self) -> Load:
        """Return its load; odd figures count as none."""
        load = self.source.load()
        return Load(_sound(load.use), _sound(load.delay))

    def is_over(self, use: float, delay: float) -> bool:
        """Return whether as much is used, or waited for, as that."""
        load = self.load()
        if load.use < self.limits.least_use:
            return False
        return load.use >= use or load.delay >= delay

    def is_too_slow(self, objective: float, *, is_brief: bool) -> bool:
        """Return whether a request would wait too long for it, by its objective."""
        limits = self.limits
        waits_per_request = (
            limits.brief_passes if is_brief else limits.waits_per_request
        )
        return waits_per_request * self.load().delay > limits.slow_share * objective


class OverloadGuard:
    """Decide what a router serves, by the load of its resources.

    The load that it answers is one VM that gets more than it carries while others
    idle. Callers need an answer within their objective; where the VM cannot give it,
    they need to know at once, and another VM has time left for them.

    Parameters
    ----------
    resources
        What the VM has.
    clock
        Seconds on the steady clock.
    rng
        Picks the requests and connections that go elsewhere.
    shares
        Tells which accounts use more than their share; None where all count alike.
    """

    def __init__(
        self,
        resources: Sequence[Resource],
        clock: Callable[[], float],
        rng: random.Random,
        shares: AccountShares | None = None,
    ) -> None:
        self._shares = shares
        self._resources = resources
        self._clock = clock
        self._random = rng
        self._spell_began: float | None = None
        self._rests_until = -math.inf
        self._full = ""
        self._asked_at = -math.inf

    @property
    def full(self) -> str:
        """Return the resource that is full as of the last look, or an empty text."""
        return self._full

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should give new connections to this VM."""
        return self._spell_began is None

    def record_request(self, account: str) -> None:
        """Count a request that is served."""
        self._asked_at = self._clock()
        if self._shares is not None:
            self._shares.record_use(account, 1.0, self._asked_at)

    def poll(self) -> str:
        """Look at all resources; return the one for which a spell begins.

        In a spell the VM is not ready; an empty text where none begins.
        """
        self._full = self._find_full()
        now = self._clock()
        if self._spell_began is not None:
            passed = now - self._spell_began
            if passed < SPELL_SECONDS or self.sustainable_share() < 1.0:
                if passed < LONGEST_SPELL:
                    return ""
                self._rests_until = now + REST_SECONDS
            self._spell_began = None
            return ""
        if now < self._rests_until or now - self._asked_at > ASKED_SECONDS:
            return ""
        for resource in self._resources:
            limits = resource.limits
            if resource.is_over(limits.shed_use, limits.shed_delay):
                self._spell_began = now
                return resource.name
        return ""

    def _find_full(self) -> str:
        for resource in self._resources:
            limits = resource.limits
            if resource.is_over(limits.full_use, limits.full_delay):
                return resource.name
        return ""

    def closes_connection(self) -> bool:
        """Return whether a connection that has just come is closed.

        The more of them the longer new work waits: if all went until it waits no more,
        all that come next would be let in at once.
        """
        share = 0.0
        for resource in self._resources:
            load, limits = resource.load(), resource.limits
            if load.use < limits.least_use:
                continue
            share = max(share, _ramp(load.use, limits.full_use))
            share = max(share, _ramp(load.delay, limits.full_delay))
        return self._random.random() < share

    def sustainable_share(self) -> float:
        """Return the share of the present work that the VM can go on with."""
        kept = 1.0
        for resource in self._resources:
            use = resource.load().use
            if use > resource.limits.kept_use:
                kept = min(kept, resource.limits.kept_use / use)
        return kept

    def ends_connection(self, account: str = "") -> bool:
        """Return whether a connection ends with the answer that it gets now.

        It would come back while new ones are taken.
        """
        if self.is_ready and not self._full:
            return False
        return self._goes_elsewhere(account)

    def shed_reason(
        self, objective: float, account: str = "", *, is_brief: bool = False
    ) -> str:
        """Return the resource for which a request is refused, or an empty text.

        Parameters
        ----------
        objective
            Seconds within which its answer is on time.
        is_brief
            Whether it needs no place at an engine and no tokens.
        """
        found = self.shed_reason_for_all(objective, is_brief=is_brief)
        if found:
            return found
        for resource in self._resources:
            if not resource.is_too_slow(_objective(objective), is_brief=is_brief):
                continue
            if self._goes_elsewhere(account):
                return resource.name
        return ""

    def shed_reason_for_all(self, objective: float, *, is_brief: bool = False) -> str:
        """Return the resource for which a request is refused whoever sends it.

        That may be asked before the body is read.
        """
        patience = _objective(objective) * WITHIN_SHARE_PATIENCE
        for resource in self._resources:
            if resource.is_too_slow(patience, is_brief=is_brief):
                return resource.name
        return ""

    def loads(self) -> dict[str, Load]:
        """Return the load of each resource by its name."""
        return {resource.name: resource.load() for resource in self._resources}

    def load_of(self, name: str) -> Load:
        """Return the load of one resource."""
        return self.loads().get(name, IDLE_LOAD)

    def _goes_elsewhere(self, account: str) -> bool:
        """Return whether this one is of the share that is too much."""
        kept = self.sustainable_share()
        if kept >= 1.0:
            return False
        if self._shares is not None and account:
            excess = self._shares.excess(account, self._clock())
            kept = 1.0 / excess if excess > 1.0 else 1.0
        return self._random.random() >= kept


def _ramp(value: float, full: float) -> float:
    """Return 0 up to half of a limit, 1 from one and a half of it on."""
    if math.isinf(full):
        return 0.0
    return min(max(value / full - 0.5, 0.0), 1.0)


def _objective(seconds: float) -> float:
    """Return an objective; one that means nothing is none."""
    return seconds if seconds > 0.0 else math.inf


def _sound(value: float) -> float:
    """Return a figure that can be compared: not negative, and a number."""
    return max(value, 0.0) if value == value else 0.0

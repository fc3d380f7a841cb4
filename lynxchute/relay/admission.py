"""Decide which requests are served, on which route and for whom."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import Counter

from lynxchute.config import ClientAccount, Configuration, Route
from lynxchute.http import Responder
from lynxchute.relay.call import Call
from lynxchute.relay.exchange import Exchange, end_of
from lynxchute.relay.load import RouterLoad
from lynxchute.relay.refusal import Reason, Refusal

RETRY_UNCONFIGURED = 0.5
RETRY_STALE = 1.0
RETRY_TOO_MANY = 1.0
# Another router can serve the request at once.
RETRY_AFTER_OVERLOAD = 0.05


class ConfigurationSource(ABC):
    """Where the configuration in force comes from."""

    @property
    @abstractmethod
    def current(self) -> Configuration | None:
        """Return the newest known version; None where there is none yet."""

    @abstractmethod
    def unconfirmed_seconds(self) -> float:
        """Return the seconds since the store last answered."""

    @abstractmethod
    async def wait_loaded(self) -> None:
        """Wait for the first version, no longer than a start takes."""

    @abstractmethod
    async def confirm(self) -> bool:
        """Return whether the version is the newest, as of a moment ago."""


class Admission:
    """Find the route and the client account of each call.

    Parameters
    ----------
    source
        Where the configuration comes from.
    rng
        Splits the requests of a route over its services.
    load
        Says when requests are better served by another router.

    Attributes
    ----------
    stopping
        Whether nothing more is admitted.
    open_requests
        Admitted requests that have not ended.
    """

    def __init__(
        self, source: ConfigurationSource, rng: random.Random, load: RouterLoad
    ) -> None:
        self.stopping = False
        self._load = load
        self.open_requests = 0
        self._open_by_account: Counter[str] = Counter()
        self._source = source
        self._random = rng

    async def admit(self, call: Call, respond: Responder) -> Exchange:
        """Return the exchange for a call.

        Nobody is denied by a version that may be out of date: before it says
        that there is no such route or key, it makes sure that none was added.

        Raises
        ------
        Refusal
            Where it is not served.
        """
        if self.stopping:
            title = "This router is stopping. Send the request again."
            raise Refusal(Reason.STOPPING, title, retry_after=RETRY_UNCONFIGURED)
        if self._source.current is None:
            await self._source.wait_loaded()
        configuration = self._configuration()
        if _denial(configuration, call) is not None:
            if not await self._source.confirm():
                title = "This router has not heard from the store for a while."
                raise Refusal(Reason.STALE, title, retry_after=RETRY_STALE)
            configuration = self._configuration()
        denial = _denial(configuration, call)
        if denial is not None:
            raise denial
        route = configuration.find_route(call.host, call.request.path)
        assert route is not None
        account = None
        if not route.is_public:
            account = configuration.accounts_by_key.get(call.key)
        self._check_load(call, route, account, respond)
        if account is not None:
            self._count(configuration, account)
        self.open_requests += 1
        return Exchange(
            call=call,
            configuration=configuration,
            route=route,
            account=account,
            service=self._service(route),
            configuration_age=self._source.unconfirmed_seconds(),
            respond=respond,
            ends_at=end_of(call, route),
        )

    def record_end(self, exchange: Exchange) -> None:
        """Note that an admitted request has ended."""
        self.open_requests -= 1
        if exchange.account is None:
            return
        name = exchange.account.name
        self._open_by_account[name] -= 1
        if not self._open_by_account[name]:
            del self._open_by_account[name]

    def _configuration(self) -> Configuration:
        configuration = self._source.current
        if configuration is None:
            title = "This router has no configuration yet. Send it again soon."
            raise Refusal(Reason.NOT_CONFIGURED, title, retry_after=RETRY_UNCONFIGURED)
        return configuration

    def _check_load(
        self,
        call: Call,
        route: Route,
        account: ClientAccount | None,
        respond: Responder,
    ) -> None:
        """Send callers elsewhere while this router would serve them late."""
        name = account.name if account is not None else ""
        full = self._load.shed_reason(
            route.latency_objective, name, is_brief=call.generation is None
        )
        if full:
            respond.closing = True
            raise Refusal(
                Reason.OVERLOADED,
                f"This router's {full} is full. Send the request to another one.",
                retry_after=RETRY_AFTER_OVERLOAD,
                route=route.name,
                account=name,
            )
        self._load.note_admitted(name)
        if self._load.ends_connection(name):
            respond.closing = True

    def _count(self, configuration: Configuration, account: ClientAccount) -> None:
        """Count a request of an account, if it may have one more open."""
        most = configuration.limits.max_open_per_account
        if most and self._open_by_account[account.name] >= most:
            title = "This client account has too many requests open."
            raise Refusal(Reason.TOO_MANY, title, retry_after=RETRY_TOO_MANY)
        self._open_by_account[account.name] += 1

    def _service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._random.choices(route.targets, weights)[0].service


def _denial(configuration: Configuration, call: Call) -> Refusal | None:
    """Return why a configuration does not allow a call; None where it does."""
    route = configuration.find_route(call.host, call.request.path)
    if route is None:
        title = f"No route leads to {call.host}{call.request.path}."
        return Refusal(Reason.NO_ROUTE, title)
    if route.is_public or not configuration.checks_keys:
        return None
    if call.key not in configuration.accounts_by_key:
        return Refusal(Reason.BAD_KEY, "No client account has this API key.")
    return None

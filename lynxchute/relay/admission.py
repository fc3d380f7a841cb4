"""Admit requests: match the route, check the API key and enforce load limits."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import Counter

from lynxchute.config import ClientAccount, Configuration, Route
from lynxchute.http import Responder
from lynxchute.relay.call import Call
from lynxchute.relay.exchange import Exchange, deadline_for
from lynxchute.relay.load import RouterLoad
from lynxchute.relay.refusal import Reason, Refusal

RETRY_AFTER_UNCONFIGURED = 0.5
RETRY_AFTER_STALE = 1.0
RETRY_AFTER_TOO_MANY = 1.0
# Another router can serve the request immediately.
RETRY_AFTER_OVERLOAD = 0.05


class ConfigurationSource(ABC):
    """Source of the active configuration."""

    @property
    @abstractmethod
    def current(self) -> Configuration | None:
        """Return the newest known version, or None if none was received yet."""

    @abstractmethod
    def unconfirmed_seconds(self) -> float:
        """Return the seconds since the store last confirmed the version."""

    @abstractmethod
    async def wait_loaded(self) -> None:
        """Wait for the first version, for at most as long as a start may take."""

    @abstractmethod
    async def confirm_current(self) -> bool:
        """Return whether the store has just confirmed the version as the newest one."""


class Admission:
    """Resolve the route and client account of each call.

    Parameters
    ----------
    source
        Provides the configuration.
    rng
        Splits the requests of a route over its services by weight.
    load
        Reports when callers should use another router instead.

    Attributes
    ----------
    stopping
        Whether new requests are refused because the router is stopping.
    open_requests
        Number of admitted requests that have not ended.
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

        A call is refused for an unknown route or key only after the store has confirmed
        that the configuration is current: a newer version may have added it.

        Raises
        ------
        Refusal
            If the call is not admitted.
        """
        if self.stopping:
            title = "This router is stopping. Send the request again."
            raise Refusal(Reason.STOPPING, title, retry_after=RETRY_AFTER_UNCONFIGURED)
        if self._source.current is None:
            await self._source.wait_loaded()
        configuration = self._configuration()
        if _denial(configuration, call) is not None:
            if not await self._source.confirm_current():
                title = "This router has not heard from the store for a while."
                raise Refusal(Reason.STALE, title, retry_after=RETRY_AFTER_STALE)
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
            self._count_open(configuration, account)
        self.open_requests += 1
        return Exchange(
            call=call,
            configuration=configuration,
            route=route,
            account=account,
            service=self._pick_service(route),
            configuration_age=self._source.unconfirmed_seconds(),
            respond=respond,
            deadline=deadline_for(call, route),
        )

    def record_end(self, exchange: Exchange) -> None:
        """Stop counting an admitted request that has ended."""
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
            raise Refusal(
                Reason.NOT_CONFIGURED, title, retry_after=RETRY_AFTER_UNCONFIGURED
            )
        return configuration

    def _check_load(
        self,
        call: Call,
        route: Route,
        account: ClientAccount | None,
        respond: Responder,
    ) -> None:
        """Refuse a call if this router is too loaded to answer it in time."""
        name = account.name if account is not None else ""
        resource = self._load.shed_reason(
            route.latency_objective, name, is_plain_call=call.generation is None
        )
        if resource:
            respond.close_after_response = True
            raise Refusal(
                Reason.OVERLOADED,
                f"This router's {resource} is full. Send the request to another one.",
                retry_after=RETRY_AFTER_OVERLOAD,
                route=route.name,
                account=name,
            )
        self._load.record_admitted(name)
        if self._load.closes_after_response(name):
            respond.close_after_response = True

    def _count_open(self, configuration: Configuration, account: ClientAccount) -> None:
        """Count an open request of an account, or refuse it at the account's limit."""
        limit = configuration.limits.max_open_per_account
        if limit and self._open_by_account[account.name] >= limit:
            title = "This client account has too many requests open."
            raise Refusal(Reason.TOO_MANY, title, retry_after=RETRY_AFTER_TOO_MANY)
        self._open_by_account[account.name] += 1

    def _pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._random.choices(route.targets, weights)[0].service


def _denial(configuration: Configuration, call: Call) -> Refusal | None:
    """Return the refusal that applies to a call, or None if the call is allowed."""
    route = configuration.find_route(call.host, call.request.path)
    if route is None:
        title = f"No route leads to {call.host}{call.request.path}."
        return Refusal(Reason.NO_ROUTE, title)
    if route.is_public or not configuration.is_key_required:
        return None
    if call.key not in configuration.accounts_by_key:
        return Refusal(Reason.BAD_KEY, "No client account has this API key.")
    return None

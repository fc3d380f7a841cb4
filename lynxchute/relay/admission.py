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

# A configuration that the store has not confirmed for this long may lack a
# route or key that is there by now: feeds hear from the store every two
# seconds at least.
STALE_AFTER = 3.5
RETRY_UNCONFIGURED = 0.5
RETRY_STALE = 1.0
RETRY_TOO_MANY = 1.0
# Another router can serve the request at once.
RETRY_ELSEWHERE = 0.05


class ConfigurationSource(ABC):
    """Where the configuration in force comes from."""

    @property
    @abstractmethod
    def current(self) -> Configuration | None:
        """Return the newest known version; None where there is none yet."""

    @abstractmethod
    def unconfirmed_for(self) -> float:
        """Return the seconds since the store last confirmed the version."""


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

    def admit(self, call: Call, respond: Responder) -> Exchange:
        """Return the exchange for a call.

        Raises
        ------
        Refusal
            Where it is not served.
        """
        if self.stopping:
            title = "This router is stopping. Send the request again."
            raise Refusal(Reason.STOPPING, title, retry_after=RETRY_UNCONFIGURED)
        configuration = self._source.current
        if configuration is None:
            title = "This router has no configuration yet. Send it again soon."
            raise Refusal(Reason.NOT_CONFIGURED, title, retry_after=RETRY_UNCONFIGURED)
        route = self._route(configuration, call)
        self._check_load(route, respond)
        account = self._account(configuration, route, call)
        if account is not None:
            self._count(configuration, account)
        self.open_requests += 1
        return Exchange(
            call=call,
            configuration=configuration,
            route=route,
            account=account,
            service=self._service(route),
            configuration_age=self._source.unconfirmed_for(),
            respond=respond,
            ends_at=end_of(call, route),
        )

    def note_ended(self, exchange: Exchange) -> None:
        """Note that an admitted request has ended."""
        self.open_requests -= 1
        if exchange.account is None:
            return
        name = exchange.account.name
        self._open_by_account[name] -= 1
        if not self._open_by_account[name]:
            del self._open_by_account[name]

    def _check_load(self, route: Route, respond: Responder) -> None:
        """Send callers elsewhere while this router would serve them late."""
        if self._load.is_too_slow(route.latency_objective):
            respond.closing = True
            title = "This router's link is full. Send the request to another one."
            raise Refusal(Reason.OVERLOADED, title, retry_after=RETRY_ELSEWHERE)
        if self._load.is_shedding:
            respond.closing = True

    def _count(self, configuration: Configuration, account: ClientAccount) -> None:
        """Count a request of an account, if it may have one more open."""
        most = configuration.limits.max_open_per_account
        if most and self._open_by_account[account.name] >= most:
            title = "This client account has too many requests open."
            raise Refusal(Reason.TOO_MANY, title, retry_after=RETRY_TOO_MANY)
        self._open_by_account[account.name] += 1

    def _route(self, configuration: Configuration, call: Call) -> Route:
        route = configuration.find_route(call.host, call.request.path)
        if route is not None:
            return route
        self._refuse_if_stale()
        title = f"No route leads to {call.host}{call.request.path}."
        raise Refusal(Reason.NO_ROUTE, title)

    def _account(
        self, configuration: Configuration, route: Route, call: Call
    ) -> ClientAccount | None:
        if route.is_public or not configuration.checks_keys:
            return None
        account = configuration.accounts_by_key.get(call.key)
        if account is not None:
            return account
        self._refuse_if_stale()
        raise Refusal(Reason.BAD_KEY, "No client account has this API key.")

    def _refuse_if_stale(self) -> None:
        """Refuse to judge by a configuration that may be out of date."""
        if self._source.unconfirmed_for() < STALE_AFTER:
            return
        title = "This router has not heard from the store for a while."
        raise Refusal(Reason.STALE, title, retry_after=RETRY_STALE)

    def _service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._random.choices(route.targets, weights)[0].service

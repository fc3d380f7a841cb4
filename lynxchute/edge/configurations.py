"""Keep the newest configuration in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.application import Component
from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.edge.platform import Platform
from lynxchute.relay.admission import ConfigurationSource
from lynxchute.store import Row, TableFeed
from lynxchute.store.feed import FeedTimes
from lynxchute.store.row_value import RowValue, RowValueError
from lynxchute.telemetry import log_event
from lynxchute.upstreams.evacuations import Evacuations

# Share of the time within which a new version must be in force for which the store
# may hold a question back. A connection that has gone silent is noticed a second after
# that.
WAIT_SHARE = 0.45
# What the store said within this share of the bound is still good to deny by; so a
# crowd of strangers costs two short questions a bound at most.
CONFIRM_SHARE = 0.5
# Seconds for which no second list is asked for: one holds 60 KB and more, a tenth of a
# second of a link of 5 Mbit/s. With four lists a bound instead, 86 routers told 1,700
# requests of one minute to come back, since their lists came too late.
LIST_SECONDS = 60.0
# Seconds that a caller waits for that: a hundred times what the store takes, and
# twice what it takes through another router.
CONFIRM_SECONDS = 0.5

# Seconds after the start of a router until callers are no longer kept for its first
# version: the store answers within 0.1 s, and half a second on a VM of an eighth of a
# core; who has to come back instead is late.
ARRIVAL_SECONDS = 0.5


class Configurations(ConfigurationSource, Component):
    """Follow the operator's configuration; its version only grows.

    Parameters
    ----------
    platform
        Where it stands.
    evacuations
        Is told of the orders that stand beside it.
    bound
        Seconds within which a new version must be in force.

    Attributes
    ----------
    listeners
        Called with each new version after it is in force.
    """

    def __init__(
        self, platform: Platform, evacuations: Evacuations, *, bound: float
    ) -> None:
        self.listeners: list[Callable[[Configuration], None]] = []
        self.feed = TableFeed(
            platform.store,
            platform.configuration_table,
            times=FeedTimes(wait=bound * WAIT_SHARE),
            on_row=self._take,
        )
        self._bound = bound
        self._evacuations = evacuations
        self._evacuation_prefix = platform.evacuation_prefix
        self._key = platform.configuration_key
        self._decode = platform.decode_configuration
        self._current: Configuration | None = None
        self._arrived = asyncio.Event()
        self._started_at = float("-inf")

    @property
    def current(self) -> Configuration | None:
        """Return the newest known version; None where there is none yet."""
        return self._current

    def unconfirmed_seconds(self) -> float:
        """Return the seconds since the store last confirmed the version."""
        return self.feed.seconds_since_answer(steady_seconds())

    async def wait_loaded(self) -> None:
        """Wait for the first version, no longer than a start takes."""
        left = self._started_at + ARRIVAL_SECONDS - steady_seconds()
        try:
            async with asyncio.timeout(max(left, 0.0)):
                await self._arrived.wait()
        except TimeoutError:
            # The store is away; whoever waited is told to come back.
            return

    async def ensure_current(self) -> bool:
        """Return whether the version is the newest, as of a moment ago."""
        return await self.feed.ensure_current(
            within=self._bound * CONFIRM_SHARE,
            max_list_age=LIST_SECONDS,
            patience=CONFIRM_SECONDS,
        )

    async def start(self) -> None:
        """Begin to follow."""
        self._started_at = steady_seconds()
        await self.feed.start()

    async def stop(self) -> None:
        """Stop following."""
        await self.feed.stop()

    def _take(self, row: Row) -> None:
        if row.id.key.startswith(self._evacuation_prefix):
            self._take_evacuation(row)
            return
        if row.id.key != self._key or row.deleted:
            return
        self._take_version(row)

    def _take_evacuation(self, row: Row) -> None:
        """Take an order to evacuate a data centre, or that it no longer stands.

        A configuration of the same page admits nobody before its other rows are
        taken, since they are taken without a pause.
        """
        data_centre = row.id.key.removeprefix(self._evacuation_prefix)
        if row.deleted:
            is_news = self._evacuations.revoke(data_centre, row.version)
        else:
            now = steady_seconds()
            is_news = self._evacuations.order(data_centre, row.version, now)
        if not is_news:
            return
        log_event(
            "data centre evacuation revoked"
            if row.deleted
            else "data centre evacuated",
            data_centre=data_centre,
            row_version=row.version,
            is_understood=row.deleted or _is_object(row.value),
        )

    def _take_version(self, row: Row) -> None:
        result = self._decode(row.value)
        if result.is_error():
            log_event(
                "configuration cannot be decoded",
                row_version=row.version,
                problem=result.error,
                kept=self._current.version if self._current else None,
            )
            return
        configuration = result.ok
        before = self._current.version if self._current else 0
        if configuration.version <= before:
            log_event(
                "older configuration ignored",
                version=configuration.version,
                kept=before,
            )
            return
        self._current = configuration
        self._arrived.set()
        log_event(
            "configuration in force",
            version=configuration.version,
            before=before,
            row_version=row.version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts_by_name),
        )
        for listener in self.listeners:
            listener(configuration)


def _is_object(value: bytes) -> bool:
    """Return whether an order's row can be read; it counts either way."""
    try:
        RowValue.decode(value)
    except RowValueError:
        return False
    return True

"""Follow the operator's configuration in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxchute.application import Component
from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.edge.platform import Platform
from lynxchute.listeners import LogLimit, notify
from lynxchute.relay.admission import ConfigurationSource
from lynxchute.store import Row, TableFeed
from lynxchute.store.feed import FeedTimes
from lynxchute.store.row_value import RowValue, RowValueError
from lynxchute.telemetry import log_event
from lynxchute.upstreams.evacuations import Evacuations

# Long-poll timeout as a fraction of the time within which a new version must be in
# effect. A dead connection is detected one second after that timeout.
LONG_POLL_SHARE = 0.45
# A request may be refused without another query if the last confirmation is at most
# this old, as a fraction of the bound. So unknown callers cause at most two short
# queries per bound, however many requests they send.
CONFIRMATION_AGE_SHARE = 0.5
# Minimum seconds between two listings of the whole table. A listing has 60 KB or more
# and takes 0.1 s on a link of 5 Mbit/s. With four listings per bound, they arrived too
# late: 86 routers refused 1,700 requests in one minute and told callers to retry.
MIN_LIST_INTERVAL_SECONDS = 60.0
# Seconds that a request waits for a confirmation: 100 times the store's usual response
# time, and twice its response time through another router.
CONFIRM_TIMEOUT_SECONDS = 0.5

# Seconds after the start during which requests wait for the first version, since a
# refused request is late when it is retried. The store answers within 0.1 s, or 0.5 s
# on a VM with an eighth of a core.
FIRST_LOAD_TIMEOUT_SECONDS = 0.5


class Configurations(ConfigurationSource, Component):
    """Copy of the operator's configuration; its version only increases.

    Parameters
    ----------
    platform
        Services of the platform, and the table and key of the configuration.
    evacuations
        Receives the evacuation orders, which are rows of the same table.
    bound
        Seconds within which a new version must be in effect.

    Attributes
    ----------
    listeners
        Called with each new version after it has come into force.
    restore_listeners
        Called after the table has been listed from a store that came back from a copy.
    """

    def __init__(
        self, platform: Platform, evacuations: Evacuations, *, bound: float
    ) -> None:
        self.listeners: list[Callable[[Configuration], None]] = []
        self.restore_listeners: list[Callable[[], None]] = []
        self.feed = TableFeed(
            platform.store,
            platform.configuration_table,
            times=FeedTimes(wait=bound * LONG_POLL_SHARE),
            on_row=self._handle_row,
            on_restore=lambda: notify(self.restore_listeners),
        )
        self._log_limit = LogLimit()
        self._bound = bound
        self._evacuations = evacuations
        self._evacuation_prefix = platform.evacuation_prefix
        self._key = platform.configuration_key
        self._decode = platform.decode_configuration
        self._current: Configuration | None = None
        self._loaded = asyncio.Event()
        self._started_at = float("-inf")

    @property
    def current(self) -> Configuration | None:
        """Return the newest known version, or None before the first one."""
        return self._current

    def unconfirmed_seconds(self) -> float:
        """Return the seconds since the store last confirmed the version."""
        return self.feed.seconds_since_read(steady_seconds())

    async def wait_loaded(self) -> None:
        """Wait for the first version until the start-up timeout."""
        remaining = self._started_at + FIRST_LOAD_TIMEOUT_SECONDS - steady_seconds()
        try:
            async with asyncio.timeout(max(remaining, 0.0)):
                await self._loaded.wait()
        except TimeoutError:
            # The store is unavailable; the request is refused and may be retried.
            return

    async def confirm_current(self) -> bool:
        """Return whether the store has recently confirmed the version as the newest."""
        return await self.feed.confirm_current(
            within=self._bound * CONFIRMATION_AGE_SHARE,
            max_list_age=MIN_LIST_INTERVAL_SECONDS,
            patience=CONFIRM_TIMEOUT_SECONDS,
        )

    async def start(self) -> None:
        """Start following the table."""
        self._started_at = steady_seconds()
        await self.feed.start()

    async def stop(self) -> None:
        """Stop following the table."""
        await self.feed.stop()

    def _handle_row(self, row: Row) -> None:
        if row.id.key.startswith(self._evacuation_prefix):
            self._handle_evacuation(row)
            return
        if row.id.key != self._key or row.deleted:
            return
        self._handle_version(row)

    def _handle_evacuation(self, row: Row) -> None:
        """Apply an evacuation order for a data centre, or its revocation.

        The rows of one batch are handled without yielding to the event loop, so no
        request is admitted by a new configuration before the evacuation orders of the
        same batch apply.
        """
        data_centre = row.id.key.removeprefix(self._evacuation_prefix)
        if row.deleted:
            is_change = self._evacuations.revoke(data_centre, row.version)
        else:
            now = steady_seconds()
            is_change = self._evacuations.order(data_centre, row.version, now)
        if not is_change:
            return
        log_event(
            "data centre evacuation revoked"
            if row.deleted
            else "data centre evacuated",
            data_centre=data_centre,
            row_version=row.version,
            is_understood=row.deleted or _is_readable(row.value),
        )

    def _handle_version(self, row: Row) -> None:
        result = self._decode(row.value)
        if result.is_error():
            self._log_invalid(row, result.error)
            return
        configuration = result.ok
        previous_version = self._current.version if self._current else 0
        if configuration.version <= previous_version:
            log_event(
                "older configuration ignored",
                version=configuration.version,
                kept=previous_version,
            )
            return
        self._current = configuration
        self._loaded.set()
        log_event(
            "configuration in force",
            version=configuration.version,
            before=previous_version,
            row_version=row.version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts_by_name),
        )
        notify(self.listeners, configuration)

    def _log_invalid(self, row: Row, problem: str) -> None:
        if not self._log_limit.allows():
            return
        log_event(
            "configuration cannot be decoded",
            row_version=row.version,
            problem=problem,
            kept=self._current.version if self._current else None,
        )


def _is_readable(value: bytes) -> bool:
    """Return whether an order's row can be decoded; it takes effect either way."""
    try:
        RowValue.decode(value)
    except RowValueError:
        return False
    return True

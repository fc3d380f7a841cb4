"""What a router is given by the platform that it runs on."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from expression import Result

from lynxchute.config import Configuration
from lynxchute.http import ClientPool
from lynxchute.relay.dialect import Dialect
from lynxchute.store import Row, Store
from lynxchute.upstreams.engines import EngineClient
from lynxchute.upstreams.upstream import Upstream


@attrs.frozen
class Platform:
    """The services of a platform, and how to read what stands there.

    Attributes
    ----------
    configuration_table, configuration_key
        Where the operator keeps the newest configuration.
    evacuation_prefix
        What the keys of the rows in that table begin with which each name a data
        centre that is to get nothing new, whatever stands in them.
    upstream_table
        Where upstreams tell of themselves, a row each.
    make_engines
        Returns what asks model engines over given connections.
    """

    store: Store
    dialect: Dialect
    configuration_table: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Result[Configuration, str]]
    evacuation_prefix: str
    upstream_table: str
    decode_upstream: Callable[[Row], Result[Upstream, str]]
    readiness_path: str
    make_engines: Callable[[ClientPool], EngineClient]

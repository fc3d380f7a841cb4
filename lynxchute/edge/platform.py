"""Services and conventions of the platform that a router runs on."""

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
    """Services of a platform, and decoders of its stored rows.

    Attributes
    ----------
    configuration_table, configuration_key
        Table and key of the row with the operator's newest configuration.
    decode_configuration
        Decodes the value of that row.
    evacuation_prefix
        Key prefix of evacuation orders in that table. The rest of the key is the data
        centre's name; the order holds even if the value cannot be decoded.
    upstream_table
        Table in which each upstream registers with one row.
    decode_upstream
        Decodes a row of that table.
    readiness_path
        Path of the readiness endpoint.
    make_engines
        Returns a client for model engines that uses the given connection pool.
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

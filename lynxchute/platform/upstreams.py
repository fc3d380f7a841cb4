"""Decode the rows with which upstreams register themselves in the store."""

from __future__ import annotations

from expression import Error, Ok, Result

from lynxchute.address import Address
from lynxchute.platform import names
from lynxchute.store import Row
from lynxchute.store.row_value import RowValue
from lynxchute.upstreams.upstream import Upstream

READY = "ready"


def decode_upstream(row: Row) -> Result[Upstream, str]:
    """Return the upstream in a row, or an error that says why it is invalid."""
    try:
        return Ok(_upstream(row.id.key, RowValue.decode(row.value)))
    except ValueError as error:
        return Error(f"the upstream {row.id.key} cannot be read: {error}")


def _upstream(upstream_id: str, value: RowValue) -> Upstream:
    address = Address.parse(value.text("address"))
    if not address.port:
        raise ValueError("nobody listens at port 0")
    # Every valid upstream row has this field. The router does not use it; the lookup
    # raises if it is missing or has the wrong type.
    value.count("sequence")
    return Upstream(
        # Only the row's key holds the id. A restarted process may reuse its old id; the
        # start time tells the two processes apart.
        id=upstream_id,
        service=value.text("service"),
        address=str(address),
        data_centre=value.text("zone"),
        # In any state but "ready" an upstream accepts no new requests.
        is_leaving=value.text("state") != READY,
        slots=value.count("slots", least=1),
        warm_up=value.number(names.COLD_REMAINING_FIELD) / 1000.0,
        started_ms=value.count(names.START_TIME_FIELD, default=None),
        software_version=value.text("version"),
    )

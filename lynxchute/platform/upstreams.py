"""Decode the entries that upstreams write about themselves."""

from __future__ import annotations

from expression import Error, Ok, Result

from lynxchute.address import Address
from lynxchute.platform import names
from lynxchute.store import Row
from lynxchute.store.row_value import RowValue
from lynxchute.upstreams.upstream import Upstream

READY = "ready"


def decode_upstream(row: Row) -> Result[Upstream, str]:
    """Return the upstream of a row, or what is wrong with the row."""
    try:
        return Ok(_upstream(row.id.key, RowValue.decode(row.value)))
    except ValueError as error:
        return Error(f"the upstream {row.id.key} cannot be read: {error}")


def _upstream(upstream_id: str, value: RowValue) -> Upstream:
    address = Address.parse(value.text("address"))
    if not address.port:
        raise ValueError("nobody listens at port 0")
    # Not used here, but an entry without them is no upstream's.
    value.text("version")
    value.count("sequence")
    return Upstream(
        # The id stands only in the row's key. A process that starts again may have
        # the one that it had before; its start tells the two apart.
        id=upstream_id,
        service=value.text("service"),
        address=str(address),
        data_centre=value.text("zone"),
        # Any other state takes no new work.
        is_leaving=value.text("state") != READY,
        slots=value.count("slots", least=1),
        warm_up=value.number(names.COLD_REMAINING) / 1000.0,
        started_ms=value.count(names.STARTED, default=None),
    )

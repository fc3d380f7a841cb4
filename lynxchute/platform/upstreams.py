"""Decode the entries that upstreams write about themselves."""

from __future__ import annotations

import json

from expression import Error, Ok, Result

from lynxchute.store import Row
from lynxchute.upstreams.upstream import Upstream

READY = "ready"


def decode_upstream(row: Row) -> Result[Upstream, str]:
    """Return the upstream of a row, or what is wrong with the row."""
    try:
        item = json.loads(row.value)
        upstream = Upstream(
            # The id stands only in the row's key; it names one start of a
            # process, not a VM.
            id=row.id.key,
            service=item["service"],
            address=item["address"],
            data_centre=item["zone"],
            # Any other state takes no new work.
            is_leaving=item.get("state") != READY,
            slots=int(item.get("slots") or 1),
            warm_up=float(item.get("cold_remaining_ms") or 0) / 1000.0,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Error(f"the upstream {row.id.key} cannot be read: {error!r}")
    return Ok(upstream)

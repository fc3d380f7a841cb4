"""The statements of the operators' language."""

from __future__ import annotations

import attrs

Value = int | str


@attrs.frozen
class Condition:
    """A comparison of a column with a value.

    Attributes
    ----------
    comparison
        One of ``= != < <= > >=``, or ``~`` for "contains".
    """

    column: str
    comparison: str
    value: Value


@attrs.frozen
class Show:
    """Query a collection.

    Attributes
    ----------
    group
        Columns by which the number columns are summed.
    order
        The column to sort by; empty for none.
    """

    collection: str
    where: tuple[Condition, ...] = ()
    group: tuple[str, ...] = ()
    order: str = ""
    descending: bool = False
    limit: int | None = None


@attrs.frozen
class TopUpStatement:
    """Credit a client account."""

    account: str
    tokens: int
    operation: str = ""


@attrs.frozen
class SetDraining:
    """Drain a VM or an upstream, or undo that."""

    kind: str
    name: str
    draining: bool
    operation: str = ""


@attrs.frozen
class CreateAccount:
    """Create a client account, or add a key to it."""

    account: str
    key_hash: str
    operation: str = ""


@attrs.frozen
class DropAccount:
    """Remove a client account from the configuration."""

    account: str
    operation: str = ""


@attrs.frozen
class SetService:
    """Say which service an upstream belongs to."""

    upstream: str
    service: str
    operation: str = ""


@attrs.frozen
class SetWeight:
    """Say how large a client account's share is where callers compete."""

    account: str
    weight: int
    operation: str = ""


@attrs.frozen
class Release:
    """Send a request in quarantine to upstreams again.

    Attributes
    ----------
    content
        Names what it asks for, as the logs do.
    """

    content: str


@attrs.frozen
class Evacuate:
    """Send nothing new to the upstreams of a data centre.

    Attributes
    ----------
    is_certain
        Whether it may be the last one that is left.
    """

    data_centre: str
    is_certain: bool = False


@attrs.frozen
class TakeBack:
    """Use an evacuated data centre again."""

    data_centre: str


@attrs.frozen
class Compare:
    """Compare two versions of the configuration."""

    first: int
    second: int


Command = (
    TopUpStatement | SetDraining | CreateAccount | DropAccount | SetService | SetWeight
)
Statement = Show | Compare | Release | Evacuate | TakeBack | Command

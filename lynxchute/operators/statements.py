"""Syntax tree of the operators' language, one class per kind of statement."""

from __future__ import annotations

import attrs

Value = int | str


@attrs.frozen
class Condition:
    """A filter that compares a column with a value.

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
    """Query the rows of a collection.

    Attributes
    ----------
    group
        Columns to group by; integer columns are summed per group.
    order
        Column to sort by; empty for no sorting.
    """

    collection: str
    where: tuple[Condition, ...] = ()
    group: tuple[str, ...] = ()
    order: str = ""
    descending: bool = False
    limit: int | None = None


@attrs.frozen
class TopUpStatement:
    """Add tokens to the prepaid budget of a client account."""

    account: str
    tokens: int
    operation: str = ""


@attrs.frozen
class SetDraining:
    """Start or stop draining a VM or an upstream."""

    kind: str
    name: str
    draining: bool
    operation: str = ""


@attrs.frozen
class CreateAccount:
    """Create a client account, or add a key to an existing one."""

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
    """Move an upstream to another service."""

    upstream: str
    service: str
    operation: str = ""


@attrs.frozen
class SetWeight:
    """Set the weight by which a client account shares capacity under contention."""

    account: str
    weight: int
    operation: str = ""


@attrs.frozen
class Release:
    """Release a request from quarantine, so that it is sent to upstreams again.

    Attributes
    ----------
    content
        Identifier of the request's content, as it appears in the logs.
    """

    content: str


@attrs.frozen
class ReleasePart:
    """Release a prompt part from quarantine, alone or with the parts it stands with.

    Attributes
    ----------
    part
        Id of the part, in any letter case.
    """

    part: str


@attrs.frozen
class Evacuate:
    """Stop sending new requests to the upstreams of a data centre.

    Attributes
    ----------
    is_forced
        Whether to evacuate it even if it is the last data centre in use.
    """

    data_centre: str
    is_forced: bool = False


@attrs.frozen
class RevokeEvacuation:
    """Revoke an evacuation, so that the data centre is used again."""

    data_centre: str


@attrs.frozen
class Compare:
    """Compare two versions of the configuration."""

    first: int
    second: int


Command = (
    TopUpStatement | SetDraining | CreateAccount | DropAccount | SetService | SetWeight
)
Statement = (
    Show | Compare | Release | ReleasePart | Evacuate | RevokeEvacuation | Command
)

"""Versioned history of the fleet's configuration in the store."""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from lynxchute.config.document import FleetDocument, Version
from lynxchute.store import (
    Committed,
    Expected,
    Outcome,
    OutcomeUnknown,
    Put,
    Row,
    RowId,
    Snapshot,
    Store,
    StoreRefused,
    StoreUnavailable,
    Write,
)
from lynxchute.store.rows import ABSENT
from lynxchute.telemetry import log_event

# Row of the current version, which all routers apply.
CURRENT_TABLE = "configuration"
CURRENT_KEY = "current"
# One row per version, keyed by its number.
VERSIONS_TABLE = "configuration-versions"
VERSION_DIGITS = 9
# Completed operations, keyed by id, so that a retry is idempotent.
OPERATIONS_TABLE = "operations"
FIRST_VERSION = 1
# Attempts per change. Each conflict means that another change was committed.
MAX_ATTEMPTS = 8

Change = Callable[[FleetDocument], Result[FleetDocument, str]]


@attrs.frozen
class ChangeRequest:
    """A change of the configuration requested by an operator.

    Attributes
    ----------
    operation
        Idempotency key: requests with the same id are applied once.
    text
        The statement in the operators' language.
    """

    operation: str
    operator: str
    text: str


@attrs.frozen
class Accepted:
    """A change that was committed as a new version.

    Attributes
    ----------
    version
        Number of that version.
    is_repeated
        Whether an earlier request with the same id had made the change already.
    preceding_operations
        Ids of other changes that were committed first, while this one was retried.
    """

    version: int
    is_repeated: bool = False
    preceding_operations: tuple[str, ...] = ()


@attrs.frozen
class Refused:
    """A change that was rejected, or whose outcome is unknown.

    Attributes
    ----------
    is_unknown
        Whether the change may have been committed.
    """

    reason: str
    is_unknown: bool = False


@attrs.frozen
class CompletedOperation:
    """A completed operation and the number of the version it created."""

    version: int
    text: str

    def result_for(self, request: ChangeRequest) -> Result[Accepted, Refused]:
        """Return the result for a repeated request with the same id."""
        if request.text == self.text:
            return Ok(Accepted(self.version, is_repeated=True))
        reason = f"The id names another order: {self.text}. Use a new id."
        return Error(Refused(reason))

    def encode(self) -> bytes:
        """Return the operation serialised for its row in the store."""
        return json.dumps(attrs.asdict(self)).encode()


@attrs.frozen
class CurrentVersion:
    """The current version and the row version used for compare-and-set."""

    version: Version
    row_version: int


class ConfigurationHistory:
    """Read and extend the versions of the configuration.

    The current version, the history row and the operation id are written in one
    conditional write. Retries and lost replies therefore apply an operation at
    most once, and conflicting changes of two operators are serialised.

    Parameters
    ----------
    store
        Holds the versions and the operations.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def initialize(self, document: FleetDocument) -> bool:
        """Write the first version if the store has none; always return True.

        Raises
        ------
        StoreUnavailable, OutcomeUnknown
            If the store cannot be reached, or its reply is lost.
        """
        first = Version(FIRST_VERSION, document)
        write = Write(
            (Expected(_current_id(), ABSENT),),
            (
                Put(_current_id(), first.encode()),
                Put(_version_id(FIRST_VERSION), first.encode()),
            ),
        )
        outcome = await self._store.write(write)
        if isinstance(outcome, Committed):
            log_event("first configuration written", version=FIRST_VERSION)
        return True

    async def change(
        self, change: Change, request: ChangeRequest
    ) -> Result[Accepted, Refused]:
        """Apply a change to the current version, retrying on conflicts."""
        try:
            return await self._change(change, request)
        except StoreUnavailable:
            return Error(Refused("The store is out of reach; nothing was changed."))
        except OutcomeUnknown:
            reason = "The store's answer was lost; repeat it with the same id."
            return Error(Refused(reason, is_unknown=True))
        except StoreRefused as error:
            return Error(Refused(f"The store does not take it: {error}."))

    async def _change(
        self, change: Change, request: ChangeRequest
    ) -> Result[Accepted, Refused]:
        preceding_operations: list[str] = []
        operation_id = _operation_id(request.operation)
        completed = await self._read_operation(operation_id)
        current = await self._read_current()
        for _ in range(MAX_ATTEMPTS):
            if completed is not None:
                return completed.result_for(request)
            if current is None:
                return Error(Refused("The fleet has no configuration yet."))
            changed = change(current.version.document)
            if changed.is_error():
                return Error(Refused(changed.error))
            number = current.version.number + 1
            version = Version(number, changed.ok, request.operation, request.operator)
            outcome = await self._write_version(current, version, request)
            if isinstance(outcome, Committed):
                return Ok(
                    Accepted(number, preceding_operations=tuple(preceding_operations))
                )
            completed = _decode_operation(outcome.rows_by_id.get(operation_id))
            current = _decode_current(outcome.rows_by_id.get(_current_id()))
            if current is not None:
                preceding_operations.append(
                    current.version.operation or "the first version"
                )
        return Error(Refused("Others change the configuration all the time."))

    async def _read_operation(self, operation_id: RowId) -> CompletedOperation | None:
        """Return the completed operation with this id; None if there is none."""
        snapshot = await self._store.scan(OPERATIONS_TABLE)
        for row in snapshot.rows:
            if row.id == operation_id:
                return _decode_operation(row)
        return None

    async def versions(self) -> Snapshot:
        """Return a snapshot of the rows of all versions."""
        return await self._store.scan(VERSIONS_TABLE)

    async def _read_current(self) -> CurrentVersion | None:
        snapshot = await self._store.scan(CURRENT_TABLE)
        for row in snapshot.rows:
            if row.id.key == CURRENT_KEY:
                return _decode_current(row)
        return None

    async def _write_version(
        self, current: CurrentVersion, version: Version, request: ChangeRequest
    ) -> Outcome:
        operation_id = _operation_id(version.operation)
        expected = (
            Expected(_current_id(), current.row_version),
            Expected(operation_id, ABSENT),
        )
        puts = (
            Put(_current_id(), version.encode()),
            Put(_version_id(version.number), version.encode()),
            Put(
                operation_id, CompletedOperation(version.number, request.text).encode()
            ),
        )
        return await self._store.write(Write(expected, puts))


def _current_id() -> RowId:
    return RowId(CURRENT_TABLE, CURRENT_KEY)


def _version_id(number: int) -> RowId:
    return RowId(VERSIONS_TABLE, f"{number:0{VERSION_DIGITS}d}")


def _operation_id(operation: str) -> RowId:
    return RowId(OPERATIONS_TABLE, operation)


def _decode_operation(row: Row | None) -> CompletedOperation | None:
    return CompletedOperation(**json.loads(row.value)) if row is not None else None


def _decode_current(row: Row | None) -> CurrentVersion | None:
    if row is None:
        return None
    decoded = Version.decode(row.value)
    if decoded.is_error():
        raise StoreRefused(decoded.error)
    return CurrentVersion(decoded.ok, row.version)

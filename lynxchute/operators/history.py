"""Versioned history of the fleet's configuration in the store."""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from lynxchute.config.document import FleetDocument, Version
from lynxchute.operators.restore import RestorableRows, RewriteWindow
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
# Versions that a process keeps to write them again; a copy is only seconds old, and a
# version takes 60 KB or more.
MAX_KNOWN_VERSIONS = 8

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
    """A completed operation and the number of the version it created.

    Attributes
    ----------
    text
        The statement; None if it was lost with the last writes of a restored store.
    """

    version: int
    text: str | None

    def result_for(self, request: ChangeRequest) -> Result[Accepted, Refused]:
        """Return the result for a repeated request with the same id."""
        if self.text is None or request.text == self.text:
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


@attrs.frozen
class KnownVersion:
    """A version that this process has read or written.

    Attributes
    ----------
    operation
        The operation that created it; empty for the initial version.
    value
        The value of its rows.
    text
        The statement of the operation, if this process has executed it.
    """

    number: int
    operation: str
    value: bytes
    text: str | None = None


class ConfigurationHistory(RestorableRows):
    """Read and extend the versions of the configuration.

    The current version, the history row and the operation id are written in one
    conditional write. Retries and lost replies therefore apply an operation at
    most once, and conflicting changes of two operators are serialised.

    A store that comes back from a copy may lack versions. They are written again from
    what this process knows, and changes wait until all routers have done so.

    Parameters
    ----------
    store
        Holds the versions and the operations.

    Attributes
    ----------
    window
        The time in which changes wait for other routers.
    """

    def __init__(self, store: Store) -> None:
        self.window = RewriteWindow(store)
        self._store = store
        self._known_by_number: dict[int, KnownVersion] = {}

    async def initialize(self, document: FleetDocument) -> bool:
        """Write the first version if the store has none; always return True.

        Raises
        ------
        StoreUnavailable, OutcomeUnknown
            If the store cannot be reached, or its reply is lost.
        """
        if await self._read_current_row() is not None:
            return True
        await self.window.wait()
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

    def record_row(self, row: Row) -> None:
        """Record the current version as a router has received it."""
        if row.deleted:
            return
        fields = json.loads(row.value)
        operation = fields.get("operation", "")
        if fields["number"] not in self._known_by_number:
            self._record(KnownVersion(fields["number"], operation, row.value))

    async def restore(self) -> None:
        """Write the known versions again that are newer than the store's current one.

        Raises
        ------
        StoreUnavailable, OutcomeUnknown
            If the store cannot be reached, or its reply is lost.
        """
        for _ in range(MAX_ATTEMPTS):
            current = await self._read_current()
            lost = self._known_after(current)
            if not lost:
                return
            outcome = await self._store.write(_rewrite_of(lost, current))
            if isinstance(outcome, Committed):
                log_event(
                    "configuration written again",
                    version=lost[-1].number,
                    before=current.version.number if current is not None else 0,
                    versions=len(lost),
                )
                return

    def _record(self, version: KnownVersion) -> None:
        self._known_by_number[version.number] = version
        while len(self._known_by_number) > MAX_KNOWN_VERSIONS:
            del self._known_by_number[min(self._known_by_number)]

    def _known_after(self, current: CurrentVersion | None) -> list[KnownVersion]:
        """Return the known versions after the store's current one, in order."""
        number = current.version.number if current is not None else 0
        numbers = sorted(self._known_by_number)
        return [self._known_by_number[known] for known in numbers if known > number]

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
        completed, current = await self._read_settled(operation_id)
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
                self._record(
                    KnownVersion(
                        number, request.operation, version.encode(), request.text
                    )
                )
                return Ok(
                    Accepted(number, preceding_operations=tuple(preceding_operations))
                )
            completed = _decode_operation(outcome.rows_by_id.get(operation_id))
            current = _decode_current(outcome.rows_by_id.get(_current_id()))
            if current is not None:
                preceding_operations.append(
                    current.version.operation or "the first version"
                )
            if self.window.is_open or self._known_after(current):
                completed, current = await self._read_settled(operation_id)
        return Error(Refused("Others change the configuration all the time."))

    async def _read_settled(
        self, operation_id: RowId
    ) -> tuple[CompletedOperation | None, CurrentVersion | None]:
        """Return an operation and the current version, with nothing lost in a copy."""
        while True:
            completed = await self._read_operation(operation_id)
            current = await self._read_current()
            if await self.window.wait():
                continue
            if not self._known_after(current):
                return completed, current
            await self.restore()

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
        return _decode_current(await self._read_current_row())

    async def _read_current_row(self) -> Row | None:
        snapshot = await self._store.scan(CURRENT_TABLE)
        for row in snapshot.rows:
            if row.id.key == CURRENT_KEY:
                return row
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


def _rewrite_of(lost: list[KnownVersion], current: CurrentVersion | None) -> Write:
    """Return the write that adds lost versions and makes the last one current."""
    row_version = current.row_version if current is not None else ABSENT
    puts = [Put(_current_id(), lost[-1].value)]
    for version in lost:
        puts.append(Put(_version_id(version.number), version.value))
        if not version.operation:
            continue
        completed = CompletedOperation(version.number, version.text)
        puts.append(Put(_operation_id(version.operation), completed.encode()))
    return Write((Expected(_current_id(), row_version),), tuple(puts))


def _decode_operation(row: Row | None) -> CompletedOperation | None:
    return CompletedOperation(**json.loads(row.value)) if row is not None else None


def _decode_current(row: Row | None) -> CurrentVersion | None:
    if row is None:
        return None
    decoded = Version.decode(row.value)
    if decoded.is_error():
        raise StoreRefused(decoded.error)
    return CurrentVersion(decoded.ok, row.version)

"""Take over what a dead, or fenced, incarnation owned.

The steps are: seal its journal, so that it can write nothing more; ask
every router that may keep copies of its requests, which fences it there
too; then adopt its tokens and its requests in one write of one's own
journal. Any router may do this at any time, several at once: the platform
lets one adoption through.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lynxchute.entry import Adoption, TopUp
from lynxchute.journal import JOURNAL_PREFIX, JournalState, journal_key, sealed_row
from lynxchute.ledger import (
    OWNED,
    charge_key,
    duplicate_key,
    share_prefix,
    top_up_key,
)
from lynxchute.records import RequestRecord
from lynxchute.tables.transaction import Row, Swap, Transaction


@attrs.frozen
class Report:
    """What one router knows of an incarnation.

    Attributes
    ----------
    reporter
        The incarnation that answers.
    records
        The requests that the victim had a part in.
    top_ups
        Top-ups that the victim has taken.
    own_top_ups
        Top-ups that the reporter has taken and not yet made durable.
    """

    reporter: str
    records: tuple[RequestRecord, ...] = ()
    top_ups: tuple[TopUp, ...] = ()
    own_top_ups: tuple[TopUp, ...] = ()


class Recovery:
    """Recover one incarnation.

    Parameters
    ----------
    victim
        The incarnation to recover.
    """

    def __init__(self, victim: str) -> None:
        self.victim = victim
        self.adopter = ""
        self.never_opened = False
        self.vms_by_reporter: dict[str, str] = {}
        self.reports_by_reporter: dict[str, Report] = {}
        self._row: Row | None = None
        self._owned: dict[str, int] = {}
        self._lost_copies = False
        self._adopters: dict[str, str] = {}
        self._predecessors: tuple[str, ...] = ()
        self._keepers_by_attempt: dict[str, str] = {}
        self._durable_keys: set[str] = set()
        self._billed_attempts: set[str] = set()

    @property
    def prefixes(self) -> tuple[str, ...]:
        """Return the key prefixes whose rows are needed."""
        return (JOURNAL_PREFIX, share_prefix(self.victim))

    @property
    def sealed(self) -> bool:
        """Return whether the victim's journal was seen sealed."""
        return self._row is not None

    @property
    def missing(self) -> frozenset[str]:
        """Return the routers that have not reported."""
        return frozenset(self.vms_by_reporter).difference(self.reports_by_reporter)

    def learn_rows(self, rows_by_key: dict[str, Row]) -> Transaction | None:
        """Take the rows under the prefixes, read in one go.

        Returns
        -------
        Transaction or None
            The seal, where the journal is still open. Whatever becomes of
            it, the rows are to be read again.
        """
        key = journal_key(self.victim)
        row = rows_by_key.get(key)
        if row is None:
            self.never_opened = True
            return None
        if row["state"] == JournalState.CLOSED.value:
            self.adopter = row["adopter"]
            return None
        if row["state"] == JournalState.OPEN.value:
            return Transaction((Swap(key, row, sealed_row(row)),))
        self._row = row
        self._owned = self._read_shares(rows_by_key)
        self._note_adopters(rows_by_key)
        self.vms_by_reporter = self._find_reporters(rows_by_key, row)
        return None

    @property
    def predecessors(self) -> tuple[str, ...]:
        """Return the incarnations whose requests the victim had adopted.

        A reporter may not have heard of these adoptions yet.
        """
        return self._predecessors

    def sole_copies(self, adopter: str) -> tuple[RequestRecord, ...]:
        """Return the records that no router but the adopter would keep.

        They are to be kept by another router before the adoption is
        written: otherwise the adopter's death would lose them unnoticed.
        """
        keepers = self._keepers(adopter)
        return tuple(
            record
            for attempt, record in self._merged().items()
            if attempt not in keepers
        )

    def learn_kept(self, keeper: str, records: tuple[RequestRecord, ...]) -> None:
        """Note that another router keeps copies of records now."""
        for record in records:
            self._keepers_by_attempt[record.attempt] = keeper

    def learn_report(self, report: Report) -> None:
        """Take a router's report; it has fenced the victim by now."""
        if report.reporter in self.vms_by_reporter:
            self.reports_by_reporter[report.reporter] = report

    def top_up_keys(self) -> tuple[str, ...]:
        """Return the keys of the top-ups that were reported."""
        keys = set()
        for report in self.reports_by_reporter.values():
            for top_up in report.top_ups:
                keys.add(top_up_key(top_up.account, top_up.top_up_id))
        return tuple(sorted(keys))

    def learn_durable(self, keys: Iterable[str]) -> None:
        """Note which top-ups the victim had made durable before its seal."""
        self._durable_keys.update(keys)

    def charge_keys(self) -> tuple[str, ...]:
        """Return the keys of what the victim may have billed or given up."""
        keys = set()
        for report in self.reports_by_reporter.values():
            for record in report.records:
                keys.add(charge_key(record.request_id))
                keys.add(duplicate_key(record.attempt))
        return tuple(sorted(keys))

    def learn_billed(self, rows_by_key: dict[str, Row]) -> None:
        """Note which attempts were billed or given up before the seal."""
        for row in rows_by_key.values():
            self._billed_attempts.add(row["attempt"])

    def adoption(self, adopter: str, *, write_off: bool = False) -> Adoption:
        """Return the take-over.

        Parameters
        ----------
        adopter
            Who takes over. Where it alone keeps copies, the row says so, and
            what it owns is written off should it die before they are billed.
        write_off
            Go ahead although reports are missing.
        """
        assert self._row is not None
        assert write_off or not self.missing
        top_ups: dict[str, TopUp] = {}
        for report in self.reports_by_reporter.values():
            for top_up in report.top_ups:
                top_ups[top_up_key(top_up.account, top_up.top_up_id)] = top_up
        keepers = self._keepers(adopter)
        missing = set(self.missing)
        if self.sole_copies(adopter):
            missing.add(adopter)
        elsewhere = []
        for reporter, report in self.reports_by_reporter.items():
            for top_up in report.own_top_ups:
                elsewhere.append((top_up, reporter))
        return Adoption(
            top_ups_elsewhere=tuple(elsewhere),
            durable_top_ups=tuple(
                top_up for key, top_up in top_ups.items() if key in self._durable_keys
            ),
            victim=self.victim,
            row=self._row,
            owned=self._owned,
            records=tuple(
                attrs.evolve(record, witness=keepers.get(attempt, ""))
                for attempt, record in self._merged().items()
                if attempt not in self._billed_attempts
            ),
            top_ups=tuple(
                top_up
                for key, top_up in top_ups.items()
                if key not in self._durable_keys
            ),
            missing=tuple(sorted(missing)),
            write_off=bool(self.missing) or self._lost_copies,
        )

    def _merged(self) -> dict[str, RequestRecord]:
        """Return what all reports together say, by attempt."""
        records: dict[str, RequestRecord] = {}
        for report in self.reports_by_reporter.values():
            for record in report.records:
                _merge(records, record)
        return records

    def _keepers(self, adopter: str) -> dict[str, str]:
        """Return who keeps each copy beside the adopter's, by attempt."""
        keepers = dict(self._keepers_by_attempt)
        for reporter, report in self.reports_by_reporter.items():
            if reporter == adopter:
                continue
            for record in report.records:
                keepers[record.attempt] = reporter
        return keepers

    def _note_adopters(self, rows_by_key: dict[str, Row]) -> None:
        """Drop the reports if any incarnation was adopted since they came.

        Its adopter has learned of copies that it did not report before.
        """
        adopters = {}
        predecessors = []
        for key, row in rows_by_key.items():
            if not key.startswith(JOURNAL_PREFIX) or "adopter" not in row:
                continue
            adopters[key] = row["adopter"]
            incarnation = key.removeprefix(JOURNAL_PREFIX)
            if _last_adopter(rows_by_key, incarnation) == self.victim:
                predecessors.append(incarnation)
        self._predecessors = tuple(predecessors)
        if adopters != self._adopters:
            self.reports_by_reporter.clear()
        self._adopters = adopters

    def _read_shares(self, rows_by_key: dict[str, Row]) -> dict[str, int]:
        prefix = share_prefix(self.victim)
        owned = {}
        for key, row in rows_by_key.items():
            if key.startswith(prefix):
                owned[key.removeprefix(prefix)] = row[OWNED]
        return owned

    def _find_reporters(
        self, rows_by_key: dict[str, Row], victim_row: Row
    ) -> dict[str, str]:
        """Return the VM of each incarnation that may keep copies, by incarnation.

        Copies are kept in the victim's data centre, in those that its row
        names, in those of the incarnations that it had adopted, and by
        whoever has adopted a router of these.
        """
        near = {victim_row["data_centre"], *victim_row["abroad"]}
        for predecessor in self._predecessors:
            row = rows_by_key[journal_key(predecessor)]
            near.update((row["data_centre"], *row["abroad"]))
        found = {}
        for key, row in rows_by_key.items():
            if not key.startswith(JOURNAL_PREFIX):
                continue
            if self.victim in row.get("missing", ()):
                self._lost_copies = True
            if row["data_centre"] not in near:
                continue
            keeper = _last_adopter(rows_by_key, key.removeprefix(JOURNAL_PREFIX))
            if keeper != self.victim:
                found[keeper] = rows_by_key[journal_key(keeper)]["vm"]
        return found


def _last_adopter(rows_by_key: dict[str, Row], incarnation: str) -> str:
    """Return who has an incarnation's requests now: itself, or its adopter."""
    row = rows_by_key[journal_key(incarnation)]
    while row["state"] == JournalState.CLOSED.value:
        incarnation = row["adopter"]
        row = rows_by_key[journal_key(incarnation)]
    return incarnation


def _merge(records: dict[str, RequestRecord], record: RequestRecord) -> None:
    """Keep the copy of an attempt that says most."""
    known = records.get(record.attempt)
    if known is None:
        records[record.attempt] = record
        return
    if known.used is None and record.used is not None:
        records[record.attempt] = record
        return
    if known.used is None and record.reserved > known.reserved:
        records[record.attempt] = record

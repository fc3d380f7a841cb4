"""Who pays under load: requests by account, VM, data centre, route and reason."""

from __future__ import annotations

from collections import Counter

import attrs

from lynxchute.explain.log_lines import LogLine
from lynxchute.explain.losses import ON_TIME, cause_of

# Refusals that say nothing of load: the caller asked for what no configuration gives,
# or asked which configuration is in force.
PROBE_REASONS = frozenset({"no-route", "unauthorized", "configuration-stale"})
NOT_NAMED = "(not known)"
LATE_PREFIX = "late"


@attrs.define
class Tally:
    """Requests of one account, VM, data centre or route.

    Attributes
    ----------
    requests
        All that ended.
    late
        Those served late.
    lost_by_cause
        Those that were refused, left or broken off.
    """

    requests: int = 0
    late: int = 0
    lost_by_cause: Counter[str] = attrs.Factory(Counter)

    def count(self, cause: str) -> None:
        """Count a request that ended so."""
        self.requests += 1
        if cause.startswith(LATE_PREFIX):
            self.late += 1
        elif cause != ON_TIME:
            self.lost_by_cause[cause] += 1

    def add(self, other: Tally) -> None:
        """Count all that another tally has."""
        self.requests += other.requests
        self.late += other.late
        self.lost_by_cause.update(other.lost_by_cause)

    @property
    def lost(self) -> int:
        """Return how many were not served."""
        return sum(self.lost_by_cause.values())


@attrs.define
class Payers:
    """Count what became of requests, by each of several dimensions.

    Attributes
    ----------
    by_vm, by_account, by_route
        Tallies by name.
    probes
        Requests that tell which configuration is in force; they count nowhere else.
    """

    by_vm: dict[str, Tally] = attrs.Factory(dict)
    by_account: dict[str, Tally] = attrs.Factory(dict)
    by_route: dict[str, Tally] = attrs.Factory(dict)
    probes: int = 0
    _data_centre_by_vm: dict[str, str] = attrs.Factory(dict)

    def take(self, line: LogLine) -> None:
        """Take one line of a log."""
        fields = line.fields
        if line.event == "started":
            vm = str(fields.get("vm", ""))
            self._data_centre_by_vm[vm] = str(fields.get("data_centre", ""))
        elif line.event == "request refused":
            reason = str(fields.get("reason", ""))
            if reason in PROBE_REASONS:
                self.probes += 1
                return
            self._count(line, f"refused: {reason}")
        elif line.event == "request ended":
            self._count(line, cause_of(line, None))

    def by_data_centre(self) -> dict[str, Tally]:
        """Return the tallies of VMs together, by the data centre that each named."""
        found: dict[str, Tally] = {}
        for vm, tally in self.by_vm.items():
            name = self._data_centre_by_vm.get(vm, NOT_NAMED)
            found.setdefault(name, Tally()).add(tally)
        return found

    def _count(self, line: LogLine, cause: str) -> None:
        for tallies, field in (
            (self.by_vm, "vm"),
            (self.by_account, "account"),
            (self.by_route, "route"),
        ):
            name = str(line.fields.get(field) or NOT_NAMED)
            tallies.setdefault(name, Tally()).count(cause)

"""Count outcomes of requests by client account, VM, data centre and route."""

from __future__ import annotations

from collections import Counter

import attrs

from lynxchute.explain.log_lines import LogLine
from lynxchute.explain.losses import ON_TIME, loss_cause

# Refusals that are not caused by load: the route or the API key is unknown, or the
# caller checks which configuration is in effect.
PROBE_REASONS = frozenset({"no-route", "unauthorized", "configuration-stale"})
UNKNOWN = "(not known)"
LATE_PREFIX = "late"


@attrs.define
class OutcomeTally:
    """Outcome counts of one account, VM, data centre or route.

    Attributes
    ----------
    requests
        Number of all requests, refused ones included.
    late
        Number of requests served late.
    lost_by_cause
        Number of requests that were refused, aborted by the caller or cut off.
    """

    requests: int = 0
    late: int = 0
    lost_by_cause: Counter[str] = attrs.Factory(Counter)

    def count(self, cause: str) -> None:
        """Count a request by its loss cause or `ON_TIME`."""
        self.requests += 1
        if cause.startswith(LATE_PREFIX):
            self.late += 1
        elif cause != ON_TIME:
            self.lost_by_cause[cause] += 1

    def add(self, other: OutcomeTally) -> None:
        """Add the counts of another tally."""
        self.requests += other.requests
        self.late += other.late
        self.lost_by_cause.update(other.lost_by_cause)

    @property
    def lost(self) -> int:
        """Return the number of requests that were not served."""
        return sum(self.lost_by_cause.values())


@attrs.define
class OutcomeTallies:
    """Outcome counts along several dimensions.

    Attributes
    ----------
    by_vm, by_account, by_route
        Tallies by name.
    probes
        Refusals with one of `PROBE_REASONS`; they are not counted elsewhere.
    """

    by_vm: dict[str, OutcomeTally] = attrs.Factory(dict)
    by_account: dict[str, OutcomeTally] = attrs.Factory(dict)
    by_route: dict[str, OutcomeTally] = attrs.Factory(dict)
    probes: int = 0
    _data_centre_by_vm: dict[str, str] = attrs.Factory(dict)

    def add_line(self, line: LogLine) -> None:
        """Count the request whose end a line logs, or record a VM's data centre."""
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
            self._count(line, loss_cause(line, None))

    def by_data_centre(self) -> dict[str, OutcomeTally]:
        """Return tallies by data centre, summed over its VMs."""
        totals: dict[str, OutcomeTally] = {}
        for vm, tally in self.by_vm.items():
            name = self._data_centre_by_vm.get(vm, UNKNOWN)
            totals.setdefault(name, OutcomeTally()).add(tally)
        return totals

    def _count(self, line: LogLine, cause: str) -> None:
        for tallies, field in (
            (self.by_vm, "vm"),
            (self.by_account, "account"),
            (self.by_route, "route"),
        ):
            name = str(line.fields.get(field) or UNKNOWN)
            tallies.setdefault(name, OutcomeTally()).count(cause)

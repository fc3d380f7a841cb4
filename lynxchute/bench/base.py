"""Measure the resident memory of a router's process before it starts to serve."""

from __future__ import annotations

import json
import resource
from pathlib import Path

STATUS = Path("/proc/self/status")


def resident_kb() -> int:
    """Return the current resident memory of this process, in kilobytes."""
    for line in STATUS.read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def main() -> None:
    """Print the memory before and after the router's modules are imported."""
    before = resident_kb()
    import lynxchute.router  # noqa: F401

    after = resident_kb()
    line = {"base": "process", "interpreter_kb": before, "router_kb": after}
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()

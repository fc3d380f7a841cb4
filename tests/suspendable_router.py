"""A router whose monotonic clock does not advance while its process is stopped.

This simulates a suspended VM, in which the clock stops as well. The real clock advances
while a process is stopped by a signal.
"""

import signal
import time

from lynxchute.platform.__main__ import main
from tests.linked_router import use_links

_monotonic = time.monotonic


class SuspendableClock:
    """The monotonic clock without the periods in which the process was stopped."""

    def __init__(self):
        self._last_read_at = _monotonic()
        self._stopped_seconds = 0.0

    def read(self):
        self._last_read_at = _monotonic()
        return self._last_read_at - self._stopped_seconds

    def resume(self, *_):
        self._stopped_seconds += _monotonic() - self._last_read_at
        self._last_read_at = _monotonic()


if __name__ == "__main__":
    use_links()
    clock = SuspendableClock()
    time.monotonic = clock.read
    signal.signal(signal.SIGCONT, clock.resume)
    main()

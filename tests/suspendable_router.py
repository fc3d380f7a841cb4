"""A router whose monotonic clock stands still while its process is stopped.

That is what a suspended VM looks like from inside; a process that is stopped and goes
on has a clock that went on.
"""

import signal
import time

from lynxchute.platform.__main__ import main

_monotonic = time.monotonic


class StandingClock:
    """The monotonic clock without the times in which the process was stopped."""

    def __init__(self):
        self._read_at = _monotonic()
        self._stood = 0.0

    def read(self):
        self._read_at = _monotonic()
        return self._read_at - self._stood

    def resume(self, *_):
        self._stood += _monotonic() - self._read_at
        self._read_at = _monotonic()


if __name__ == "__main__":
    clock = StandingClock()
    time.monotonic = clock.read
    signal.signal(signal.SIGCONT, clock.resume)
    main()

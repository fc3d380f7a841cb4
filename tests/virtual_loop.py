"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors

START = 1000.0
# Time that each turn of the loop takes, so that no wait is too short to end.
TURN_SECONDS = 1e-6


class _Selector(selectors.SelectSelector):
    """Advances the loop's clock where a selector would wait."""

    loop = None

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left that could end the wait")
        self.loop.now += max(timeout, TURN_SECONDS)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, without sockets.

    Attributes
    ----------
    now
        The time on its clock, in seconds.
    """

    def __init__(self):
        selector = _Selector()
        selector.loop, self.now = self, START
        super().__init__(selector)

    def time(self):
        return self.now


def run_virtual(work):
    """Run a coroutine to its end in virtual time; return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()

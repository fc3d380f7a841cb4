"""Start a router: `python -m lynxchute.platform`."""

import signal
import time


def main() -> None:
    """Run a router, deaf to SIGHUP until it has loaded what answers it."""
    started_at = time.monotonic()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lynxchute.platform.daemon import main as run

    run(started_at)


if __name__ == "__main__":
    main()

"""Entry point of a router process: `python -m lynxchute.platform`."""

import gc
import signal
import sys

from lynxchute.clock import steady_seconds

EXIT_SETTINGS = 2


def main() -> None:
    """Run a router; ignore SIGHUP until its handler has been imported."""
    started_at = steady_seconds()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Garbage collection finds nothing to free during start-up, because imported modules
    # stay alive; it would take 34 of the 1,105 million instructions of a start.
    gc.disable()
    from lynxchute.listening import listen
    from lynxchute.platform.settings_file import read_settings, settings_path

    path = settings_path()
    result = read_settings(path)
    if result.is_error():
        for finding in result.error:
            print(f"{path}: {finding}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    settings = result.ok
    # Open the listening socket before the server code is imported. The import takes
    # 560 of the 1,070 million instructions of a start, 0.4 s on a VM with half a core.
    # Connections made in that time wait in the backlog; without the socket, every VM of
    # a data centre that has just come back would refuse them.
    callers = listen(settings.callers)
    from lynxchute.platform.daemon import run

    gc.freeze()
    gc.enable()
    run(settings, path, callers, started_at)


if __name__ == "__main__":
    main()

"""Start a router: `python -m lynxchute.platform`."""

import gc
import signal
import sys

from lynxchute.clock import steady_seconds

EXIT_SETTINGS = 2


def main() -> None:
    """Run a router, deaf to SIGHUP until it has loaded what answers it."""
    started_at = steady_seconds()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing that is loaded is let go of again: looking for that takes 34 of the 1,105
    # million instructions of a start.
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
    # What serves them takes the second half of the start to load (560 of 1,070 million
    # instructions), 0.4 s on a VM of half a core: callers who come meanwhile wait for
    # that instead of being turned away by every VM of a data centre that is just back.
    callers = listen(settings.callers)
    from lynxchute.platform.daemon import run

    gc.freeze()
    gc.enable()
    run(settings, path, callers, started_at)


if __name__ == "__main__":
    main()

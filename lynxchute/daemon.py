"""Router daemon with the product's own HTTP interface."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import defopt

from lynxchute.application import StopReason, install_stop_handlers
from lynxchute.clock import steady_seconds
from lynxchute.event_loop import run as run_loop
from lynxchute.router import RouterApplication
from lynxchute.settings import RouterSettings, load_router_settings
from lynxchute.telemetry import log_event, log_to_stdout

EXIT_SETTINGS = 2
EXIT_KILLED = 3


def read_settings(path: Path) -> RouterSettings:
    """Return the settings from a file, or print all errors and exit."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        sys.exit(f"{path}: cannot be read: {error}. Give the path of a YAML file.")
    result = load_router_settings(text, str(path))
    if result.is_ok():
        return result.ok
    for finding in result.error:
        print(finding, file=sys.stderr)
    sys.exit(EXIT_SETTINGS)


async def serve(settings: RouterSettings, started_at: float) -> None:
    """Run the router until a stop is requested."""
    application = RouterApplication(settings, started_at=started_at)
    install_stop_handlers(
        lambda: application.request_stop(StopReason.STOPPED),
        lambda: os._exit(EXIT_KILLED),
    )
    await application.run()


def run(settings: Path, *, check: bool = False) -> None:
    """Run a router.

    Parameters
    ----------
    settings
        The YAML file with the router's settings.
    check
        Validate the settings and exit.
    """
    started_at = steady_seconds()
    loaded = read_settings(settings)
    if check:
        print(f"{settings}: in order")
        return
    log_to_stdout(vm=loaded.vm)
    log_event("started", data_centre=loaded.data_centre, pid=os.getpid())
    run_loop(serve(loaded, started_at))
    log_event("ended")


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()

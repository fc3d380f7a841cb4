"""Run a router on the deployment platform."""

from __future__ import annotations

import os
import socket
import time
from pathlib import Path

from lynxchute.application import StopReason, install_stop_handlers
from lynxchute.clock import steady_seconds
from lynxchute.edge.application import EdgeApplication
from lynxchute.edge.platform import Platform
from lynxchute.edge.settings import EdgeSettings
from lynxchute.event_loop import run as run_loop
from lynxchute.platform import names
from lynxchute.platform.configuration import decode_configuration
from lynxchute.platform.dialect import PlatformDialect
from lynxchute.platform.engines import PlatformEngines
from lynxchute.platform.settings_file import file_state, read_settings
from lynxchute.platform.store import PlatformStore
from lynxchute.platform.upstreams import decode_upstream
from lynxchute.telemetry import LogWriter, log_event, log_to_stdout

EXIT_KILLED = 3


def make_platform(store: str) -> Platform:
    """Return the platform's store, dialect, names and decoders."""
    return Platform(
        store=PlatformStore(store),
        dialect=PlatformDialect(),
        configuration_table=names.OPERATOR_TABLE,
        configuration_key=names.CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        evacuation_prefix=names.EVACUATION_PREFIX,
        upstream_table=names.UPSTREAM_TABLE,
        decode_upstream=decode_upstream,
        readiness_path=names.READY_PATH,
        make_engines=PlatformEngines,
    )


async def serve(
    settings: EdgeSettings,
    path: Path,
    callers: socket.socket,
    started_at: float,
    log: LogWriter,
) -> None:
    """Run the router until it is asked to stop."""
    application = EdgeApplication(
        settings,
        make_platform(settings.store),
        started_at=started_at,
        callers=callers,
        log_lines_dropped=lambda: log.dropped,
    )
    application.watch_settings(lambda: read_settings(path), lambda: file_state(path))
    install_stop_handlers(
        lambda: application.request_stop(StopReason.STOPPED),
        lambda: os._exit(EXIT_KILLED),
    )
    await application.run()


def run(
    settings: EdgeSettings, path: Path, callers: socket.socket, started_at: float
) -> None:
    """Run a router.

    Parameters
    ----------
    settings
        Decoded settings of this process.
    path
        The settings file, which is watched for changes.
    callers
        Listening socket for callers' connections.
    started_at
        Start of the process, in seconds of the steady clock.
    """
    log = log_to_stdout(vm=settings.vm)
    log_event(
        "started",
        data_centre=settings.data_centre,
        pid=os.getpid(),
        seconds=round(steady_seconds() - started_at, 3),
        processor_seconds=round(time.process_time(), 3),
    )
    run_loop(serve(settings, path, callers, started_at, log))
    log_event("ended")

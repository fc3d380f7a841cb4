"""Logs and metrics: what an engineer has after the fact."""

from lynxchute.telemetry.log import LogWriter, log_event, log_to_stdout

__all__ = ["LogWriter", "log_event", "log_to_stdout"]

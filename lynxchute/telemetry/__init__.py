"""Structured logs and Prometheus metrics."""

from lynxchute.telemetry.log import LogWriter, log_event, log_to_stdout
from lynxchute.telemetry.metrics import Metrics

__all__ = ["LogWriter", "Metrics", "log_event", "log_to_stdout"]

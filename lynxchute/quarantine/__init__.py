"""Requests that end the upstreams that run them: decisions without I/O."""

from lynxchute.quarantine.content import content_id
from lynxchute.quarantine.progress import Progress
from lynxchute.quarantine.quarantine import Quarantine
from lynxchute.quarantine.record import Quarantined, Record, Suspect
from lynxchute.quarantine.served import ServedContents
from lynxchute.quarantine.suspicion import BrokenRun, Suspicion

__all__ = [
    "BrokenRun",
    "Progress",
    "Quarantine",
    "Quarantined",
    "Record",
    "ServedContents",
    "Suspect",
    "Suspicion",
    "content_id",
]

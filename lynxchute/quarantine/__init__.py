"""Attribution of upstream crashes to requests, and their quarantine; without I/O."""

from lynxchute.quarantine.content import content_id
from lynxchute.quarantine.evidence import BrokenRun, Finding, Verdict
from lynxchute.quarantine.progress import Progress
from lynxchute.quarantine.quarantine import Quarantine
from lynxchute.quarantine.record import QuarantineEntry, QuarantineRecord, Suspect
from lynxchute.quarantine.served import ServedContents
from lynxchute.quarantine.suspicion import CrashAttribution

__all__ = [
    "BrokenRun",
    "Finding",
    "Progress",
    "Quarantine",
    "QuarantineEntry",
    "QuarantineRecord",
    "ServedContents",
    "Suspect",
    "CrashAttribution",
    "Verdict",
    "content_id",
]

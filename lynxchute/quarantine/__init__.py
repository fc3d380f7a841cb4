"""Attribution of upstream crashes to requests, and their quarantine; without I/O."""

from lynxchute.quarantine.content import content_id
from lynxchute.quarantine.evidence import BrokenRun, Finding, Verdict
from lynxchute.quarantine.part_suspicion import PartAttribution, PartGroup
from lynxchute.quarantine.progress import Progress
from lynxchute.quarantine.prompt import PromptParts, part_key, prompt_scope
from lynxchute.quarantine.quarantine import Quarantine
from lynxchute.quarantine.record import QuarantineEntry, QuarantineRecord, Suspect
from lynxchute.quarantine.served import ServedContents
from lynxchute.quarantine.served_parts import ServedParts
from lynxchute.quarantine.suspicion import CrashAttribution

__all__ = [
    "BrokenRun",
    "CrashAttribution",
    "Finding",
    "PartAttribution",
    "PartGroup",
    "Progress",
    "PromptParts",
    "Quarantine",
    "QuarantineEntry",
    "QuarantineRecord",
    "ServedContents",
    "ServedParts",
    "Suspect",
    "Verdict",
    "content_id",
    "part_key",
    "prompt_scope",
]

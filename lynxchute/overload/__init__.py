"""Decisions under load, without I/O: what is full, who waits, whose share is used."""

from lynxchute.overload.guard import (
    LINK,
    MEMORY,
    PROCESSOR,
    Guard,
    Limits,
    Resource,
)
from lynxchute.overload.load import IDLE, Load, LoadSource
from lynxchute.overload.local_shares import LocalShares
from lynxchute.overload.memory_guard import Cut, HeldBounds, Holder, MemoryGuard
from lynxchute.overload.processor import ProcessorMeter
from lynxchute.overload.shares import AccountShares
from lynxchute.overload.sources import MeasuredSource, share_of
from lynxchute.overload.ticket import Ticket, TicketQueue
from lynxchute.overload.upstream_memory import UpstreamMemory

__all__ = [
    "IDLE",
    "LINK",
    "MEMORY",
    "PROCESSOR",
    "AccountShares",
    "Cut",
    "Guard",
    "HeldBounds",
    "Holder",
    "Limits",
    "Load",
    "LoadSource",
    "LocalShares",
    "MeasuredSource",
    "MemoryGuard",
    "ProcessorMeter",
    "Resource",
    "Ticket",
    "TicketQueue",
    "UpstreamMemory",
    "share_of",
]

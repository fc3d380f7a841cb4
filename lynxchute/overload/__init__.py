"""Decisions under load, without I/O: what is full, who waits, whose share is used."""

from lynxchute.overload.load import IDLE, Load, LoadSource
from lynxchute.overload.memory_guard import Cut, HeldBounds, Holder, MemoryGuard
from lynxchute.overload.shares import AccountShares
from lynxchute.overload.ticket import Ticket, TicketQueue
from lynxchute.overload.upstream_memory import UpstreamMemory

__all__ = [
    "IDLE",
    "AccountShares",
    "Cut",
    "HeldBounds",
    "Holder",
    "Load",
    "LoadSource",
    "MemoryGuard",
    "Ticket",
    "TicketQueue",
    "UpstreamMemory",
]

"""Decisions under load, without I/O: what is full, who waits, whose share is used."""

from lynxchute.overload.load import IDLE, Load, LoadSource
from lynxchute.overload.shares import AccountShares
from lynxchute.overload.ticket import Ticket, TicketQueue

__all__ = [
    "IDLE",
    "AccountShares",
    "Load",
    "LoadSource",
    "Ticket",
    "TicketQueue",
]

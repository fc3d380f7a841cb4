"""Decisions under load, without I/O: overload, queueing and fair shares."""

from lynxchute.overload.connection_limit import ConnectionLimit
from lynxchute.overload.guard import (
    LINK_LIMITS,
    MEMORY_LIMITS,
    PROCESSOR_LIMITS,
    OverloadGuard,
    Resource,
    ResourceLimits,
)
from lynxchute.overload.inbound_memory import InboundMemory
from lynxchute.overload.load import IDLE_LOAD, Load, LoadSource
from lynxchute.overload.local_shares import LocalShares
from lynxchute.overload.memory_guard import (
    AnswerBuffer,
    BufferBounds,
    CutAnswer,
    MemoryGuard,
)
from lynxchute.overload.processor import ProcessorMeter
from lynxchute.overload.shares import AccountShares
from lynxchute.overload.sources import CallbackLoadSource, utilization
from lynxchute.overload.ticket import Ticket, TicketQueue
from lynxchute.overload.upstream_memory import UpstreamMemory

__all__ = [
    "IDLE_LOAD",
    "LINK_LIMITS",
    "MEMORY_LIMITS",
    "PROCESSOR_LIMITS",
    "AccountShares",
    "ConnectionLimit",
    "CutAnswer",
    "OverloadGuard",
    "BufferBounds",
    "AnswerBuffer",
    "ResourceLimits",
    "Load",
    "InboundMemory",
    "LoadSource",
    "LocalShares",
    "CallbackLoadSource",
    "MemoryGuard",
    "ProcessorMeter",
    "Resource",
    "Ticket",
    "TicketQueue",
    "UpstreamMemory",
    "utilization",
]

"""The fleet's configuration, in the form that routers use."""

from lynxchute.config.configuration import (
    ClientAccount,
    Configuration,
    EngineTraits,
    Limits,
    Operator,
    RequestKind,
    Route,
    Service,
    Target,
)

__all__ = [
    "ClientAccount",
    "Configuration",
    "EngineTraits",
    "Limits",
    "Operator",
    "RequestKind",
    "Route",
    "Service",
    "Target",
]

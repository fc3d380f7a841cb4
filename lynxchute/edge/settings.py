"""What a router is told at its start."""

from __future__ import annotations

import attrs

from lynxchute.address import Address


@attrs.frozen
class DeploymentBounds:
    """The figures that the deployment promises to keep.

    Attributes
    ----------
    stop
        Seconds from the signal to stop until the process is killed.
    drain
        Seconds after which an upstream that leaves gets nothing new.
    configuration
        Seconds until a new version must be in force.
    cold_factor, cold_extra
        In any second all routers together may send a cold upstream so many times
        what its service says that it bears, and this number of requests on top.
    retry_share, retry_extra, retry_window
        In any window of that many seconds, all routers together may send a
        service this share of its requests, and this number on top, again.
    """

    stop: float = 8.0
    drain: float = 2.0
    configuration: float = 2.0
    cold_factor: float = 1.5
    cold_extra: float = 5.0
    retry_share: float = 0.2
    retry_extra: float = 20.0
    retry_window: float = 10.0


@attrs.frozen
class Features:
    """The parts that a deployment's settings switch on; all are off otherwise.

    Attributes
    ----------
    processor_guard
        Send callers elsewhere while the VM's processor is full.
    memory_guard
        Bound what callers and upstreams that read slowly hold of the memory.
    fair_shares
        Divide what is scarce among client accounts.
    demand_lines
        Size grants and their lines by what accounts ask for at this router.
    learned_speeds
        Place work by how fast each upstream was seen to be.
    hedging
        Send a call that may be repeated to a second upstream where the first is slow.
    """

    processor_guard: bool = False
    memory_guard: bool = False
    fair_shares: bool = False
    demand_lines: bool = False
    learned_speeds: bool = False
    hedging: bool = False


# A VM's link in Mbit/s where nothing says what it carries: that of a data
# centre's usual network card.
DEFAULT_LINK_MBPS = 1000.0


@attrs.frozen
class EdgeSettings:
    """The settings of one router.

    Attributes
    ----------
    data_centres
        Names of all data centres.
    callers, readiness, peers
        Where it listens for callers, for questions whether it is ready, and
        for the fleet's other routers.
    store
        The store as ``IP:port``.
    metrics
        Where the metrics are served; None where they are not.
    link_mbps, cores
        What the VM's link carries, in Mbit/s, and what the process has of
        processors.
    memory_mb
        Memory of the process, in MB; it is killed beyond.
    store_spans_parts
        Whether one write to the store may change rows of several parts.
    is_first_start
        Whether the whole fleet starts for the first time.
    cold_admission
        Which way of `ADMISSIONS_BY_NAME` says what cold upstreams get.
    rate_sharing
        Which way of `SHARINGS_BY_NAME` keeps to the limits that upstreams name.
    peers_reached_at
        Where the other routers reach this one; None where that is where it
        listens for them.
    features
        The parts that are switched on.
    """

    vm: str
    data_centre: str
    data_centres: tuple[str, ...]
    callers: Address
    readiness: Address
    peers: Address
    store: str
    memory_mb: float
    link_mbps: float = DEFAULT_LINK_MBPS
    cores: float = 1.0
    metrics: Address | None = None
    is_first_start: bool = False
    store_spans_parts: bool = False
    cold_admission: str = "first"
    rate_sharing: str = "counted"
    peers_reached_at: Address | None = None
    bounds: DeploymentBounds = DeploymentBounds()
    features: Features = Features()

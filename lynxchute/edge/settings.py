"""Settings of the router application."""

from __future__ import annotations

import attrs

from lynxchute.address import Address


@attrs.frozen
class DeploymentBounds:
    """Bounds that the deployment guarantees.

    Attributes
    ----------
    stop
        Seconds from the stop signal until the platform kills the process.
    drain
        Maximum seconds until a draining upstream receives no new requests.
    configuration
        Maximum seconds until a new configuration version is in effect.
    cold_factor, cold_extra
        In any second, all routers together may send a cold upstream at most
        ``cold_factor`` times its service's cold rate, plus ``cold_extra`` requests.
    retry_share, retry_extra, retry_window
        In any window of ``retry_window`` seconds, all routers together may retry at
        most ``retry_share`` of a service's requests, plus ``retry_extra`` requests.
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
    """Optional features that a deployment's settings enable; all default to off.

    Attributes
    ----------
    processor_guard
        Shed requests and connections while the VM's processor is overloaded.
    memory_guard
        Bound the memory buffered for callers and upstreams that read slowly.
    fair_shares
        Divide scarce capacity fairly among client accounts, and queue requests for
        engines by these shares.
    demand_lines
        Size grants and their limit lines by each account's demand at this router, and
        keep local reserves.
    learned_speeds
        Place requests by the measured speed of each upstream.
    hedging
        Send a repeatable call to a second upstream if the first one is slow.
    """

    processor_guard: bool = False
    memory_guard: bool = False
    fair_shares: bool = False
    demand_lines: bool = False
    learned_speeds: bool = False
    hedging: bool = False


# Default link bandwidth of a VM in Mbit/s: that of a common data centre network card.
DEFAULT_LINK_MBPS = 1000.0
DEFAULT_OPEN_FILES = 4096.0


@attrs.frozen
class EdgeSettings:
    """Settings of one router.

    Attributes
    ----------
    vm, data_centre
        Name of this VM, and its data centre.
    data_centres
        Names of all data centres.
    callers, readiness, peers
        Listening addresses for callers, for readiness checks, and for the fleet's
        other routers.
    metrics
        Listening address for metrics and the state dump; None to serve neither.
    store
        Address of the store as ``IP:port``.
    link_mbps, cores
        Bandwidth of the VM's network link in Mbit/s, and processor cores of the
        process.
    memory_mb
        Memory limit of the process in MB; the process is killed above it.
    max_open_files
        Descriptors that the process may have open.
    store_spans_parts
        Whether one write to the store may change rows of several parts.
    is_first_start
        Whether this is the first start of the whole fleet.
    cold_admission
        Name, in `ADMISSIONS_BY_NAME`, of the admission policy for cold upstreams.
    rate_sharing
        Name, in `SHARINGS_BY_NAME`, of the policy that divides an upstream's declared
        rate limit among routers.
    peers_reached_at
        Address at which other routers reach this one; None if it equals ``peers``.
    bounds
        Bounds that the deployment guarantees.
    features
        Enabled optional features.
    """

    vm: str
    data_centre: str
    data_centres: tuple[str, ...]
    callers: Address
    readiness: Address
    peers: Address
    store: str
    memory_mb: float
    max_open_files: float = DEFAULT_OPEN_FILES
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

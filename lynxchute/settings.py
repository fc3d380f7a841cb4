"""YAML settings of a router and their validation."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from expression import Result

from lynxchute._structure import Finding, load_document, option
from lynxchute.address import Address
from lynxchute.config.document import FleetDocument, check_document
from lynxchute.edge.settings import (
    DEFAULT_LINK_MBPS,
    DEFAULT_OPEN_FILES,
    DeploymentBounds,
    EdgeSettings,
)


@attrs.frozen
class ListenSettings:
    """Addresses on which a router listens."""

    callers: Address = option(doc="Address for callers and operators.")
    readiness: Address = option(
        doc="Address of the readiness endpoint that load balancers poll."
    )
    peers: Address = option(doc="Address for the fleet's other routers.")
    metrics: Address | None = option(
        default=None, doc="Address for metrics and the state dump."
    )
    peers_reached_at: Address | None = option(
        default=None, doc="Address where other routers reach this one, if not 'peers'."
    )


@attrs.frozen
class MachineSettings:
    """Resources of the VM."""

    memory_mb: float = option(default=256.0, low=32.0, doc="Memory, in MB.")
    max_open_files: float = option(
        default=DEFAULT_OPEN_FILES,
        low=256.0,
        doc="Descriptors that the process may have open.",
    )
    link_mbps: float = option(
        default=DEFAULT_LINK_MBPS,
        low=0.1,
        doc="Bandwidth of the network link, in Mbit/s.",
    )
    cores: float = option(default=1.0, low=0.01, doc="CPU cores.")


@attrs.frozen
class RetrySettings:
    """Retry budget of the whole fleet, per service."""

    share: float = option(default=0.2, low=0.0, doc="Retries allowed per request.")
    extra: float = option(
        default=20.0,
        low=0.0,
        doc="Additional retries of the whole fleet in each window.",
    )
    window: float = option(
        default=10.0, low=0.1, doc="Length of the window, in seconds."
    )


@attrs.frozen
class RouterSettings:
    """Settings of a router."""

    vm: str = option(doc="Name of this VM.")
    data_centre: str = option(doc="Data centre of this VM.")
    data_centres: tuple[str, ...] = option(doc="Names of all data centres.")
    listen: ListenSettings = option(doc="Addresses on which the router listens.")
    store: Address = option(doc="Address of the platform's store.")
    store_spans_parts: bool = option(
        default=True, doc="Whether one write to the store may span several parts."
    )
    machine: MachineSettings = option(
        factory=MachineSettings, doc="Resources of the VM."
    )
    retries: RetrySettings = option(factory=RetrySettings, doc="Retry budget.")
    stop: float = option(
        default=30.0, low=2.0, doc="Seconds for open requests to finish at a stop."
    )
    max_answer_tokens: int = option(
        default=4096, low=1, doc="Maximum length of an answer, in tokens."
    )
    configuration: FleetDocument = option(
        doc="Initial configuration, used until the store has one."
    )

    def edge(self) -> EdgeSettings:
        """Return these settings in the form that the application takes."""
        listen, machine = self.listen, self.machine
        return EdgeSettings(
            vm=self.vm,
            data_centre=self.data_centre,
            data_centres=self.data_centres,
            callers=listen.callers,
            readiness=listen.readiness,
            peers=listen.peers,
            metrics=listen.metrics,
            peers_reached_at=listen.peers_reached_at,
            store=str(self.store),
            store_spans_parts=self.store_spans_parts,
            memory_mb=machine.memory_mb,
            max_open_files=machine.max_open_files,
            link_mbps=machine.link_mbps,
            cores=machine.cores,
            bounds=DeploymentBounds(
                stop=self.stop,
                retry_share=self.retries.share,
                retry_extra=self.retries.extra,
                retry_window=self.retries.window,
            ),
        )


def _check_router(
    settings: RouterSettings, report: Callable[[str, str, str], None]
) -> None:
    if settings.data_centre not in settings.data_centres:
        report(
            "data_centre",
            f"{settings.data_centre!r} is none of the data centres.",
            "Name it among 'data_centres' as well.",
        )
    check_document(settings.configuration, report, "configuration")


def load_router_settings(
    text: str, file: str = "settings.yaml"
) -> Result[RouterSettings, tuple[Finding, ...]]:
    """Return the settings parsed from YAML text, or all errors found."""
    return load_document(text, RouterSettings, file, _check_router)

"""Decode the settings file that the platform writes for a process."""

from __future__ import annotations

from typing import Any

import yaml
from expression import Error, Ok, Result

from lynxchute.edge.settings import Bounds, EdgeSettings
from lynxchute.settings import Address

SETTINGS_VARIABLE = "LYNXCHUTE_SETTINGS"

# Which of the ports for traffic between the VMs the routers use; counted from
# the first one.
PEER_PORT_OFFSET = 0


def decode_settings(text: str) -> Result[EdgeSettings, tuple[str, ...]]:
    """Return the settings in a file, or everything that is wrong with them."""
    try:
        document = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        return Error((f"this is not YAML: {error}",))
    if not isinstance(document, dict):
        return Error(("the settings are no mapping",))
    reader = _Reader(document)
    settings = EdgeSettings(
        vm=reader.text("node_name"),
        data_centre=reader.text("zone"),
        data_centres=tuple(reader.mapping("zones")),
        callers=reader.address("listen", "front"),
        # Where the platform asks whether this router takes new connections.
        readiness=reader.address("listen", "ready"),
        peers=Address(reader.text("ip"), reader.first_port() + PEER_PORT_OFFSET),
        store=str(reader.address("platform", "address")),
        memory_mb=reader.number("limits", "memory_mb"),
        is_first_start=bool(document.get("bootstrap")),
        bounds=_bounds(reader),
    )
    if reader.findings:
        return Error(tuple(reader.findings))
    return Ok(settings)


def _bounds(reader: _Reader) -> Bounds:
    return Bounds(
        # Seconds that a process may take between SIGTERM and SIGKILL.
        stop=reader.number("bounds", "grace_s"),
        # Seconds after which a leaving upstream must get nothing new.
        drain=reader.number("bounds", "drain_timeout_ms") / 1000.0,
        # Seconds until a new configuration must be in force.
        configuration=reader.number("bounds", "config_apply_ms") / 1000.0,
        # Second sends that the whole fleet may make in a window: a share of
        # the requests, and a number on top.
        retry_share=reader.number("bounds", "retry_budget_ratio"),
        retry_extra=reader.number("bounds", "retry_budget_extra"),
        retry_window=reader.number("bounds", "budget_window_s"),
    )


class _Reader:
    """Read a document and collect everything that is missing or odd."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.findings: list[str] = []
        self._document = document

    def value(self, *path: str) -> Any:
        """Return what stands at a path, or None with a finding."""
        found: Any = self._document
        for name in path:
            if not isinstance(found, dict) or found.get(name) is None:
                self.findings.append(f"{'.'.join(path)} is missing")
                return None
            found = found[name]
        return found

    def text(self, *path: str) -> str:
        """Return a text."""
        return str(self.value(*path) or "")

    def mapping(self, *path: str) -> dict[str, Any]:
        """Return a mapping."""
        found = self.value(*path)
        return found if isinstance(found, dict) else {}

    def number(self, *path: str) -> float:
        """Return a number."""
        found = self.value(*path)
        if isinstance(found, int | float):
            return float(found)
        if found is not None:
            self.findings.append(f"{'.'.join(path)} is no number")
        return 0.0

    def address(self, *path: str) -> Address:
        """Return an address."""
        found = self.value(*path)
        if found is None:
            return Address("", 0)
        try:
            return Address.parse(found)
        except ValueError as error:
            self.findings.append(f"{'.'.join(path)}: {error}")
            return Address("", 0)

    def first_port(self) -> int:
        """Return the first of the ports between the VMs."""
        found = self.value("internal_ports")
        if isinstance(found, list) and found and isinstance(found[0], int):
            return found[0]
        self.findings.append("internal_ports is no list of two ports")
        return 0

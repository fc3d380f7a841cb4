"""Decode the settings file that the platform writes for a process."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
import yaml
from expression import Error, Ok, Result

from lynxchute.address import Address
from lynxchute.edge.settings import (
    DEFAULT_LINK_MBPS,
    DeploymentBounds,
    EdgeSettings,
    Features,
)
from lynxchute.upstreams.cold_admission import ADMISSIONS_BY_NAME, FirstRegistered
from lynxchute.upstreams.rate_sharing import SHARINGS_BY_NAME, MostlyCentral

SETTINGS_VARIABLE = "LYNXCHUTE_SETTINGS"
# The port for metrics stands in the deploy file only, which hands it on here.
METRICS_VARIABLE = "LYNXCHUTE_METRICS_PORT"
# Where the other routers reach this one, as host:port, if a relay stands
# between them.
PEERS_VARIABLE = "LYNXCHUTE_PEERS_REACHED_AT"

# Which way says what cold upstreams get; for comparisons on played days.
COLD_VARIABLE = "LYNXCHUTE_COLD_ADMISSION"
RATE_VARIABLE = "LYNXCHUTE_RATE_SHARING"

# Features that are on, by their names with commas between, in place of those that the
# settings ask for; "none" for none of them.
FEATURES_VARIABLE = "LYNXCHUTE_FEATURES"
NO_FEATURES = "none"
# What each entry under `contracts` in the settings asks for. A pool of upstreams is
# shared by many accounts and routers; pressure is what slow readers do to memory.
# `demand_lines` is named by hand only: where all routers die, it loses paid tokens.
FEATURES_BY_CONTRACT = {
    "pool": ("processor_guard", "fair_shares", "learned_speeds", "hedging"),
    "pressure": ("memory_guard",),
}

# Which of the ports for traffic between the VMs the routers use; counted from
# the first one.
PEER_PORT_OFFSET = 0


def decode_settings(
    text: str, environment: Mapping[str, str]
) -> Result[EdgeSettings, tuple[str, ...]]:
    """Return the settings of a process, or everything that is wrong with them.

    Parameters
    ----------
    text
        The settings file.
    environment
        The variables of the process.
    """
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
        link_mbps=reader.limit("link_mbps", DEFAULT_LINK_MBPS),
        # A share of one core, which is so many times as fast as a usual one.
        cores=reader.limit("cpu_share", 1.0) * reader.limit("cores", 1.0),
        metrics=_metrics(reader, environment),
        is_first_start=bool(document.get("bootstrap")),
        cold_admission=_way(
            reader, environment, COLD_VARIABLE, ADMISSIONS_BY_NAME, FirstRegistered.NAME
        ),
        rate_sharing=_way(
            reader, environment, RATE_VARIABLE, SHARINGS_BY_NAME, MostlyCentral.NAME
        ),
        store_spans_parts=reader.flag("platform", "across"),
        peers_reached_at=_peers_reached_at(reader, environment),
        bounds=_bounds(reader),
        features=_features(reader, environment),
    )
    if reader.findings:
        return Error(tuple(reader.findings))
    return Ok(settings)


def _metrics(reader: _Reader, environment: Mapping[str, str]) -> Address | None:
    port = environment.get(METRICS_VARIABLE, "")
    if not port:
        return None
    if not port.isdigit():
        reader.findings.append(f"the variable {METRICS_VARIABLE} is no port")
        return None
    return Address(reader.text("ip"), int(port))


def _way(
    reader: _Reader,
    environment: Mapping[str, str],
    variable: str,
    known: Mapping[str, object],
    usual: str,
) -> str:
    """Return the name of a decision's way that the environment asks for."""
    name = environment.get(variable, "") or usual
    if name not in known:
        listed = ", ".join(known)
        reader.findings.append(f"the variable {variable} is none of {listed}")
    return name


def _features(reader: _Reader, environment: Mapping[str, str]) -> Features:
    """Return the features that the environment names, or that the contracts ask for."""
    named = environment.get(FEATURES_VARIABLE, "")
    wanted: list[str] = []
    if not named:
        for contract in reader.texts("contracts"):
            wanted.extend(FEATURES_BY_CONTRACT.get(contract, ()))
    elif named != NO_FEATURES:
        wanted = named.split(",")
    known = [field.name for field in attrs.fields(Features)]
    listed = ", ".join(known)
    for name in wanted:
        if name not in known:
            finding = f"{FEATURES_VARIABLE} has {name}, which is none of {listed}"
            reader.findings.append(f"the variable {finding}")
    return Features(**{name: True for name in known if name in wanted})


def _peers_reached_at(
    reader: _Reader, environment: Mapping[str, str]
) -> Address | None:
    text = environment.get(PEERS_VARIABLE, "")
    if not text:
        return None
    try:
        return Address.parse(text)
    except ValueError as error:
        reader.findings.append(f"the variable {PEERS_VARIABLE}: {error}")
        return None


def _bounds(reader: _Reader) -> DeploymentBounds:
    usual = DeploymentBounds()
    return DeploymentBounds(
        # Seconds that a process may take between SIGTERM and SIGKILL.
        stop=reader.bound("grace_s", usual.stop),
        # Seconds after which a leaving upstream must get nothing new.
        drain=reader.bound("drain_timeout_ms", usual.drain * 1000) / 1000.0,
        # Seconds until a new configuration must be in force.
        configuration=reader.bound("config_apply_ms", usual.configuration * 1000)
        / 1000.0,
        # What a cold upstream may get in a second: so many times what it bears, and a
        # number on top.
        cold_factor=reader.bound("cold_over", usual.cold_factor),
        cold_extra=reader.bound("cold_slack", usual.cold_extra),
        # Second sends that the whole fleet may make in a window: a share of
        # the requests, and a number on top.
        retry_share=reader.bound("retry_budget_ratio", usual.retry_share),
        retry_extra=reader.bound("retry_budget_extra", usual.retry_extra),
        retry_window=reader.bound("budget_window_s", usual.retry_window),
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

    def texts(self, name: str) -> list[str]:
        """Return a list of texts; it is empty where nothing says so."""
        found = self._document.get(name)
        if not isinstance(found, list):
            return []
        return [item for item in found if isinstance(item, str)]

    def flag(self, section: str, name: str) -> bool:
        """Return whether something is on; it is off where nothing says so."""
        found = self._document.get(section)
        return isinstance(found, dict) and found.get(name) is True

    def bound(self, name: str, usual: float) -> float:
        """Return a figure of the deployment, or the usual one where it has none."""
        return self._number_or("bounds", name, usual)

    def limit(self, name: str, usual: float) -> float:
        """Return what the process has, or what is usual where nothing says so."""
        return self._number_or("limits", name, usual)

    def _number_or(self, section: str, name: str, usual: float) -> float:
        found = self._document.get(section)
        if not isinstance(found, dict) or found.get(name) is None:
            return usual
        return self.number(section, name)

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

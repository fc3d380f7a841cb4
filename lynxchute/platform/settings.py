"""Decode the YAML settings file that the platform writes for each process."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
import yaml
from expression import Error, Ok, Result

from lynxchute.address import Address
from lynxchute.edge.settings import (
    DEFAULT_LINK_MBPS,
    DEFAULT_OPEN_FILES,
    DeploymentBounds,
    EdgeSettings,
    Features,
)
from lynxchute.upstreams.cold_admission import ADMISSIONS_BY_NAME, FirstRegistered
from lynxchute.upstreams.rate_sharing import SHARINGS_BY_NAME, MostlyCentral

SETTINGS_VARIABLE = "LYNXCHUTE_SETTINGS"
# The metrics port is not in the settings file; the deploy file passes it in this
# variable.
METRICS_VARIABLE = "LYNXCHUTE_METRICS_PORT"
# host:port at which other routers reach this one if a proxy is between them.
PEERS_VARIABLE = "LYNXCHUTE_PEERS_REACHED_AT"

# Variables that select the algorithms for admission to cold upstreams and for sharing
# upstream rate limits, by name; they are set to compare algorithms in simulated days.
COLD_VARIABLE = "LYNXCHUTE_COLD_ADMISSION"
RATE_VARIABLE = "LYNXCHUTE_RATE_SHARING"

# Comma-separated names of the enabled features, in place of those that the settings
# ask for; "none" disables all.
FEATURES_VARIABLE = "LYNXCHUTE_FEATURES"
NO_FEATURES = "none"
# Features that each entry under `contracts` in the settings enables. "pool" is for
# upstreams shared by many accounts and routers, "pressure" for slow readers that fill
# the memory. `demand_lines` must be named explicitly, because it loses paid tokens if
# all routers die.
FEATURES_BY_CONTRACT = {
    "pool": ("processor_guard", "fair_shares", "learned_speeds", "hedging"),
    "pressure": ("memory_guard",),
}

# Offset of the routers' port in the range of ports for traffic between VMs.
PEER_PORT_OFFSET = 0


def decode_settings(
    text: str, environment: Mapping[str, str]
) -> Result[EdgeSettings, tuple[str, ...]]:
    """Return the settings of a process, or a list of all errors in them.

    Parameters
    ----------
    text
        Content of the settings file.
    environment
        Environment variables of the process.
    """
    try:
        document = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        return Error((f"this is not YAML: {error}",))
    if not isinstance(document, dict):
        return Error(("the settings are no mapping",))
    reader = _SettingsReader(document)
    settings = EdgeSettings(
        vm=reader.text("node_name"),
        data_centre=reader.text("zone"),
        data_centres=tuple(reader.mapping("zones")),
        callers=reader.address("listen", "front"),
        # The platform's readiness checks arrive here.
        readiness=reader.address("listen", "ready"),
        peers=Address(reader.text("ip"), reader.first_port() + PEER_PORT_OFFSET),
        store=str(reader.address("platform", "address")),
        memory_mb=reader.number("limits", "memory_mb"),
        max_open_files=reader.limit("max_open_files", DEFAULT_OPEN_FILES),
        link_mbps=reader.limit("link_mbps", DEFAULT_LINK_MBPS),
        # The share of a core, times the core's speed relative to a standard core.
        cores=reader.limit("cpu_share", 1.0) * reader.limit("cores", 1.0),
        metrics=_metrics(reader, environment),
        is_first_start=bool(document.get("bootstrap")),
        cold_admission=_named_choice(
            reader, environment, COLD_VARIABLE, ADMISSIONS_BY_NAME, FirstRegistered.NAME
        ),
        rate_sharing=_named_choice(
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


def _metrics(reader: _SettingsReader, environment: Mapping[str, str]) -> Address | None:
    port = environment.get(METRICS_VARIABLE, "")
    if not port:
        return None
    if not port.isdigit():
        reader.findings.append(f"the variable {METRICS_VARIABLE} is no port")
        return None
    return Address(reader.text("ip"), int(port))


def _named_choice(
    reader: _SettingsReader,
    environment: Mapping[str, str],
    variable: str,
    known: Mapping[str, object],
    default: str,
) -> str:
    """Return the algorithm name in an environment variable, or the default."""
    name = environment.get(variable, "") or default
    if name not in known:
        listed = ", ".join(known)
        reader.findings.append(f"the variable {variable} is none of {listed}")
    return name


def _features(reader: _SettingsReader, environment: Mapping[str, str]) -> Features:
    """Return the features enabled by the environment, or else by the contracts."""
    value = environment.get(FEATURES_VARIABLE, "")
    requested: list[str] = []
    if not value:
        for contract in reader.string_list("contracts"):
            requested.extend(FEATURES_BY_CONTRACT.get(contract, ()))
    elif value != NO_FEATURES:
        requested = value.split(",")
    known = [field.name for field in attrs.fields(Features)]
    listed = ", ".join(known)
    for name in requested:
        if name not in known:
            finding = f"{FEATURES_VARIABLE} has {name}, which is none of {listed}"
            reader.findings.append(f"the variable {finding}")
    return Features(**{name: True for name in known if name in requested})


def _peers_reached_at(
    reader: _SettingsReader, environment: Mapping[str, str]
) -> Address | None:
    text = environment.get(PEERS_VARIABLE, "")
    if not text:
        return None
    try:
        return Address.parse(text)
    except ValueError as error:
        reader.findings.append(f"the variable {PEERS_VARIABLE}: {error}")
        return None


def _bounds(reader: _SettingsReader) -> DeploymentBounds:
    defaults = DeploymentBounds()
    return DeploymentBounds(
        # Seconds between SIGTERM and SIGKILL.
        stop=reader.bound("grace_s", defaults.stop),
        # Seconds after which a draining upstream must receive no new requests.
        drain=reader.bound("drain_timeout_ms", defaults.drain * 1000) / 1000.0,
        # Seconds within which a new configuration must take effect.
        configuration=reader.bound("config_apply_ms", defaults.configuration * 1000)
        / 1000.0,
        # Requests per second allowed to a cold upstream: a multiple of its rate while
        # cold, plus a constant.
        cold_factor=reader.bound("cold_over", defaults.cold_factor),
        cold_extra=reader.bound("cold_slack", defaults.cold_extra),
        # Retries allowed to the whole fleet in a window of seconds: a share of the
        # requests, plus a constant.
        retry_share=reader.bound("retry_budget_ratio", defaults.retry_share),
        retry_extra=reader.bound("retry_budget_extra", defaults.retry_extra),
        retry_window=reader.bound("budget_window_s", defaults.retry_window),
    )


class _SettingsReader:
    """Read typed values from a document and collect errors instead of raising."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.findings: list[str] = []
        self._document = document

    def value(self, *path: str) -> Any:
        """Return the value at a path; if it is missing, record that and return None."""
        found: Any = self._document
        for name in path:
            if not isinstance(found, dict) or found.get(name) is None:
                self.findings.append(f"{'.'.join(path)} is missing")
                return None
            found = found[name]
        return found

    def text(self, *path: str) -> str:
        """Return a required value as a string."""
        return str(self.value(*path) or "")

    def mapping(self, *path: str) -> dict[str, Any]:
        """Return a required mapping, or an empty one for any other type."""
        found = self.value(*path)
        return found if isinstance(found, dict) else {}

    def number(self, *path: str) -> float:
        """Return a required number, or 0 with a recorded error."""
        found = self.value(*path)
        if isinstance(found, int | float):
            return float(found)
        if found is not None:
            self.findings.append(f"{'.'.join(path)} is no number")
        return 0.0

    def string_list(self, name: str) -> list[str]:
        """Return the strings of an optional list."""
        found = self._document.get(name)
        if not isinstance(found, list):
            return []
        return [item for item in found if isinstance(item, str)]

    def flag(self, section: str, name: str) -> bool:
        """Return an optional boolean; it is false by default."""
        found = self._document.get(section)
        return isinstance(found, dict) and found.get(name) is True

    def bound(self, name: str, default: float) -> float:
        """Return a number from `bounds`, or the default."""
        return self._number_or("bounds", name, default)

    def limit(self, name: str, default: float) -> float:
        """Return a number from `limits`, or the default."""
        return self._number_or("limits", name, default)

    def _number_or(self, section: str, name: str, default: float) -> float:
        found = self._document.get(section)
        if not isinstance(found, dict) or found.get(name) is None:
            return default
        return self.number(section, name)

    def address(self, *path: str) -> Address:
        """Return a required address, or an empty one with a recorded error."""
        found = self.value(*path)
        if found is None:
            return Address("", 0)
        try:
            return Address.parse(found)
        except ValueError as error:
            self.findings.append(f"{'.'.join(path)}: {error}")
            return Address("", 0)

    def first_port(self) -> int:
        """Return the first port of the range for traffic between VMs."""
        found = self.value("internal_ports")
        if isinstance(found, list) and found and isinstance(found[0], int):
            return found[0]
        self.findings.append("internal_ports is no list of two ports")
        return 0

"""Keep the configuration in force, version by version.

Versions are rows of the platform's table, each inserted at the next number;
so two changes made at once are serialised. A router goes to higher numbers
only. It hears of them from the platform, or from other routers while the
platform is out of reach.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import cattrs
from absl import logging
from expression import Error, Ok, Result

from lynxchute.application import Component, Loop
from lynxchute.configuration import Configuration, check_configuration
from lynxchute.node import Node
from lynxchute.peers import PeerUnreachable
from lynxchute.peers.messages import (
    ConfigurationNotice,
    ConfigurationReply,
    ConfigurationRequest,
)
from lynxchute.tables import (
    Committed,
    OutcomeUnknown,
    Row,
    Swap,
    Transaction,
    Unavailable,
)

VERSION_PREFIX = "configuration/"
VERSION_DIGITS = 9
POLL_INTERVAL = 1.0
TRIES = 5

_converter = cattrs.Converter()

Change = Callable[[Configuration], Result[Configuration, str]]


def version_key(version: int) -> str:
    """Return the key of a version."""
    return f"{VERSION_PREFIX}{version:0{VERSION_DIGITS}d}"


def to_body(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration as JSON values."""
    body: dict[str, Any] = _converter.unstructure(configuration)
    return body


def from_body(body: dict[str, Any]) -> Configuration:
    """Return a configuration from JSON values."""
    return _converter.structure(body, Configuration)


@attrs.frozen
class Accepted:
    """A change that became a version.

    Attributes
    ----------
    before
        Operations of others that came between reading and writing.
    """

    version: int
    before: tuple[str, ...] = ()


class Configurations(Component):
    """Hold the newest version that this router has heard of.

    Parameters
    ----------
    node
        This incarnation; its configuration is replaced.
    """

    def __init__(self, node: Node) -> None:
        self.listeners: list[Callable[[Configuration], None]] = []
        self._node = node
        self._loop = Loop("configurations", self.poll, POLL_INTERVAL)

    async def start(self) -> None:
        """Learn the newest version, then watch for others."""
        await self._read_all()
        await self._loop.start()

    async def stop(self) -> None:
        """End at once."""
        await self._loop.stop()

    def adopt(self, version: int, body: dict[str, Any]) -> None:
        """Bring a version into force, if it is newer."""
        node = self._node
        if version <= node.configuration_version:
            return
        node.configuration = from_body(body)
        node.configuration_version = version
        logging.info("configuration version %d is in force", version)
        for listener in self.listeners:
            listener(node.configuration)

    def serve(self) -> ConfigurationReply:
        """Return the version in force."""
        node = self._node
        body = to_body(node.configuration)
        return ConfigurationReply(node.configuration_version, body)

    def take(self, notice: ConfigurationNotice) -> ConfigurationReply:
        """Take a version from another router."""
        self.adopt(notice.version, notice.body)
        return ConfigurationReply(self._node.configuration_version)

    async def fetch_from(self, vm: str) -> None:
        """Take the version in force at another router."""
        try:
            reply = await self._node.peers.ask(vm, ConfigurationRequest())
        except PeerUnreachable:
            return
        self.adopt(reply.version, reply.body)

    async def poll(self) -> None:
        """Ask the platform for the next version."""
        while True:
            key = version_key(self._node.configuration_version + 1)
            try:
                rows = await self._node.table.read(keys=(key,))
            except Unavailable:
                return
            if key not in rows:
                return
            self.adopt(self._node.configuration_version + 1, rows[key]["body"])

    async def change(
        self, change: Change, operation: str, operator: str
    ) -> Result[Accepted, str]:
        """Make a change the next version.

        Parameters
        ----------
        change
            Returns the changed configuration, or why it cannot be.
        operation
            Names the change; the same one is made once.
        """
        before: list[str] = []
        unknown = False
        for _ in range(TRIES):
            try:
                rows = await self._node.table.read(prefixes=(VERSION_PREFIX,))
            except Unavailable:
                return Error(_away(unknown))
            done = self._find(rows, operation)
            if done:
                return Ok(Accepted(done, tuple(before)))
            version, current = self._newest(rows)
            result = change(current)
            if result.is_error():
                return Error(result.error)
            problems = _problems(result.ok)
            if problems:
                return Error(" ".join(problems))
            try:
                won = await self._insert(version + 1, result.ok, operation, operator)
            except Unavailable:
                return Error(_away(unknown))
            except OutcomeUnknown:
                unknown = True
                continue
            if won is None:
                self.adopt(version + 1, to_body(result.ok))
                return Ok(Accepted(version + 1, tuple(before)))
            before.append(f"{won['operation']} by {won['operator']}")
        return Error(f"not done: others came first: {', '.join(before)}")

    async def spread(self, version: int) -> dict[str, int]:
        """Tell every router of a version; return what is in force, by VM."""
        node = self._node
        body = to_body(node.configuration)
        notice = ConfigurationNotice(node.configuration_version, body)
        vms = [peer.vm for peer in node.settings.peers]
        replies = await asyncio.gather(*[self._tell(vm, notice) for vm in vms])
        found = {node.settings.vm: node.configuration_version}
        for vm, in_force in zip(vms, replies, strict=True):
            if in_force is not None:
                found[vm] = in_force
        return found

    async def _tell(self, vm: str, notice: ConfigurationNotice) -> int | None:
        try:
            reply = await self._node.peers.ask(vm, notice)
        except PeerUnreachable:
            return None
        return reply.version

    async def _read_all(self) -> None:
        try:
            rows = await self._node.table.read(prefixes=(VERSION_PREFIX,))
        except Unavailable:
            return
        if rows:
            key = max(rows)
            self.adopt(int(key.removeprefix(VERSION_PREFIX)), rows[key]["body"])

    def _find(self, rows: dict[str, Row], operation: str) -> int:
        for key, row in rows.items():
            if row["operation"] == operation:
                return int(key.removeprefix(VERSION_PREFIX))
        return 0

    def _newest(self, rows: dict[str, Row]) -> tuple[int, Configuration]:
        """Return the newest version known here or to the platform."""
        node = self._node
        if not rows:
            return node.configuration_version, node.configuration
        key = max(rows)
        version = int(key.removeprefix(VERSION_PREFIX))
        if version < node.configuration_version:
            return node.configuration_version, node.configuration
        return version, from_body(rows[key]["body"])

    async def _insert(
        self, version: int, new: Configuration, operation: str, operator: str
    ) -> Row | None:
        """Insert a version; return the row that stood there first."""
        row = {"body": to_body(new), "operation": operation, "operator": operator}
        swap = Swap(version_key(version), None, row)
        outcome = await self._node.table.write(Transaction((swap,)))
        if isinstance(outcome, Committed):
            return None
        found = outcome.rows_by_key[swap.key] or {}
        return None if found == row else found


def _away(unknown: bool) -> str:
    if unknown:
        return "unknown: the platform's answer was lost; repeat it with the same id"
    return "not done: the platform is out of reach, and it keeps the versions"


def _problems(configuration: Configuration) -> list[str]:
    found: list[str] = []

    def report(path: str, problem: str, advice: str) -> None:
        found.append(f"{path}: {problem} {advice}")

    check_configuration(configuration, report)
    return found

"""Build `attrs` classes from YAML documents and report errors with their location."""

from __future__ import annotations

import difflib
import enum
import math
import types
import typing
from typing import Any

import attrs
import yaml
from expression import Error, Ok, Result

DOC = "doc"
LOW = "low"
HIGH = "high"


@attrs.frozen
class Finding:
    """One error in a document.

    Attributes
    ----------
    file, line, column
        Location in the file; lines and columns count from 1.
    path
        Path of the value within the document, such as ``routes[2].model``.
    problem
        Description of the error.
    advice
        How to fix the error.
    """

    file: str
    line: int
    column: int
    path: str
    problem: str
    advice: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}:{self.column}"
        return f"{location}: {self.path or 'document'}: {self.problem} {self.advice}"


def option(
    *,
    doc: str,
    default: Any = attrs.NOTHING,
    factory: Any = None,
    low: float | None = None,
    high: float | None = None,
) -> Any:
    """Declare one setting.

    Parameters
    ----------
    doc
        Description with the unit; the settings reference prints it.
    default, factory
        Default value; a setting with neither of them is required.
    low, high
        Minimum and maximum of a number.
    """
    metadata = {DOC: doc, LOW: low, HIGH: high}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata, kw_only=True)
    return attrs.field(default=default, metadata=metadata, kw_only=True)


class Structurer:
    """Build typed values from one YAML document and collect its errors.

    Parameters
    ----------
    file
        File name that the findings show.
    """

    def __init__(self, file: str) -> None:
        self.findings: list[Finding] = []
        self._file = file
        self._marks_by_path: dict[str, yaml.Mark] = {}

    def load(self, text: str, cls: type[Any]) -> Any:
        """Return the document as an instance of a class, or None if that fails."""
        try:
            node = yaml.compose(text, Loader=yaml.SafeLoader)
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark or yaml.Mark(self._file, 0, 0, 0, None, 0)
            self._marks_by_path[""] = mark
            self.report("", f"This is not YAML: {error.problem}.", "Mend the syntax.")
            return None
        except yaml.YAMLError as error:
            self._marks_by_path[""] = yaml.Mark(self._file, 0, 0, 0, None, 0)
            self.report("", f"This is not YAML: {error}.", "Use printable text only.")
            return None
        if node is None:
            self._marks_by_path[""] = yaml.Mark(self._file, 0, 0, 0, None, 0)
            self.report("", "The document is empty.", "Write the settings in it.")
            return None
        return self._build(node, cls, "")

    def report(self, path: str, problem: str, advice: str) -> None:
        """Add a finding at a path, or at its nearest parent with a known location."""
        location = path
        while location not in self._marks_by_path and location:
            location = location[: max(location.rfind("."), location.rfind("["), 0)]
        mark = self._marks_by_path[location]
        self.findings.append(
            Finding(self._file, mark.line + 1, mark.column + 1, path, problem, advice)
        )

    def _build(self, node: yaml.Node, kind: Any, path: str) -> Any:
        self._marks_by_path.setdefault(path, node.start_mark)
        origin = typing.get_origin(kind)
        arguments = typing.get_args(kind)
        if origin in (types.UnionType, typing.Union):
            return self._build_optional(node, arguments, path)
        if origin is tuple:
            return self._build_sequence(node, arguments[0], path)
        if origin is dict:
            return self._build_mapping(node, arguments[1], path)
        if attrs.has(kind) and not hasattr(kind, "parse"):
            return self._build_class(node, kind, path)
        return self._build_scalar(node, kind, path)

    def _build_optional(
        self, node: yaml.Node, arguments: tuple[Any, ...], path: str
    ) -> Any:
        if node.tag == "tag:yaml.org,2002:null":
            return None
        kind = next(item for item in arguments if item is not type(None))
        return self._build(node, kind, path)

    def _build_sequence(self, node: yaml.Node, kind: Any, path: str) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            self.report(path, "A list belongs here.", "Begin each item with '- '.")
            return ()
        items = []
        for index, child in enumerate(node.value):
            items.append(self._build(child, kind, f"{path}[{index}]"))
        return tuple(items)

    def _build_mapping(self, node: yaml.Node, kind: Any, path: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            self.report(path, "A mapping belongs here.", "Write 'name: value' lines.")
            return {}
        built = {}
        for key_node, child in node.value:
            key = str(key_node.value)
            built[key] = self._build(child, kind, f"{path}.{key}".lstrip("."))
        return built

    def _build_class(self, node: yaml.Node, cls: type[Any], path: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            self.report(path, "A mapping belongs here.", "Write 'name: value' lines.")
            return None
        hints = typing.get_type_hints(cls)
        fields = {field.name: field for field in attrs.fields(cls)}
        values = self._build_members(node, fields, hints, path)
        for name, field in fields.items():
            if name not in values and field.default is attrs.NOTHING:
                self.report(
                    path, f"The setting {name!r} is missing.", f"Add '{name}: …'."
                )
                values[name] = None
        return cls(**values)

    def _build_members(
        self, node: yaml.MappingNode, fields: dict[str, Any], hints: Any, path: str
    ) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, child in node.value:
            name = str(key_node.value)
            location = f"{path}.{name}".lstrip(".")
            self._marks_by_path[location] = key_node.start_mark
            if name not in fields:
                self.report(
                    location,
                    f"No setting is called {name!r}.",
                    _suggestion(name, fields),
                )
                continue
            if name in values:
                self.report(
                    location, f"The setting {name!r} stands twice.", "Keep one."
                )
                continue
            values[name] = self._build(child, hints[name], location)
            self._check_bounds(values[name], fields[name].metadata, location)
        return values

    def _check_bounds(self, value: Any, metadata: Any, path: str) -> None:
        if not isinstance(value, int | float) or isinstance(value, bool):
            return
        if math.isnan(value):
            self.report(path, "This is no number.", "Give one.")
            return
        low, high = metadata.get(LOW), metadata.get(HIGH)
        if low is not None and value < low:
            self.report(path, f"{value} is too small.", f"Give at least {low}.")
        if high is not None and value > high:
            self.report(path, f"{value} is too large.", f"Give at most {high}.")

    def _build_scalar(self, node: yaml.Node, kind: Any, path: str) -> Any:
        if hasattr(kind, "parse"):
            return self._parse(kind, node, path)
        if not isinstance(node, yaml.ScalarNode):
            self.report(path, "One value belongs here.", f"Give a {kind.__name__}.")
            return None
        if isinstance(kind, type) and issubclass(kind, enum.Enum):
            return self._build_enum(node, kind, path)
        value = yaml.SafeLoader("").construct_object(node)
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is kind:
            return value
        self.report(path, f"{node.value!r} is no {kind.__name__}.", "Change the value.")
        return None

    def _build_enum(self, node: yaml.Node, kind: type[enum.Enum], path: str) -> Any:
        names = [member.value for member in kind]
        if node.value in names:
            return kind(node.value)
        self.report(
            path, f"{node.value!r} is not known.", _suggestion(node.value, names)
        )
        return None

    def _parse(self, kind: Any, node: yaml.Node, path: str) -> Any:
        loader = yaml.SafeLoader("")
        try:
            return kind.parse(loader.construct_object(node, deep=True))
        except ValueError as error:
            self.report(path, f"{error}.", kind.ADVICE)
            return None


def _suggestion(name: str, known: Any) -> str:
    close = difflib.get_close_matches(name, list(known), n=1)
    if close:
        return f"Did you mean {close[0]!r}?"
    return f"Known here: {', '.join(sorted(known))}."


def load_document(
    text: str, cls: type[Any], file: str, check: Any = None
) -> Result[Any, tuple[Finding, ...]]:
    """Build a class from a YAML document.

    Parameters
    ----------
    text
        The document.
    cls
        An `attrs` class whose fields are declared with `option`.
    file
        File name that the findings show.
    check
        Validates the built value across its fields. It is called with the value and
        a function that reports a finding, unless the document already has findings.

    Returns
    -------
    Result
        The built value, or all findings.
    """
    structurer = Structurer(file)
    value = structurer.load(text, cls)
    if not structurer.findings and check is not None:
        check(value, structurer.report)
    if structurer.findings:
        return Error(tuple(structurer.findings))
    return Ok(value)

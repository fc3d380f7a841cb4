"""Generate the settings reference from the settings classes."""

from __future__ import annotations

import enum
import typing
from typing import Any

import attrs

from lynxchute._structure import DOC, HIGH, LOW
from lynxchute.settings import RouterSettings
from lynxchute.standins.daemon import StandinSettings


def describe(cls: type[Any], title: str) -> list[str]:
    """Return the Markdown lines for a settings class and its nested classes."""
    lines = [f"## {title}", "", (cls.__doc__ or "").strip().splitlines()[0], ""]
    lines.extend(["| setting | default | meaning |", "| --- | --- | --- |"])
    hints = typing.get_type_hints(cls)
    nested: list[tuple[type[Any], str]] = []
    for field in attrs.fields(cls):
        lines.append(f"| `{field.name}` | {_default(field)} | {_meaning(field)} |")
        kind = _nested_class(hints[field.name])
        if kind is not None:
            nested.append((kind, f"{title}.{field.name}"))
    lines.append("")
    for kind, path in nested:
        lines.extend(describe(kind, path))
    return lines


def _default(field: Any) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):  # type: ignore[arg-type]
        return "as below, or empty"
    if isinstance(field.default, enum.Enum):
        return f"`{field.default.value}`"
    return f"`{field.default}`"


def _meaning(field: Any) -> str:
    text = str(field.metadata.get(DOC, ""))
    low, high = field.metadata.get(LOW), field.metadata.get(HIGH)
    if low is not None:
        text += f" At least {low}."
    if high is not None:
        text += f" At most {high}."
    return text


def _nested_class(kind: Any) -> type[Any] | None:
    """Return the settings class that a type contains, or None."""
    for part in (kind, *typing.get_args(kind)):
        if attrs.has(part) and not hasattr(part, "parse"):
            found: type[Any] = part
            return found
    return None


def reference() -> str:
    """Return the complete settings reference in Markdown."""
    lines = ["# Settings", "", "Made by `make reference`; do not edit.", ""]
    lines.extend(describe(RouterSettings, "router"))
    lines.extend(describe(StandinSettings, "standins"))
    return "\n".join(lines).rstrip() + "\n"


def main() -> None:
    """Print the reference."""
    print(reference(), end="")


if __name__ == "__main__":
    main()

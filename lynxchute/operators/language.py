"""Parser and printer for the operators' language."""

from __future__ import annotations

import difflib
from functools import cache
from importlib import resources
from typing import Any

import attrs
import lark
from expression import Error, Ok, Result

from lynxchute.operators.statements import (
    Command,
    Compare,
    Condition,
    CreateAccount,
    DropAccount,
    Evacuate,
    Release,
    ReleasePart,
    RevokeEvacuation,
    SetDraining,
    SetService,
    SetWeight,
    Show,
    Statement,
    TopUpStatement,
    Value,
)

MAX_LENGTH = 4096
KEYWORDS = (
    "show", "top", "up", "by", "as", "where", "and", "group", "order", "limit",
    "drain", "undrain", "vm", "upstream", "create", "drop", "account", "key",
    "set", "service", "weight", "compare", "version", "with", "asc", "desc", "evacuate",
    "take", "back", "data", "centre", "anyway",
)  # fmt: skip


@attrs.frozen
class Mistake:
    """A syntax error in a statement.

    Attributes
    ----------
    column
        Position of the error, counted from 1.
    expected
        Keywords and token types that are valid at that position.
    suggestion
        The valid word closest to the one found; empty if none is similar.
    """

    column: int
    problem: str
    expected: tuple[str, ...] = ()
    suggestion: str = ""

    def __str__(self) -> str:
        text = f"column {self.column}: {self.problem}"
        if self.suggestion:
            text += f" Did you mean {self.suggestion!r}?"
        if self.expected:
            text += f" Expected: {', '.join(self.expected)}."
        return text


@cache
def _parser() -> lark.Lark:
    grammar = resources.files("lynxchute.operators").joinpath("language.lark")
    return lark.Lark(
        grammar.read_text(encoding="utf-8"),
        parser="lalr",
        lexer="contextual",
        maybe_placeholders=True,
        propagate_positions=True,
    )


def parse(text: str) -> Result[Statement, tuple[Mistake, ...]]:
    """Parse a statement; return it, or the syntax errors found.

    Examples
    --------
    >>> parse("top up kanda by 500 as t1").ok
    TopUpStatement(account='kanda', tokens=500, operation='t1')
    >>> print(parse("shaw budgets").error[0])
    column 1: 'shaw' cannot stand here. Did you mean 'show'? Expected: compare, \
create, drain, drop, evacuate, release, set, show, take, top, undrain.
    """
    if len(text) > MAX_LENGTH:
        problem = f"A statement has at most {MAX_LENGTH} characters."
        return Error((Mistake(MAX_LENGTH + 1, problem),))
    try:
        tree = _parser().parse(text)
    except lark.UnexpectedInput as error:
        return Error((_mistake_from(error, text),))
    return Ok(_StatementBuilder().transform(tree))


def _mistake_from(error: lark.UnexpectedInput, text: str) -> Mistake:
    if isinstance(error, lark.UnexpectedToken):
        names = error.accepts or error.expected
        word = str(error.token)
        column = error.column if error.token.type != "$END" else len(text) + 1
    else:
        names = getattr(error, "allowed", None) or set()
        start = error.pos_in_stream or 0
        word = text[start:].split(maxsplit=1)[0] if text[start:].split() else ""
        column = start + 1
    expected = tuple(sorted(_terminal_label(name) for name in names))
    problem = f"{word!r} cannot stand here." if word else "The statement ends early."
    matches = difflib.get_close_matches(word.lower(), expected, n=1)
    return Mistake(column, problem, expected, matches[0] if matches else "")


def _terminal_label(terminal: str) -> str:
    if terminal == "$END":
        return "the end"
    return terminal.lower()


class _StatementBuilder(lark.Transformer[Any, Statement]):
    """Convert a parse tree into a statement; each method handles a grammar rule."""

    def number(self, items: list[Any]) -> int:
        return int(items[0])

    def word(self, items: list[Any]) -> str:
        return str(items[0])

    def string(self, items: list[Any]) -> str:
        return str(items[0])[1:-1]

    def condition(self, items: list[Any]) -> Condition:
        return Condition(str(items[0]), str(items[1]), items[2])

    def where(self, items: list[Any]) -> tuple[Condition, ...]:
        return tuple(items)

    def group(self, items: list[Any]) -> tuple[str, ...]:
        return tuple(str(item) for item in items)

    def order(self, items: list[Any]) -> tuple[str, bool]:
        return str(items[0]), str(items[1] or "asc").lower() == "desc"

    def limit(self, items: list[Any]) -> int:
        return int(items[0])

    def operation(self, items: list[Any]) -> str:
        return str(items[0])

    def show(self, items: list[Any]) -> Show:
        collection, where, group, order, limit = items
        column, descending = order or ("", False)
        return Show(
            str(collection), where or (), group or (), column, descending, limit
        )

    def top_up(self, items: list[Any]) -> TopUpStatement:
        return TopUpStatement(str(items[0]), int(items[1]), items[2] or "")

    def drain(self, items: list[Any]) -> SetDraining:
        return SetDraining(str(items[0]).lower(), str(items[1]), True, items[2] or "")

    def undrain(self, items: list[Any]) -> SetDraining:
        return SetDraining(str(items[0]).lower(), str(items[1]), False, items[2] or "")

    def create_account(self, items: list[Any]) -> CreateAccount:
        return CreateAccount(str(items[0]), str(items[1]), items[2] or "")

    def drop_account(self, items: list[Any]) -> DropAccount:
        return DropAccount(str(items[0]), items[1] or "")

    def set_upstream(self, items: list[Any]) -> SetService:
        return SetService(str(items[0]), str(items[1]), items[2] or "")

    def set_weight(self, items: list[Any]) -> SetWeight:
        return SetWeight(str(items[0]), int(items[1]), items[2] or "")

    def release(self, items: list[Any]) -> Release:
        return Release(str(items[0]))

    def release_part(self, items: list[Any]) -> ReleasePart:
        return ReleasePart(str(items[0]))

    def evacuate(self, items: list[Any]) -> Evacuate:
        return Evacuate(str(items[0]), items[1] is not None)

    def take_back(self, items: list[Any]) -> RevokeEvacuation:
        return RevokeEvacuation(str(items[0]))

    def compare(self, items: list[Any]) -> Compare:
        return Compare(int(items[0]), int(items[1]))


def to_text(statement: Statement) -> str:
    """Format a statement as text that parses back to the same statement."""
    match statement:
        case Show():
            return _show_text(statement)
        case Compare(first, second):
            return f"compare version {first} with {second}"
        case Evacuate() | RevokeEvacuation():
            return _evacuation_text(statement)
        case Release(content):
            return f"release request {content}"
        case ReleasePart(part):
            return f"release part {part}"
        case _:
            text = _configuration_text(statement)
    return f"{text} as {statement.operation}" if statement.operation else text


def _configuration_text(statement: Command) -> str:
    """Format a statement that changes the configuration, without operation id."""
    match statement:
        case TopUpStatement(account, tokens):
            return f"top up {account} by {tokens}"
        case SetDraining(kind, name, draining):
            return f"{'drain' if draining else 'undrain'} {kind} {name}"
        case CreateAccount(account, key_hash):
            return f"create account {account} key {key_hash}"
        case DropAccount(account):
            return f"drop account {account}"
        case SetWeight(account, weight):
            return f"set account {account} weight {weight}"
        case SetService(upstream, service):
            return f"set upstream {upstream} service {service}"


def _evacuation_text(statement: Evacuate | RevokeEvacuation) -> str:
    if isinstance(statement, RevokeEvacuation):
        return f"take back data centre {statement.data_centre}"
    word = " anyway" if statement.is_forced else ""
    return f"evacuate data centre {statement.data_centre}{word}"


def _show_text(show: Show) -> str:
    parts = [f"show {show.collection}"]
    if show.where:
        conditions = [
            f"{c.column} {c.comparison} {_value_text(c.value)}" for c in show.where
        ]
        parts.append("where " + " and ".join(conditions))
    if show.group:
        parts.append("group by " + ", ".join(show.group))
    if show.order:
        parts.append(f"order by {show.order}{' desc' if show.descending else ''}")
    if show.limit is not None:
        parts.append(f"limit {show.limit}")
    return " ".join(parts)


def _value_text(value: Value) -> str:
    return str(value) if isinstance(value, int) else f"'{value}'"

"""Filter, group and sort the rows of a collection."""

from __future__ import annotations

import difflib
import operator
from collections.abc import Callable, Iterable
from typing import Any

from expression import Error, Ok, Result

from lynxchute.operators.statements import Condition, Show

Row = dict[str, Any]

COUNT = "count"

_COMPARATORS: dict[str, Callable[[Any, Any], Any]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
    "~": lambda left, right: str(right) in str(left),
}


def run_query(
    show: Show, columns: tuple[str, ...], rows: Iterable[Row]
) -> Result[list[Row], tuple[str, ...]]:
    """Return the rows selected by a query, or all errors found in it.

    Parameters
    ----------
    columns
        Names of the columns that the collection has.
    """
    mistakes = _find_mistakes(show, columns)
    if mistakes:
        return Error(tuple(mistakes))
    selected = [row for row in rows if _matches_all(row, show.where)]
    if show.group:
        selected = _group_rows(selected, show.group)
    if show.order:
        selected.sort(key=lambda row: _sort_key(row.get(show.order)))
        if show.descending:
            selected.reverse()
    if show.limit is not None:
        selected = selected[: show.limit]
    return Ok(selected)


def suggest_name(word: str, known: Iterable[str]) -> str:
    """Return a hint for an unknown name: the closest match, or all known names."""
    names = sorted(known)
    close = difflib.get_close_matches(word, names, n=1)
    if close:
        return f"Did you mean {close[0]!r}?"
    return f"Known: {', '.join(names)}."


def _find_mistakes(show: Show, columns: tuple[str, ...]) -> list[str]:
    mistakes = []
    sortable = (*columns, COUNT) if show.group else columns
    references = [
        *((condition.column, columns) for condition in show.where),
        *((name, columns) for name in show.group),
    ]
    if show.order:
        references.append((show.order, sortable))
    for name, known in references:
        if name not in known:
            advice = suggest_name(name, known)
            mistakes.append(f"{show.collection} has no column {name!r}. {advice}")
    return mistakes


def _matches_all(row: Row, conditions: tuple[Condition, ...]) -> bool:
    for condition in conditions:
        left = row.get(condition.column)
        try:
            if not _COMPARATORS[condition.comparison](left, condition.value):
                return False
        except TypeError:
            return False
    return True


def _group_rows(rows: list[Row], group: tuple[str, ...]) -> list[Row]:
    """Return one row per group, with row count and sums of integer columns."""
    sums: dict[tuple[Any, ...], Row] = {}
    for row in rows:
        key = tuple(row.get(name) for name in group)
        total = sums.setdefault(key, {**dict(zip(group, key, strict=True)), COUNT: 0})
        total[COUNT] += 1
        for name, value in row.items():
            if name in group or isinstance(value, bool) or not isinstance(value, int):
                continue
            total[name] = total.get(name, 0) + value
    return list(sums.values())


def _sort_key(value: Any) -> tuple[bool, bool, Any]:
    """Return a sort key for mixed values: None, then numbers, then strings."""
    if value is None:
        return (False, False, 0)
    if isinstance(value, int | float):
        return (True, False, value)
    return (True, True, str(value))

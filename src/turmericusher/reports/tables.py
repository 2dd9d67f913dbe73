"""Tables of any benchmark's result, independent of its schema.

A result is nested JSON. Objects whose figures have the same names become rows of one
table, labelled by their path in the result.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeGuard

Figure = str | int | float | bool | None
Figures = dict[str, Figure]


@dataclass(frozen=True, slots=True)
class Table:
    """Rows of cells; the first cell is the row's label, which has no column name."""

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def build_tables(result: Mapping[str, object]) -> list[Table]:
    """Return the tables of a result, in the order of their first rows."""
    grouped: dict[tuple[str, ...], list[tuple[str, ...]]] = {}
    for label, figures in iterate_groups(result, ""):
        cells = tuple(format_figure(figure) for figure in figures.values())
        grouped.setdefault(tuple(figures), []).append((label, *cells))
    return [Table(columns, tuple(rows)) for columns, rows in grouped.items()]


def iterate_groups(value: object, path: str) -> Iterator[tuple[str, Figures]]:
    """Yield the path and the direct figures of each object in a value.

    Each item of a list is one group, with all its nested figures.
    """
    if isinstance(value, Mapping):
        own = {str(key): item for key, item in value.items() if is_figure(item)}
        if own:
            yield path, own
        for key, item in value.items():
            yield from iterate_groups(item, f"{path}.{key}".lstrip("."))
    elif isinstance(value, Sequence) and not isinstance(value, str):
        for number, item in enumerate(value):
            yield f"{path}[{number}]", dict(flatten_figures(item))


def flatten_figures(value: object, name: str = "") -> Iterator[tuple[str, Figure]]:
    """Yield every figure inside a value with its dotted path."""
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from flatten_figures(item, f"{name}.{key}".lstrip("."))
    elif isinstance(value, Sequence) and not isinstance(value, str):
        for number, item in enumerate(value):
            yield from flatten_figures(item, f"{name}[{number}]")
    elif is_figure(value):
        yield name or "value", value


def is_figure(value: object) -> TypeGuard[Figure]:
    """Whether a value is a scalar, which fits into one cell."""
    return value is None or isinstance(value, str | int | float)


def format_figure(figure: Figure) -> str:
    """Return a figure as the text of a Markdown cell."""
    if isinstance(figure, float):
        return f"{figure:.6g}"
    return str(figure).replace("|", "\\|").replace("\n", " ")


def render_table(table: Table) -> str:
    """Return a table as Markdown."""
    lines = [
        render_row(("", *table.columns)),
        render_row(["---"] * (len(table.columns) + 1)),
        *(render_row(row) for row in table.rows),
    ]
    return "\n".join(lines) + "\n"


def render_row(cells: Sequence[str]) -> str:
    """Return one row as Markdown."""
    return "| " + " | ".join(cells) + " |"

"""The page of measurements: each benchmark's command, its figures and its plots."""

from __future__ import annotations

import fnmatch
from collections.abc import Mapping
from dataclasses import dataclass

from turmericusher.reports.plots import BarChart, LinePlot, Series
from turmericusher.reports.tables import build_tables, flatten_figures, render_table


@dataclass(frozen=True, slots=True)
class Measurement:
    """One run of a benchmark; `failure` is the reason when there is no result."""

    name: str
    command: str
    seconds: float = 0.0
    result: Mapping[str, object] | None = None
    failure: str = ""


@dataclass(frozen=True, slots=True)
class RunConditions:
    """The conditions of a run: commit, processors and load averages."""

    commit: str
    processors: int
    load_before: tuple[float, ...]
    load_after: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class BarSource:
    """A bar chart of every figure whose dotted name matches the glob `pattern`."""

    benchmark: str
    title: str
    unit: str
    pattern: str


@dataclass(frozen=True, slots=True)
class LineSource:
    """A line plot of the objects in the list `rows` of a result.

    Each distinct value of the field `by` gets a line; `x` and `y` are the fields that
    give a point's coordinates.
    """

    benchmark: str
    title: str
    rows: str
    by: str
    x: str
    y: str


PlotSource = BarSource | LineSource


def build_plot(
    source: PlotSource, result: Mapping[str, object]
) -> BarChart | LinePlot | None:
    """Return the plot of a result, or None if the result has no such figures."""
    match source:
        case BarSource():
            return build_bar_chart(source, result)
        case LineSource():
            return build_line_plot(source, result)


def build_bar_chart(source: BarSource, result: Mapping[str, object]) -> BarChart | None:
    """Return a bar for each numeric figure that matches, or None without any."""
    bars = tuple(
        (name, float(figure))
        for name, figure in flatten_figures(result)
        if fnmatch.fnmatchcase(name, source.pattern) and isinstance(figure, int | float)
    )
    return BarChart(source.title, source.unit, bars) if bars else None


def build_line_plot(
    source: LineSource, result: Mapping[str, object]
) -> LinePlot | None:
    """Return the lines of a list of objects, or None if no object has a point."""
    rows = result.get(source.rows)
    lines: dict[str, list[tuple[float, float]]] = {}
    for row in rows if isinstance(rows, list) else []:
        figures = dict(flatten_figures(row))
        x, y = figures.get(source.x), figures.get(source.y)
        if isinstance(x, int | float) and isinstance(y, int | float):
            name = str(figures.get(source.by, ""))
            lines.setdefault(name, []).append((float(x), float(y)))
    if not lines:
        return None
    series = tuple(Series(name, tuple(points)) for name, points in lines.items())
    return LinePlot(source.title, source.x, source.y, series)


def render_page(
    conditions: RunConditions,
    measurements: list[Measurement],
    plots: Mapping[str, list[str]],
) -> str:
    """Return the page as Markdown; `plots` holds the image paths of each benchmark."""
    parts = [render_heading(conditions)]
    for measurement in measurements:
        parts.append(f"## {measurement.name}\n\n    {measurement.command}\n")
        if measurement.result is None:
            parts.append(f"**No figures: {measurement.failure}**\n")
            continue
        parts.append(f"Took {measurement.seconds:.1f} s.\n")
        parts += [f"![{path}]({path})\n" for path in plots.get(measurement.name, [])]
        parts += [render_table(table) for table in build_tables(measurement.result)]
    return "\n".join(parts)


def render_heading(conditions: RunConditions) -> str:
    """Return the heading, which states the commit and the load of the host."""
    before = ", ".join(f"{load:.2f}" for load in conditions.load_before)
    after = ", ".join(f"{load:.2f}" for load in conditions.load_after)
    return (
        "# Measurements\n\n"
        "Written by `python -m benchmarks.all --seed N`; do not edit by hand. The git\n"
        "history of this page is the record of the figures.\n\n"
        f"Commit {conditions.commit}; {conditions.processors} processors; "
        "load averages\n"
        f"over 1, 5 and 15 minutes {before} before and {after} after the run.\n"
    )

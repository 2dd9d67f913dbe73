"""Line plots and bar charts as SVG, written without a plotting library."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch
from xml.sax.saxutils import escape

WIDTH_PX = 720
PLOT_HEIGHT_PX = 360
MARGIN_PX = 60
LEGEND_ROW_PX = 18
BAR_ROW_PX = 22
BAR_LABEL_PX = 340
TICK_INTERVALS = 5
MAX_AXIS_FRACTION = 1_000.0
"""Axis lengths by which a point may lie outside the plot; values beyond are clamped."""
COLOURS = ("#1b6ca8", "#c0392b", "#27864a", "#8e44ad", "#b9770e", "#555555")


@dataclass(frozen=True, slots=True)
class Series:
    """One line of a plot: its name and its points (x, y)."""

    name: str
    points: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class LinePlot:
    """Lines that share two axes, both of which begin at zero."""

    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]


@dataclass(frozen=True, slots=True)
class BarChart:
    """Labelled bars whose values share one unit."""

    title: str
    unit: str
    bars: tuple[tuple[str, float], ...]


@singledispatch
def render_svg(plot: object) -> str:
    """Return a plot as an SVG document."""
    raise NotImplementedError(f"plot={plot!r} cannot be drawn")


@render_svg.register
def render_line_plot(plot: LinePlot) -> str:
    """Draw a line plot with its legend below it, without points that are not finite."""
    series = [Series(s.name, finite_points(s.points)) for s in plot.series]
    points = [point for line in series for point in line.points]
    x_end = axis_end([x for x, _ in points])
    y_end = axis_end([y for _, y in points])
    height = PLOT_HEIGHT_PX + LEGEND_ROW_PX * len(series)
    parts = [*render_axes(plot, x_end, y_end)]
    for number, line in enumerate(series):
        colour = COLOURS[number % len(COLOURS)]
        pixels = [(x_pixel(x, x_end), y_pixel(y, y_end)) for x, y in line.points]
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in pixels)
        parts.append(
            f'<polyline points="{path}" fill="none" stroke="{colour}" '
            'stroke-width="2"/>'
        )
        y = PLOT_HEIGHT_PX + LEGEND_ROW_PX * number
        parts.append(text(MARGIN_PX, y, line.name, colour=colour))
    return render_document(height + LEGEND_ROW_PX, parts)


@render_svg.register
def render_bar_chart(chart: BarChart) -> str:
    """Draw a bar chart with one row for each bar whose value is finite."""
    bars = [(label, value) for label, value in chart.bars if math.isfinite(value)]
    end = axis_end([value for _, value in bars])
    max_bar_width = WIDTH_PX - BAR_LABEL_PX - 2 * MARGIN_PX
    parts = [text(10, 24, f"{chart.title} ({chart.unit})", size=15)]
    for number, (label, value) in enumerate(bars):
        y = 48 + BAR_ROW_PX * number
        width = max(0.0, value) / end * max_bar_width
        parts.append(text(BAR_LABEL_PX, y + 12, label, anchor="end"))
        parts.append(
            f'<rect x="{BAR_LABEL_PX + 8}" y="{y}" width="{width:.1f}" height="15" '
            f'fill="{COLOURS[0]}"/>'
        )
        parts.append(text(BAR_LABEL_PX + 14 + width, y + 12, f"{value:.6g}"))
    return render_document(60 + BAR_ROW_PX * len(bars), parts)


def render_axes(plot: LinePlot, x_end: float, y_end: float) -> list[str]:
    """Return the SVG elements of the title, the axes and their tick labels."""
    bottom, right = PLOT_HEIGHT_PX - MARGIN_PX, WIDTH_PX - MARGIN_PX
    parts = [
        text(10, 24, plot.title, size=15),
        text(right, bottom + 36, plot.x_label, anchor="end"),
        text(MARGIN_PX, MARGIN_PX - 14, plot.y_label),
        f'<path d="M{MARGIN_PX},{MARGIN_PX} V{bottom} H{right}" fill="none" '
        'stroke="#333333"/>',
    ]
    for number in range(TICK_INTERVALS + 1):
        fraction = number / TICK_INTERVALS
        x, y = x_end * fraction, y_end * fraction
        parts.append(text(x_pixel(x, x_end), bottom + 18, f"{x:.3g}", anchor="middle"))
        parts.append(text(MARGIN_PX - 6, y_pixel(y, y_end) + 4, f"{y:.3g}", "end"))
    return parts


def x_pixel(value: float, end: float) -> float:
    """Return the x coordinate in pixels of a value."""
    return MARGIN_PX + axis_fraction(value, end) * (WIDTH_PX - 2 * MARGIN_PX)


def y_pixel(value: float, end: float) -> float:
    """Return the y coordinate in pixels of a value."""
    height = PLOT_HEIGHT_PX - 2 * MARGIN_PX
    return PLOT_HEIGHT_PX - MARGIN_PX - axis_fraction(value, end) * height


def axis_fraction(value: float, end: float) -> float:
    """Return a value as a fraction of an axis, clamped far outside the plot."""
    return max(-MAX_AXIS_FRACTION, min(value / end, MAX_AXIS_FRACTION))


def axis_end(values: Sequence[float]) -> float:
    """Return the largest value, where the axis ends; 1 if none is positive."""
    end = max(values, default=0.0)
    return end if end > 0 else 1.0


def finite_points(
    points: Sequence[tuple[float, float]],
) -> tuple[tuple[float, float], ...]:
    """Return the points with finite coordinates, sorted by x."""
    kept = [(x, y) for x, y in points if math.isfinite(x) and math.isfinite(y)]
    return tuple(sorted(kept))


def text(
    x: float,
    y: float,
    content: str,
    anchor: str = "start",
    colour: str = "#222222",
    size: int = 12,
) -> str:
    """Return a text element without unprintable characters, which XML may forbid."""
    printable = "".join(character for character in content if character.isprintable())
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" fill="{colour}" '
        f'font-size="{size}">{escape(printable)}</text>'
    )


def render_document(height: float, parts: Sequence[str]) -> str:
    """Return an SVG document of the given height with a white background."""
    body = "\n".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" '
        f'height="{height:.0f}" font-family="sans-serif">\n'
        f'<rect width="100%" height="100%" fill="white"/>\n{body}\n</svg>\n'
    )

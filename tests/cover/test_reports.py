"""Test tables and plots of results, and the reporting of failed benchmarks."""

import math
from xml.etree import ElementTree

from hypothesis import example, given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from benchmarks.all import PLOTS, parse_result, run_benchmark
from turmericusher.reports.measurements import (
    BarSource,
    LineSource,
    Measurement,
    RunConditions,
    build_plot,
    render_page,
)
from turmericusher.reports.plots import BarChart, LinePlot, Series, render_svg
from turmericusher.reports.tables import Table, build_tables, render_table

RESULT = {
    "seed": 7,
    "steady": {"direct": {"p50": 1.25, "p95": 2}, "through": {"p50": 3, "p95": 4}},
    "runs": [
        {"policy": "a", "load": 1, "goodput": {"lost": 0.5}},
        {"policy": "a", "load": 2, "goodput": {"lost": 0.25}},
        {"policy": "b|c", "load": 1, "goodput": {"lost": 1.0}},
    ],
}
MACHINE = RunConditions("abc", 4, (1.0, 2.0, 3.0), (4.0, 5.0, 6.0))
numbers = st.floats() | st.integers(-5, 5).map(float)
labels = st.text(max_size=8)
results = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
)


class TablesTest(TestCase):
    def test_objects_with_the_same_figures_share_a_table(self) -> None:
        expected = [
            Table(("seed",), (("", "7"),)),
            Table(
                ("p50", "p95"),
                (("steady.direct", "1.25", "2"), ("steady.through", "3", "4")),
            ),
            Table(
                ("policy", "load", "goodput.lost"),
                (
                    ("runs[0]", "a", "1", "0.5"),
                    ("runs[1]", "a", "2", "0.25"),
                    ("runs[2]", "b\\|c", "1", "1"),
                ),
            ),
        ]
        self.assertEqual(expected, build_tables(RESULT))

    @given(st.dictionaries(st.text(max_size=5), results, max_size=4))
    def test_any_result_has_tables_with_complete_rows(self, result: dict) -> None:
        for table in build_tables(result):
            self.assertEqual({len(table.columns) + 1}, {len(row) for row in table.rows})
            render_table(table)


class PlotsTest(TestCase):
    def test_matching_figures_become_bars(self) -> None:
        source = BarSource("path", "Medians", "ms", "steady.*.p50")
        expected = (("steady.direct.p50", 1.25), ("steady.through.p50", 3.0))
        self.assertEqual(expected, build_plot(source, RESULT).bars)

    def test_rows_become_a_line_for_each_policy(self) -> None:
        source = LineSource("load", "t", "runs", "policy", "load", "goodput.lost")
        expected = (
            Series("a", ((1.0, 0.5), (2.0, 0.25))),
            Series("b|c", ((1.0, 1.0),)),
        )
        self.assertEqual(expected, build_plot(source, RESULT).series)

    @parameterized.expand([(str(n), source) for n, source in enumerate(PLOTS)])
    def test_a_result_without_the_figures_has_no_plot(self, _name, source) -> None:
        self.assertIsNone(build_plot(source, {"seed": 1, "runs": 3}))

    @given(labels, st.lists(st.tuples(labels, st.lists(st.tuples(numbers, numbers)))))
    @example("", [("", [(0.0, 3.595386269724632e307)])])
    @example("", [("", [(0.0, -1.7e308), (5e-324, 1e-300)])])
    @example("", [("", [(-1.7e308, 1.7e308), (1.7e308, -1.7e308)])])
    def test_any_plot_is_well_formed(self, title: str, lines: list) -> None:
        series = tuple(Series(name, tuple(points)) for name, points in lines)
        bars = tuple((name, points[0][0]) for name, points in lines if points)
        for plot in (LinePlot(title, title, title, series), BarChart(title, "", bars)):
            drawing = ElementTree.fromstring(render_svg(plot))
            for element in drawing.iter():
                for value in element.attrib.values():
                    self.assertNotIn(value, ("nan", "inf", "-inf"))

    def test_points_are_drawn_at_their_values(self) -> None:
        plot = LinePlot("t", "x", "y", (Series("a", ((2.0, 4.0), (0.0, 0.0))),))
        self.assertIn('points="60.0,300.0 660.0,60.0"', render_svg(plot))
        chart = BarChart("t", "ms", (("a", 2.0), ("b", 1.0), ("c", math.nan)))
        widths = [
            element.get("width")
            for element in ElementTree.fromstring(render_svg(chart))
        ]
        self.assertEqual(["260.0", "130.0"], [w for w in widths if w and "." in w])


class MeasurementTest(TestCase):
    def test_the_page_shows_commit_load_figures_and_failures(self) -> None:
        good = Measurement("path", "python -m benchmarks.path", 1.25, {"seed": 7})
        bad = Measurement("load", "python -m benchmarks.load", failure="failed, x")
        page = render_page(MACHINE, [good, bad], {"path": ["plots/path-0.svg"]})
        for part in ("Commit abc", "1.00, 2.00, 3.00", "| seed |", "Took 1.2 s",
                     "](plots/path-0.svg)", "No figures: failed, x"):  # fmt: skip
            self.assertIn(part, page)

    @parameterized.expand(
        [
            ("missing", "nothing", 1, 60.0, "no such module"),
            ("silent", "harness", 1, 60.0, "no JSON object in ''"),
            ("fails", "load", "x", 60.0, "failed with status 2: "),
            ("too_slow", "load", 1, 0.0, "failed, over 0 s"),
        ]
    )
    def test_a_benchmark_without_a_result_has_failed(
        self, _name: str, benchmark: str, seed, limit_s: float, part: str
    ) -> None:
        measurement = run_benchmark(benchmark, seed, limit_s)
        self.assertIsNone(measurement.result)
        self.assertIn(part, measurement.failure)

    @parameterized.expand(
        [("empty", ""), ("no_json", "x\n"), ("list", "[]"), ("cut", '{"a": 1')]
    )
    def test_an_output_without_an_object_is_a_failure(
        self, _name: str, output: str
    ) -> None:
        measurement = parse_result("path", "command", 1.0, output)
        self.assertIn("no JSON object", measurement.failure)
        self.assertIsNone(measurement.result)

    def test_the_last_line_is_the_result(self) -> None:
        measurement = parse_result("path", "command", 1.0, 'noise\n{"seed": 1}\n')
        self.assertEqual({"seed": 1}, measurement.result)

"""Metrics reach statsd, are kept for the dump, and never fail their caller."""

import math
import socket

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from turmericusher.metrics import MAX_NAMES, Metrics, close_metrics, open_metrics

RECEIVE_LIMIT_S = 5.0
names = st.text(max_size=30)
figures = st.integers(min_value=-(10**9), max_value=10**9) | st.floats()


class MetricsTest(TestCase):
    def receive(self, metrics_use) -> list[str]:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(RECEIVE_LIMIT_S)
            address = f"127.0.0.1:{receiver.getsockname()[1]}"
            with open_metrics(address, "test") as metrics:
                sent = metrics_use(metrics)
            return [receiver.recv(1024).decode() for _ in range(sent)]

    def test_each_kind_is_sent_in_the_form_of_statsd(self) -> None:
        def use(metrics: Metrics) -> int:
            metrics.count("requests")
            metrics.count("tokens", 12)
            metrics.timing("wait", 0.25)
            metrics.gauge("in flight:now", 3)
            return 4

        expected = [
            "test.requests:1|c",
            "test.tokens:12|c",
            "test.wait:250.000000|ms",
            "test.in_flight_now:3|g",
        ]
        self.assertEqual(expected, self.receive(use))

    def test_figures_are_kept_without_an_address(self) -> None:
        metrics = Metrics()
        metrics.count("requests")
        metrics.count("requests", 2)
        metrics.gauge("in_flight", 4)
        metrics.timing("wait", 0.5)
        metrics.timing("wait", 0.25)
        expected = {
            "counts": {"requests": 3},
            "gauges": {"in_flight": 4},
            "timings": {"wait": {"count": 2, "total_s": 0.75, "longest_s": 0.5}},
        }
        self.assertEqual(expected, metrics.snapshot())

    @given(names, figures)
    def test_no_name_and_no_figure_raises(self, name: str, figure: float) -> None:
        with open_metrics("127.0.0.1:9", "test") as metrics:
            metrics.count(name, figure)
            metrics.timing(name, figure)
            metrics.gauge(name, figure)
            self.assertEqual(1, len(metrics.counts))

    def test_an_unreachable_or_closed_receiver_is_no_fault(self) -> None:
        with open_metrics("[::1]:9", "test") as metrics:
            close_metrics(metrics)
            metrics.count("requests", math.inf)
            self.assertEqual({"requests": math.inf}, metrics.counts)

    def test_names_made_from_input_do_not_fill_the_memory(self) -> None:
        metrics = Metrics()
        for number in range(MAX_NAMES + 50):
            metrics.count(f"team-{number}")
            metrics.timing(f"team-{number}", 1.0)
            metrics.gauge(f"team-{number}", 1.0)
        sizes = [len(part) for part in metrics.snapshot().values()]
        self.assertEqual([MAX_NAMES] * 3, sizes)

"""Metrics reach statsd, are kept for the state dump and never fail their caller."""

import math
import socket

import aiohttp
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import unused_loopback_host
from turmericusher.api.metrics import METRICS_PATH, STATE_PATH, metrics_app
from turmericusher.metrics import (
    MAX_NAMES,
    Metrics,
    close_metrics,
    open_metrics,
    render_prometheus,
)
from turmericusher.web_server import serving_app

LINE = (
    r"^(# TYPE \w+ (counter|gauge|histogram)"
    r"|\w+\{name=\"[A-Za-z0-9_.-]*\"(,le=\"[^\"]+\")?\} [-+0-9.einfa]+)$"
)
RECEIVE_LIMIT_S = 5.0
names = st.text(max_size=30)
sample_values = st.integers(min_value=-(10**9), max_value=10**9) | st.floats()


class ExpositionTest(TestCase):
    def test_histogram_buckets_are_cumulative(self) -> None:
        metrics = Metrics()
        for seconds in (0.01, 0.03, 0.03, 99.0):
            metrics.timing("wait", seconds)
        lines = render_prometheus(metrics).splitlines()
        buckets = [int(line.split()[-1]) for line in lines if "_bucket" in line]
        self.assertEqual([1, 3], buckets[:2])
        self.assertEqual(sorted(buckets), buckets)
        self.assertEqual(4, buckets[-1])
        self.assertIn('turmericusher_seconds_count{name="wait"} 4', lines)

    @given(st.dictionaries(names, sample_values), st.dictionaries(names, sample_values))
    def test_every_line_is_a_sample_or_a_type(self, counts, gauges) -> None:
        metrics = Metrics()
        for name, value in counts.items():
            metrics.count(name, value)
        for name, value in gauges.items():
            metrics.gauge(name, value)
        for line in render_prometheus(metrics).splitlines():
            self.assertRegex(line, LINE)

    @run_async
    async def test_the_metrics_app_serves_metrics_but_no_state(self) -> None:
        address = f"{unused_loopback_host()}:20004"
        async with (
            serving_app(metrics_app(Metrics(counts={"a": 2})), address),
            aiohttp.ClientSession() as session,
        ):
            async with session.get(f"http://{address}{METRICS_PATH}") as response:
                self.assertIn('events_total{name="a"} 2', await response.text())
            async with session.get(f"http://{address}{STATE_PATH}") as response:
                self.assertEqual(404, response.status)


class MetricsTest(TestCase):
    def statsd_datagrams(self, use) -> list[str]:
        """Return the datagrams that a statsd server receives from a use of metrics.

        `use` returns how many datagrams it sent.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(RECEIVE_LIMIT_S)
            address = f"127.0.0.1:{receiver.getsockname()[1]}"
            with open_metrics(address, "test") as metrics:
                sent = use(metrics)
            return [receiver.recv(1024).decode() for _ in range(sent)]

    def test_each_kind_is_sent_in_the_statsd_format(self) -> None:
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
        self.assertEqual(expected, self.statsd_datagrams(use))

    def test_metrics_are_kept_without_a_statsd_address(self) -> None:
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

    @given(names, sample_values)
    def test_no_name_and_no_value_raises(self, name: str, sample_value: float) -> None:
        with open_metrics("127.0.0.1:9", "test") as metrics:
            metrics.count(name, sample_value)
            metrics.timing(name, sample_value)
            metrics.gauge(name, sample_value)
            self.assertEqual(1, len(metrics.counts))

    def test_an_unreachable_or_closed_receiver_raises_nothing(self) -> None:
        with open_metrics("[::1]:9", "test") as metrics:
            close_metrics(metrics)
            metrics.count("requests", math.inf)
            self.assertEqual({"requests": math.inf}, metrics.counts)

    def test_the_number_of_metric_names_is_bounded(self) -> None:
        metrics = Metrics()
        for number in range(MAX_NAMES + 50):
            metrics.count(f"team-{number}")
            metrics.timing(f"team-{number}", 1.0)
            metrics.gauge(f"team-{number}", 1.0)
        sizes = [len(part) for part in metrics.snapshot().values()]
        self.assertEqual([MAX_NAMES] * 3, sizes)

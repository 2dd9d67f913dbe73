"""Metrics: statsd datagrams over UDP, and the same figures in memory for state dumps.

Recording a metric never raises; a datagram that cannot be sent is lost.
"""

from __future__ import annotations

import bisect
import re
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import lru_cache

from statsd import StatsClient

MAX_NAMES = 1_000
MILLISECONDS_PER_S = 1_000.0
UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]")


BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
"""Upper bounds of the latency histograms in seconds. They span the latency targets,
100 ms to 5 s."""


@dataclass(slots=True)
class TimingSummary:
    """The count, the total and the longest of the durations under one name, in seconds.

    `buckets` counts the durations up to each bound in `BUCKETS_S`, without those up to
    the bound before; the last bucket counts those above all bounds.
    """

    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0
    buckets: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))


@dataclass(slots=True)
class Metrics:
    """Counts, timings and gauges of one process.

    Values go to `client`, if there is one, and are kept in memory. At most `MAX_NAMES`
    names of each kind are kept, so that names derived from input cannot exhaust memory.
    """

    client: StatsClient | None = None
    counts: dict[str, float] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)
    timings: dict[str, TimingSummary] = field(default_factory=dict)

    def count(self, name: str, value: float = 1) -> None:
        """Add `value` to the counter `name`."""
        if can_keep(self.counts, name):
            self.counts[name] = self.counts.get(name, 0) + value
        if self.client is not None:
            self.client.incr(sanitize_name(name), value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration of `seconds` under `name`."""
        if can_keep(self.timings, name):
            summary = self.timings.setdefault(name, TimingSummary())
            summary.count += 1
            summary.total_s += seconds
            summary.longest_s = max(summary.longest_s, seconds)
            summary.buckets[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        if self.client is not None:
            self.client.timing(sanitize_name(name), seconds * MILLISECONDS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to its current value."""
        if can_keep(self.gauges, name):
            self.gauges[name] = value
        if self.client is not None:
            self.client.gauge(sanitize_name(name), value)

    def snapshot(self) -> dict[str, object]:
        """Return all counts, gauges and timings as JSON values."""
        timings = {
            name: {
                "count": summary.count,
                "total_s": summary.total_s,
                "longest_s": summary.longest_s,
            }
            for name, summary in self.timings.items()
        }
        return {
            "counts": dict(self.counts),
            "gauges": dict(self.gauges),
            "timings": timings,
        }


def create_metrics(address: str | None, prefix: str = "turmericusher") -> Metrics:
    """Return metrics sent to `address` (`ip:port`), or only kept if it is None."""
    if address is None:
        return Metrics()
    host, _, port = address.rpartition(":")
    client = StatsClient(host.strip("[]"), int(port), prefix, ipv6=":" in host)
    # If the socket buffer is full, the datagram is dropped: blocking would stop the
    # event loop.
    client._sock.setblocking(False)
    return Metrics(client)


@contextmanager
def open_metrics(
    address: str | None, prefix: str = "turmericusher"
) -> Iterator[Metrics]:
    """Create the metrics of a process and close their socket on exit."""
    metrics = create_metrics(address, prefix)
    try:
        yield metrics
    finally:
        close_metrics(metrics)


def close_metrics(metrics: Metrics) -> None:
    """Close the socket; values recorded later are only kept in memory."""
    if metrics.client is not None:
        metrics.client.close()
        metrics.client = None


def can_keep(kept: dict[str, float] | dict[str, TimingSummary], name: str) -> bool:
    """Whether a value of that name may be kept within the limit on names."""
    return name in kept or len(kept) < MAX_NAMES


def render_prometheus(metrics: Metrics) -> str:
    """Return all metrics as text in the Prometheus exposition format.

    There is one metric for each kind, with the names as labels, so that a name derived
    from input does not create a new metric.
    """
    lines = ["# TYPE turmericusher_events_total counter"]
    for name, value in sorted(metrics.counts.items()):
        lines.append(
            f'turmericusher_events_total{{name="{sanitize_name(name)}"}} {value:g}'
        )
    lines.append("# TYPE turmericusher_state gauge")
    for name, value in sorted(metrics.gauges.items()):
        lines.append(f'turmericusher_state{{name="{sanitize_name(name)}"}} {value:g}')
    lines.append("# TYPE turmericusher_seconds histogram")
    for name, summary in sorted(metrics.timings.items()):
        lines.extend(histogram_lines(sanitize_name(name), summary))
    return "\n".join(lines) + "\n"


def histogram_lines(name: str, summary: TimingSummary) -> list[str]:
    """Return the lines of one histogram, whose buckets are cumulative."""
    lines, cumulative_count = [], 0
    for bound_s, count in zip((*BUCKETS_S, None), summary.buckets, strict=True):
        cumulative_count += count
        upper_bound = "+Inf" if bound_s is None else f"{bound_s:g}"
        lines.append(
            f'turmericusher_seconds_bucket{{name="{name}",le="{upper_bound}"}} '
            f"{cumulative_count}"
        )
    lines.append(f'turmericusher_seconds_sum{{name="{name}"}} {summary.total_s:g}')
    lines.append(f'turmericusher_seconds_count{{name="{name}"}} {summary.count}')
    return lines


@lru_cache(maxsize=MAX_NAMES)
def sanitize_name(name: str) -> str:
    """Replace the characters that have a meaning in statsd's line format."""
    return UNSAFE_CHARACTERS.sub("_", name)

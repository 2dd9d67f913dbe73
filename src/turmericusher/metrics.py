"""Metrics: statsd datagrams over UDP, with the same figures kept for the state dump.

Nothing here raises into the caller: a metric that cannot be sent is lost.
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
"""Upper bounds of the latency histograms in seconds, around the users' targets of
100 ms to 5 s."""


@dataclass(slots=True)
class TimingSummary:
    """How often something was timed, and its total and longest time in seconds.

    `buckets` counts the times up to each of `BUCKETS_S`, and those above all of them.
    """

    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0
    buckets: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))


@dataclass(slots=True)
class Metrics:
    """Counts, timings and gauges of one process.

    `client` sends them; None only keeps them in memory. At most `MAX_NAMES` names of
    each kind are kept, so that names made from input cannot fill the memory.
    """

    client: StatsClient | None = None
    counts: dict[str, float] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)
    timings: dict[str, TimingSummary] = field(default_factory=dict)

    def count(self, name: str, value: float = 1) -> None:
        """Add `value` to a count."""
        if has_room(self.counts, name):
            self.counts[name] = self.counts.get(name, 0) + value
        if self.client is not None:
            self.client.incr(safe_name(name), value)

    def timing(self, name: str, seconds: float) -> None:
        """Record how long something took."""
        if has_room(self.timings, name):
            summary = self.timings.setdefault(name, TimingSummary())
            summary.count += 1
            summary.total_s += seconds
            summary.longest_s = max(summary.longest_s, seconds)
            summary.buckets[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        if self.client is not None:
            self.client.timing(safe_name(name), seconds * MILLISECONDS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """Set the present value of something."""
        if has_room(self.gauges, name):
            self.gauges[name] = value
        if self.client is not None:
            self.client.gauge(safe_name(name), value)

    def snapshot(self) -> dict[str, object]:
        """Return every figure as plain JSON values."""
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


def make_metrics(address: str | None, prefix: str = "turmericusher") -> Metrics:
    """Return metrics that go to `address` (`ip:port`), or nowhere when it is None."""
    if address is None:
        return Metrics()
    host, _, port = address.rpartition(":")
    client = StatsClient(host.strip("[]"), int(port), prefix, ipv6=":" in host)
    # A full socket buffer must lose the datagram rather than hold up the event loop.
    client._sock.setblocking(False)
    return Metrics(client)


@contextmanager
def open_metrics(
    address: str | None, prefix: str = "turmericusher"
) -> Iterator[Metrics]:
    """Own the metrics of a process and close their socket at the end."""
    metrics = make_metrics(address, prefix)
    try:
        yield metrics
    finally:
        close_metrics(metrics)


def close_metrics(metrics: Metrics) -> None:
    """Close the socket; later figures are only kept in memory."""
    if metrics.client is not None:
        metrics.client.close()
        metrics.client = None


def has_room(kept: dict[str, float] | dict[str, TimingSummary], name: str) -> bool:
    """Whether a figure of that name may be kept."""
    return name in kept or len(kept) < MAX_NAMES


def exposition(metrics: Metrics) -> str:
    """Return every figure as text in the exposition format of Prometheus.

    Names are counted as labels of one metric of each kind, so that a name made from
    input makes no new metric.
    """
    lines = ["# TYPE turmericusher_events_total counter"]
    for name, value in sorted(metrics.counts.items()):
        lines.append(
            f'turmericusher_events_total{{name="{safe_name(name)}"}} {value:g}'
        )
    lines.append("# TYPE turmericusher_state gauge")
    for name, value in sorted(metrics.gauges.items()):
        lines.append(f'turmericusher_state{{name="{safe_name(name)}"}} {value:g}')
    lines.append("# TYPE turmericusher_seconds histogram")
    for name, summary in sorted(metrics.timings.items()):
        lines.extend(histogram_lines(safe_name(name), summary))
    return "\n".join(lines) + "\n"


def histogram_lines(name: str, summary: TimingSummary) -> list[str]:
    """Return the lines of one histogram."""
    lines, total = [], 0
    for bound_s, count in zip((*BUCKETS_S, None), summary.buckets, strict=True):
        total += count
        edge = "+Inf" if bound_s is None else f"{bound_s:g}"
        lines.append(
            f'turmericusher_seconds_bucket{{name="{name}",le="{edge}"}} {total}'
        )
    lines.append(f'turmericusher_seconds_sum{{name="{name}"}} {summary.total_s:g}')
    lines.append(f'turmericusher_seconds_count{{name="{name}"}} {summary.count}')
    return lines


@lru_cache(maxsize=MAX_NAMES)
def safe_name(name: str) -> str:
    """Replace the characters that statsd's line format gives a meaning."""
    return UNSAFE_CHARACTERS.sub("_", name)

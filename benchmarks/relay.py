"""Relayed streams: goodput under load, processor time per stream, cost of logging.

The goodput comes from a model of engines with the production decisions, with and
without the refusal of streams that would be late. Processor times are measured on this
machine.
"""

from __future__ import annotations

import io
import random
import time

from benchmarks.harness import parse_arguments, print_result
from benchmarks.load_costs import upstream
from benchmarks.relay_model import DURATION_S, ENGINES, PREFILL_S, TARGET_S, simulate
from tests.common.relay_fixtures import SERVICE, make_test_relay
from tests.common.streams import StuckStream
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.relay_messages import (
    EventArrived,
    LoadsReported,
    QueryLoads,
    StreamFinished,
    StreamOpened,
    UpstreamReport,
)
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import RequestKind
from turmericusher.log_queue import bounded_logs
from turmericusher.logs import log_event

LOADS = (0.5, 0.75, 1.0, 1.5, 2.0, 3.0)
FLEET_SIZES = ((7, 12), (86, 89), (420, 3200))
"""Entry instances and engines: two sizes in production today, and the largest goal."""

STREAMS = 200
EVENTS_PER_STREAM = 140
LOG_LINES = 20_000
MICROSECONDS_PER_S = 1e6
NO_REFUSAL_TARGET_S = 1e9
"""A target latency so long that no stream is refused as late."""


def goodput(seed: int) -> list[dict[str, object]]:
    """Simulate each load with and without refusal and return the outcomes."""
    capacity = ENGINES * DURATION_S / PREFILL_S
    rows = []
    for load in LOADS:
        for policy, target_s in (
            ("refuse", TARGET_S),
            ("take all", NO_REFUSAL_TARGET_S),
        ):
            counts = simulate(load, target_s, seed)
            rows.append(
                {
                    "load": load,
                    "policy": policy,
                    "in_time": counts.in_time,
                    "late": counts.late,
                    "refused": counts.refused,
                    "in_time_of_capacity": round(counts.in_time / capacity, 2),
                }
            )
    return rows


def make_shared_state(instances: int, engines: int, seed: int) -> RelayShared:
    """Return the shared state of one entry instance in a fleet of this size."""
    selector = Selector(random.Random(seed), "e0")
    upstreams = [upstream(index, 1) for index in range(engines)]
    selector.update_instances(f"e{index}" for index in range(instances))
    selector.update(
        type(engine)(
            engine.name, SERVICE, engine.kind, engine.address, engine.failure_domain
        )
        for engine in upstreams
    )
    return RelayShared(selector, random.Random(seed))


def decision_us_per_stream(shared: RelayShared) -> float:
    """Return the mean processor time of all decisions of one stream, in us."""
    started_at = time.process_time()
    for _ in range(STREAMS):
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            reports_load=True,
            target_latency_s=TARGET_S,
        )
        (query,) = relay.start(0.0)
        assert isinstance(query, QueryLoads)
        reports = {
            candidate.name: UpstreamReport("", 1, 0, 0, 88_000, {})
            for candidate in query.candidates
        }
        relay.handle(LoadsReported(0.0, reports), 0.0)
        relay.handle(StreamOpened(1, 1.0, ()), 1.0)
        for number in range(1, EVENTS_PER_STREAM + 1):
            at = 1.0 + number / 100
            relay.handle(EventArrived(1, at, b"", number), at)
            relay.wake_at()
        relay.handle(StreamFinished(1, 3.0), 3.0)
        shared.placements.times.clear()
    return (time.process_time() - started_at) / STREAMS * MICROSECONDS_PER_S


def measure_logging(stream: io.StringIO) -> dict[str, object]:
    """Return the time per logged line, and how many lines wait and were dropped."""
    with bounded_logs(stream, clock=lambda: 0.0) as log_stream:
        started_at = time.perf_counter()
        for number in range(LOG_LINES):
            log_event(f"e{number % 100}", id="038d11cb9d6f63f9", took_s=0.125)
        line_us = (time.perf_counter() - started_at) / LOG_LINES * MICROSECONDS_PER_S
        waiting = log_stream.lines.qsize()
        dropped = log_stream.dropped
        if isinstance(stream, StuckStream):
            stream.resume_reading.set()
    return {"line_us": round(line_us, 1), "waiting": waiting, "dropped": dropped}


def main() -> None:
    """Measure goodput, decisions and logging and print the figures."""
    arguments = parse_arguments(__doc__ or "")
    costs = [
        {
            "instances": instances,
            "engines": engines,
            "stream_us": round(
                decision_us_per_stream(
                    make_shared_state(instances, engines, arguments.seed)
                ),
                1,
            ),
        }
        for instances, engines in FLEET_SIZES
    ]
    result: dict[str, object] = {
        "goodput": goodput(arguments.seed),
        "decisions": costs,
        "events_a_stream": EVENTS_PER_STREAM,
        "logs": {
            "reader that keeps up": measure_logging(io.StringIO()),
            "reader that has stopped": measure_logging(StuckStream()),
        },
    }
    print_result("relay", arguments, result)


if __name__ == "__main__":
    main()

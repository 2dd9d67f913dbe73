"""Latency of calls without a log, with a log reader that keeps up, and a stuck one.

One instance of the platform role runs on stand-ins in this process, at three times the
call rate of a production instance.
"""

from __future__ import annotations

import asyncio
import io
import os
import time
import tracemalloc
from contextlib import ExitStack

from benchmarks.harness import parse_arguments, print_result, summary_ms
from benchmarks.relay import LOG_LINES, measure_logging
from tests.common.relay_fixtures import running_relay_simulation
from tests.common.streams import StuckStream
from turmericusher.decisions.routing import RequestKind
from turmericusher.log_queue import QueuedStream, bounded_logs

CALLS_PER_S = 27.0
"""Three times the rate of one instance, of seven that get 9 calls per second each."""

DURATION_S = 8.0
BYTES_PER_MB = 1e6


async def measure_calls(stream: io.StringIO | None) -> dict[str, object]:
    """Make calls at a steady rate; return their latencies, statuses and the costs.

    The calls are logged to `stream`, or not at all if it is None.
    """
    latencies_s: list[float] = []
    statuses: dict[int, int] = {}
    log_stream: QueuedStream | None = None
    processor_before_s = time.process_time()
    tracemalloc.start()
    with ExitStack() as stack:
        async with running_relay_simulation() as simulation:
            if stream is not None:
                log_stream = stack.enter_context(bounded_logs(stream))

            async def call() -> None:
                started_at = time.perf_counter()
                answer = await simulation.call(RequestKind.IDEMPOTENT)
                latencies_s.append(time.perf_counter() - started_at)
                statuses[answer.status] = statuses.get(answer.status, 0) + 1

            async with asyncio.TaskGroup() as calls:
                for _ in range(int(CALLS_PER_S * DURATION_S)):
                    calls.create_task(call())
                    await asyncio.sleep(1 / CALLS_PER_S)
        held = log_stream.lines.qsize() if log_stream is not None else 0
        if isinstance(stream, StuckStream):
            stream.resume_reading.set()
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "latency": summary_ms(latencies_s),
        "statuses": statuses,
        "processor_s": round(time.process_time() - processor_before_s, 2),
        "peak_mb": round(peak_bytes / BYTES_PER_MB, 1),
        "lines_waiting": held,
    }


def main() -> None:
    """Measure with each kind of log reader and print the figures."""
    arguments = parse_arguments(__doc__ or "")
    result: dict[str, object] = {
        "calls_per_s": CALLS_PER_S,
        "no log": asyncio.run(measure_calls(None)),
        "reader that keeps up": asyncio.run(measure_calls(io.StringIO())),
        "reader that has stopped": asyncio.run(measure_calls(StuckStream())),
        "lines_in_a_loop": LOG_LINES,
        "loop, reader that has stopped": measure_logging(StuckStream()),
        "processors": os.cpu_count(),
    }
    print_result("logs", arguments, result)


if __name__ == "__main__":
    main()

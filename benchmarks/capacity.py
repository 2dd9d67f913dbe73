"""Processor time per token and memory per open stream of an entry instance.

One real entry instance in front of real engine processes serves rising numbers of open
streams. A line fitted through the steps gives the marginal cost of one more token per
second and of one more open stream; its intercept is the cost of an idle instance.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

import aiohttp
import uvloop

from benchmarks.harness import (
    BenchmarkArguments,
    fit_line,
    parse_arguments,
    print_result,
)
from benchmarks.path import MIB, process_usage
from tests.common.processes import Deployment, DeploymentOptions, running_deployment

STREAM_COUNTS = (0, 40, 80, 160)
STEP_DURATION_S = 4.0
SETTLE_S = 1.5
"""Time for the streams to start before a step is measured."""
TOKEN_GAP_S = 0.1
ENGINES = 2
MAX_TOKENS = 1_000_000
"""High enough that no stream ends during a step."""
KIB = 1024


@dataclass(frozen=True, slots=True)
class Step:
    """Measurements of an entry instance with one number of open streams.

    `tokens_per_s` counts the chunks that clients received; `processor_share` is a
    fraction of one core; `resident_bytes` is the memory at the end of the step.
    """

    streams: int
    tokens_per_s: float
    processor_share: float
    resident_bytes: int


@dataclass(slots=True)
class ChunkCounter:
    """Number of chunks that clients have received so far."""

    chunks: int = 0


async def read_stream(
    session: aiohttp.ClientSession, address: str, prompt: str, counter: ChunkCounter
) -> None:
    """Read one stream until the task is cancelled, and count its chunks."""
    body = {
        "model": "model",
        "prompt": prompt,
        "max_tokens": MAX_TOKENS,
        "stream": True,
        "return_token_ids": True,
    }
    async with session.post(f"http://{address}/v1/completions", json=body) as response:
        response.raise_for_status()
        async for line in response.content:
            counter.chunks += line.startswith(b"data: {")


async def measure_step(deployment: Deployment, streams: int, seed: int) -> Step:
    """Hold `streams` streams open for a while and measure the entry instance."""
    entry = deployment.entries[0]
    counter = ChunkCounter()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        running = [
            asyncio.create_task(
                read_stream(session, entry.address, f"{seed} {streams} {n}", counter)
            )
            for n in range(streams)
        ]
        await asyncio.sleep(SETTLE_S)
        before, chunks_before, started_at = (
            process_usage(entry),
            counter.chunks,
            time.perf_counter(),
        )
        await asyncio.sleep(STEP_DURATION_S)
        after, elapsed_s = process_usage(entry), time.perf_counter() - started_at
        tokens_per_s = (counter.chunks - chunks_before) / elapsed_s
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
    return Step(
        streams=streams,
        tokens_per_s=tokens_per_s,
        processor_share=(after.processor_s - before.processor_s) / elapsed_s,
        resident_bytes=after.resident_bytes,
    )


async def measure(deployment: Deployment, seed: int) -> dict[str, object]:
    """Measure every step and return the steps and the fitted lines."""
    steps = [await measure_step(deployment, count, seed) for count in STREAM_COUNTS]
    processor_line = fit_line(
        [(step.tokens_per_s, step.processor_share) for step in steps]
    )
    memory_line = fit_line([(step.streams, step.resident_bytes) for step in steps])
    return {
        "steps": [
            {
                "streams": step.streams,
                "tokens_per_s": round(step.tokens_per_s),
                "processor_percent": round(100 * step.processor_share, 1),
                "resident_mib": round(step.resident_bytes / MIB, 1),
            }
            for step in steps
        ],
        "processor_us_per_token": round(processor_line[0] * 1e6, 1),
        "idle_processor_percent": round(100 * processor_line[1], 2),
        "memory_kib_per_stream": round(memory_line[0] / KIB, 1),
        "idle_memory_mib": round(memory_line[1] / MIB, 1),
    }


def run(arguments: BenchmarkArguments) -> dict[str, object]:
    """Start the processes, measure them and return the figures."""
    options = DeploymentOptions(
        entries=1, engines=ENGINES, slots=max(STREAM_COUNTS), token_gap_s=TOKEN_GAP_S
    )
    with running_deployment(options) as deployment:
        return uvloop.run(measure(deployment, arguments.seed))


if __name__ == "__main__":
    arguments = parse_arguments(__doc__ or "")
    print_result("capacity", arguments, run(arguments))

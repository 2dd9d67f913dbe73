"""The overhead of an entry instance: engines called directly and through it.

Real processes on loopback. Direct and proxied rounds alternate in the same run with the
same load, so that other load on the machine affects both alike.
"""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import uvloop

from benchmarks.harness import (
    BenchmarkArguments,
    parse_arguments,
    print_result,
    summary_ms,
)
from tests.common.processes import (
    Deployment,
    DeploymentOptions,
    RunningProcess,
    running_deployment,
)

ROUNDS = 3
STEADY_STREAMS = 16
SATURATING_STREAMS = 64
START_SPREAD_S = 0.5
TOKENS_PER_STREAM = 100
TOKEN_GAP_S = 0.01
FIRST_TOKEN_S = 0.02
ENGINES = 2
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024
MIB = 1024 * 1024


@dataclass(slots=True)
class Timings:
    """What the clients of one path measured; all times are in seconds."""

    first_token_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    tokens: int = 0
    elapsed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time in seconds and resident memory in bytes of a process."""

    processor_s: float
    resident_bytes: int


def process_usage(process: RunningProcess) -> Usage:
    """Read a process's processor time and resident memory from /proc."""
    proc_directory = Path("/proc") / str(process.popen.pid)
    fields = (proc_directory / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident_kib = 0
    for line in (proc_directory / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            resident_kib = int(line.split()[1])
    return Usage(ticks / CLOCK_TICKS_PER_S, resident_kib * KIB)


async def run_stream(
    session: aiohttp.ClientSession,
    address: str,
    prompt: str,
    delay_s: float,
    timings: Timings,
) -> None:
    """Stream one answer and record the arrival times of its tokens."""
    await asyncio.sleep(delay_s)
    body = {
        "model": "model",
        "prompt": prompt,
        "max_tokens": TOKENS_PER_STREAM,
        "stream": True,
        "return_token_ids": True,
    }
    started_at = time.perf_counter()
    last_token_at = None
    async with session.post(f"http://{address}/v1/completions", json=body) as response:
        response.raise_for_status()
        async for line in response.content:
            # The entry instance holds back a token that ends within a character, which
            # has no text yet, so only chunks with text can be compared.
            if not line.startswith(b"data: {") or b'"text":""' in line:
                continue
            now = time.perf_counter()
            if last_token_at is None:
                timings.first_token_s.append(now - started_at)
            else:
                timings.gaps_s.append(now - last_token_at)
            last_token_at = now
            timings.tokens += 1


async def run_round(
    addresses: list[str], prompt: str, streams: int, timings: Timings
) -> None:
    """Run all streams, with starts spread over `START_SPREAD_S` and the addresses."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started_at = time.perf_counter()
        running = [
            run_stream(
                session,
                addresses[n % len(addresses)],
                f"{prompt} {n}",
                START_SPREAD_S * n / streams,
                timings,
            )
            for n in range(streams)
        ]
        await asyncio.gather(*running)
        timings.elapsed_s += time.perf_counter() - started_at


async def measure(deployment: Deployment, seed: int) -> dict[str, object]:
    """Measure both paths under a steady and a saturating load."""
    entry = deployment.entries[0]
    steady = await measure_load(deployment, f"steady {seed}", STEADY_STREAMS)
    saturated = await measure_load(deployment, f"full {seed}", SATURATING_STREAMS)
    return {
        "steady": steady,
        "saturated": saturated,
        "resident_mib": round(process_usage(entry).resident_bytes / MIB, 1),
    }


async def measure_load(
    deployment: Deployment, prompt: str, streams: int
) -> dict[str, object]:
    """Measure both paths under one load, in alternating rounds."""
    entry = deployment.entries[0]
    engines = [engine.address for engine in deployment.engines]
    direct = Timings()
    through = Timings()
    before = process_usage(entry)
    for number in range(ROUNDS):
        await run_round(engines, f"direct {prompt} {number}", streams, direct)
        await run_round([entry.address], f"via {prompt} {number}", streams, through)
    processor_s = process_usage(entry).processor_s - before.processor_s
    return {
        "streams": streams,
        "direct": summarize_timings(direct, streams),
        "through": summarize_timings(through, streams),
        "added_first_token_ms": added_latency(
            direct.first_token_s, through.first_token_s
        ),
        "added_gap_ms": added_latency(direct.gaps_s, through.gaps_s),
        "processor_us_per_token": round(processor_s / through.tokens * 1e6, 1),
    }


def summarize_timings(timings: Timings, streams: int) -> dict[str, object]:
    """Return the figures of one path."""
    return {
        "first_token": summary_ms(timings.first_token_s),
        "gap": summary_ms(timings.gaps_s),
        "tokens_per_s": round(timings.tokens / timings.elapsed_s),
        "requests_per_s": round(ROUNDS * streams / timings.elapsed_s, 1),
    }


def added_latency(direct: list[float], through: list[float]) -> dict[str, float]:
    """Return how much larger the proxied median and 95th percentile are."""
    direct_ms = summary_ms(direct)
    through_ms = summary_ms(through)
    return {
        name: round(through_ms[name] - direct_ms[name], 2)
        for name in ("p50_ms", "p95_ms")
    }


def run(arguments: BenchmarkArguments) -> dict[str, object]:
    """Start the processes, measure them and return the figures."""
    options = DeploymentOptions(
        entries=1,
        engines=ENGINES,
        slots=SATURATING_STREAMS,
        first_token_s=FIRST_TOKEN_S,
        token_gap_s=TOKEN_GAP_S,
    )
    with running_deployment(options) as deployment:
        return uvloop.run(measure(deployment, arguments.seed))


if __name__ == "__main__":
    arguments = parse_arguments(__doc__ or "")
    print_result("path", arguments, run(arguments))

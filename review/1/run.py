"""Streams that are taken up at an instance that is cut off from the others."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from pathlib import Path

from rig.callers import (
    STREAM_ROUTE,
    WRITERS,
    Stream,
    configuration,
    pick,
    read_stream,
    resolve,
)
from rig.case import CaseError, run_case
from rig.engines import Engine, running_engine
from rig.fleet import ZONES, Fleet, free_host, running_fleet
from rig.record import Record

SEED = 45
EVENTS, GAP_S = 140, 0.12
STREAMS, STREAM_INTERVAL_S = 400, 0.01
ENGINES_AFTER_S, STREAMS_AFTER_S, CUT_S = 0.5, 2.0, 12.0
CUT_INSTANCE = "front-1"
RESETS = (("front-2", 7.5), ("front-3", 9.0))
RESET_SHARE = 0.55
DEADLINE_MS = 25_000
MAX_MIXED = 2
CLIENT_RETRIES = 1


async def check(record: Record, is_troubled: bool) -> bool:
    """Return whether at most two streams hold events of two software versions."""
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(running_fleet(record, 3))

        async def add_engine(number: int, version: str) -> None:
            engine = Engine(
                f"i-{version}-{number}",
                "writers",
                free_host(),
                ZONES[number % len(ZONES)],
                fleet.store,
                record,
                version=version,
                events=EVENTS,
                gap_s=GAP_S,
            )
            await stack.enter_async_context(running_engine(engine))
            record.add("engine", name=engine.name, version=version)

        fleet.configure(configuration([WRITERS], [STREAM_ROUTE]))
        for number in range(4):
            await add_engine(number, "v1")
        for instance in fleet.instances.values():
            await instance.start()
        await fleet.wait_until_ready()
        await asyncio.sleep(2.0)
        if is_troubled:
            fleet.cut_from_store(CUT_INSTANCE)
            fleet.cut_from_peers(CUT_INSTANCE)
        cut_at = record.now()
        await asyncio.sleep(ENGINES_AFTER_S)
        for number in range(4):
            await add_engine(number, "v2")
        rng = random.Random(SEED)
        clients = []
        for number in range(STREAMS):
            sent_at = cut_at + STREAMS_AFTER_S + number * STREAM_INTERVAL_S
            await asyncio.sleep(sent_at - record.now())
            task = client(record, fleet, number, rng.random())
            clients.append(asyncio.create_task(task))
        for name, after_s in RESETS:
            await asyncio.sleep(cut_at + after_s - record.now())
            count = fleet.instances[name].clients.reset_some(RESET_SHARE, rng)
            record.add("reset", instance=name, connections=count)
        await asyncio.sleep(cut_at + CUT_S - record.now())
        if is_troubled:
            await fleet.restore(CUT_INSTANCE)
        streams = await asyncio.gather(*clients)
    begun = [stream for stream in streams if stream.events]
    taken_up = [stream for stream in begun if len(stream.attempts) > 1]
    mixed = [stream for stream in begun if len(stream.versions) > 1]
    record.add("result", begun=len(begun), taken_up=len(taken_up), mixed=len(mixed))
    print(f"{len(begun)} streams begun, {len(taken_up)} taken up by their clients,")
    print(f"{len(mixed)} hold events of two versions; ORDER allows {MAX_MIXED}")
    for stream in mixed[:3]:
        print("  client attempts", stream.attempts, changes(stream))
    if not taken_up:
        raise CaseError("no client took a stream up")
    return len(mixed) <= MAX_MIXED


def changes(stream: Stream) -> list[tuple[int, str]]:
    """Return the events with which the engine changes."""
    found: list[tuple[int, str]] = []
    for number, data in stream.events:
        if not found or found[-1][1] != data:
            found.append((number, data))
    return found


async def client(record: Record, fleet: Fleet, number: int, seed: float) -> Stream:
    """Read one stream, and take it up once if its connection breaks."""
    rng, stream, failed = random.Random(seed), Stream(), set()
    instances = list(fleet.instances.values())
    nearest = instances[number % 3 :] + instances[: number % 3]
    ends_at = record.now() + DEADLINE_MS / 1000
    for _ in range(1 + CLIENT_RETRIES):
        left_ms = round(1000 * (ends_at - record.now()))
        address = pick(await resolve(fleet, nearest), failed, rng)
        if address is None:
            break
        path = f"{STREAM_ROUTE['prefix']}{number}"
        if await read_stream(record, stream, address, path, left_ms):
            break
        failed.add(address)
    return stream


if __name__ == "__main__":
    run_case(Path(__file__).parent, check)

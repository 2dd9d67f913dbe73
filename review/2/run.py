"""Streams of a machine that has lost power, while engines get another version."""

from __future__ import annotations

import asyncio
import os
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
ENGINES = 9
EVENTS, GAP_S = 140, 0.05
STREAMS, STREAM_INTERVAL_S = 200, 0.015
NEW_STREAMS, NEW_STREAM_INTERVAL_S = 30, 0.1
DARK_S = 3.5
RELEASE_AFTER_S, RELEASE_GAP_S = 0.5, 0.3
LOST_INSTANCE = "front-2"
DEADLINE_S = 25.0
MIN_TAKEN_UP = 12


async def check(record: Record, is_troubled: bool) -> bool:
    """Return whether enough of the streams that are taken up go on."""
    new_version = os.environ.get("NEW_VERSION", "v2")
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(running_fleet(record, 8))

        async def add_engine(number: int, version: str) -> None:
            engine = Engine(
                f"i-writers-{number}",
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
        for number in range(ENGINES):
            await add_engine(number, "v1")
        for instance in fleet.instances.values():
            await instance.start()
        await fleet.wait_until_ready()
        await asyncio.sleep(2.0)
        rng = random.Random(SEED)
        clients = []
        for _ in range(STREAMS):
            clients.append(asyncio.create_task(client(record, fleet, rng.random())))
            await asyncio.sleep(STREAM_INTERVAL_S)
        await asyncio.sleep(0.5)
        lost_at = record.now()
        if is_troubled:
            await fleet.lose_power(LOST_INSTANCE)
        await asyncio.sleep(RELEASE_AFTER_S)
        for number in range(ENGINES, ENGINES + ENGINES // 2):
            await add_engine(number, new_version)
            await asyncio.sleep(RELEASE_GAP_S)
        await asyncio.sleep(lost_at + DARK_S - record.now())
        if is_troubled:
            await fleet.instances[LOST_INSTANCE].start()
            await fleet.restore(LOST_INSTANCE)
        new = []
        for _ in range(NEW_STREAMS):
            new.append(asyncio.create_task(client(record, fleet, rng.random())))
            await asyncio.sleep(NEW_STREAM_INTERVAL_S)
        streams = await asyncio.gather(*clients)
        new_streams = await asyncio.gather(*new)
    return judge(record, streams, new_streams)


def judge(record: Record, streams: list[Stream], new_streams: list[Stream]) -> bool:
    """Print what was seen, and return whether the rule held."""
    begun = [stream for stream in new_streams if stream.begun_at_first]
    taken_up = [stream for stream in streams if stream.taken_up]
    gone_on = [stream for stream in taken_up if stream.gone_on]
    statuses = [status for stream in taken_up for status in stream.statuses[1:]]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    new_share = len(begun) / len(new_streams)
    record.add("result", taken_up=len(taken_up), gone_on=len(gone_on), new=new_share)
    print(f"{len(taken_up)} streams taken up by their clients, {len(gone_on)} went on;")
    print(f"answers to these attempts, by status: {counts}")
    print(f"{len(begun)} of {len(new_streams)} new streams began meanwhile")
    if not begun:
        raise CaseError("no new stream began")
    if len(taken_up) < MIN_TAKEN_UP:
        return True
    return len(gone_on) / len(taken_up) >= new_share / 2


class Taken(Stream):
    """A stream, with what became of it when its client took it up."""

    taken_up = False
    gone_on = False
    begun_at_first = False


async def client(record: Record, fleet: Fleet, seed: float) -> Taken:
    """Read one stream, and take it up once if its connection breaks."""
    rng, stream, failed = random.Random(seed), Taken(), set()
    started_at = record.now()
    for number in range(2):
        left_s = DEADLINE_S - (record.now() - started_at)
        nearest = rng.sample(list(fleet.instances.values()), 3)
        address = pick(await resolve(fleet, nearest), failed, rng)
        if address is None or left_s <= 0:
            break
        held = len(stream.events)
        stream.taken_up = stream.taken_up or bool(held)
        path = f"{STREAM_ROUTE['prefix']}x"
        is_whole = await read_stream(
            record, stream, address, path, round(1000 * left_s)
        )
        if number == 0:
            stream.begun_at_first = bool(stream.events)
        elif len(stream.events) > held or is_whole:
            stream.gone_on = True
        if is_whole:
            break
        failed.add(address)
    return stream


if __name__ == "__main__":
    run_case(Path(__file__).parent, check)

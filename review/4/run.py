"""Answers without end to the call that copies a stream's memory.

Engines are replaced one after the other, so that the copies that they hold are made
anew elsewhere. Some engines answer a small share of these calls with bytes that do not
end. The platform kills a process that exceeds the memory of its machine.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import AsyncExitStack, suppress
from pathlib import Path

from rig.callers import (
    CALL_ROUTE,
    LEDGER,
    STREAM_ROUTE,
    WRITERS,
    KeptConnection,
    Stream,
    configuration,
    kept_connection,
    pick,
    read_stream,
    resolve,
)
from rig.case import CaseError, run_case
from rig.engines import Engine, running_engine
from rig.fleet import LIMITS, ZONES, Fleet, Instance, free_host, running_fleet
from rig.record import Record
from rig.wire import Message, head

SEED = 45
MEMORY_MB = 150
BYTES_PER_MB = 1_048_576
LINK_BYTES_PER_S = 115_000_000
PART_BYTES = 262_144
SPOILING_SHARE, SPOILED_SHARE = 0.5, 0.02
PERIOD_S, WINDOW_S = 7.0, 6.0
ENGINES = 12
EVENTS, GAP_S = 140, 0.1
STREAMS_PER_S = 12.0
CALLERS, CALL_WORK_S, THINKING_S = 24, 0.15, 0.3
REPLACED_EVERY_S = 1.5
DRAIN_S = 4.0
RUN_S = 85.0
RESTART_S = 0.3
WATCH_S = 0.02
STREAM_DEADLINE_MS, CALL_DEADLINE_MS = 25_000, 2_500
MAX_LOST = 3
MIN_MACHINES, MIN_ENDS = 2, 3


class Spoiler:
    """Answers some calls for a copy with bytes that do not end."""

    def __init__(self, record: Record, is_troubled: bool) -> None:
        self.record, self.rng = record, random.Random(SEED)
        self.share = SPOILED_SHARE if is_troubled else 0.0
        self.link = asyncio.Lock()

    async def __call__(
        self, engine: Engine, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call in the engine's place, or leave it to the engine."""
        if request.target != "/v1/kv-move":
            return False
        is_on = self.record.now() % PERIOD_S < WINDOW_S
        is_spoiled = is_on and self.rng.random() < self.share
        self.record.add("copy_asked", engine=engine.name, spoiled=is_spoiled)
        if not is_spoiled:
            return False
        writer.write(head(200, {"Content-Type": "application/json"}))
        sent = 0
        try:
            while True:
                async with self.link:
                    writer.write(b"z" * PART_BYTES)
                    await writer.drain()
                    sent += PART_BYTES
                    await asyncio.sleep(PART_BYTES / LINK_BYTES_PER_S)
        except OSError:
            self.record.add("endless", engine=engine.name, sent=sent)
        return True


async def check(record: Record, is_troubled: bool) -> bool:
    """Return whether at most three calls were passed on and never answered."""
    limits = LIMITS | {"memory_mb": MEMORY_MB}
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(running_fleet(record, 2, limits))
        spoiler = Spoiler(record, is_troubled)
        engines: list[Engine] = []

        async def add_engine(number: int, service: str = "writers") -> Engine:
            engine = Engine(
                f"i-{service}-{number}",
                service,
                free_host(),
                ZONES[number % len(ZONES)],
                fleet.store,
                record,
            )
            engine.work_s = CALL_WORK_S
            if service == "writers":
                engine.events, engine.gap_s = EVENTS, GAP_S
                if number % round(1 / SPOILING_SHARE) == 0:
                    engine.fault = spoiler
            return await stack.enter_async_context(running_engine(engine))

        routes = [STREAM_ROUTE, CALL_ROUTE]
        fleet.configure(configuration([WRITERS, LEDGER], routes))
        for number in range(ENGINES):
            engines.append(await add_engine(number))
        for number in range(3):
            await add_engine(number, "ledger")
        for instance in fleet.instances.values():
            await instance.start()
        await fleet.wait_until_ready()
        background = [
            asyncio.create_task(platform(record, instance))
            for instance in fleet.instances.values()
        ]
        background.append(asyncio.create_task(replace(record, engines, add_engine)))
        clients = await traffic(record, fleet)
        for task in [*background, *clients]:
            task.cancel()
        await asyncio.gather(*background, *clients, return_exceptions=True)
    return judge(record)


def judge(record: Record) -> bool:
    """Print what was seen, and return whether the rule held."""
    ends = Counter(entry.instance for entry in record.of("over_memory"))
    many = sum(count >= MIN_ENDS for count in ends.values())
    copies = record.of("copy_asked")
    spoiled = sum(entry.spoiled for entry in copies)
    ran = {entry.id for entry in record.of("run")}
    closed = [entry for entry in record.of("closed") if entry.kept and entry.id in ran]
    answered = len(record.of("answered"))
    record.add("result", spoiled=spoiled, ends=dict(ends), lost=len(closed))
    print(f"{len(copies)} copies asked for, {spoiled} answered without end")
    print(f"processes over {MEMORY_MB} MB, by machine: {dict(ends)}")
    print(
        f"{answered} calls answered; {len(closed)} were passed on to a sound engine and"
    )
    print(f"their kept connection closed without an answer; LOST allows {MAX_LOST}")
    print(
        f"{many} machines with {MIN_ENDS} ends or more; Fault allows {MIN_MACHINES - 1}"
    )
    if not copies:
        raise CaseError("no copy was asked for")
    return len(closed) <= MAX_LOST


async def platform(record: Record, instance: Instance) -> None:
    """Kill a process over the limit of its memory, and start it again."""
    while True:
        await asyncio.sleep(WATCH_S)
        used = memory_bytes(instance.process.pid)
        if used > MEMORY_MB * BYTES_PER_MB:
            record.add("over_memory", instance=instance.name, used=used)
            await instance.end()
            await asyncio.sleep(RESTART_S)
            await instance.start()


def memory_bytes(pid: int) -> int:
    """Return the anonymous memory of a process, 0 if it has ended."""
    with suppress(OSError, StopIteration):
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
        line = next(line for line in lines if line.startswith("RssAnon:"))
        return int(line.split()[1]) * 1024
    return 0


async def replace(record: Record, engines: list[Engine], add_engine: object) -> None:
    """Replace one engine after the other: the new one starts, the old one drains."""
    number = ENGINES
    while True:
        await asyncio.sleep(REPLACED_EVERY_S)
        engines.append(await add_engine(number))
        number += 1
        old = engines.pop(0)
        old.state, old.says = "draining", {"Server-Leaving": "1"}
        old.write_entry()
        record.add("draining", engine=old.name)
        asyncio.get_running_loop().call_later(DRAIN_S, leave, old)


def leave(engine: Engine) -> None:
    """End an engine that has drained and runs nothing any more."""
    if engine.runs:
        asyncio.get_running_loop().call_later(1.0, leave, engine)
        return
    engine.fall()
    engine.store.remove(f"servers/{engine.name}")


async def traffic(record: Record, fleet: Fleet) -> list[asyncio.Task]:
    """Send streams at a steady rate beside callers; return the tasks of all clients."""
    rng = random.Random(SEED)
    tasks = [
        asyncio.create_task(caller(record, fleet, random.Random(rng.random())))
        for _ in range(CALLERS)
    ]
    ends_at = record.now() + RUN_S
    while record.now() < ends_at:
        client = stream_client(record, fleet, random.Random(rng.random()))
        tasks.append(asyncio.create_task(client))
        await asyncio.sleep(1 / STREAMS_PER_S)
    return tasks


async def stream_client(record: Record, fleet: Fleet, rng: random.Random) -> None:
    """Read one stream, and take it up once if its connection breaks."""
    stream, failed = Stream(), set()
    ends_at = record.now() + STREAM_DEADLINE_MS / 1000
    for _ in range(2):
        nearest = rng.sample(list(fleet.instances.values()), 2)
        address = pick(await resolve(fleet, nearest), failed, rng)
        path = f"{STREAM_ROUTE['prefix']}x"
        if address is None or await read_stream(
            record, stream, address, path, round(1000 * (ends_at - record.now()))
        ):
            return
        failed.add(address)


async def caller(record: Record, fleet: Fleet, rng: random.Random) -> None:
    """Send one call after the other that must not repeat, on a kept connection."""
    while True:
        nearest = rng.sample(list(fleet.instances.values()), 2)
        address = pick(await resolve(fleet, nearest), set(), rng)
        if address is None:
            await asyncio.sleep(THINKING_S)
            continue
        with suppress(OSError, TimeoutError):
            async with kept_connection(address) as connection:
                await use(record, connection, rng)
        await asyncio.sleep(THINKING_S)


async def use(record: Record, connection: KeptConnection, rng: random.Random) -> None:
    """Send calls on a connection until it ends."""
    while True:
        path = f"{CALL_ROUTE['prefix']}x"
        try:
            answer = await connection.call(record, path, CALL_DEADLINE_MS)
        except TimeoutError:
            return
        except (OSError, asyncio.IncompleteReadError):
            record.add("closed", id=connection.last_id, kept=connection.answered)
            return
        if answer.headers.get("connection") == "close":
            return
        await asyncio.sleep(rng.uniform(0.0, 2 * THINKING_S))


if __name__ == "__main__":
    run_case(Path(__file__).parent, check)

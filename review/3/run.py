"""A change of the configuration just before a drill of the store.

The store is away for a moment and comes back from a copy some seconds old. The operator
and the engines write again what they wrote. Each change takes one key away.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from pathlib import Path

from rig.callers import CALL_ROUTE, LEDGER, TENANT, call, configuration
from rig.case import CaseError, run_case
from rig.engines import Engine, running_engine
from rig.fleet import BOUNDS, ZONES, Fleet, free_host, running_fleet
from rig.record import Record

SEED = 45
INSTANCES, ENGINES = 4, 12
DRILLS = 6
COPY_AGE_S, AWAY_S = 2.0, 0.3
CHANGE_BEFORE_S = 0.1
PHASE_S = 1.2
DEADLINE_MS = 2_500
MILLISECONDS_PER_S = 1_000
SETTLING_S = (
    BOUNDS["stable_ms"] + BOUNDS["max_stretch_ms"] + BOUNDS["configuration_apply_ms"]
) / MILLISECONDS_PER_S
"""Seconds after a drill from which on a change must be in force, with all excuses."""

KEYS = [f"key-{number}" for number in range(DRILLS + 1)]


async def check(record: Record, is_troubled: bool) -> bool:
    """Return whether no request with a key that was taken away runs in the end."""
    rng = random.Random(SEED)
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(running_fleet(record, INSTANCES))
        configure(fleet, 1)
        engines = []
        for number in range(ENGINES):
            engine = Engine(
                f"i-ledger-{number}",
                "ledger",
                free_host(),
                ZONES[number % len(ZONES)],
                fleet.store,
                record,
            )
            engines.append(await stack.enter_async_context(running_engine(engine)))
            await asyncio.sleep(0.1)
        for instance in fleet.instances.values():
            await instance.start()
        await fleet.wait_until_ready()
        stale = 0
        for number in range(DRILLS):
            await asyncio.sleep(rng.uniform(0.0, PHASE_S))
            await change(record, fleet, engines, number, is_troubled)
            await asyncio.sleep(SETTLING_S)
            stale += await probe(record, fleet, number)
    record.add("result", stale=stale)
    print(
        f"{stale} requests ran with a key taken away {SETTLING_S:.0f} s before or more"
    )
    return stale == 0


def configure(fleet: Fleet, version: int) -> None:
    """Write a version of the configuration; each has one key less than the former."""
    keys = configuration([LEDGER], [CALL_ROUTE], version)
    keys["tenants"] = [{"name": TENANT, "access_keys": KEYS[version - 1 :]}]
    fleet.configure(keys)


async def change(
    record: Record,
    fleet: Fleet,
    engines: list[Engine],
    number: int,
    is_troubled: bool,
) -> None:
    """Take one key away, and play a drill right after that."""
    copy = fleet.store.copied()
    await asyncio.sleep(COPY_AGE_S - CHANGE_BEFORE_S)
    configure(fleet, number + 2)
    record.add("accepted", version=number + 2, revision=fleet.store.revision)
    await asyncio.sleep(CHANGE_BEFORE_S)
    if not is_troubled:
        return
    record.add("away", revision=fleet.store.revision)
    for instance in fleet.instances.values():
        instance.store_link.cut()
    for engine in engines:
        engine.is_up = False
    await asyncio.sleep(AWAY_S)
    fleet.store.restore(copy)
    configure(fleet, number + 2)
    for engine in engines:
        engine.is_up = True
        engine.write_entry()
    for instance in fleet.instances.values():
        await instance.store_link.restore()
    record.add(
        "back",
        copy=copy.revision,
        revision=fleet.store.revision,
        era=fleet.store.era,
    )


async def probe(record: Record, fleet: Fleet, number: int) -> int:
    """Send a request with each key to each instance; return how many ran wrongly."""
    stale = 0
    for instance in fleet.instances.values():
        for key in (KEYS[number], KEYS[-1]):
            headers = {"Authorization": f"Bearer {key}"}
            answer = await call(
                record,
                instance.client_address,
                "POST",
                f"{CALL_ROUTE['prefix']}x",
                DEADLINE_MS,
                headers,
            )
            has_run = any(run.id == answer.request_id for run in record.of("run"))
            record.add("probe", instance=instance.name, key=key, status=answer.status)
            if key == KEYS[-1] and answer.status != 200:
                raise CaseError(f"{instance.name} does not serve: {answer.status}")
            stale += has_run and key != KEYS[-1]
    return stale


if __name__ == "__main__":
    run_case(Path(__file__).parent, check)

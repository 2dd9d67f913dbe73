"""A part of a prompt crashes engines, and clients that send it leave early for a while.

Six drafts with the part come at once, others with it follow, at any machine. After the
engines have crashed, three of ten clients leave within 1.5 s, the one that sends these
drafts among them. The engines are then still reading the prompts.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

from engines import Call, Engine, remove_later  # noqa: E402
from rig import (  # noqa: E402
    BROKEN,
    DOMAINS,
    HELD,
    KEY,
    MODEL_SERVICE,
    Program,
    Record,
    configuration,
    has_trouble,
    loopback_host,
    run_case,
    running_platform_store,
    running_program,
    scratch_folder,
    send,
    settings_text,
    stream_route,
    write_json,
)

SEED = 7
BAD_PART, SOUND_PART, FIRST_PART = "badbad00", "50545054", "aaaa0000"
STABLE_S = 3.0
"""The bound `stable_ms`."""

MOST_LATE = 3
"""Requests with the part that the rule allows later than that after the fifth crash."""

ENGINES = 9
RESTART_S = 2.5
BATCH = 6
BAD_INTERVAL_S = 0.4
SOUND_INTERVAL_S = 0.35
LEAVING_FOR_S = 9.0
"""Seconds for which clients leave early: 4 s and 5 s in a row, as on the site's day."""

LEAVE_S = (0.3, 0.9)
"""Seconds after which they leave: well within the 1,500 ms of the site's day."""

CALLERS = 10
LEAVERS = frozenset({0, 1, 2})
LENGTH_S = 16.0


def has_bad_part(call: Call) -> bool:
    """Whether a request has the part that crashes engines."""
    return f"{BAD_PART}:" in call.headers.get("x-prompt-prefix", "")


@dataclass(slots=True)
class Deployment:
    """The engines of all incarnations, and what they have seen."""

    record: Record
    store: object
    engines: list[Engine] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    reached_at: list[float] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self, zone: str) -> None:
        """Start an engine."""
        engine = Engine(
            "redacteur",
            zone,
            self.record,
            self.store,
            crashes_on=has_bad_part,
            on_crash=self.replace,
            on_reach=self.reached,
        )
        self.engines.append(engine)
        await engine.start()

    def reached(self, engine: Engine, call: Call) -> None:
        """Record a request with the part that crashes engines."""
        if has_bad_part(call):
            self.reached_at.append(time.monotonic())
            self.record.add(f"{engine.name} is reached by {call.id}, which has the part")

    def replace(self, engine: Engine) -> None:
        """Have the entry of an engine that crashed removed, and another one started."""
        self.crashed_at.append(time.monotonic())
        for work in (remove_later(engine), self.start_again(engine)):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def start_again(self, engine: Engine) -> None:
        """Start an engine some seconds after the crash of one."""
        await asyncio.sleep(RESTART_S)
        await self.start(engine.zone)

    def close(self) -> None:
        """End all engines."""
        for task in self.tasks:
            task.cancel()
        for engine in self.engines:
            engine.close()


@dataclass(slots=True)
class Clients:
    """The clients; from `leaving_from` on, some of them leave early for a while."""

    programs: list[Program]
    record: Record
    rng: random.Random
    leaving_from: float | None = None
    count: int = 0
    served: int = 0
    sound: int = 0

    def patience_s(self, caller: int) -> float:
        """Return how long a client waits for the answer to the request it sends now."""
        now, begins = time.monotonic(), self.leaving_from
        is_leaving = begins is not None and begins <= now < begins + LEAVING_FOR_S
        if has_trouble() and is_leaving and caller in LEAVERS:
            return self.rng.uniform(*LEAVE_S)
        return 25.0

    async def draft(self, caller: int, part: str) -> None:
        """Request one draft at the next machine in turn."""
        self.count += 1
        program = self.programs[self.count % len(self.programs)]
        request_id, is_sound = f"q{self.count}", part == SOUND_PART
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": "25000",
            "X-Model-Name": "m",
            "X-Token-Counts": "8000,160",
            "X-Prompt-Prefix": f"{FIRST_PART}:100,{part}:100,{self.count:08x}:7800",
            "Authorization": f"Bearer {KEY}",
        }
        patience_s = self.patience_s(caller)
        stays = patience_s > LEAVE_S[1]
        self.sound += is_sound and stays
        kind = "sound" if is_sound else "with the part"
        try:
            answer = await send(
                program.address, b"POST", "/draft/x", headers, b"x" * 800, patience_s
            )
        except TimeoutError:
            left = f"its client left after {patience_s:.2f} s"
            self.record.add(f"{request_id} {kind} at {program.name}: {left}")
            return
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.add(f"{request_id} {kind} at {program.name}: {error!r}")
            return
        is_served = answer.status == 200 and answer.is_whole
        self.served += is_sound and stays and is_served
        text = "whole" if is_served else f"{answer.status} {answer.body[:50]!r}"
        self.record.add(f"{request_id} {kind} at {program.name}: {text}")


async def play(record: Record) -> int:
    """Play the case."""
    rng = random.Random(SEED)
    async with AsyncExitStack() as stack:
        folder = await stack.enter_async_context(scratch_folder())
        store = await stack.enter_async_context(running_platform_store())
        routes = [stream_route("r-draft", "/draft/", "redacteur")]
        write_json(store, "op/config", configuration(routes, {"redacteur": MODEL_SERVICE}))
        deployment = Deployment(record, store)
        stack.callback(deployment.close)
        for number in range(ENGINES):
            await deployment.start(DOMAINS[number % len(DOMAINS)])
        programs = []
        for number, zone in enumerate(DOMAINS, start=1):
            name, host = f"front-{zone}-1", loopback_host(number)
            settings = settings_text(name, zone, host, store.address)
            program = running_program(name, host, settings, folder)
            programs.append(await stack.enter_async_context(program))
        for program in programs:
            await program.wait_until_ready()
        await asyncio.sleep(2.0)
        clients = Clients(programs, record, rng)
        crashes = deployment.crashed_at
        started = time.monotonic()
        next_bad, next_sound = started + 1.2, started
        async with asyncio.TaskGroup() as tasks:
            for _ in range(BATCH):
                tasks.create_task(clients.draft(0, BAD_PART))
            while (now := time.monotonic()) - started < LENGTH_S:
                if now >= next_sound:
                    next_sound += SOUND_INTERVAL_S
                    tasks.create_task(clients.draft(rng.randrange(CALLERS), SOUND_PART))
                if now >= next_bad:
                    next_bad += BAD_INTERVAL_S
                    tasks.create_task(clients.draft(0, BAD_PART))
                if clients.leaving_from is None and len(crashes) >= 5:
                    clients.leaving_from = crashes[4] + 1.5
                await asyncio.sleep(0.01)
        if len(crashes) < 5:
            raise RuntimeError(f"only {len(crashes)} engines crashed")
        late = [at for at in deployment.reached_at if at > crashes[4] + STABLE_S]
        record.add(
            f"{len(crashes)} crashes; {len(late)} requests with the part reached engines "
            f"later than {STABLE_S} s after the fifth; {clients.served} of "
            f"{clients.sound} sound drafts of clients that stayed were whole"
        )
        return BROKEN if len(late) > MOST_LATE else HELD


if __name__ == "__main__":
    case_record = Record(FOLDER / "record.txt")
    run_case(play(case_record), case_record)

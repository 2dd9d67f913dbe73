"""Engines crash under short drafts that share the first part of their prompts.

The drafts are those of the pages' example: 80 tokens at most, which an engine writes in
half a second, and a first part of 800 tokens that all of them have. One domain of engines
after the other crashes and is back after 1.2 s, as on each day of the site. At the end all
processes of the system are killed and start again.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

from engines import Engine, remove_later  # noqa: E402
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

ENGINES_PER_DOMAIN = 3
STEP_S, TOKENS_PER_EVENT, TOKENS_OUT = 0.00655, 4, 80
"""A step of the sheet's engines, the tokens of an event, and those of the example."""

PER_S = 6.0
CRASHES_S = (4.2, 11.0, 18.0, 24.0)
"""When the engines of a domain crash, in seconds after the start of traffic: as on the
site's day trouble-1."""

DOWN_S = 1.2
KILLED_AT_S, RESTART_S, RECOVERY_S = 26.0, 1.0, 12.0
LENGTH_S = 53.0
LEAST_SHARE = 0.25
"""The share of the requests that the rule asks for."""


@dataclass(slots=True)
class Deployment:
    """The engines of all incarnations."""

    record: Record
    store: object
    engines: list[Engine] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self, zone: str) -> None:
        """Start an engine."""
        events = TOKENS_OUT // TOKENS_PER_EVENT
        engine = Engine(
            "redacteur",
            zone,
            self.record,
            self.store,
            events=events,
            gap_s=STEP_S * TOKENS_PER_EVENT,
        )
        self.engines.append(engine)
        await engine.start()

    def crash(self, zone: str) -> None:
        """Crash all engines of a domain; others start in their place."""
        self.record.add(f"the engines of {zone} crash")
        for engine in self.engines:
            if engine.zone == zone and engine.beat is not None:
                engine.crash()
                for work in (remove_later(engine), self.start_again(zone)):
                    task = asyncio.create_task(work)
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)

    async def start_again(self, zone: str) -> None:
        """Start an engine after a crash."""
        await asyncio.sleep(DOWN_S)
        await self.start(zone)

    def close(self) -> None:
        """End all engines."""
        for task in self.tasks:
            task.cancel()
        for engine in self.engines:
            engine.close()


@dataclass(slots=True)
class Clients:
    """Requests drafts; `served` has the second at which each was sent, and the result."""

    programs: list[Program]
    record: Record
    began: float
    count: int = 0
    served: list[tuple[float, bool]] = field(default_factory=list)

    async def draft(self) -> None:
        """Request one draft; a refused client comes back once, at another machine."""
        self.count += 1
        number, sent_s = self.count, time.monotonic() - self.began
        is_served = False
        for attempt in range(2):
            program = self.programs[(number + attempt) % len(self.programs)]
            request_id = f"q{number}-{attempt + 1}"
            headers = {
                "X-Request-Id": request_id,
                "X-Deadline-Milliseconds": "25000",
                "X-Model-Name": "m",
                "X-Token-Counts": f"1460,{TOKENS_OUT}",
                "X-Prompt-Prefix": f"5c1e07a2:800,{number % 40 + 1:08x}:410,"
                f"{number + 65536:08x}:250",
                "Authorization": f"Bearer {KEY}",
            }
            retry_after_s = 0.0
            try:
                answer = await send(
                    program.address, b"POST", "/draft/2f", headers, b"x" * 100, 25.0
                )
                is_served = answer.status == 200 and answer.is_whole
                retry_after_s = float(answer.headers.get("retry-after", "0"))
                text = "whole" if is_served else f"{answer.status} {answer.body[:75]!r}"
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                text = repr(error)
            self.record.add(f"{request_id} sent at {sent_s:.2f} s: {text}")
            if is_served:
                break
            await asyncio.sleep(min(retry_after_s, 8.0))
        self.served.append((sent_s, is_served))

    def share(self, from_s: float, until_s: float) -> float:
        """Return the share that was served of those sent in a time."""
        sent = [done for at, done in self.served if from_s <= at < until_s]
        return sum(sent) / max(1, len(sent))


async def play(record: Record) -> int:
    """Play the case."""
    async with AsyncExitStack() as stack:
        folder = await stack.enter_async_context(scratch_folder())
        store = await stack.enter_async_context(running_platform_store())
        routes = [stream_route("r-draft", "/draft/", "redacteur")]
        write_json(
            store, "op/config", configuration(routes, {"redacteur": MODEL_SERVICE})
        )
        deployment = Deployment(record, store)
        stack.callback(deployment.close)
        for number in range(ENGINES_PER_DOMAIN * len(DOMAINS)):
            await deployment.start(DOMAINS[number % len(DOMAINS)])

        async def start_program(number: int) -> Program:
            zone, host = DOMAINS[number], loopback_host(number + 1)
            name = f"front-{zone}-1"
            settings = settings_text(name, zone, host, store.address)
            program = running_program(name, host, settings, folder)
            return await stack.enter_async_context(program)

        programs = [await start_program(number) for number in range(len(DOMAINS))]
        for program in programs:
            await program.wait_until_ready()
        await asyncio.sleep(2.0)
        clients = Clients(programs, record, time.monotonic())
        next_draft, crashes = (
            clients.began,
            list(zip(CRASHES_S, itertools.cycle(DOMAINS))),
        )
        killed_s = back_s = None
        async with asyncio.TaskGroup() as tasks:
            while (now_s := time.monotonic() - clients.began) < LENGTH_S:
                if clients.began + now_s >= next_draft:
                    next_draft += 1 / PER_S
                    tasks.create_task(clients.draft())
                if has_trouble() and crashes and now_s >= crashes[0][0]:
                    deployment.crash(crashes.pop(0)[1])
                if has_trouble() and killed_s is None and now_s >= KILLED_AT_S:
                    killed_s = now_s
                    record.add("all processes of the system are killed")
                    for program in programs:
                        program.process.kill()
                if killed_s is not None and back_s is None:
                    if now_s >= killed_s + RESTART_S:
                        back_s = now_s
                        record.add("they start again")
                        for number in range(len(DOMAINS)):
                            programs[number] = await start_program(number)
                await asyncio.sleep(0.005)
        killed_s, back_s = killed_s or KILLED_AT_S, back_s or KILLED_AT_S
        before = clients.share(0.0, killed_s)
        after = clients.share(back_s + RECOVERY_S, LENGTH_S)
        for from_s in range(0, int(LENGTH_S), 3):
            share = clients.share(from_s, from_s + 3)
            record.add(f"sent from {from_s} s to {from_s + 3} s: {share:.2f} served")
        record.add(
            f"served: {before:.2f} before the final fault, {after:.2f} of what was sent "
            f"later than {RECOVERY_S} s after the machines were back"
        )
        is_broken = before >= LEAST_SHARE > after
        return BROKEN if is_broken else HELD


if __name__ == "__main__":
    case_record = Record(FOLDER / "record.txt")
    run_case(play(case_record), case_record)

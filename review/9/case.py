"""One client sets no limit to the length of its drafts.

It states the largest 32-bit number for the tokens of its output. Engines reject such a
request, which is larger than their memory, as if they were full. Everybody else's drafts
are of ordinary size, and all engines have room for them. The route of the drafts was added
later than that of the bookings.
"""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

from engines import Engine  # noqa: E402
from rig import (  # noqa: E402
    BROKEN,
    DOMAINS,
    HELD,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Program,
    Record,
    call_route,
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

SETTLE_S = 5.0
"""Seconds after a change: more than `stable_ms` and `configuration_apply_ms`."""

ORDINARY = "1460,400"
UNLIMITED = "8000,2147483647"
EVENTS, GAP_S = 100, 0.0262
"""The 400 tokens of an ordinary draft, four an event, at the sheet's 6.55 ms each."""

INTERVAL_S, UNLIMITED_INTERVAL_S, LENGTH_S = 0.25, 3.0, 40.0
LEAST_RATIO = 0.25
"""How often later routes must be served, as a share of how often the first ones are."""


def table(version: int) -> dict[str, object]:
    """Return the configuration; the second one adds the drafts."""
    routes = [call_route("r-booking", "/booking/", "halle-app")]
    services = {"halle-app": PLAIN_SERVICE}
    if version > 1:
        routes.append(stream_route("r-draft", "/draft/", "redacteur"))
        services["redacteur"] = MODEL_SERVICE
    return configuration(routes, services, version)


@dataclass(slots=True)
class Clients:
    """Send requests to the machines in turn; `results` has them by path."""

    programs: list[Program]
    record: Record
    count: int = 0
    results: dict[str, list[bool]] = field(
        default_factory=lambda: {"/booking/": [], "/draft/": []}
    )

    async def call(self, path: str, counts: str = "") -> None:
        """Send one request and record whether it was served."""
        self.count += 1
        request_id = f"q{self.count}"
        program = self.programs[self.count % len(self.programs)]
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": "25000" if counts else "2500",
            "Authorization": f"Bearer {KEY}",
        }
        if counts:
            prompt = counts.split(",")[0]
            headers |= {
                "X-Model-Name": "m",
                "X-Token-Counts": counts,
                "X-Prompt-Prefix": f"{self.count:08x}:{prompt}",
            }
        is_served, text = False, ""
        try:
            answer = await send(
                program.address, b"POST", f"{path}2f", headers, b"x", 26
            )
            is_served = answer.status == 200 and answer.is_whole
            text = "served" if is_served else f"{answer.status} {answer.body[:90]!r}"
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            text = repr(error)
        self.results[path].append(is_served)
        self.record.add(f"{request_id} {path} {counts} at {program.name}: {text}")


async def play(record: Record) -> int:
    """Play the case."""
    unlimited = UNLIMITED if has_trouble() else ORDINARY
    async with AsyncExitStack() as stack:
        folder = await stack.enter_async_context(scratch_folder())
        store = await stack.enter_async_context(running_platform_store())
        write_json(store, "op/config", table(1))
        for number in range(12):
            zone, is_plain = DOMAINS[number % len(DOMAINS)], number < 3
            service = "halle-app" if is_plain else "redacteur"
            engine = Engine(
                service,
                zone,
                record,
                store,
                is_plain=is_plain,
                events=EVENTS,
                gap_s=GAP_S,
            )
            await engine.start()
            stack.callback(engine.close)
        programs = []
        for number, zone in enumerate(DOMAINS, start=1):
            name, host = f"front-{zone}-1", loopback_host(number)
            settings = settings_text(name, zone, host, store.address)
            program = running_program(name, host, settings, folder)
            programs.append(await stack.enter_async_context(program))
        for program in programs:
            await program.wait_until_ready()
        await asyncio.sleep(SETTLE_S)
        write_json(store, "op/config", table(2))
        record.add("the operator has added the route /draft/ and its service")
        await asyncio.sleep(SETTLE_S)
        clients = Clients(programs, record)
        began = time.monotonic()
        next_call, next_unlimited = began, began + 1.0
        async with asyncio.TaskGroup() as tasks:
            while (now := time.monotonic()) - began < LENGTH_S:
                if now >= next_call:
                    next_call += INTERVAL_S
                    tasks.create_task(clients.call("/booking/"))
                    tasks.create_task(clients.call("/draft/", ORDINARY))
                if now >= next_unlimited:
                    next_unlimited += UNLIMITED_INTERVAL_S
                    tasks.create_task(clients.call("/draft/", unlimited))
                await asyncio.sleep(0.01)
        shares = {
            path: sum(found) / len(found) for path, found in clients.results.items()
        }
        for path, found in clients.results.items():
            record.add(f"{path}: {sum(found)} of {len(found)} served")
        ratio = shares["/draft/"] / max(shares["/booking/"], 0.01)
        record.add(
            f"the later route was served {ratio:.2f} times as often as the first"
        )
        return BROKEN if ratio < LEAST_RATIO else HELD


if __name__ == "__main__":
    case_record = Record(FOLDER / "record.txt")
    run_case(play(case_record), case_record)

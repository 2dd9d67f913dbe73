"""A request that crashes servers comes again, and its caller's key is replaced.

The same caller sends the same request to the same path, with the same body, first with
one key of its tenant and, once that is taken away, with the tenant's other one.
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

from engines import Call, Engine, remove_later  # noqa: E402
from rig import (  # noqa: E402
    BROKEN,
    DOMAINS,
    HELD,
    KEY,
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
    write_json,
)

OTHER_KEY = "other-key-of-the-first-team"
POISON_PATH = "/booking/lot-17"
STABLE_S = 3.0
"""The bound `stable_ms`."""

MOST_RETRIES = 3
"""Retries that the rule allows later than `STABLE_S` after the third crash."""

SERVERS = 6
RESTART_S = 2.5
LENGTH_S = 40.0
POISON_INTERVAL_S = 1.0
SOUND_INTERVAL_S = 0.25
REVOKE_AFTER_S = 4.0
"""Seconds after the third crash at which the key is taken away."""


@dataclass(slots=True)
class Deployment:
    """The servers of all incarnations, and what they have seen."""

    record: Record
    store: object
    servers: list[Engine] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    reached_at: list[float] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self, zone: str) -> None:
        """Start a server."""
        server = Engine(
            "halle-app",
            zone,
            self.record,
            self.store,
            is_plain=True,
            work_s=0.03,
            crashes_on=is_poison,
            on_crash=self.replace,
            on_reach=self.reached,
        )
        self.servers.append(server)
        await server.start()

    def reached(self, server: Engine, call: Call) -> None:
        """Record a request that crashes servers."""
        if is_poison(call):
            self.reached_at.append(time.monotonic())
            self.record.add(f"{server.name} is reached by {call.id}, which crashes it")

    def replace(self, server: Engine) -> None:
        """Have the entry of a server that crashed removed, and another one started."""
        self.crashed_at.append(time.monotonic())
        for work in (remove_later(server), self.start_again(server)):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def start_again(self, server: Engine) -> None:
        """Start a server some seconds after the crash of one."""
        await asyncio.sleep(RESTART_S)
        await self.start(server.zone)

    def close(self) -> None:
        """End all servers."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()


def is_poison(call: Call) -> bool:
    """Whether a request crashes the server that runs it."""
    return call.target == POISON_PATH


def keys(version: int, access_keys: list[str]) -> dict[str, object]:
    """Return the configuration with these keys of the tenant."""
    route = call_route("r-booking", "/booking/", "halle-app")
    found = configuration([route], {"halle-app": PLAIN_SERVICE}, version)
    found["tenants"] = [
        {"name": "huka270", "access_keys": access_keys, "priority": 1}
    ]
    return found


@dataclass(slots=True)
class Clients:
    """What the clients do, with the key that the caller uses now."""

    programs: list[Program]
    record: Record
    key: str = KEY
    count: int = 0
    served: int = 0
    sound: int = 0

    async def book(self, path: str) -> None:
        """Send one request to the next machine in turn."""
        self.count += 1
        program = self.programs[self.count % len(self.programs)]
        request_id = f"q{self.count}"
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": "2500",
            "Authorization": f"Bearer {self.key}",
        }
        is_sound = path != POISON_PATH
        self.sound += is_sound
        try:
            body = f"booking at {path}".encode()
            answer = await send(
                program.address, b"POST", path, headers, body, wait_s=2.6
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.add(f"{request_id} {path} at {program.name}: {error!r}")
            return
        self.served += is_sound and answer.status == 200
        if not is_sound:
            text = f"{answer.status} {answer.body[:60]!r}"
            self.record.add(f"{request_id} {path} at {program.name}: {text}")


async def play(record: Record) -> int:
    """Play the case."""
    async with AsyncExitStack() as stack:
        folder = await stack.enter_async_context(scratch_folder())
        store = await stack.enter_async_context(running_platform_store())
        write_json(store, "op/config", keys(1, [KEY, OTHER_KEY]))
        deployment = Deployment(record, store)
        stack.callback(deployment.close)
        for number in range(SERVERS):
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
        clients = Clients(programs, record)
        started = time.monotonic()
        next_poison = next_sound = started
        is_revoked = not has_trouble()
        async with asyncio.TaskGroup() as tasks:
            while (now := time.monotonic()) - started < LENGTH_S:
                if now >= next_sound:
                    next_sound += SOUND_INTERVAL_S
                    tasks.create_task(clients.book(f"/booking/{clients.count}"))
                if now >= next_poison:
                    next_poison += POISON_INTERVAL_S
                    tasks.create_task(clients.book(POISON_PATH))
                crashes = deployment.crashed_at
                is_due = len(crashes) >= 3 and now >= crashes[2] + REVOKE_AFTER_S
                if not is_revoked and is_due:
                    is_revoked = True
                    record.add("the key is taken away; its caller uses the other one")
                    write_json(store, "op/config", keys(2, [OTHER_KEY]))
                    clients.key = OTHER_KEY
                await asyncio.sleep(0.01)
        crashes = deployment.crashed_at
        if len(crashes) < 3:
            raise RuntimeError(f"only {len(crashes)} servers crashed")
        late = [at for at in deployment.reached_at if at > crashes[2] + STABLE_S]
        record.add(
            f"{len(crashes)} crashes; {len(late)} retries reached servers later than "
            f"{STABLE_S} s after the third; {clients.served} of {clients.sound} sound "
            "requests were served"
        )
        return BROKEN if len(late) > MOST_RETRIES else HELD


if __name__ == "__main__":
    case_record = Record(FOLDER / "record.txt")
    run_case(play(case_record), case_record)

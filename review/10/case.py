"""Another writer's entries name the addresses of a new service's engines.

The operator adds a service and a route to it. A tool of somebody else's writes entries of
its own to the store, each with the address of one of the new servers, and with a service
that nobody has configured. Such an entry names no server to use, and the others hold.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

from engines import Engine  # noqa: E402
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
    upstream_entry,
    write_json,
)

SETTLE_S = 5.0
"""Seconds after each change: more than `stable_ms` and `configuration_apply_ms`."""

REQUESTS, INTERVAL_S = 60, 0.15
LEAST_RATIO = 0.25
"""How often later routes must be served, as a share of how often the first ones are."""


def table(version: int) -> dict[str, object]:
    """Return the configuration; the second one adds a route to another service."""
    routes = [call_route("r-booking", "/booking/", "halle-app")]
    services = {"halle-app": PLAIN_SERVICE}
    if version > 1:
        routes.append(call_route("r-release", "/release/", "quai-app"))
        services["quai-app"] = PLAIN_SERVICE
    return configuration(routes, services, version)


async def call(program: Program, path: str, request_id: str, record: Record) -> bool:
    """Send one request; return whether it was served."""
    headers = {
        "X-Request-Id": request_id,
        "X-Deadline-Milliseconds": "2500",
        "Authorization": f"Bearer {KEY}",
    }
    target = f"{path}{request_id}"
    try:
        answer = await send(program.address, b"POST", target, headers, b"lot", 2.6)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.add(f"{request_id} {target} at {program.name}: {error!r}")
        return False
    record.add(
        f"{request_id} {target} at {program.name}: {answer.status} {answer.body[:60]!r}"
    )
    return answer.status == 200


async def play(record: Record) -> int:
    """Play the case."""
    async with AsyncExitStack() as stack:
        folder = await stack.enter_async_context(scratch_folder())
        store = await stack.enter_async_context(running_platform_store())
        write_json(store, "op/config", table(1))
        servers: dict[str, list[Engine]] = {"halle-app": [], "quai-app": []}

        async def start_servers(service: str) -> None:
            for zone in DOMAINS:
                server = Engine(service, zone, record, store, is_plain=True)
                await server.start()
                stack.callback(server.close)
                servers[service].append(server)

        await start_servers("halle-app")
        programs = []
        for number, zone in enumerate(DOMAINS, start=1):
            name, host = f"front-{zone}-1", loopback_host(number)
            settings = settings_text(name, zone, host, store.address)
            program = running_program(name, host, settings, folder)
            programs.append(await stack.enter_async_context(program))
        for program in programs:
            await program.wait_until_ready()
        await start_servers("quai-app")
        write_json(store, "op/config", table(2))
        record.add("the operator has added the route /release/ and its service")
        await asyncio.sleep(SETTLE_S)
        for program in programs:
            if not await call(program, "/release/", f"first-{program.name}", record):
                raise RuntimeError("the new route is not served")
        for server in servers["quai-app"] if has_trouble() else ():
            entry = upstream_entry("rack-agent", server.address, server.zone)
            write_json(store, f"servers/rack-{server.name}", entry)
            record.add(f"another writer's entry names {server.address}: {entry}")
        await asyncio.sleep(SETTLE_S)
        served = {"/booking/": 0, "/release/": 0}
        for number in range(REQUESTS):
            for path in served:
                program = programs[number % len(programs)]
                request_id = f"q{number}-{path.strip('/')}"
                served[path] += await call(program, path, request_id, record)
            await asyncio.sleep(INTERVAL_S)
        record.add(f"served of {REQUESTS} each: {served}")
        ratio = served["/release/"] / max(1, served["/booking/"])
        return BROKEN if ratio < LEAST_RATIO else HELD


if __name__ == "__main__":
    case_record = Record(FOLDER / "record.txt")
    run_case(play(case_record), case_record)

"""Drafts for a model whose name has a letter outside of ASCII.

The configuration names the model, and the clients name it in their requests, in UTF-8. The
engine must get the name that the client sent.
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
    HOST,
    KEY,
    MODEL_SERVICE,
    Record,
    configuration,
    has_trouble,
    loopback_host,
    read_answer,
    run_case,
    running_platform_store,
    running_program,
    scratch_folder,
    settings_text,
    stream_route,
    write_json,
)

MODEL = "criée-8b" if has_trouble() else "criee-8b"
DRAFTS = 12


async def draft(address: str, request_id: str) -> tuple[int, bool]:
    """Request one draft; return its status and whether it is whole."""
    host, _, port = address.rpartition(":")
    lines = [
        "POST /draft/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Milliseconds: 25000",
        f"X-Model-Name: {MODEL}",
        "X-Token-Counts: 800,160",
        f"X-Prompt-Prefix: aaaa0000:100,{request_id[1:]:0>8}:700",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 4",
    ]
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write("\r\n".join([*lines, "", "body"]).encode("utf-8"))
        await writer.drain()
        answer = await read_answer(reader)
        return answer.status, answer.is_whole
    finally:
        writer.transport.abort()


async def play(record: Record) -> int:
    """Play the case."""
    async with AsyncExitStack() as stack:
        folder = await stack.enter_async_context(scratch_folder())
        store = await stack.enter_async_context(running_platform_store())
        engine_traits = MODEL_SERVICE["engine"] | {"models": [{"name": MODEL}]}
        service = MODEL_SERVICE | {"engine": engine_traits}
        routes = [stream_route("r-draft", "/draft/", "redacteur")]
        write_json(store, "op/config", configuration(routes, {"redacteur": service}))
        engines = [Engine("redacteur", zone, record, store) for zone in DOMAINS]
        for engine in engines:
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
        await asyncio.sleep(2.0)
        for number in range(DRAFTS):
            program = programs[number % len(programs)]
            async with asyncio.timeout(20.0):
                status, is_whole = await draft(program.address, f"q{number}")
            record.add(f"q{number} at {program.name}: {status}, whole={is_whole}")
        problems, sent = 0, MODEL.encode("utf-8")
        for engine in engines:
            for call in engine.runs:
                got = call.headers.get("x-model-name", "").encode("latin-1")
                if got != sent:
                    problems += 1
                    record.add(
                        f"UNASKED: {engine.name} ran {call.id} for the model {got!r}; "
                        f"its client sent {sent!r}"
                    )
        if not any(engine.runs for engine in engines):
            raise RuntimeError("nothing ran")
        return BROKEN if problems else HELD


if __name__ == "__main__":
    case_record = Record(FOLDER / "record.txt")
    run_case(play(case_record), case_record)

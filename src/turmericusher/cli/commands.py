"""Commands that run an instance or send requests: serve, try, generate and call."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import aiohttp
import cappa
import orjson
import uuid6
import uvloop

from turmericusher.cli.access import (
    InstanceCall,
    call_instance,
    error_from_body,
    print_json,
)
from turmericusher.cli.dispatch import EXIT_OK, run_command
from turmericusher.cli.queries import Address, Json
from turmericusher.errors import ErrorCode, UpstreamError, Verdict
from turmericusher.log_queue import bounded_logs
from turmericusher.logs import configure_logs
from turmericusher.serving import serve_until_stopped
from turmericusher.settings import load_settings

DATA_PREFIX = b"data: "
STREAM_END = b"[DONE]"


@dataclass
class Serve:
    """Run one entry instance until SIGTERM or SIGINT."""

    path: Path


@dataclass
class ServePlatform:
    """Run one entry instance on the serving platform until SIGTERM or SIGINT.

    Without a path, the settings file is the one that the platform names in the
    environment.
    """

    path: Annotated[Path | None, cappa.Arg(long=True)] = None


@dataclass
class Try:
    """Run an entry instance and stand-ins of the platform in one process."""

    port: Annotated[int, cappa.Arg(long=True)] = 8080


@dataclass
class Generate:
    """Stream the text of one generation to the terminal."""

    model: str
    prompt: str
    address: Address = "127.0.0.1:8080"
    profile: Annotated[str, cappa.Arg(long=True)] = ""
    team: Annotated[str, cappa.Arg(long=True)] = "default"
    max_tokens: Annotated[int, cappa.Arg(long=True)] = 64
    json: Json = False


@dataclass
class Call:
    """Call a plain service; without --key a new idempotency key is generated."""

    service: str
    path: str
    address: Address = "127.0.0.1:8080"
    profile: Annotated[str, cappa.Arg(long=True)] = ""
    team: Annotated[str, cappa.Arg(long=True)] = "default"
    key: Annotated[str, cappa.Arg(long=True)] = ""
    body: Annotated[str, cappa.Arg(long=True)] = ""
    json: Json = False


@run_command.register
def run_serve(command: Serve) -> int:
    """Run an entry instance with the settings file of the command."""
    settings = load_settings(command.path)
    with bounded_logs(sys.stdout):
        uvloop.run(serve_until_stopped(settings))
    return EXIT_OK


@run_command.register
def run_serve_platform(command: ServePlatform) -> int:
    """Run an entry instance with the platform's settings file."""
    from turmericusher.platform.node import serve_node
    from turmericusher.platform.settings import settings_path

    with bounded_logs(sys.stdout):
        uvloop.run(serve_node(command.path or settings_path()))
    return EXIT_OK


@run_command.register
def run_try(command: Try) -> int:
    """Run the entry instance and the stand-ins, with logs on stderr."""
    from turmericusher.standins.trial import run_trial

    configure_logs(sys.stderr)
    uvloop.run(run_trial(command.port))
    return EXIT_OK


@run_command.register
def run_generate(command: Generate) -> int:
    """Request a generation and print its text as it arrives."""
    asyncio.run(print_generation(command))
    return EXIT_OK


@run_command.register
def run_call(command: Call) -> int:
    """Send one call to a plain service and print the response body."""
    headers = caller_headers(command.team, command.profile)
    headers["Idempotency-Key"] = command.key or str(uuid6.uuid7())
    if not command.key:
        # A key generated here has never been sent, so this is attempt 1 and the
        # instance can return exact verdicts.
        headers["Turmericusher-Attempt"] = "1"
    path = f"/v1/services/{command.service}/{command.path.lstrip('/')}"
    body = orjson.loads(command.body) if command.body else None
    answer = call_instance(
        InstanceCall("POST", command.address, path, body=body, headers=headers)
    )
    if command.json or not isinstance(answer.body, str):
        print_json(answer.body)
    else:
        print(answer.body)
    return EXIT_OK


def caller_headers(team: str, profile: str) -> dict[str, str]:
    """Return the request headers for a team and an optional profile."""
    headers = {"Turmericusher-Team": team}
    if profile:
        headers["Turmericusher-Profile"] = profile
    return headers


async def print_generation(command: Generate) -> None:
    """Request a streamed completion and print each event as it arrives."""
    body = {
        "model": command.model,
        "prompt": command.prompt,
        "max_tokens": command.max_tokens,
        "stream": True,
    }
    url = f"http://{command.address}/v1/completions"
    headers = caller_headers(command.team, command.profile)
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=body, headers=headers) as response,
        ):
            async for line in response.content:
                print_event(line, command.json)
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamError(
            ErrorCode.UPSTREAM_FAILED,
            f"no answer from the entry instance at {command.address!r}: {error}",
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error
    print()


def print_event(line: bytes, as_json: bool) -> None:
    """Print one line of an event stream; raise the error that it carries.

    Lines without a JSON object, such as heartbeats and the end marker, are skipped.
    """
    data = line.strip().removeprefix(DATA_PREFIX)
    if not data.startswith(b"{"):
        return
    event = orjson.loads(data)
    if "error" in event:
        raise error_from_body(event["error"])
    if as_json:
        print(data.decode())
        return
    for choice in event["choices"]:
        print(choice["text"], end="", flush=True)

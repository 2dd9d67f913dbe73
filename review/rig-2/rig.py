"""What the scripts of the second review share: the program, its settings, a client.

The store and the upstreams are the project's own stand-ins. All addresses are loopback
addresses, and all processes that are started here are ended here, by their own ids.
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from turmericusher.standins.platform_store import (
    PlatformStoreStandin,
    running_platform_store,  # noqa: F401 (the cases import it from here)
)

ROOT = Path(__file__).resolve().parents[2]
DOMAINS = ("quai-nord", "quai-sud", "bureau-criee")
HOST = "ficu95.example"
KEY = "key-of-the-first-team"
FRONT_PORT, READINESS_PORT, CONTROL_PORT, DIRECTORY_PORT = 8740, 8749, 8748, 8746
PEER_PORT = 7200
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 30.0

BROKEN, HELD, NOT_RUN = 1, 0, 2


def has_trouble() -> bool:
    """Whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass(slots=True)
class Record:
    """What was sent, answered and run, as lines of `record.txt` in a case's folder."""

    path: Path
    started: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self.lines.append(f"{time.monotonic() - self.started:9.3f} {text}")

    def save(self) -> None:
        """Write all lines."""
        self.path.write_text("".join(f"{line}\n" for line in self.lines))


def loopback_host(number: int) -> str:
    """Return a loopback address that is unlikely to be in use: one for each process."""
    pid = os.getpid()
    return f"127.{100 + pid % 100}.{1 + pid // 100 % 250}.{10 + number}"


def settings_text(
    name: str, zone: str, host: str, store_address: str, **changes: object
) -> str:
    """Return the settings of an instance, as DEPLOY.md shows them."""
    fields: dict[str, object] = {
        "node_name": name,
        "role": "entry",
        "machine_class": "front",
        "serves": "front,directory",
        "ip_address": host,
        "zone": zone,
        "region": "bzh",
        **{f"zones.{domain}": "bzh" for domain in DOMAINS},
        "listen_addresses.frontend": f"{host}:{FRONT_PORT}",
        "listen_addresses.readiness": f"{host}:{READINESS_PORT}",
        "listen_addresses.control_plane": f"{host}:{CONTROL_PORT}",
        "listen_addresses.directory": f"{host}:{DIRECTORY_PORT}",
        "internal_port_range": f"{PEER_PORT},{PEER_PORT + 15}",
        "seed_nodes": "",
        "first_start": "true",
        "counts_toward_tolerance": "false",
        "limits.processor_share": 0.537,
        "limits.cores": 2,
        "limits.memory_mb": 300,
        "limits.file_descriptors": 4100,
        "limits.link_mbps": 1000.0,
        "limits.disk_mb": 0,
        "discovery": "platform",
        "entry": "directory",
        "heartbeat_ms": 1200,
        "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
        "platform",
        "bounds.stable_ms": 3000,
        "bounds.drain_ms": 2000,
        "bounds.grace_s": 8,
        "bounds.loss_slack_ms": 200,
        "bounds.configuration_apply_ms": 2000,
        "bounds.rollback_slack_ms": 250,
        "bounds.retry_budget_ratio": 0.8,
        "bounds.budget_window_s": 10,
        "bounds.budget_slack": 150,
        "bounds.recovery_s": 12,
        "bounds.ttl_max_s": 5,
        "platform.address": store_address,
        "platform.form": "kv",
        "platform.writes_per_s": 400,
        "platform.reads_per_s": 2000,
        "platform.history_s": 20,
        "platform.value_bytes": 1048576,
        "platform.min_expiry_ms": 1000,
    }
    return "".join(f"{key}={value}\n" for key, value in (fields | changes).items())


def program_command() -> list[str]:
    """Return the command of the deploy file that starts the program."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return shlex.split(deploy["roles"]["entry"]["run"])


@dataclass(slots=True)
class Program:
    """One process of the program, at `host`, with its log."""

    name: str
    host: str
    process: asyncio.subprocess.Process
    log: Path

    @property
    def address(self) -> str:
        """The address for callers."""
        return f"{self.host}:{FRONT_PORT}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the readiness address answers 200."""
        try:
            answer = await send(
                f"{self.host}:{READINESS_PORT}", b"GET", "/v1/readiness", {}, wait_s=1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False
        return answer.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until it says that it is ready."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self.is_ready():
                    await asyncio.sleep(0.02)
        except TimeoutError:
            text = self.log.read_text()[-1000:]
            raise RuntimeError(
                f"{self.name} is not ready, exit={self.process.returncode}: {text}"
            ) from None


@asynccontextmanager
async def running_program(
    name: str, host: str, settings: str, folder: Path
) -> AsyncIterator[Program]:
    """Start the program as the deploy file says; kill it at the end if it still runs."""
    path, log = folder / f"{name}.conf", folder / f"{name}.log"
    path.write_text(settings)
    environment = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
    environment["TURMERICUSHER_NODE_FILE"] = str(path)
    with log.open("ab") as output:
        process = await asyncio.create_subprocess_exec(
            *program_command(), cwd=ROOT, env=environment, stdout=output, stderr=output
        )
    try:
        yield Program(name, host, process, log)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@dataclass(slots=True)
class Answer:
    """What a client got: `is_whole` is False if the connection ended before the end."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Read a head; raise `IncompleteReadError` if the connection ends before it."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = text.split("\r\n")
    fields = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.lower()] = value.strip()
    return int(status_line.split(" ")[1]), fields


async def read_chunked(reader: asyncio.StreamReader, body: bytearray) -> bool:
    """Read chunks into `body`; return whether the last one came."""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return True
    except (asyncio.IncompleteReadError, ConnectionError):
        return False


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; interim ones are left out."""
    while True:
        status, fields = await read_head(reader)
        if status >= 200:
            break
    body = bytearray()
    if fields.get("transfer-encoding", "").lower() == "chunked":
        is_whole = await read_chunked(reader, body)
    else:
        try:
            body += await reader.readexactly(int(fields.get("content-length", "0")))
            is_whole = True
        except asyncio.IncompleteReadError as error:
            body += error.partial
            is_whole = False
    return Answer(status, fields, bytes(body), is_whole)


def encode_request(
    method: bytes, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a request's bytes."""
    fields = dict(headers)
    if body or method == b"POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method.decode()} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def send(
    address: str,
    method: bytes,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    wait_s: float = 30.0,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(wait_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode_request(method, target, {"Host": HOST} | headers, body))
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.transport.abort()


def write_json(store: PlatformStoreStandin, key: str, value: object) -> None:
    """Write a value to the store as the operator or an upstream does."""
    store.store.write(key, json.dumps(value).encode())


def remove(store: PlatformStoreStandin, key: str) -> None:
    """Remove a key from the store."""
    store.store.write(key, None)


def upstream_entry(
    service: str, address: str, zone: str, **changes: object
) -> dict[str, object]:
    """Return the entry of an upstream that is ready."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    } | changes


@asynccontextmanager
async def scratch_folder() -> AsyncIterator[Path]:
    """Yield a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


def run_case(case, record: Record) -> None:
    """Run a case and exit with its result; 2 if it could not run."""
    try:
        result = asyncio.run(case)
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.add({BROKEN: "BROKEN", HELD: "held", NOT_RUN: "not run"}[result])
    record.save()
    print("\n".join(record.lines[-8:]))
    sys.exit(result)


def call_route(name: str, prefix: str, service: str, **changes: object) -> dict:
    """Return a route of calls that must not run twice, like those of the site."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 2500,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public_access": False,
    } | changes


def stream_route(name: str, prefix: str, service: str, **changes: object) -> dict:
    """Return a route of streams that may be resumed, like those of the site."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "streaming",
        "timeout_ms": 25000,
        "target_latency_ms": 4500,
        "priority": 1,
        "service": service,
        "max_attempts": 5,
        "public_access": False,
        "session_affinity": True,
        "stream_resumption": True,
        "target_gap_ms": 700,
    } | changes


PLAIN_SERVICE = {
    "health_check_path": "/health",
    "connection_limit": 110,
    "protocol": "h1",
    "transport_security": False,
}
MODEL_SERVICE = PLAIN_SERVICE | {
    "connection_limit": 370,
    "engine": {
        "slots": 64,
        "cache_tokens": 88000,
        "cache_token_bytes": 35136,
        "link_mbps": 370000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 4.0,
        "models": [{"name": "m"}],
    },
}


def configuration(
    routes: list[dict], services: dict[str, dict], version: int = 1
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name} | traits for name, traits in services.items()],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka270", "access_keys": [KEY], "priority": 1}],
    }

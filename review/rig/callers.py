"""Clients: they ask a directory where to connect, send requests and read answers."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from rig.fleet import DIRECTORY, Fleet, Instance
from rig.record import Record
from rig.wire import Message, read_chunks, read_head

KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
HOST = "ficu95.example"
CONNECT_LIMIT_S = 1.0
SHARED_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 200, 60, 560
LONGEST_GAP_S = 18.0
"""Seconds without an event after which clients abandon a stream.

It is the longest of 2 s, four times the objective of 4.5 s and eight times the pause of
0.7 s."""

IDS = itertools.count(1)


def configuration(
    services: Iterable[dict], routes: Iterable[dict], version: int = 1
) -> dict:
    """Return a configuration as the operator writes it, with one tenant."""
    return {
        "version": version,
        "routes": [{"host": HOST} | route for route in routes],
        "services": list(services),
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 30_000,
        },
        "tenants": [{"name": TENANT, "access_keys": [KEY]}],
    }


STREAM_ROUTE = {
    "name": "r-letters",
    "prefix": "/letters/",
    "kind": "streaming",
    "timeout_ms": 25_000,
    "target_latency_ms": 4_500,
    "target_gap_ms": 700,
    "service": "writers",
    "max_attempts": 5,
    "stream_resumption": True,
    "session_affinity": True,
    "priority": 1,
}
CALL_ROUTE = {
    "name": "r-bookings",
    "prefix": "/bookings/",
    "kind": "non_idempotent",
    "timeout_ms": 1_200,
    "target_latency_ms": 150,
    "service": "ledger",
    "max_attempts": 1,
    "priority": 2,
}
READ_ROUTE = CALL_ROUTE | {
    "name": "r-reads",
    "prefix": "/reads/",
    "kind": "idempotent",
    "max_attempts": 2,
}
WRITERS = {
    "name": "writers",
    "health_check_path": "/health",
    "engine": {"slots": 64, "backups": True, "moves": True},
}
LEDGER = {"name": "ledger", "health_check_path": "/health"}


@dataclass(slots=True)
class Answer:
    """What one client attempt got; `status` is 0 without an answer."""

    request_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


def request_bytes(
    method: str, path: str, request_id: str, deadline_ms: int, extra: dict[str, str]
) -> bytes:
    """Return a request of a client, with a connection of its own."""
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Milliseconds": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        "Connection": "close",
    } | extra
    if method == "POST":
        headers["Content-Length"] = "2"
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    text = "\r\n".join(lines) + "\r\n\r\n"
    return text.encode() + (b"ab" if method == "POST" else b"")


async def call(
    record: Record,
    address: str,
    method: str,
    path: str,
    deadline_ms: int,
    extra: dict[str, str] | None = None,
) -> Answer:
    """Send one request that is no stream, and return its answer."""
    answer = Answer(f"q{next(IDS):06d}")
    record.add("sent", id=answer.request_id, path=path, to=address)
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            await exchange(answer, address, method, path, deadline_ms, extra or {})
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        answer.is_whole = False
    record.add(
        "answered", id=answer.request_id, status=answer.status, whole=answer.is_whole
    )
    return answer


@dataclass(slots=True)
class KeptConnection:
    """A connection of a client that carries one request after the other.

    `answered` counts the requests that it has carried to their whole answers, and
    `last_id` is that of the last one sent.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answered: int = 0
    last_id: str = ""

    async def call(self, record: Record, path: str, deadline_ms: int) -> Answer:
        """Send a request that must not repeat, and return its answer.

        Raises `OSError` or `IncompleteReadError` if the connection ends without one.
        """
        answer = Answer(f"q{next(IDS):06d}")
        self.last_id = answer.request_id
        record.add("sent", id=answer.request_id, path=path, kept=self.answered)
        kept = {"Connection": "keep-alive"}
        self.writer.write(
            request_bytes("POST", path, answer.request_id, deadline_ms, kept)
        )
        async with asyncio.timeout(deadline_ms / 1000):
            message = await read_head(self.reader)
            answer.status, answer.headers = message.status, message.headers
            async for part in read_body(self.reader, message):
                answer.body += part
        answer.is_whole = True
        self.answered += 1
        record.add("answered", id=answer.request_id, status=answer.status, whole=True)
        return answer


@asynccontextmanager
async def kept_connection(address: str) -> AsyncIterator[KeptConnection]:
    """Open a connection, and close it at the end."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CONNECT_LIMIT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield KeptConnection(reader, writer)
    finally:
        writer.close()


async def exchange(
    answer: Answer,
    address: str,
    method: str,
    path: str,
    deadline_ms: int,
    extra: dict[str, str],
) -> None:
    """Send a request and read its answer into `answer`."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CONNECT_LIMIT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request_bytes(method, path, answer.request_id, deadline_ms, extra))
        message = await read_head(reader)
        answer.status, answer.headers = message.status, message.headers
        async for part in read_body(reader, message):
            answer.body += part
        answer.is_whole = True
    finally:
        writer.close()


async def read_body(reader: asyncio.StreamReader, message: Message):
    """Yield the parts of a body."""
    if message.headers.get("transfer-encoding") == "chunked":
        async for part in read_chunks(reader):
            yield part
        return
    yield await reader.readexactly(int(message.headers["content-length"]))


@dataclass(slots=True)
class Stream:
    """One stream over all of its client's attempts.

    `events` has the engine's data of each event by its id, in the order of receipt;
    `first_id` is the client attempt that brought the first event, and `part` the id of
    the last part of its prompt.
    """

    events: list[tuple[int, str]] = field(default_factory=list)
    first_id: str = ""
    statuses: list[int] = field(default_factory=list)
    attempts: list[str] = field(default_factory=list)
    is_whole: bool = False
    part: str = field(default_factory=lambda: f"{next(IDS) + 0x10000000:x}")

    @property
    def versions(self) -> set[str]:
        """Return the software versions of the engines that wrote its events."""
        return {data.split(" ")[0] for _, data in self.events}


async def read_stream(
    record: Record,
    stream: Stream,
    address: str,
    path: str,
    deadline_ms: int,
    extra: dict[str, str] | None = None,
    longest_gap_s: float = LONGEST_GAP_S,
) -> bool:
    """Make one client attempt of a stream; return whether it is whole now.

    An attempt after the first event takes the stream up where it broke off. One without
    an event for `longest_gap_s` is abandoned.
    """
    request_id = f"s{next(IDS):06d}"
    headers = {
        "X-Model-Name": "m",
        "X-Token-Counts": f"{SHARED_TOKENS + OWN_TOKENS},{OUTPUT_TOKENS}",
        "X-Prompt-Prefix": f"5c1e07a2:{SHARED_TOKENS},{stream.part}:{OWN_TOKENS}",
    } | (extra or {})
    if stream.events:
        headers["Last-Event-Id"] = str(stream.events[-1][0])
        headers["Resumes"] = stream.first_id
    stream.attempts.append(request_id)
    record.add(
        "sent",
        id=request_id,
        path=path,
        to=address,
        after=headers.get("Last-Event-Id"),
        resumes=headers.get("Resumes"),
    )
    status, host, port = 0, *address.rsplit(":", 1)
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    request_bytes("POST", path, request_id, deadline_ms, headers)
                )
                async with asyncio.timeout(longest_gap_s) as gap:
                    message = await read_head(reader)
                    status = message.status
                    async for _ in events(record, stream, request_id, reader, message):
                        now = asyncio.get_running_loop().time()
                        gap.reschedule(now + longest_gap_s)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        stream.is_whole = False
    stream.statuses.append(status)
    record.add(
        "stream_answered",
        id=request_id,
        status=status,
        events=len(stream.events),
        whole=stream.is_whole,
    )
    return stream.is_whole


async def events(
    record: Record,
    stream: Stream,
    request_id: str,
    reader: asyncio.StreamReader,
    message: Message,
) -> AsyncIterator[None]:
    """Add events to the stream as they arrive, until the end of the answer."""
    pending, is_first = b"", True
    async for part in read_body(reader, message):
        if message.status != 200:
            continue
        pending += part
        while b"\n\n" in pending:
            event, _, pending = pending.partition(b"\n\n")
            fields = dict(
                line.split(": ", 1) for line in event.decode().split("\n") if line
            )
            if not stream.events:
                stream.first_id = request_id
            if is_first:
                record.add("first_event", id=request_id, data=fields["data"])
                is_first = False
            stream.events.append((int(fields["id"]), fields["data"]))
            yield
    stream.is_whole = message.status == 200


async def resolve(fleet: Fleet, nearest: list[Instance]) -> list[str]:
    """Ask up to three directories for addresses; return those of the clients' links."""
    for instance in nearest[:3]:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(instance.host, DIRECTORY)
                try:
                    writer.write(
                        f"GET /v1/resolve?name={HOST}&region=bzh&zone={instance.zone}"
                        " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
                    )
                    message = await read_head(reader)
                    length = int(message.headers["content-length"])
                    body = await reader.readexactly(length)
                finally:
                    writer.close()
            if message.status == 200:
                return client_addresses(fleet, json.loads(body)["addresses"])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            continue
    return []


def client_addresses(fleet: Fleet, told: list[str]) -> list[str]:
    """Return the clients' links to the instances that a directory names.

    An instance may know another one by the address of its own link to it.
    """
    by_address: dict[str, str] = {}
    for instance in fleet.instances.values():
        by_address[f"{instance.host}:8740"] = instance.client_address
        for other, (caller_link, _) in instance.peers.items():
            client_address = fleet.instances[other].client_address
            by_address[caller_link.address] = client_address
    return [by_address[address] for address in told]


def pick(addresses: list[str], failed: set[str], rng: random.Random) -> str | None:
    """Return an address at random, without those that have failed this client."""
    usable = [address for address in addresses if address not in failed]
    return rng.choice(usable) if usable else None

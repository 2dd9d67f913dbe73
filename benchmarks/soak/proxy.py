"""A TCP proxy on loopback that delays, resets or blocks connections per direction."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

from tests.common.relay_fixtures import unused_loopback_host
from turmericusher.standins.platform_upstream import full_backlog, reset
from turmericusher.tasks.background import cancel_tasks

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class Direction:
    """One direction of a link.

    While `unblocked` is not set, bytes wait in the proxy, as in a network partition.
    `delay_s` is the delay in seconds added to each read.
    """

    unblocked: asyncio.Event = field(default_factory=asyncio.Event)
    delay_s: float = 0.0

    def __post_init__(self) -> None:
        """Start unblocked."""
        self.unblocked.set()


class CutKind(enum.StrEnum):
    """What becomes of the connections of a link that is cut.

    `HANG`: new ones are not answered, and nothing passes on open ones. `RESET`: new
    ones are refused, and open ones are reset. `NEW_ONLY`: open ones live on.
    """

    HANG = "hang"
    RESET = "reset"
    NEW_ONLY = "new_only"


@dataclass(slots=True)
class Proxy:
    """A link from `address` to `target`, both `ip:port`; `up` leads to the target.

    `is_target_up` is cleared while the target refuses connections, and `is_cut` is set
    while the link is cut: `uncut` is clear then if nothing passes on open connections,
    and `backlog` has what keeps new ones unanswered. `ports` lists the local ports of
    the connections to the target, `near_writers` their other ends.
    """

    target: str
    address: str = ""
    server: asyncio.Server | None = None
    up: Direction = field(default_factory=Direction)
    down: Direction = field(default_factory=Direction)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    near_writers: set[asyncio.StreamWriter] = field(default_factory=set)
    is_target_up: bool = True
    is_cut: bool = False
    uncut: asyncio.Event = field(default_factory=asyncio.Event)
    backlog: list[socket.socket] = field(default_factory=list)
    ended_silences: list[asyncio.Event] = field(default_factory=list)
    ports: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Start without a cut."""
        self.uncut.set()

    def block(self, *directions: Direction) -> None:
        """Hold back all bytes of the given directions."""
        for direction in directions:
            direction.unblocked.clear()

    def restore(self) -> None:
        """Unblock both directions, deliver the bytes held back and remove delays."""
        for direction in (self.up, self.down):
            direction.unblocked.set()
            direction.delay_s = 0.0

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            reset_if_open(writer)

    def cut(self, kind: CutKind) -> None:
        """Let connections fail until `end_cut` is called."""
        self.is_cut = True
        self.stop_accepting()
        if kind is CutKind.RESET:
            self.reset_connections()
        if kind is CutKind.HANG:
            self.uncut.clear()
            self.backlog = full_backlog(self.address)

    async def end_cut(self) -> None:
        """Accept connections again, if the target does, and pass on what was held."""
        self.is_cut = False
        self.uncut.set()
        for sock in self.backlog:
            sock.close()
        self.backlog = []
        if self.is_target_up:
            await self.listen()

    def stop_accepting(self) -> None:
        """Accept no more connections; open ones continue."""
        if self.server is not None:
            self.server.close()

    async def listen(self) -> None:
        """Accept connections, at the same address as before if there is one.

        At the first time that is one of a host of its own: on 127.0.0.1, the port may
        be another connection's when the proxy listens again.
        """
        self.is_target_up = True
        if self.is_cut:
            return
        known_host, _, known_port = self.address.rpartition(":")
        host, port = known_host or unused_loopback_host(), int(known_port or 0)
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def refuse(self) -> None:
        """Refuse connections and reset the open ones, as after the target's end."""
        self.is_target_up = False
        self.stop_accepting()
        self.reset_connections()

    def fall_silent(self) -> None:
        """Hold open connections and leave new ones unanswered, as after a silent end.

        A cut must not overlap with this.
        """
        self.is_target_up = False
        self.stop_accepting()
        self.uncut.clear()
        self.backlog = full_backlog(self.address)

    def end_silence(self) -> None:
        """Let new connections work once `listen` is called; held ones stay silent."""
        for sock in self.backlog:
            sock.close()
        self.backlog = []
        self.silence_open_connections()

    def silence_open_connections(self) -> None:
        """Let nothing more pass on open connections, nor their ends; new ones work."""
        self.uncut.clear()
        self.ended_silences.append(self.uncut)
        self.uncut = asyncio.Event()
        self.uncut.set()

    def reset_near_ends(self) -> None:
        """Reset open connections at the end that opened them; the target sees nothing.

        So it is when something on the way drops them.
        """
        self.silence_open_connections()
        for writer in list(self.near_writers):
            reset_if_open(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one accepted connection over a new connection to the target."""
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            reset_if_open(writer)
            return
        if not self.is_target_up and self.uncut.is_set():
            # The target ended while this connection was being opened.
            reset_if_open(writer)
            reset_if_open(target_writer)
            return
        port = target_writer.get_extra_info("sockname")[1]
        self.ports.add(port)
        writer_pair = {writer, target_writer}
        self.writers |= writer_pair
        self.near_writers.add(writer)
        pumps = [
            asyncio.create_task(pump(reader, target_writer, self.up, self.uncut)),
            asyncio.create_task(pump(target_reader, writer, self.down, self.uncut)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for task, opposite_writer in zip(
                pumps, (target_writer, writer), strict=True
            ):
                if task.done() and not task.cancelled() and task.exception():
                    reset_if_open(opposite_writer)
        finally:
            await cancel_tasks(pumps)
            for pair_writer in writer_pair:
                pair_writer.close()
            self.writers -= writer_pair
            self.near_writers.discard(writer)
            self.ports.discard(port)


async def pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    direction: Direction,
    uncut: asyncio.Event,
) -> None:
    """Copy bytes in one direction until end of file; raise if the sender resets."""
    while True:
        try:
            data = await reader.read(CHUNK_BYTES)
        except ConnectionError:
            await uncut.wait()
            raise
        await direction.unblocked.wait()
        await uncut.wait()
        if direction.delay_s:
            await asyncio.sleep(direction.delay_s)
        if not data:
            return
        writer.write(data)
        await writer.drain()


def reset_if_open(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, ignoring that it may be closed already."""
    with suppress(OSError):
        reset(writer)
    writer.transport.abort()


@asynccontextmanager
async def running_proxy(target: str, **fields: Any) -> AsyncIterator[Proxy]:
    """Run a proxy at an unused address."""
    proxy = Proxy(target, **fields)
    await proxy.listen()
    try:
        yield proxy
    finally:
        for silence in (proxy.uncut, *proxy.ended_silences):
            silence.set()
        proxy.restore()
        proxy.refuse()

"""A TCP proxy on loopback that delays, resets or blocks connections per direction."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from turmericusher.standins.platform_upstream import reset
from turmericusher.tasks.background import cancel_tasks

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class Direction:
    """One direction of a link.

    While `unblocked` is not set, bytes wait in the proxy, as in a network partition.
    `delay_s` is the delay in seconds added to each read.
    """

    open: asyncio.Event = field(default_factory=asyncio.Event)
    delay_s: float = 0.0

    def __post_init__(self) -> None:
        """Start unblocked."""
        self.open.set()


@dataclass(slots=True)
class Proxy:
    """A link from `address` to `target`, both `ip:port`; `up` leads to the target."""

    target: str
    address: str = ""
    refuses: bool = False
    up: Direction = field(default_factory=Direction)
    down: Direction = field(default_factory=Direction)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def silence(self, *directions: Direction) -> None:
        """Hold back all bytes of the given directions."""
        for direction in directions:
            direction.open.clear()

    def restore(self) -> None:
        """Unblock both directions, deliver the bytes held back and remove delays."""
        for direction in (self.up, self.down):
            direction.open.set()
            direction.delay_s = 0.0

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            reset_quietly(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one accepted connection over a new connection to the target."""
        if self.refuses:
            reset_quietly(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset_quietly(writer)
            return
        ends = {writer, far_writer}
        self.writers |= ends
        pumps = [
            asyncio.create_task(pump(reader, far_writer, self.up)),
            asyncio.create_task(pump(far_reader, writer, self.down)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for task, other in zip(pumps, (far_writer, writer), strict=True):
                if task.done() and not task.cancelled() and task.exception():
                    reset_quietly(other)
        finally:
            await cancel_tasks(pumps)
            for end in ends:
                end.close()
            self.writers -= ends


async def pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
) -> None:
    """Copy bytes in one direction until end of file; raise if the sender resets."""
    while True:
        data = await reader.read(CHUNK_BYTES)
        await direction.open.wait()
        if direction.delay_s:
            await asyncio.sleep(direction.delay_s)
        if not data:
            return
        writer.write(data)
        await writer.drain()


def reset_quietly(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, ignoring that it may be closed already."""
    with suppress(OSError):
        reset(writer)
    writer.transport.abort()


@asynccontextmanager
async def running_proxy(target: str, host: str = "127.0.0.1") -> AsyncIterator[Proxy]:
    """Run a proxy on a port chosen by the operating system."""
    proxy = Proxy(target)
    server = await asyncio.start_server(proxy.serve, host, 0)
    proxy.address = f"{host}:{server.sockets[0].getsockname()[1]}"
    try:
        yield proxy
    finally:
        server.close()
        proxy.restore()
        proxy.reset_all()

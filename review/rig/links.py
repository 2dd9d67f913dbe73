"""A TCP link from one address to another, which can be cut or reset."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from rig.wire import reset

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class Link:
    """A link that listens at `address` and passes bytes on to `target`.

    While it is cut, new connections are refused, and open ones were reset. While it is
    dark, as if the machine behind it had lost power, new connections are not answered,
    and open ones pass nothing on, not even their end.
    """

    address: str
    target: str
    server: asyncio.Server | None = None
    pairs: list[tuple[asyncio.StreamWriter, ...]] = field(default_factory=list)
    flowing: asyncio.Event = field(default_factory=asyncio.Event)
    backlog: list[socket.socket] = field(default_factory=list)

    async def listen(self) -> None:
        """Accept connections."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.flowing.set()

    def reset_some(self, share: float, rng: random.Random) -> int:
        """Reset a share of the open connections; return how many."""
        chosen = rng.sample(self.pairs, round(share * len(self.pairs)))
        for pair in chosen:
            for writer in pair:
                reset(writer)
        return len(chosen)

    def cut(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)

    def darken(self) -> None:
        """Leave new connections unanswered; the open ones pass nothing on."""
        if self.server is not None:
            self.server.close()
        self.server = None
        self.flowing.clear()
        self.backlog = full_backlog(self.address)

    async def restore(self) -> None:
        """End a cut or the dark."""
        for sock in self.backlog:
            sock.close()
        self.backlog = []
        self.flowing.set()
        if self.server is None:
            await self.listen()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on the bytes of one connection."""
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = (writer, far_writer)
        self.pairs.append(pair)
        tasks = [
            asyncio.create_task(self.copy(reader, far_writer)),
            asyncio.create_task(self.copy(far_reader, writer)),
        ]
        try:
            await asyncio.gather(*tasks)
        except OSError:
            await self.flowing.wait()
            reset(writer)
            reset(far_writer)
        finally:
            for task in tasks:
                task.cancel()
            self.pairs.remove(pair)
            for each in pair:
                with suppress(OSError):
                    each.close()

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on one direction; its end ends the connection."""
        while data := await reader.read(CHUNK_BYTES):
            await self.flowing.wait()
            writer.write(data)
            await writer.drain()
        await self.flowing.wait()
        with suppress(OSError):
            writer.close()


def full_backlog(address: str) -> list[socket.socket]:
    """Return sockets that leave connections to an address unanswered while open.

    The kernel drops the first packet of a connection while as many wait as the listener
    allows: with a backlog of 0, one.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(0)
    sockets = [listener]
    for _ in range(2):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex((host, int(port)))
        sockets.append(waiting)
    return sockets


@asynccontextmanager
async def running_link(address: str, target: str) -> AsyncIterator[Link]:
    """Run a link while the context is open."""
    link = Link(address, target)
    await link.listen()
    try:
        yield link
    finally:
        link.cut()
        for sock in link.backlog:
            sock.close()

"""Links between a machine and others: proxies that are open, refuse, or say nothing."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from engines import reset

from turmericusher.standins.platform_upstream import full_backlog


@dataclass(slots=True, eq=False)
class Link:
    """One way to an address, at an address of its own.

    `cut_silently` lets open connections say nothing more and new ones hang;
    `cut_with_reset` resets the open ones and refuses new ones; `mend` ends either.
    """

    target: str
    address: str = ""
    server: asyncio.Server | None = None
    is_silent: bool = False
    blocked: list = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def open(self) -> None:
        """Listen, at the same port each time."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server = await asyncio.start_server(
            self.relay, "127.0.0.1", port, reuse_address=True
        )
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on."""
        host, _, port = self.target.rpartition(":")
        try:
            onward_reader, onward = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, onward}
        pumps = (
            asyncio.create_task(self.pump(reader, onward)),
            asyncio.create_task(self.pump(onward_reader, writer)),
        )
        self.tasks.update(pumps)
        await asyncio.wait(pumps)
        self.tasks.difference_update(pumps)

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes and the end of one direction on, unless the link is silent."""
        try:
            while data := await reader.read(65536):
                if self.is_silent:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        if self.is_silent:
            await asyncio.Event().wait()
        with contextlib.suppress(ConnectionError):
            writer.close()

    async def stop_listening(self) -> None:
        """Accept no more connections."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def cut_with_reset(self) -> None:
        """Reset what is open, and refuse what comes."""
        await self.stop_listening()
        for writer in self.writers:
            reset(writer)
        self.writers.clear()

    async def cut_silently(self) -> None:
        """Say nothing more, and answer no new connection."""
        self.is_silent = True
        await self.stop_listening()
        self.blocked = full_backlog(self.address)

    async def mend(self) -> None:
        """Open it again; what was open before stays lost."""
        for each in self.blocked:
            each.close()
        self.blocked = []
        self.is_silent = False
        for writer in self.writers:
            reset(writer)
        self.writers.clear()
        await self.open()

    def close(self) -> None:
        """End it at the end of a case."""
        for each in self.blocked:
            each.close()
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            reset(writer)

"""Runs uvicorn inside a process that handles signals itself, for any ASGI app."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import uvicorn

from turmericusher.asgi import ASGIApp
from turmericusher.guarded_protocol import GuardedProtocol
from turmericusher.listeners import open_listener
from turmericusher.memory_guard import MemoryGuard
from turmericusher.tasks.background import cancel_tasks

STOP_GRACE_S = 5
"""Seconds for which a stopping server waits for requests in flight."""

KEEP_ALIVE_S = 60
"""Seconds after which an idle connection is closed."""


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server without signal handlers, whose `ready` event tells it serves.

    With `should_exit_immediately` it does not wait for open connections on exit.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()
        self.should_exit_immediately = False
        self.exit_requested = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start serving and set `ready`."""
        await super().startup(sockets)
        self.ready.set()

    async def main_loop(self) -> None:
        """Wait until the server is told to exit.

        The library's own loop looks for that ten times a second, in each server.
        """
        await self.on_tick(0)
        await self.exit_requested.wait()

    def request_exit(self) -> None:
        """Have the server close its connections and end."""
        self.should_exit = True
        self.exit_requested.set()

    def stop_accepting(self) -> None:
        """Stop listening, and close the connections that are idle.

        Requests in flight continue; each connection closes after its request.
        """
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.shutdown()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers: the entry instance drains before it stops."""
        yield


@asynccontextmanager
async def serving_app(
    app: ASGIApp,
    address: str,
    stop_grace_s: int = STOP_GRACE_S,
    guard: MemoryGuard | None = None,
) -> AsyncIterator[str]:
    """Serve an application at `ip:port`; yield the address that was bound."""
    async with running_server(app, address, stop_grace_s, guard=guard) as server:
        bound = server.servers[0].sockets[0].getsockname()
        yield f"{bound[0]}:{bound[1]}"


@asynccontextmanager
async def running_server(
    app: ASGIApp,
    address: str,
    stop_grace_s: int = STOP_GRACE_S,
    listener: socket.socket | None = None,
    guard: MemoryGuard | None = None,
) -> AsyncIterator[EmbeddedServer]:
    """Serve an application at `ip:port`; yield the running server.

    `listener` listens there already, if given. All servers of a process share `guard`,
    its account of memory and connections.
    """
    listener = listener or open_listener(address)
    # The library takes any function that makes a protocol.
    protocol: Any = partial(GuardedProtocol, guard or MemoryGuard())
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan="off",
        loop="none",
        http=protocol,
        ws="none",
        server_header=False,
        date_header=False,
        timeout_graceful_shutdown=stop_grace_s,
        timeout_keep_alive=KEEP_ALIVE_S,
    )
    server = EmbeddedServer(config)
    serving = asyncio.create_task(server.serve(sockets=[listener]))
    try:
        await wait_until_ready(server, serving)
        yield server
    finally:
        server.request_exit()
        if server.should_exit_immediately:
            serving.cancel()
        await asyncio.gather(serving, return_exceptions=server.should_exit_immediately)
        # Requests that the server has left must free what they hold elsewhere.
        await cancel_tasks(list(server.server_state.tasks))


async def wait_until_ready(server: EmbeddedServer, serving: asyncio.Task[None]) -> None:
    """Return once the server serves or has failed to start."""
    ready = asyncio.create_task(server.ready.wait())
    await asyncio.wait({ready, serving}, return_when=asyncio.FIRST_COMPLETED)
    ready.cancel()

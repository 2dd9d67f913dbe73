"""Serving: the web server around an entry instance, until it is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import uvicorn
from starlette.applications import Starlette

from turmericusher.api.app import make_app
from turmericusher.logs import log_event
from turmericusher.settings import Settings
from turmericusher.tasks.instance import EntryRuntime, running_entry

LISTEN_BACKLOG = 512
STOP_GRACE_S = 5


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to its owner and tells when it serves."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to serve, and tell so."""
        await super().startup(sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers: the entry instance drains before it stops."""
        yield


async def serve_until_stopped(settings: Settings) -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with serving_entry(settings) as runtime:
        await stopped.wait()
        await runtime.draining.drain()


@asynccontextmanager
async def serving_entry(settings: Settings) -> AsyncIterator[EntryRuntime]:
    """Serve callers and operators while the context is open."""
    async with running_entry(settings) as runtime:
        async with serving_app(make_app(runtime), settings.caller_address) as address:
            log_event("serving", name=settings.name, address=address)
            yield runtime
        log_event("stopped", name=settings.name)


@asynccontextmanager
async def serving_app(app: Starlette, address: str) -> AsyncIterator[str]:
    """Serve an application at `ip:port` and yield the address that was bound."""
    listener = listen(address)
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan="off",
        loop="none",
        http="httptools",
        ws="none",
        timeout_graceful_shutdown=STOP_GRACE_S,
        timeout_keep_alive=60,
    )
    server = QuietServer(config)
    serving = asyncio.create_task(server.serve(sockets=[listener]))
    try:
        await wait_until_ready(server, serving)
        bound = listener.getsockname()
        yield f"{bound[0]}:{bound[1]}"
    finally:
        server.should_exit = True
        await serving


async def wait_until_ready(server: QuietServer, serving: asyncio.Task[None]) -> None:
    """Return when the server serves, or at once when it failed to start."""
    ready = asyncio.create_task(server.ready.wait())
    await asyncio.wait({ready, serving}, return_when=asyncio.FIRST_COMPLETED)
    ready.cancel()


def listen(address: str) -> socket.socket:
    """Return a listening socket for `ip:port`."""
    host, _, port = address.rpartition(":")
    bare_host = host.strip("[]")
    family = socket.AF_INET6 if ":" in bare_host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((bare_host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener

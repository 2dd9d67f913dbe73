"""Servers that write any bytes to their connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

CLOSE_LIMIT_S = 1.0
"""Seconds for what was written to be read before a connection is aborted."""

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def running_raw_server(serve: Serve) -> AsyncIterator[str]:
    """Serve connections and yield the address; all of them have ended on exit."""
    tasks: set[asyncio.Task[None]] = set()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                await serve(reader, writer)
        finally:
            await close(writer)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection, at once if its peer does not read."""
    writer.close()
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await writer.wait_closed()
            return
    writer.transport.abort()
    with suppress(OSError):
        await writer.wait_closed()

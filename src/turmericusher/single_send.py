"""HTTP requests that are sent at most once: a guard against aiohttp's own retries.

After a lost connection aiohttp resends GET, PUT, DELETE and other methods by itself.
Whether a request may be sent again does not depend on its method alone. Sessions that
use `single_send_trace` must not keep connections open (`force_close`), so that each
send opens a new connection, which can be counted.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp


@dataclass(slots=True)
class SendProgress:
    """Progress of one request; pass it as `trace_request_ctx`.

    `is_connected` is set, and `on_connected` called, once a connection is open, so that
    bytes may have been sent.
    """

    is_connected: bool = False
    connections: int = 0
    on_connected: Callable[[], Awaitable[None]] | None = None


async def refuse_second_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    """Refuse a second connection for one request before anything is sent on it."""
    progress = context.trace_request_ctx
    if not isinstance(progress, SendProgress):
        return
    progress.connections += 1
    if progress.connections > 1:
        raise aiohttp.ServerDisconnectedError("connection lost before the response")


async def mark_connected(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    """Record that bytes may be sent from now on."""
    progress = context.trace_request_ctx
    if isinstance(progress, SendProgress):
        progress.is_connected = True
        if progress.on_connected is not None:
            await progress.on_connected()


def single_send_trace() -> aiohttp.TraceConfig:
    """Return the trace configuration that limits each request to one connection."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(refuse_second_connection)
    trace.on_connection_create_end.append(mark_connected)
    return trace

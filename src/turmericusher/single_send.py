"""HTTP requests that leave at most once: a guard against aiohttp's own repeats.

After a lost connection aiohttp sends GET, PUT, DELETE and other methods again by
itself. Whether a request may be sent again is not for the method to say. Sessions that
use `single_send_trace` must not keep connections open (`force_close`), so that each
sending makes a connection that can be counted.
"""

from __future__ import annotations

from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp


@dataclass(slots=True)
class SendProgress:
    """How far one request came; give it as `trace_request_ctx`.

    `is_connected` tells whether a connection stood, so that bytes may have left.
    """

    is_connected: bool = False
    connections: int = 0


async def refuse_second_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    """Refuse a second connection for one request, before a byte is written to it."""
    progress = context.trace_request_ctx
    if not isinstance(progress, SendProgress):
        return
    progress.connections += 1
    if progress.connections > 1:
        raise aiohttp.ServerDisconnectedError("connection lost before the answer")


async def note_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    """Note that bytes may leave from now on."""
    progress = context.trace_request_ctx
    if isinstance(progress, SendProgress):
        progress.is_connected = True


def single_send_trace() -> aiohttp.TraceConfig:
    """Return the trace that guards the requests of a session."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(refuse_second_connection)
    trace.on_connection_create_end.append(note_connection)
    return trace

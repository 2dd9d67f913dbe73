"""HTTP sessions that keep connections open, and never take a late answer for another.

A server may send a second copy of an answer after the first. On a connection that is
kept, aiohttp would hand it to the next request, and each answer after that to the
request behind its own. Nothing is therefore sent on a connection with unread bytes.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from turmericusher.logs import log_event


class UnreadBytesError(aiohttp.ClientConnectionError):
    """A kept connection had bytes that belong to no request; nothing was sent on it."""


class CleanRequest(aiohttp.ClientRequest):
    """A request that is sent only on a connection without unread bytes."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Send the request, or raise `UnreadBytesError` and close the connection."""
        if conn.protocol is None or conn.protocol.should_close:
            conn.close()
            raise UnreadBytesError(f"unread bytes on a connection to {self.url}")
        return await super().send(conn)


async def use_clean_connection(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request on the first connection without unread bytes.

    Each one with some is closed, and a new one has none.
    """
    while True:
        try:
            return await handler(request)
        except UnreadBytesError as error:
            log_event("unread_bytes", address=request.url.authority, error=str(error))


@asynccontextmanager
async def open_pooled_session(**options: Any) -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a session that keeps connections; `options` are aiohttp's."""
    async with aiohttp.ClientSession(
        request_class=CleanRequest, middlewares=(use_clean_connection,), **options
    ) as session:
        yield session

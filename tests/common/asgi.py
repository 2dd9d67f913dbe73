"""Call an ASGI application directly, without a socket or an HTTP client."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

import orjson
from starlette.types import ASGIApp

CALL_TIMEOUT_S = 30.0
LOOPBACK_ADDRESS = ("127.0.0.1", 1)

Headers = Sequence[tuple[bytes, bytes]]


@dataclass
class AsgiResponse:
    """The status, headers and complete body that an application sent."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> Any:
        """Return the body parsed as JSON; raise when it is not valid JSON."""
        return orjson.loads(self.body)


async def call_app(
    app: ASGIApp,
    method: str,
    target: bytes,
    headers: Headers = (),
    body_parts: Sequence[bytes] = (),
) -> AsgiResponse:
    """Send one request whose body arrives in several parts and return the response.

    Exceptions that the application raises reach the caller. After the last part the
    application waits for ever when it receives again, as for a client that stays
    connected.
    """
    path, _, query = target.partition(b"?")
    scope = {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": unquote(path.decode("latin-1")),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": [(name.lower(), value) for name, value in headers],
        "client": LOOPBACK_ADDRESS,
        "server": LOOPBACK_ADDRESS,
    }
    pending = [*body_parts, b""]
    response = AsgiResponse()

    async def receive() -> dict[str, Any]:
        if not pending:
            await asyncio.Event().wait()
        part = pending.pop(0)
        return {"type": "http.request", "body": part, "more_body": bool(pending)}

    async def send(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            response.status = message["status"]
            response.headers = dict(message.get("headers", ()))
        else:
            response.body += message.get("body", b"")

    async with asyncio.timeout(CALL_TIMEOUT_S):
        await app(scope, receive, send)
    return response

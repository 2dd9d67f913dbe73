"""ASGI without a framework: types, request bodies, and applications of plain pages.

An instance on the platform uses this in place of Starlette, which its callers would
wait for at each start.
"""

from __future__ import annotations

from collections.abc import (
    AsyncIterable,
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    MutableMapping,
)
from dataclasses import dataclass
from typing import Any

from turmericusher.errors import ErrorCode, RequestRefusedError

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
ASGIApp = Callable[[Scope, Receive, Send], Awaitable[None]]

READING_METHODS = frozenset({"GET", "HEAD"})


class CallerGoneError(Exception):
    """The caller has closed its connection before its request was complete."""


async def body_parts(receive: Receive) -> AsyncIterator[bytes]:
    """Yield the parts of a request body; raise `CallerGoneError` if it breaks off."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        yield message.get("body", b"")
        if not message.get("more_body", False):
            return


async def read_body(parts: AsyncIterable[bytes], limit_bytes: int) -> bytes:
    """Return a request body; raise `RequestRefusedError` if it exceeds the limit."""
    body = bytearray()
    async for part in parts:
        body += part
        if len(body) > limit_bytes:
            raise RequestRefusedError(
                ErrorCode.REQUEST_TOO_LARGE,
                f"body is larger than {limit_bytes} bytes; send a smaller one",
            )
    return bytes(body)


@dataclass(frozen=True, slots=True)
class Page:
    """A whole response to a GET request."""

    body: bytes = b""
    status: int = 200
    content_type: str = "text/plain; charset=utf-8"


NOT_FOUND = Page(b"Not Found", status=404)
METHOD_NOT_ALLOWED = Page(b"Method Not Allowed", status=405)


def pages_app(pages: Mapping[str, Callable[[], Page]]) -> ASGIApp:
    """Return an application that serves each path with the page of its function."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        page = pages.get(scope["path"])
        if page is None:
            response = NOT_FOUND
        elif scope["method"] not in READING_METHODS:
            response = METHOD_NOT_ALLOWED
        else:
            response = page()
        await send_page(response, scope["method"], send)

    return app


async def send_page(page: Page, method: str, send: Send) -> None:
    """Send a page as the response to a request, without its body for HEAD."""
    headers = [
        (b"content-type", page.content_type.encode("latin-1")),
        (b"content-length", str(len(page.body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": page.status, "headers": headers}
    )
    body = b"" if method == "HEAD" else page.body
    await send({"type": "http.response.body", "body": body})

"""Reading of request bodies: a size limit, and JSON objects."""

from __future__ import annotations

from typing import Any

import orjson
from starlette.requests import Request

from turmericusher.errors import ErrorCode, RequestRefusedError

MAX_VALUE_SHOWN = 80


async def read_body(request: Request, limit_bytes: int) -> bytes:
    """Read a body; refuse one that is larger than the limit."""
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > limit_bytes:
            raise RequestRefusedError(
                ErrorCode.REQUEST_TOO_LARGE,
                f"body is larger than {limit_bytes} bytes; send a smaller one",
            )
    return bytes(body)


def parse_object(data: bytes) -> dict[str, Any]:
    """Return a JSON object's fields."""
    try:
        fields = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise invalid(f"body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise invalid(f"body={shorten(fields)} is not a JSON object")
    return fields


def invalid(message: str) -> RequestRefusedError:
    """Return the error for a body that cannot be used."""
    return RequestRefusedError(ErrorCode.INVALID_REQUEST, message)


def shorten(value: object) -> str:
    """Return a value's repr, cut to a length that fits a message."""
    text = repr(value)
    return text if len(text) <= MAX_VALUE_SHOWN else text[:MAX_VALUE_SHOWN] + "..."

"""Parsing of request bodies."""

from __future__ import annotations

from typing import Any

import orjson

from turmericusher.errors import ErrorCode, RequestRefusedError

MAX_REPR_LENGTH = 80


def parse_object(data: bytes) -> dict[str, Any]:
    """Return the fields of a JSON object; raise `RequestRefusedError` if it is none."""
    try:
        fields = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise invalid_body_error(f"body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise invalid_body_error(f"body={short_repr(fields)} is not a JSON object")
    return fields


def invalid_body_error(message: str) -> RequestRefusedError:
    """Return the error for a body that is invalid."""
    return RequestRefusedError(ErrorCode.INVALID_REQUEST, message)


def short_repr(value: object) -> str:
    """Return a value's repr, truncated to fit in an error message."""
    text = repr(value)
    return text if len(text) <= MAX_REPR_LENGTH else text[:MAX_REPR_LENGTH] + "..."

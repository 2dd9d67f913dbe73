"""Encoding of errors for callers and operators: JSON with code, verdict, message."""

from __future__ import annotations

import math

from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from turmericusher.api.statuses import STATUS_BY_CODE
from turmericusher.errors import TurmericusherError
from turmericusher.logs import log_event


def error_body(error: TurmericusherError) -> dict[str, object]:
    """Return the JSON object that describes an error."""
    body: dict[str, object] = {
        "code": error.code.value,
        "verdict": error.verdict.value,
        "message": error.message,
    }
    if error.retry_after_s is not None:
        body["retry_after_s"] = error.retry_after_s
    return {"error": body}


def error_response(error: TurmericusherError) -> JSONResponse:
    """Return the HTTP response for an error; round Retry-After up to whole seconds."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    status = STATUS_BY_CODE.get(error.code, 500)
    return JSONResponse(error_body(error), status_code=status, headers=headers)


async def handle_turmericusher_error(request: Request, error: Exception) -> Response:
    """Log a coded error and return its response; an exception handler of Starlette."""
    assert isinstance(error, TurmericusherError)
    log_event(
        "request_failed",
        path=request.url.path,
        code=error.code.value,
        verdict=error.verdict.value,
        message=error.message,
    )
    return error_response(error)

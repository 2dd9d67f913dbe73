"""Encoding of errors for callers and operators: JSON with code, verdict, message."""

from __future__ import annotations

import math

from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from turmericusher.errors import ErrorCode, TurmericusherError
from turmericusher.logs import log_event

STATUS_BY_CODE = {
    ErrorCode.INVALID_SETTINGS: 400,
    ErrorCode.INVALID_REQUEST: 400,
    ErrorCode.UNSUPPORTED_PARAMETER: 400,
    ErrorCode.REQUEST_TOO_LARGE: 413,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.UNKNOWN_PROFILE: 404,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.NO_CONFIGURATION: 503,
    ErrorCode.INVALID_KEY: 400,
    ErrorCode.KEY_EXPIRED: 409,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.REQUEST_IN_PROGRESS: 409,
    ErrorCode.OVERLOADED: 429,
    ErrorCode.WAIT_EXCEEDED: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.UPSTREAM_REJECTED: 400,
    ErrorCode.REQUEST_KILLS_UPSTREAMS: 422,
    ErrorCode.INSTANCE_STOPPING: 503,
    ErrorCode.INSTANCE_STALE: 503,
    ErrorCode.STORE_UNAVAILABLE: 503,
    ErrorCode.STORE_OUTCOME_UNKNOWN: 503,
    ErrorCode.REVISION_CONFLICT: 409,
    ErrorCode.PROFILE_RETIRED: 410,
    ErrorCode.ANSWER_INTERRUPTED: 503,
    ErrorCode.OUTCOME_TOO_LARGE: 409,
    ErrorCode.INTERNAL: 500,
}
"""HTTP status of each error code; codes that are missing here get 500."""


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

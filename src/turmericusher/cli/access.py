"""HTTP requests from the command line to an entry instance, and printed results."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from turmericusher.errors import ErrorCode, TurmericusherError, UpstreamError, Verdict

REQUEST_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class InstanceResponse:
    """The HTTP status and the decoded body of a response."""

    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class InstanceCall:
    """One HTTP request to an entry instance; `address` is its `ip:port`."""

    method: str
    address: str
    path: str
    token: str = ""
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


def call_instance(call: InstanceCall) -> InstanceResponse:
    """Send a request and return the response.

    Raises the `TurmericusherError` that the instance reports, or `UpstreamError` if it
    cannot be reached. Any other response is returned, whatever its status.
    """
    return asyncio.run(send_call(call))


async def send_call(call: InstanceCall) -> InstanceResponse:
    """Send a request as `call_instance` does, within a running event loop."""
    headers = dict(call.headers)
    if call.token:
        headers["Authorization"] = f"Bearer {call.token}"
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    url = f"http://{call.address}{call.path}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                call.method, url, json=call.body, headers=headers
            ) as response,
        ):
            text = await response.text()
            result = InstanceResponse(response.status, decode_body(text))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise UpstreamError(
            ErrorCode.UPSTREAM_FAILED,
            f"no answer from the entry instance at {call.address!r}: {error}",
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error
    raise_for_error(result)
    return result


def decode_body(text: str) -> Any:
    """Return the decoded JSON of a body, or its text if it is not JSON."""
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text


def raise_for_error(response: InstanceResponse) -> None:
    """Raise the error of an entry instance if the body is a JSON error object.

    The HTTP status is not considered.
    """
    if not isinstance(response.body, dict) or "error" not in response.body:
        return
    error = response.body["error"]
    if not isinstance(error, dict) or "code" not in error:
        return
    raise error_from_body(error)


def error_from_body(error: dict[str, Any]) -> TurmericusherError:
    """Return the exception for a JSON error object.

    A code that this version does not know becomes `ErrorCode.INTERNAL`, and a missing
    verdict `Verdict.MAY_HAVE_RUN`.
    """
    known_codes = {code.value for code in ErrorCode}
    code = str(error["code"])
    return TurmericusherError(
        ErrorCode(code) if code in known_codes else ErrorCode.INTERNAL,
        str(error.get("message", "")),
        verdict=Verdict(error.get("verdict", Verdict.MAY_HAVE_RUN)),
        retry_after_s=error.get("retry_after_s"),
    )


def print_json(value: object) -> None:
    """Print a value as indented JSON with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_error(error: TurmericusherError, as_json: bool) -> None:
    """Print an error as one line on stderr, or as a JSON object on stdout."""
    if as_json:
        print(json.dumps({"code": error.code, "message": error.message}))
        return
    line = (
        f"turmericusher: {error.message} (code={error.code}, verdict={error.verdict})"
    )
    print(line, file=sys.stderr)

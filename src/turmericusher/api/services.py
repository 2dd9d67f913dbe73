"""The callers' route to plain services: `/v1/services/{service}/{path}`.

A plain service answers HTTP calls; its upstreams are not engines and serve no models.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from turmericusher.api.headers import (
    ATTEMPT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    PROFILE_HEADER,
    REPLAYED_HEADER,
    RESERVED_HEADER_PREFIX,
)
from turmericusher.asgi import read_body
from turmericusher.decisions.claims import UNNUMBERED
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
    Verdict,
)
from turmericusher.ports.services import Headers, OutgoingCall, end_to_end_headers
from turmericusher.tasks.calls import CallAnswer, CallRunner, ServiceCall
from turmericusher.tasks.claimed import verdict_before_claim

ROUTE_PREFIX = "/v1/services/"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
MAX_ATTEMPT_NUMBER = 1_000_000


@dataclass(frozen=True, slots=True)
class ServiceHandler:
    """Translates an HTTP request to a `ServiceCall` and its answer to a response.

    `identify_team` returns the caller's team or raises if there is none. Headers in
    `private_headers` are meant for the entry instance and are not forwarded.
    """

    calls: CallRunner
    identify_team: Callable[[Request], str]
    max_body_bytes: int
    private_headers: frozenset[str]

    async def handle(self, request: Request) -> Response:
        """Run the request as a service call and return the response."""
        call = ServiceCall(
            service=request.path_params["service"],
            team=self.identify_team(request),
            profile=request.headers.get(PROFILE_HEADER, ""),
            outgoing=OutgoingCall(
                method=request.method,
                target=request_target(request),
                headers=self.forwarded_headers(request),
                body=await read_body(request.stream(), self.max_body_bytes),
            ),
            key=request.headers.get(IDEMPOTENCY_KEY_HEADER),
            number=parse_attempt_number(request.headers.get(ATTEMPT_HEADER)),
        )
        return to_response(await self.calls.run(call))

    def forwarded_headers(self, request: Request) -> Headers:
        """Return the headers of the request that are forwarded to the service."""
        return tuple(
            (name, value)
            for name, value in end_to_end_headers(request.headers.items())
            if name not in self.private_headers
            and not name.startswith(RESERVED_HEADER_PREFIX)
        )


def request_target(request: Request) -> str:
    """Return the path after the service's name, with the query, as they were sent."""
    prefix = ROUTE_PREFIX + request.path_params["service"]
    raw_path: bytes = request.scope.get("raw_path") or request.url.path.encode()
    path = raw_path.decode("ascii")
    if not path.startswith(prefix + "/"):
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST,
            f"path={path!r} does not begin with {prefix!r} and a slash; write the "
            "service's name without percent escapes",
        )
    query = request.url.query
    return path[len(prefix) :] + (f"?{query}" if query else "")


def parse_attempt_number(text: str | None) -> int:
    """Parse the caller's number for this request among those with the same key.

    Returns `UNNUMBERED` without a number, and raises `RequestRefusedError` if it is
    invalid.
    """
    if text is None:
        return UNNUMBERED
    if text.isascii() and text.isdigit() and 1 <= int(text) <= MAX_ATTEMPT_NUMBER:
        return int(text)
    raise RequestRefusedError(
        ErrorCode.INVALID_REQUEST,
        f"{ATTEMPT_HEADER}={text!r} is not a whole number from 1 to "
        f"{MAX_ATTEMPT_NUMBER}; number the requests with the same key from 1",
    )


def downgrade_not_run(headers: Mapping[str, str], error: TurmericusherError) -> None:
    """Change the verdict `not_run` if an earlier request with the key may have run.

    `error` was raised before the records of the key were read. Its verdict becomes
    `may_have_run` unless the request has no key or is numbered as the first.
    """
    if (
        headers.get(IDEMPOTENCY_KEY_HEADER) is None
        or error.verdict is not Verdict.NOT_RUN
    ):
        return
    is_first = headers.get(ATTEMPT_HEADER) == "1"
    error.verdict = verdict_before_claim(1 if is_first else UNNUMBERED)


def to_response(answer: CallAnswer) -> Response:
    """Return the HTTP response for a service's answer, marked if it is a replay."""
    response = Response(answer.answer.body, answer.answer.status)
    for name, value in answer.answer.headers:
        response.headers.append(name, value)
    if answer.is_repeat:
        response.headers[REPLAYED_HEADER] = "true"
    return response


def service_routes(
    calls: CallRunner,
    identify_team: Callable[[Request], str],
    max_body_bytes: int,
    private_headers: frozenset[str] = frozenset({"authorization"}),
) -> list[Route]:
    """Return the route to plain services."""
    handler = ServiceHandler(calls, identify_team, max_body_bytes, private_headers)
    path = ROUTE_PREFIX + "{service}/{path:path}"
    return [Route(path, handler.handle, methods=list(METHODS))]

"""The callers' route to plain services: `/v1/services/{service}/{path}`."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from turmericusher.api.headers import (
    ATTEMPT_HEADER,
    KEY_HEADER,
    OWN_HEADERS_PREFIX,
    PROFILE_HEADER,
    REPLAYED_HEADER,
)
from turmericusher.api.reading import read_body
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
LARGEST_ATTEMPT = 1_000_000


@dataclass(frozen=True, slots=True)
class ServiceHandler:
    """Turns an HTTP request into a `ServiceCall` and its answer into a response.

    `team_of` returns the caller's team and raises when there is none. Headers in
    `private_headers` are for this system alone and are not passed on.
    """

    calls: CallRunner
    team_of: Callable[[Request], str]
    max_body_bytes: int
    private_headers: frozenset[str]

    async def handle(self, request: Request) -> Response:
        """Run one call."""
        call = ServiceCall(
            service=request.path_params["service"],
            team=self.team_of(request),
            profile=request.headers.get(PROFILE_HEADER, ""),
            outgoing=OutgoingCall(
                method=request.method,
                target=target_of(request),
                headers=self.passed_headers(request),
                body=await read_body(request, self.max_body_bytes),
            ),
            key=request.headers.get(KEY_HEADER),
            number=attempt_number(request.headers.get(ATTEMPT_HEADER)),
        )
        return response_of(await self.calls.run(call))

    def passed_headers(self, request: Request) -> Headers:
        """Return the caller's headers that the service gets."""
        return tuple(
            (name, value)
            for name, value in end_to_end_headers(request.headers.items())
            if name not in self.private_headers
            and not name.startswith(OWN_HEADERS_PREFIX)
        )


def target_of(request: Request) -> str:
    """Return the path behind the service's name and the query, as they were sent."""
    prefix = ROUTE_PREFIX + request.path_params["service"]
    raw_path: bytes = request.scope.get("raw_path") or request.url.path.encode()
    path = raw_path.decode("ascii")
    if not path.startswith(prefix + "/"):
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST,
            f"path={path!r} is not {prefix!r} with a path behind it; write the "
            "service's name without escapes",
        )
    query = request.url.query
    return path[len(prefix) :] + (f"?{query}" if query else "")


def attempt_number(text: str | None) -> int:
    """Return the caller's count of its requests with this key."""
    if text is None:
        return UNNUMBERED
    if text.isascii() and text.isdigit() and 1 <= int(text) <= LARGEST_ATTEMPT:
        return int(text)
    raise RequestRefusedError(
        ErrorCode.INVALID_REQUEST,
        f"{ATTEMPT_HEADER}={text!r} is not a whole number from 1 to "
        f"{LARGEST_ATTEMPT}; count the requests with one key from 1",
    )


def weaken_not_run(headers: Mapping[str, str], error: TurmericusherError) -> None:
    """Doubt a `not_run` that was decided without a look at the key's record.

    An earlier request with the key may have run; only its first one excludes that.
    """
    if headers.get(KEY_HEADER) is None or error.verdict is not Verdict.NOT_RUN:
        return
    is_first = headers.get(ATTEMPT_HEADER) == "1"
    error.verdict = verdict_before_claim(1 if is_first else UNNUMBERED)


def response_of(answer: CallAnswer) -> Response:
    """Return the response for the caller."""
    response = Response(answer.answer.body, answer.answer.status)
    for name, value in answer.answer.headers:
        response.headers.append(name, value)
    if answer.is_repeat:
        response.headers[REPLAYED_HEADER] = "true"
    return response


def service_routes(
    calls: CallRunner,
    team_of: Callable[[Request], str],
    max_body_bytes: int,
    private_headers: frozenset[str] = frozenset({"authorization"}),
) -> list[Route]:
    """Return the routes for plain services."""
    handler = ServiceHandler(calls, team_of, max_body_bytes, private_headers)
    path = ROUTE_PREFIX + "{service}/{path:path}"
    return [Route(path, handler.handle, methods=list(METHODS))]

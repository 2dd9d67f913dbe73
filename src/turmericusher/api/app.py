"""The HTTP application of an entry instance: routes, middleware, error handlers."""

from __future__ import annotations

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute
from starlette.types import ASGIApp, Receive, Scope, Send

from turmericusher.api.completions import completion_routes
from turmericusher.api.draining import DrainGuard
from turmericusher.api.entrypoints import entrypoint_routes, upstream_command_routes
from turmericusher.api.errors import error_response, handle_turmericusher_error
from turmericusher.api.health import health_routes
from turmericusher.api.identity import check_operator, identify_team
from turmericusher.api.models import model_routes
from turmericusher.api.order_queries import order_routes
from turmericusher.api.profile_commands import profile_command_routes
from turmericusher.api.profile_queries import profile_query_routes
from turmericusher.api.services import service_routes
from turmericusher.api.state import state_routes
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
    Verdict,
)
from turmericusher.logs import log_event
from turmericusher.settings import Settings
from turmericusher.tasks.instance import EntryRuntime

OPERATOR_PREFIXES = ("/v1/operator/", "/debug/")
"""Paths that require the operator token."""


class OperatorGuard:
    """Middleware that answers 401 to operator requests without the operator token.

    It runs before routing, so that no new operator route can be left unprotected.
    """

    def __init__(self, app: ASGIApp, settings: Settings) -> None:
        self.app = app
        self.settings = settings

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass the request on, or answer 401 on an operator path without the token."""
        if scope["type"] == "http" and scope["path"].startswith(OPERATOR_PREFIXES):
            try:
                check_operator(Request(scope), self.settings)
            except RequestRefusedError as error:
                await error_response(error)(scope, receive, send)
                return
        await self.app(scope, receive, send)


def create_app(runtime: EntryRuntime) -> Starlette:
    """Return the application with every route of an entry instance."""
    settings = runtime.settings
    routes: list[BaseRoute] = [
        *completion_routes(runtime),
        *service_routes(
            runtime.calls,
            lambda request: identify_team(request, settings),
            settings.max_body_bytes,
        ),
        *model_routes(runtime),
        *profile_command_routes(runtime.profile_changer),
        *profile_query_routes(runtime.profiles, runtime.fleet.live_revisions),
        *entrypoint_routes(runtime.fleet, settings.entrypoint_ttl_s),
        *upstream_command_routes(runtime.fleet),
        *state_routes(runtime),
        *order_routes(runtime),
        *health_routes(runtime),
    ]
    app = Starlette(
        routes=routes,
        middleware=[
            Middleware(DrainGuard, draining=runtime.draining),
            Middleware(OperatorGuard, settings=settings),
        ],
        exception_handlers={
            TurmericusherError: handle_turmericusher_error,
            HTTPException: handle_http_exception,
            Exception: handle_unexpected_error,
        },
    )
    # Starlette would redirect a path with a trailing slash, and the client would send
    # the body twice.
    app.router.redirect_slashes = False
    return app


async def handle_http_exception(_request: Request, error: Exception) -> Response:
    """Answer Starlette's error for an unknown path or method as a coded error."""
    assert isinstance(error, HTTPException)
    refusal = RequestRefusedError(
        ErrorCode.INVALID_REQUEST, f"{error.detail}; see the list of routes"
    )
    response = error_response(refusal)
    response.status_code = error.status_code
    return response


async def handle_unexpected_error(request: Request, error: Exception) -> Response:
    """Log an unexpected exception and answer 500; the process keeps running."""
    log_event("internal_error", path=request.url.path, error=repr(error))
    return error_response(
        TurmericusherError(
            ErrorCode.INTERNAL,
            "the entry instance failed to handle the request; see its log",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    )

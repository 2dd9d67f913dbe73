"""Middleware that counts requests in flight and refuses new ones during a stop."""

from __future__ import annotations

from starlette.datastructures import Headers
from starlette.types import ASGIApp, Receive, Scope, Send

from turmericusher.api.errors import error_response
from turmericusher.api.services import downgrade_not_run
from turmericusher.errors import RequestRefusedError
from turmericusher.tasks.shutdown import Draining

EXEMPT_PREFIXES = ("/v1/entrypoints", "/v1/operator/", "/debug/", "/healthz", "/readyz")
"""Paths that a stopping instance answers until it exits."""


class DrainGuard:
    """Middleware that counts requests in flight and refuses new work while draining.

    It runs before routing, so that every request is counted.
    """

    def __init__(self, app: ASGIApp, draining: Draining) -> None:
        self.app = app
        self.draining = draining

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Count the request while it runs, or refuse it if the instance is stopping."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        if not scope["path"].startswith(EXEMPT_PREFIXES):
            try:
                self.draining.check_accepting()
            except RequestRefusedError as error:
                downgrade_not_run(Headers(scope=scope), error)
                await error_response(error)(scope, receive, send)
                return
        self.draining.in_flight += 1
        try:
            await self.app(scope, receive, send)
        finally:
            self.draining.in_flight -= 1

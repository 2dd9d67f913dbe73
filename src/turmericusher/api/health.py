"""Liveness and readiness checks for the platform."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.tasks.instance import EntryRuntime


def health_routes(runtime: EntryRuntime) -> list[Route]:
    """Return the liveness and readiness routes."""

    async def show_liveness(_request: Request) -> Response:
        return JSONResponse({"live": True})

    async def show_readiness(_request: Request) -> Response:
        # A starting instance listens before it has read the profiles and refuses work
        # until then, so whoever starts it must wait for this check to succeed.
        ready = runtime.profiles.is_current()
        return JSONResponse({"ready": ready}, status_code=200 if ready else 503)

    return [
        Route("/healthz", show_liveness, methods=["GET"]),
        Route("/readyz", show_readiness, methods=["GET"]),
    ]

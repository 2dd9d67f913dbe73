"""Queries of the platform: whether the process lives, and whether it takes work."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.tasks.instance import EntryRuntime


def health_routes(runtime: EntryRuntime) -> list[Route]:
    """Return the routes of liveness and readiness."""

    async def show_liveness(_request: Request) -> Response:
        return JSONResponse({"live": True})

    async def show_readiness(_request: Request) -> Response:
        # A starting instance listens before it has read the profiles; work that is
        # sent to it then is refused, so whoever starts it waits for this answer.
        ready = runtime.profiles.is_current()
        return JSONResponse({"ready": ready}, status_code=200 if ready else 503)

    return [
        Route("/healthz", show_liveness, methods=["GET"]),
        Route("/readyz", show_readiness, methods=["GET"]),
    ]

"""Metrics as text, and the dump of a process's state."""

from __future__ import annotations

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from turmericusher.metrics import Metrics, exposition

METRICS_PATH = "/metrics"
STATE_PATH = "/state"


def metrics_app(
    metrics: Metrics,
    refresh: Callable[[], None] | None = None,
    state: Callable[[], object] | None = None,
) -> Starlette:
    """Return the application that serves metrics and the dump of this process's state.

    `refresh` brings the gauges up to date. Without `state` none is served.
    """

    async def serve_metrics(request: Request) -> Response:
        if refresh is not None:
            refresh()
        return PlainTextResponse(exposition(metrics))

    async def serve_state(request: Request) -> Response:
        return JSONResponse(state() if state is not None else None)

    routes = [Route(METRICS_PATH, serve_metrics)]
    if state is not None:
        routes.append(Route(STATE_PATH, serve_state))
    return Starlette(routes=routes)

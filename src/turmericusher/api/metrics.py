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
    metrics: Metrics, refresh: Callable[[], None], state: Callable[[], object]
) -> Starlette:
    """Return the application that serves metrics and the dump of this process's state.

    `refresh` brings the gauges up to date.
    """

    async def serve_metrics(request: Request) -> Response:
        refresh()
        return PlainTextResponse(exposition(metrics))

    async def serve_state(request: Request) -> Response:
        return JSONResponse(state())

    return Starlette(
        routes=[Route(METRICS_PATH, serve_metrics), Route(STATE_PATH, serve_state)]
    )

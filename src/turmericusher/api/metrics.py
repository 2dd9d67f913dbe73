"""HTTP application that exports metrics as text and a dump of the process's state."""

from __future__ import annotations

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from turmericusher.metrics import Metrics, render_prometheus

METRICS_PATH = "/metrics"
STATE_PATH = "/state"


def metrics_app(
    metrics: Metrics,
    refresh_gauges: Callable[[], None] | None = None,
    state: Callable[[], object] | None = None,
) -> Starlette:
    """Return the application that serves the metrics and, if given, a state dump.

    `refresh_gauges` is called before each export. `state` returns the state as JSON
    values; without it, the route of the dump does not exist.
    """

    async def serve_metrics(request: Request) -> Response:
        if refresh_gauges is not None:
            refresh_gauges()
        return PlainTextResponse(render_prometheus(metrics))

    async def serve_state(request: Request) -> Response:
        return JSONResponse(state() if state is not None else None)

    routes = [Route(METRICS_PATH, serve_metrics)]
    if state is not None:
        routes.append(Route(STATE_PATH, serve_state))
    return Starlette(routes=routes)

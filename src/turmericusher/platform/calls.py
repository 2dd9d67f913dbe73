"""The calls that the platform and callers make besides requests, and the metrics."""

from __future__ import annotations

import random
from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.metrics import Metrics, exposition
from turmericusher.platform.names import ENTRYPOINTS_PATH, READINESS_PATH

MAX_ADDRESSES = 64
"""The most addresses that a caller reads of an answer."""

METRICS_PATH = "/metrics"
STATE_PATH = "/state"


def readiness_app(is_ready: Callable[[], bool]) -> Starlette:
    """Return the application that says whether this instance takes requests."""

    async def readiness(request: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return Starlette(routes=[Route(READINESS_PATH, readiness)])


def entrypoints_app(
    instances: Callable[[], list[EntryInstance]], ttl_s: float, rng: random.Random
) -> Starlette:
    """Return the application that tells callers which addresses to use."""

    async def resolve(request: Request) -> Response:
        addresses = [instance.caller_address for instance in instances()]
        rng.shuffle(addresses)
        if not addresses:
            return Response(status_code=503)
        return JSONResponse({"addresses": addresses[:MAX_ADDRESSES], "expiry_s": ttl_s})

    return Starlette(routes=[Route(ENTRYPOINTS_PATH, resolve)])


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

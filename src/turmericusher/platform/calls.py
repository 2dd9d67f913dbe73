"""ASGI applications for readiness checks and for the list of entry points."""

from __future__ import annotations

import random
from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.platform.names import ENTRYPOINTS_PATH, READINESS_PATH

MAX_ADDRESSES = 64
"""The most addresses that a caller reads from one response."""


def readiness_app(is_ready: Callable[[], bool]) -> Starlette:
    """Return an application that answers 200 while `is_ready()`, and 503 otherwise."""

    async def readiness(request: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return Starlette(routes=[Route(READINESS_PATH, readiness)])


def entrypoints_app(
    instances: Callable[[], list[EntryInstance]], ttl_s: float, rng: random.Random
) -> Starlette:
    """Return an application that lists the addresses to which callers may connect.

    The list is in random order. `ttl_s` is the number of seconds for which callers may
    cache it.
    """

    async def resolve(request: Request) -> Response:
        addresses = [instance.caller_address for instance in instances()]
        rng.shuffle(addresses)
        if not addresses:
            return Response(status_code=503)
        return JSONResponse({"addresses": addresses[:MAX_ADDRESSES], "expiry_s": ttl_s})

    return Starlette(routes=[Route(ENTRYPOINTS_PATH, resolve)])

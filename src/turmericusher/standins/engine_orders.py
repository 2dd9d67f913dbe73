"""Orders to the engine stand-in: it drains, loads for `load_s`, then is changed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from turmericusher.standins.engine import EngineStandin, make_engine_app

FENCING_HEADER = "Fencing-Number"
STATUS_CONFLICT = 409
DRAIN_POLL_S = 0.02


@dataclass(slots=True)
class OrderTaker:
    """Carries out the orders that one engine receives.

    `load_s` is how many seconds a change takes after the last request has ended.
    `checks_fencing` decides whether a request with an outdated fencing number is
    refused. `target` is the order in progress, and `received` lists every order that
    was sent.
    """

    engine: EngineStandin
    load_s: float = 0.2
    checks_fencing: bool = True
    highest_fencing: int = 0
    target: dict[str, Any] | None = None
    taken: list[dict[str, Any]] = field(default_factory=list)
    changing: asyncio.Task[None] | None = None

    def is_fenced_off(self, request: web.Request) -> bool:
        """Record the request's fencing number and return whether to refuse it."""
        number = int(request.headers.get(FENCING_HEADER, "0"))
        is_old = number < self.highest_fencing
        self.highest_fencing = max(self.highest_fencing, number)
        return is_old and self.checks_fencing

    def state(self) -> dict[str, Any]:
        """Return the engine's readiness, current model and version, and target."""
        return {
            "ready": not self.engine.faults.refusing,
            "actual": {
                "model": self.engine.options.models[0],
                "version": self.engine.options.version,
            },
            "target": self.target,
        }

    def take(self, wanted: dict[str, Any]) -> None:
        """Start an order; one that repeats the order in progress changes nothing."""
        self.taken.append(wanted)
        if wanted == self.target:
            return
        self.target = wanted
        if self.changing is not None:
            self.changing.cancel()
        self.changing = asyncio.create_task(self.change(wanted))

    async def change(self, wanted: dict[str, Any]) -> None:
        """Refuse new requests, drain, load the wanted version and serve again."""
        self.engine.faults.refusing = True
        await self.drained()
        await asyncio.sleep(self.load_s)
        self.engine.options.version = (
            wanted.get("version") or self.engine.options.version
        )
        self.target = None
        self.engine.faults.refusing = False

    async def drained(self) -> None:
        """Return when no request is running."""
        while self.engine.running:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_S)


def make_ordered_engine_app(taker: OrderTaker) -> web.Application:
    """Return the application of an engine with the routes for state and orders."""
    app = make_engine_app(taker.engine)

    async def show_state(request: web.Request) -> web.Response:
        if taker.is_fenced_off(request):
            return web.Response(status=STATUS_CONFLICT)
        return web.json_response(taker.state())

    async def put_order(request: web.Request) -> web.Response:
        if taker.is_fenced_off(request):
            return web.Response(status=STATUS_CONFLICT)
        taker.take((await request.json())["wanted"])
        return web.json_response({})

    app.router.add_get("/v1/state", show_state)
    app.router.add_put("/v1/order", put_order)
    return app

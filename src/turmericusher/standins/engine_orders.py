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
class EngineOrderHandler:
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
    received: list[dict[str, Any]] = field(default_factory=list)
    change_task: asyncio.Task[None] | None = None

    def should_reject(self, request: web.Request) -> bool:
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

    def accept_order(self, wanted: dict[str, Any]) -> None:
        """Start an order; one that repeats the order in progress changes nothing."""
        self.received.append(wanted)
        if wanted == self.target:
            return
        self.target = wanted
        if self.change_task is not None:
            self.change_task.cancel()
        self.change_task = asyncio.create_task(self.apply_order(wanted))

    async def apply_order(self, wanted: dict[str, Any]) -> None:
        """Refuse new requests, drain, load the wanted version and serve again."""
        self.engine.faults.refusing = True
        await self.wait_until_idle()
        await asyncio.sleep(self.load_s)
        self.engine.options.version = (
            wanted.get("version") or self.engine.options.version
        )
        self.target = None
        self.engine.faults.refusing = False

    async def wait_until_idle(self) -> None:
        """Return when no request is running."""
        while self.engine.running:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_S)


def make_ordered_engine_app(order_handler: EngineOrderHandler) -> web.Application:
    """Return the application of an engine with the routes for state and orders."""
    app = make_engine_app(order_handler.engine)

    async def show_state(request: web.Request) -> web.Response:
        if order_handler.should_reject(request):
            return web.Response(status=STATUS_CONFLICT)
        return web.json_response(order_handler.state())

    async def put_order(request: web.Request) -> web.Response:
        if order_handler.should_reject(request):
            return web.Response(status=STATUS_CONFLICT)
        order_handler.accept_order((await request.json())["wanted"])
        return web.json_response({})

    app.router.add_get("/v1/state", show_state)
    app.router.add_put("/v1/order", put_order)
    return app

"""A weight store that permits a limited number of loads in each interval."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web


@dataclass(slots=True)
class WeightStandin:
    """The state of the weight store.

    `loads` holds the monotonic times of the loads permitted in the current interval,
    `permitted` the names of all weights whose load was permitted, and `refused` the
    number of refused requests.
    """

    loads_per_interval: int = 1
    interval_s: float = 1.0
    clock: Callable[[], float] = time.monotonic
    loads: deque[float] = field(default_factory=deque)
    permitted: list[str] = field(default_factory=list)
    refused: int = 0

    def request_load(self, weights: str) -> float:
        """Permit a load and return 0, or return the seconds until one is possible."""
        now = self.clock()
        while self.loads and self.loads[0] <= now - self.interval_s:
            self.loads.popleft()
        if len(self.loads) >= self.loads_per_interval:
            self.refused += 1
            return self.loads[0] + self.interval_s - now
        self.loads.append(now)
        self.permitted.append(weights)
        return 0.0


@asynccontextmanager
async def running_weight_store(standin: WeightStandin) -> AsyncIterator[str]:
    """Serve a weight store on a free loopback port and yield its base URL."""

    async def handle(request: web.Request) -> web.Response:
        wait_s = standin.request_load((await request.json())["weights"])
        if wait_s <= 0:
            return web.json_response({})
        headers = {"Retry-After": str(math.ceil(wait_s))}
        return web.json_response({}, status=429, headers=headers)

    app = web.Application()
    app.router.add_post("/loads", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()

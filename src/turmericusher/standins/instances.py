"""The platform's list of instances, which readers see with a configurable lag."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from turmericusher.decisions.fleet import UpstreamInstance

Entry = dict[str, Any]


@dataclass(slots=True)
class InstanceListStandin:
    """The list and its history; readers see it as it was `lag_s` seconds ago.

    `snapshots` holds the list after each change with the monotonic time of the change.
    """

    lag_s: float = 0.0
    is_down: bool = False
    entries: dict[str, Entry] = field(default_factory=dict)
    snapshots: deque[tuple[float, tuple[Entry, ...]]] = field(default_factory=deque)

    def add(self, upstream: UpstreamInstance) -> None:
        """Add an upstream, or replace its entry."""
        self.put(entry_for(upstream))

    def put(self, entry: Entry) -> None:
        """Add an entry in the list's own format, or replace the one of that name."""
        self.entries[entry["labels"]["name"]] = entry
        self.record_snapshot()

    def remove(self, name: str) -> None:
        """Remove an upstream from the list, if it is listed."""
        self.entries.pop(name, None)
        self.record_snapshot()

    def set_state(self, name: str, state: str) -> None:
        """Set the state of a listed upstream: `live` or `leaving`."""
        entry = self.entries[name]
        labels = {**entry["labels"], "state": state}
        self.put({**entry, "labels": labels})

    def record_snapshot(self) -> None:
        """Append the current list to the history."""
        self.snapshots.append((time.monotonic(), tuple(self.entries.values())))

    def visible_entries(self) -> tuple[Entry, ...]:
        """Return the list as readers see it and drop the history that is older."""
        limit = time.monotonic() - self.lag_s
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= limit:
            self.snapshots.popleft()
        if not self.snapshots or self.snapshots[0][0] > limit:
            return ()
        return self.snapshots[0][1]


def entry_for(upstream: UpstreamInstance) -> Entry:
    """Return the list entry of an upstream."""
    return {
        "targets": [upstream.address],
        "labels": {
            "name": upstream.name,
            "service": upstream.service,
            "kind": upstream.kind.value,
            "failure_domain": upstream.failure_domain,
            "incarnation": upstream.incarnation,
            "state": upstream.lifecycle.value,
            "models": ",".join(upstream.models),
            "version": upstream.version,
            "checks_fencing": str(upstream.checks_fencing).lower(),
        },
    }


def make_instances_app(standin: InstanceListStandin) -> web.Application:
    """Return the web application with the list and its control routes."""
    app = web.Application()

    async def show(_request: web.Request) -> web.Response:
        if standin.is_down:
            return web.Response(status=503)
        return web.json_response(standin.visible_entries())

    async def add(request: web.Request) -> web.Response:
        standin.put(await request.json())
        return web.json_response({"ok": True})

    async def remove(request: web.Request) -> web.Response:
        standin.remove((await request.json())["name"])
        return web.json_response({"ok": True})

    async def mark(request: web.Request) -> web.Response:
        body = await request.json()
        standin.set_state(body["name"], body["state"])
        return web.json_response({"ok": True})

    async def set_faults(request: web.Request) -> web.Response:
        body = await request.json()
        standin.is_down = bool(body.get("down", standin.is_down))
        standin.lag_s = float(body.get("lag_s", standin.lag_s))
        return web.json_response({"ok": True})

    app.router.add_get("/instances", show)
    app.router.add_post("/control/add", add)
    app.router.add_post("/control/remove", remove)
    app.router.add_post("/control/mark", mark)
    app.router.add_post("/control/faults", set_faults)
    return app


@asynccontextmanager
async def running_instance_list(
    host: str, port: int, standin: InstanceListStandin
) -> AsyncIterator[str]:
    """Serve the list and yield its `ip:port`."""
    runner = web.AppRunner(
        make_instances_app(standin), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        yield f"{host}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()

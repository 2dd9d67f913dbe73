"""Tries connections to the upstreams of services that may be unreachable."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.reachability import RECHECK_INTERVAL_S, Reachability
from turmericusher.logs import log_event
from turmericusher.ports.relay import RelayPort
from turmericusher.tasks.background import cancel_tasks, lasting_task


@dataclass(slots=True)
class ReachChecks:
    """The task that checks services; `logged` are the unreachable ones it logged."""

    reach: Reachability
    port: RelayPort
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    checks: set[asyncio.Task[None]] = field(default_factory=set)
    logged: frozenset[str] = frozenset()

    def notify(self) -> None:
        """Have due checks made soon, if connections failed lately."""
        if self.logged or self.reach.has_doubts():
            self.wake.set()

    async def run(self) -> None:
        """Check the services to which connections failed until cancelled."""
        while True:
            await self.wait()
            self.log_changes()
            now = asyncio.get_running_loop().time()
            for upstream in self.reach.due_checks(now):
                task = asyncio.create_task(self.check(upstream))
                self.checks.add(task)
                task.add_done_callback(self.checks.discard)

    async def wait(self) -> None:
        """Wait until notified, or until a check of an unreachable service is due."""
        timeout_s = RECHECK_INTERVAL_S if self.logged else None
        try:
            async with asyncio.timeout(timeout_s):
                await self.wake.wait()
        except TimeoutError:
            return
        self.wake.clear()

    async def check(self, upstream: UpstreamInstance) -> None:
        """Try a connection to an upstream and record whether it was accepted."""
        clock = asyncio.get_running_loop().time
        started_at = clock()
        if await self.port.can_connect(upstream):
            self.reach.record_success(upstream.service, started_at)
        else:
            self.reach.record_failure(upstream, started_at, clock())
        self.notify()

    def log_changes(self) -> None:
        """Log the services that became unreachable, and those that are back."""
        unreachable = self.reach.unreachable_services()
        for service in unreachable - self.logged:
            failed = self.reach.services[service].failed
            log_event("service_unreachable", service=service, upstreams=len(failed))
        for service in self.logged - unreachable:
            log_event("service_reachable", service=service)
        self.logged = unreachable


@asynccontextmanager
async def checking_reach(checks: ReachChecks) -> AsyncIterator[None]:
    """Check services while the context is open."""
    try:
        async with lasting_task("reach-checks", checks.run):
            yield
    finally:
        await cancel_tasks(checks.checks)

"""Serves an entry instance over HTTP until a signal stops it."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

from turmericusher.api.app import create_app
from turmericusher.api.metrics import metrics_app
from turmericusher.decisions.held_memory.account import MemoryAccount
from turmericusher.decisions.routing import RequestLimits
from turmericusher.logs import log_event
from turmericusher.memory_guard import MemoryGuard
from turmericusher.settings import Settings
from turmericusher.tasks.instance import EntryRuntime, running_entry_instance
from turmericusher.web_server import serving_app


async def serve_until_stopped(settings: Settings) -> None:
    """Run an entry instance until SIGTERM or SIGINT, then drain it."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with serving_entry_instance(settings) as runtime:
        await stopped.wait()
        await runtime.draining.drain()


@asynccontextmanager
async def serving_entry_instance(settings: Settings) -> AsyncIterator[EntryRuntime]:
    """Run an entry instance and serve callers and operators during the context."""
    async with running_entry_instance(settings) as runtime:
        guard = MemoryGuard(MemoryAccount(settings.held), runtime.metrics)
        guard.request_limits = partial(
            RequestLimits, settings.max_body_bytes, settings.held.header_bytes
        )
        async with AsyncExitStack() as stack:
            if settings.metrics_address is not None:
                app = metrics_app(runtime.metrics)
                await stack.enter_async_context(
                    serving_app(app, settings.metrics_address, guard=guard)
                )
            address = await stack.enter_async_context(
                serving_app(create_app(runtime), settings.caller_address, guard=guard)
            )
            log_event("serving", name=settings.name, address=address)
            yield runtime
        log_event("stopped", name=settings.name)

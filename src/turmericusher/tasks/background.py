"""Background tasks whose lifetime is that of a context."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable, Mapping
from contextlib import asynccontextmanager
from typing import Any

from turmericusher.logs import log_event

RESTART_DELAY_S = 0.5
"""Seconds until a task that failed starts again: shorter than what other instances and
the platform bear without it."""


@asynccontextmanager
async def background_tasks(
    coroutines: Mapping[str, Coroutine[Any, Any, None]],
) -> AsyncIterator[None]:
    """Run each coroutine as a task, named by its key, while the context is open."""
    tasks = [
        asyncio.create_task(coroutine, name=name)
        for name, coroutine in coroutines.items()
    ]
    try:
        yield
    finally:
        await cancel_tasks(tasks)


@asynccontextmanager
async def lasting_task(
    name: str, start: Callable[[], Coroutine[Any, Any, None]]
) -> AsyncIterator[None]:
    """Run a task while the context is open, and start it again whenever it fails.

    Its state must be kept outside the coroutine that `start` returns.
    """
    async with background_tasks({name: restart_after_failures(name, start)}):
        yield


async def restart_after_failures(
    name: str, start: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run a coroutine until it returns; log an unexpected error and run it again.

    An error in one task must not end what the others do, nor go unnoticed.
    """
    while True:
        try:
            await start()
            return
        except Exception as error:
            log_event("task_failed", task=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until all have ended; their exceptions are ignored."""
    cancelled = list(tasks)
    for task in cancelled:
        task.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)

"""Background tasks whose lifetime is that of a context."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Coroutine, Iterable, Mapping
from contextlib import asynccontextmanager
from typing import Any


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


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until all have ended; their exceptions are ignored."""
    cancelled = list(tasks)
    for task in cancelled:
        task.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)

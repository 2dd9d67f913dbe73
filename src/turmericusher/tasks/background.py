"""Background tasks whose lifetime is that of a context."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Coroutine, Iterable, Mapping
from contextlib import asynccontextmanager
from typing import Any


@asynccontextmanager
async def background(
    work: Mapping[str, Coroutine[Any, Any, None]],
) -> AsyncIterator[None]:
    """Run each coroutine as a task, named by its key, while the context is open."""
    tasks = [asyncio.create_task(each, name=name) for name, each in work.items()]
    try:
        yield
    finally:
        await end_tasks(tasks)


async def end_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until all have ended; their exceptions are ignored."""
    ending = list(tasks)
    for task in ending:
        task.cancel()
    await asyncio.gather(*ending, return_exceptions=True)

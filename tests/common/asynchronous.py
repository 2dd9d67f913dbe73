"""A decorator that runs coroutine tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any


def run_async(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a coroutine test method to its end in an event loop of its own."""

    @wraps(test)
    def run(*arguments: Any, **keywords: Any) -> None:
        asyncio.run(test(*arguments, **keywords))

    return run

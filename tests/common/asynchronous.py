"""Running coroutines in tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any


def run_async(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Let a test method be a coroutine."""

    @wraps(test)
    def run(*arguments: Any, **keywords: Any) -> None:
        asyncio.run(test(*arguments, **keywords))

    return run

"""Wait for a condition inside an event loop."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.01


async def wait_until(condition: Callable[[], bool], limit_s: float = 20.0) -> None:
    """Return once the condition holds; fail after `limit_s` seconds."""
    clock = asyncio.get_running_loop().time
    ends_by = clock() + limit_s
    while not condition():
        if clock() >= ends_by:
            raise AssertionError(f"condition not met within {limit_s} s: {condition}")
        await asyncio.sleep(POLL_INTERVAL_S)

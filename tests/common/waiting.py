"""Wait for a condition inside an event loop."""

import asyncio
from collections.abc import Callable

POLL_S = 0.01


async def wait_until(is_reached: Callable[[], bool], limit_s: float = 20.0) -> None:
    """Return once the condition holds; fail after `limit_s` seconds."""
    clock = asyncio.get_running_loop().time
    ends_at = clock() + limit_s
    while not is_reached():
        if clock() >= ends_at:
            raise AssertionError(f"condition not met within {limit_s} s: {is_reached}")
        await asyncio.sleep(POLL_S)

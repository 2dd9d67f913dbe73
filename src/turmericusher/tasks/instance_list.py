"""Follows the platform's list of instances by polling it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.errors import UpstreamError
from turmericusher.logs import log_event
from turmericusher.pooled_session import open_pooled_session
from turmericusher.ports.instances import fetch_instances
from turmericusher.tasks.background import background_tasks

POLL_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 2.0

ListListener = Callable[[tuple[UpstreamInstance, ...]], None]


async def follow_instance_list(
    session: aiohttp.ClientSession, url: str, on_change: ListListener
) -> None:
    """Poll the list until cancelled and call `on_change` with each different one.

    While the list is unavailable, the last one stays in force.
    """
    last_list: tuple[UpstreamInstance, ...] | None = None
    while True:
        try:
            upstreams = await fetch_instances(session, url)
        except UpstreamError as error:
            log_event("instance_list_unavailable", message=error.message)
        else:
            if upstreams != last_list:
                last_list = upstreams
                on_change(upstreams)
        await asyncio.sleep(POLL_INTERVAL_S)


@asynccontextmanager
async def running_instance_list(
    url: str, on_change: ListListener
) -> AsyncIterator[None]:
    """Follow the list while the context is open."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with open_pooled_session(timeout=timeout) as session:
        following = follow_instance_list(session, url, on_change)
        async with background_tasks({"instance-list": following}):
            yield

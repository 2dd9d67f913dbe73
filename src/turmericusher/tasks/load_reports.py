"""Polls the load pages of the upstreams in the instance's subset."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.load_reports import PollScheduler, parse_load_metrics
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.placing.upstream_load import LoadReport

ROUND_INTERVAL_S = 0.5
"""Seconds between two rounds of polling."""

PAGE_TIMEOUT_S = 1.0
MAX_PAGE_BYTES = 65_536
SERVICE_UNAVAILABLE = 503


LeavingListener = Callable[[UpstreamInstance], None]


def ignore_leaving(_upstream: UpstreamInstance) -> None:
    """Do nothing: the default for an instance that keeps no leaving marks."""


async def poll_load_pages(
    selector: Selector,
    session: aiohttp.ClientSession,
    seed: int,
    clock: Callable[[], float] = time.monotonic,
    on_leaving: LeavingListener = ignore_leaving,
) -> None:
    """Poll some load pages in each round until cancelled, and advance the selector.

    `on_leaving` is called with an upstream that answers that it is shutting down.
    """
    plan = PollScheduler(random.Random(seed))
    while True:
        selector.advance_clock(clock())
        names = frozenset[str]().union(*selector.subset_names.values())
        chosen = plan.next_round(names, clock())
        await asyncio.gather(
            *(
                read_load_page(selector, session, selector.upstreams[name], on_leaving)
                for name in chosen
            )
        )
        await asyncio.sleep(ROUND_INTERVAL_S)


async def read_load_page(
    selector: Selector,
    session: aiohttp.ClientSession,
    upstream: UpstreamInstance,
    on_leaving: LeavingListener = ignore_leaving,
) -> None:
    """Read one load page into the selector; without a usable page the old report stays.

    A starting upstream may answer like one that is shutting down, so `on_leaving` is
    called only for an upstream that has given a report before.
    """
    timeout = aiohttp.ClientTimeout(total=PAGE_TIMEOUT_S)
    url = f"http://{upstream.address}/metrics"
    try:
        async with session.get(url, timeout=timeout) as response:
            if is_leaving(response) and upstream.name in selector.load.reports:
                on_leaving(upstream)
            report = await read_report(response)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return
    if report is not None:
        selector.merge_report(upstream.name, report)


def is_leaving(response: aiohttp.ClientResponse) -> bool:
    """Whether a response says that the upstream is shutting down.

    An upstream that shuts down answers 503 and closes the connection.
    """
    closes_connection = response.headers.get("Connection", "").lower() == "close"
    return response.status == SERVICE_UNAVAILABLE and closes_connection


async def read_report(response: aiohttp.ClientResponse) -> LoadReport | None:
    """Return the load on a page, or None for an error status or a page without load."""
    if response.status != 200:
        return None
    body = await read_body(response)
    return parse_load_metrics(body.decode("utf-8", errors="replace"))


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the response's body, cut to at most `MAX_PAGE_BYTES`."""
    parts: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_chunked(MAX_PAGE_BYTES):
        parts.append(chunk)
        size += len(chunk)
        if size >= MAX_PAGE_BYTES:
            break
    return b"".join(parts)[:MAX_PAGE_BYTES]

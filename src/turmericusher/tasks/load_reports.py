"""The task that reads the load pages of the upstreams in the instance's subset."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.load_reports import PollPlan, parse_load_page
from turmericusher.decisions.selection import Selector
from turmericusher.decisions.upstream_load import LoadReport

ROUND_S = 0.5
PAGE_TIMEOUT_S = 1.0
MAX_PAGE_BYTES = 65_536
SERVICE_UNAVAILABLE = 503


LeavingListener = Callable[[UpstreamInstance], None]


def ignore_leaving(_upstream: UpstreamInstance) -> None:
    """Stand in for an instance that keeps no leaving marks."""


async def poll_load(
    selector: Selector,
    session: aiohttp.ClientSession,
    seed: int,
    clock: Callable[[], float] = time.monotonic,
    on_leaving: LeavingListener = ignore_leaving,
) -> None:
    """Read a few pages each round until cancelled, and tell the selector the time."""
    plan = PollPlan(random.Random(seed))
    while True:
        selector.advance(clock())
        names = frozenset[str]().union(*selector.subset_names.values())
        chosen = plan.next_round(names, clock())
        await asyncio.gather(
            *(
                read_into(selector, session, selector.upstreams[name], on_leaving)
                for name in chosen
            )
        )
        await asyncio.sleep(ROUND_S)


async def read_into(
    selector: Selector,
    session: aiohttp.ClientSession,
    upstream: UpstreamInstance,
    on_leaving: LeavingListener = ignore_leaving,
) -> None:
    """Read one page; an upstream without a usable page keeps its older report.

    A starting upstream may answer like a stopping one, so only an upstream that has
    given a report before is taken at its word that it is leaving.
    """
    timeout = aiohttp.ClientTimeout(total=PAGE_TIMEOUT_S)
    url = f"http://{upstream.address}/metrics"
    try:
        async with session.get(url, timeout=timeout) as answer:
            if is_leaving(answer) and upstream.name in selector.load.reports:
                on_leaving(upstream)
            report = await read_report(answer)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return
    if report is not None:
        selector.merge_report(upstream.name, report)


def is_leaving(answer: aiohttp.ClientResponse) -> bool:
    """Whether an upstream answers that it is shutting down."""
    closes = answer.headers.get("Connection", "").lower() == "close"
    return answer.status == SERVICE_UNAVAILABLE and closes


async def read_report(answer: aiohttp.ClientResponse) -> LoadReport | None:
    """Return the load that a page reports, or None."""
    if answer.status != 200:
        return None
    body = await read_bounded(answer)
    return parse_load_page(body.decode("utf-8", errors="replace"))


async def read_bounded(answer: aiohttp.ClientResponse) -> bytes:
    """Return the body up to the page limit."""
    parts: list[bytes] = []
    size = 0
    async for chunk in answer.content.iter_chunked(MAX_PAGE_BYTES):
        parts.append(chunk)
        size += len(chunk)
        if size >= MAX_PAGE_BYTES:
            break
    return b"".join(parts)[:MAX_PAGE_BYTES]

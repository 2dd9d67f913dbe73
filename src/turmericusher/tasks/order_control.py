"""Runs the order tasks of one entry instance, one for each service."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.order_holder import OrderHolder
from turmericusher.decisions.placing.selection import Selector
from turmericusher.pooled_session import open_pooled_session
from turmericusher.ports.keyvalue import KeyValueStore
from turmericusher.ports.orders import HttpOrderPort
from turmericusher.ports.weights import HttpWeightStore
from turmericusher.settings import Service, Settings
from turmericusher.tasks.background import background_tasks
from turmericusher.tasks.orders import (
    OrderExecutor,
    carry_out_orders,
    is_order_candidate,
    order_keys,
)


@asynccontextmanager
async def running_orders(
    settings: Settings, store: KeyValueStore, selector: Selector, incarnation: str
) -> AsyncIterator[None]:
    """Run the order tasks while the context is open.

    Without a weight store in the settings there are no orders, and nothing is run.
    """
    if settings.weight_store_url is None:
        yield
        return
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(open_pooled_session())
        weights = HttpWeightStore(session, settings.weight_store_url)
        work = {}
        for service in settings.services:
            holder = OrderHolder(
                service.name,
                f"{settings.name}/{incarnation}",
                service.minimum_upstreams,
            )
            keys = order_keys(settings.store_prefix, service.name)
            calls = OrderExecutor(holder, keys, store, HttpOrderPort(session), weights)
            work[f"orders-{service.name}"] = run_service_orders(
                calls, service, settings.name, selector
            )
        async with background_tasks(work):
            yield


async def run_service_orders(
    calls: OrderExecutor, service: Service, own: str, selector: Selector
) -> None:
    """Carry out one service's orders while this instance is a candidate or the holder.

    Only the service's live upstreams get orders.
    """

    def upstreams() -> dict[str, UpstreamInstance]:
        return {
            name: replace(
                upstream,
                checks_fencing=upstream.checks_fencing or service.checks_fencing,
            )
            for name, upstream in selector.upstreams.items()
            if upstream.service == service.name and upstream.lifecycle is Lifecycle.LIVE
        }

    def is_candidate() -> bool:
        return is_order_candidate(service.name, own, selector.instances)

    await carry_out_orders(calls, upstreams, is_candidate)

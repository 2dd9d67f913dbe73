"""An order from an operator's request to engines, over every real adapter."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import orjson
from testtools import TestCase

from tests.common.asgi import call_app
from tests.common.asynchronous import run_async
from turmericusher.api.app import create_app
from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.settings import parse_settings
from turmericusher.standins.engine import EngineOptions, EngineStandin, running_engine
from turmericusher.standins.engine_orders import (
    EngineOrderHandler,
    make_ordered_engine_app,
)
from turmericusher.standins.instances import InstanceListStandin, running_instance_list
from turmericusher.standins.store import MemoryStore
from turmericusher.standins.store_server import running_store
from turmericusher.standins.weights import WeightStandin, running_weight_store
from turmericusher.tasks.instance import running_entry_instance

HOST = "127.0.0.1"
ENGINES = 3
TEST_TIMEOUT_S = 60.0
POLL_S = 0.02
LOAD_S = 2.0
"""Seconds that an engine takes to change; longer than the pause between two rounds, so
that a second order would overlap."""
SETTINGS = """
instance: {{name: entry-1, failure_domain: a,
           caller_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"}}
store: {{url: "http://{store}"}}
instance_list_url: http://{instances}/instances
weight_store_url: {weights}
services:
  - {{name: drafts, kind: engine, models: [m], minimum_upstreams: 2,
     checks_fencing: true}}
operators: {{token: operator-token}}
"""
OPERATOR = (b"authorization", b"Bearer operator-token")
CHANGE = {
    "wanted": {"version": "v2"},
    "expected_revision": 0,
    "change_id": "use-version-2",
}


class OrderEndToEndTest(TestCase):
    @run_async
    async def test_every_engine_changes_and_enough_stay_ready(self) -> None:
        async with AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
            takers = [await start_engine(stack, number) for number in range(ENGINES)]
            app = await self.start_entry(stack, takers)
            answer = await call_app(
                app,
                "PUT",
                b"/v1/operator/orders/drafts",
                (OPERATOR,),
                (orjson.dumps(CHANGE),),
            )
            self.assertEqual(200, answer.status, answer.body)
            least_ready = await self.follow_change([taker for taker, _ in takers])
        self.assertEqual(2, least_ready)

    async def start_entry(
        self, stack: AsyncExitStack, takers: list[tuple[EngineOrderHandler, str]]
    ) -> object:
        """Start an entry instance that knows the engines; return its application."""
        listed = InstanceListStandin()
        for number, (_, address) in enumerate(takers):
            listed.add(
                UpstreamInstance(
                    name=f"e{number}",
                    service="drafts",
                    kind=UpstreamKind.ENGINE,
                    address=address,
                    failure_domain="abc"[number],
                    incarnation="1",
                    version="v1",
                    models=("m",),
                )
            )
        enter = stack.enter_async_context
        text = SETTINGS.format(
            store=await enter(running_store(HOST, 0, MemoryStore())),
            instances=await enter(running_instance_list(HOST, 0, listed)),
            weights=await enter(running_weight_store(WeightStandin(100))),
        )
        runtime = await enter(running_entry_instance(parse_settings(text)))
        while len(runtime.selector.upstreams) < ENGINES:
            await asyncio.sleep(POLL_S)
        return create_app(runtime)

    async def follow_change(self, takers: list[EngineOrderHandler]) -> int:
        """Wait until all engines have changed; return the fewest that were ready."""
        least_ready = len(takers)
        while any(taker.engine.options.version != "v2" for taker in takers):
            ready = sum(not taker.engine.faults.refusing for taker in takers)
            least_ready = min(least_ready, ready)
            await asyncio.sleep(POLL_S)
        return least_ready


async def start_engine(
    stack: AsyncExitStack, number: int
) -> tuple[EngineOrderHandler, str]:
    """Start an engine that takes orders; return it with its address."""
    standin = EngineStandin(EngineOptions(name=f"e{number}", models=("m",)))
    taker = EngineOrderHandler(standin, load_s=LOAD_S)
    app = make_ordered_engine_app(taker)
    return taker, await stack.enter_async_context(running_engine(standin, app=app))

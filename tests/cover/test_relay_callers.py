"""Test the body limit and the reuse of connections at a relaying instance."""

import aiohttp
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_parts import configuration, relay_world
from tests.common.waiting import wait_until
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import CONFIGURATION_KEY

ONCE = RequestKind.NON_IDEMPOTENT


class BodyTest(TestCase):
    @run_async
    async def test_a_body_above_the_limit_is_refused_and_runs_nowhere(self):
        async with relay_world(1) as world:
            limited = configuration(2, limits={"max_body_bytes": 3})
            world.store.store.write(CONFIGURATION_KEY, limited)
            await wait_until(lambda: world.node.tables.current().version == 2)
            self.assertEqual(413, (await world.call(ONCE)).status)
            self.assertEqual(0, len(world.upstreams[0].runs))


class CallerConnectionTest(TestCase):
    @run_async
    async def test_a_connection_serves_many_requests(self):
        async with relay_world(1) as world:
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                world.session = session
                for _ in range(5):
                    self.assertEqual(200, (await world.call(ONCE)).status)

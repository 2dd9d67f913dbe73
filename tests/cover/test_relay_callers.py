"""Test the body limit and the reuse of connections at a relaying instance."""

import aiohttp
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import configuration, running_relay_simulation
from tests.common.waiting import wait_until
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import CONFIGURATION_KEY

ONCE = RequestKind.NON_IDEMPOTENT


class BodyTest(TestCase):
    @run_async
    async def test_a_body_above_the_limit_is_refused_before_any_attempt(self):
        async with running_relay_simulation(1) as simulation:
            limited_configuration = configuration(2, limits={"max_body_bytes": 3})
            simulation.store.store.write(CONFIGURATION_KEY, limited_configuration)
            await wait_until(lambda: simulation.node.tables.current().version == 2)
            self.assertEqual(413, (await simulation.call(ONCE)).status)
            self.assertEqual(0, len(simulation.upstreams[0].runs))


class CallerConnectionTest(TestCase):
    @run_async
    async def test_a_connection_serves_many_requests(self):
        async with running_relay_simulation(1) as simulation:
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                simulation.session = session
                for _ in range(5):
                    self.assertEqual(200, (await simulation.call(ONCE)).status)

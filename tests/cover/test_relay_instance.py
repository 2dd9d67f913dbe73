"""Test an instance on stand-ins of the platform: its fleet, its endpoints, its stop."""

import asyncio
import time

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import IDEMPOTENT, ONCE, RESUMABLE
from tests.common.relay_parts import KEY, configuration, relay_world, runs
from tests.common.waiting import wait_until
from turmericusher.api.metrics import METRICS_PATH, STATE_PATH
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.platform.names import (
    CONFIGURATION_KEY,
    ENTRYPOINTS_PATH,
    INSTANCE_PREFIX,
    READINESS_PATH,
)
from turmericusher.platform.store_messages import WATCH
from turmericusher.relay_serving import drain
from turmericusher.standins.platform_upstream import event

EVENTS = 12
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
DRAIN_S = 3.0
"""The time in which a leaving mark and a configuration must be in force on large sites.

After it, a leaving upstream receives no request.
"""

STABLE_S = 3.0
"""Time after a fault until a change must again be in force within its limit of 2 s."""


class FleetTest(TestCase):
    @run_async
    async def test_a_leaving_upstream_gets_nothing_more(self):
        async with relay_world(2) as world:
            world.list_upstream(0, state="draining")
            fleet = world.node.fleet
            await wait_until(
                lambda: fleet.upstreams.entries["u0"].lifecycle.value == "leaving"
            )
            for _ in range(10):
                await world.call(IDEMPOTENT)
            self.assertEqual([], world.upstreams[0].runs)

    @parameterized.expand(
        [
            ("not JSON", b"\xff{"),
            ("a field is missing", b'{"service": "s", "address": "127.0.0.1:1"}'),
            (
                "a number as text",
                b'{"service":"s","address":"127.0.0.1:1","zone":"z","version":"v",'
                b'"slots":"8","state":"ready","sequence":1}',
            ),
            (
                "an unknown state",
                b'{"service":"s","address":"127.0.0.1:1","zone":"z","version":"v",'
                b'"slots":8,"state":"odd","sequence":1}',
            ),
        ]
    )
    @run_async
    async def test_a_spoilt_entry_names_no_upstream(self, _, value):
        async with relay_world(1) as world:
            world.store.store.write("servers/spoilt", value)
            world.store.store.write(CONFIGURATION_KEY, configuration(2))
            await wait_until(lambda: world.node.tables.current().version == 2)
            self.assertEqual({"u0"}, set(world.node.fleet.upstreams.entries))

    @run_async
    async def test_requests_are_served_while_the_store_is_away(self):
        async with relay_world() as world:
            world.store.store.faults.down = True
            await asyncio.sleep(0.3)
            self.assertEqual(200, (await world.call(ONCE)).status)
            world.store.store.write(CONFIGURATION_KEY, configuration(5))
            world.store.store.faults.down = False
            await wait_until(lambda: world.node.tables.current().version == 5)

    @run_async
    async def test_a_change_missed_by_a_waiting_watch_is_in_force_in_time(self):
        async with relay_world() as world:
            world.store.faults.suppress_changes = True
            await asyncio.sleep(0.02)
            world.store.store.write(CONFIGURATION_KEY, configuration(7))
            world.store.faults.oldest_revision = world.store.store.revision
            limit_s = world.settings.configuration_limit_s
            await wait_until(lambda: world.node.tables.current().version == 7, limit_s)

    @run_async
    async def test_a_mark_is_seen_in_time_behind_a_large_configuration(self):
        # Two versions with 1,400 routes, sent over a link of 5 Mbit/s, delay all that
        # follows them.
        async with relay_world(2, configuration_limit_s=DRAIN_S) as world:
            world.store.store.write(CONFIGURATION_KEY, configuration(2))
            await wait_until(lambda: world.node.tables.current().version == 2)
            world.store.faults.change_delay_s = 1.95
            world.store.store.write(CONFIGURATION_KEY, configuration(3))
            world.list_upstream(0, "draining")
            marked_at = time.monotonic()
            found = world.node.fleet.upstreams.entries
            await wait_until(lambda: found["u0"].lifecycle is Lifecycle.LEAVING)
            seen_after_s = time.monotonic() - marked_at
            self.assertTrue(seen_after_s < DRAIN_S, seen_after_s)

    @run_async
    async def test_a_watch_that_was_never_answered_delays_no_change_for_long(self):
        async with relay_world(1) as world:
            world.store.faults.silent = True
            asked = len(world.store.calls)
            await wait_until(lambda: WATCH in world.store.calls[asked:])
            world.store.faults.silent = False
            world.store.store.write(CONFIGURATION_KEY, configuration(7))
            await wait_until(lambda: world.node.tables.current().version == 7, STABLE_S)

    @parameterized.expand(
        [
            ("an unknown path", {"path": "/nowhere/"}, 404),
            ("an unknown key", {"key": "wrong"}, 401),
        ]
    )
    @run_async
    async def test_what_the_configuration_does_not_allow(self, _, change, status):
        async with relay_world(1) as world:
            key = change.get("key", KEY)
            world.headers["Authorization"] = f"Bearer {key}"
            if "path" in change:
                world.headers["Host"] = "other.example"
            answer = await world.call(ONCE)
            self.assertEqual(status, answer.status)
            self.assertEqual(0, runs(world))


class OtherCallsTest(TestCase):
    @run_async
    async def test_entry_points_readiness_metrics_and_state_are_served(self):
        async with relay_world(1) as world:
            settings = world.settings
            key = f"{INSTANCE_PREFIX}{settings.name}"
            await wait_until(lambda: key in world.store.store.values)
            await wait_until(lambda: bool(world.node.fleet.entrypoints()))
            await world.call(ONCE)
            resolve = f"http://{settings.directory_address}{ENTRYPOINTS_PATH}"
            async with world.session.get(resolve) as response:
                body = await response.json()
            self.assertEqual([settings.caller_address], body["addresses"])
            self.assertTrue(0 < body["expiry_s"] <= settings.entrypoint_ttl_limit_s)
            ready = f"http://{settings.readiness_address}{READINESS_PATH}"
            async with world.session.get(ready) as response:
                self.assertEqual(200, response.status)
            metrics = f"http://{settings.metrics_address}{METRICS_PATH}"
            async with world.session.get(metrics) as response:
                text = await response.text()
            name = "requests.non_idempotent.answered_200"
            self.assertIn(f'events_total{{name="{name}"}} 1', text)
            self.assertIn('le="+Inf"} 1', text)
            state = f"http://{settings.metrics_address}{STATE_PATH}"
            async with world.session.get(state) as response:
                self.assertIn("u0", (await response.json())["upstreams"])

    @run_async
    async def test_a_stopping_instance_is_not_ready_and_ends_its_connections(self):
        async with relay_world(1) as world:
            for upstream in world.upstreams:
                upstream.events = EVENTS
            frontend = world.node.frontend
            frontend.stop.begin(frontend.clock())
            ready = f"http://{world.settings.readiness_address}{READINESS_PATH}"
            async with world.session.get(ready) as response:
                self.assertEqual(503, response.status)
            answer = await world.call(ONCE)
            self.assertEqual(200, answer.status)
            self.assertEqual("close", answer.headers["connection"])
            # A stream could outlast the process, so its caller is sent to another
            # instance at once.
            refused = await world.call(RESUMABLE)
            self.assertEqual(503, refused.status)
            self.assertEqual(0.0, float(refused.headers["retry-after"]))

    @run_async
    async def test_a_drain_ends_after_the_last_request(self):
        async with relay_world(1) as world:
            upstream = world.upstreams[0]
            upstream.events, upstream.event_gap_s = EVENTS, 0.15
            calling = asyncio.create_task(world.call(RESUMABLE))
            await wait_until(lambda: runs(world) == 1)
            await asyncio.gather(calling, drain(world.node))
            self.assertEqual(WHOLE_STREAM, calling.result().body)
            self.assertNotIn(world.node.registration.key, world.store.store.values)
            address = world.settings.caller_address
            host, _, port = address.rpartition(":")
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(host, int(port))

    @run_async
    async def test_an_instance_without_a_configuration_says_when_to_come_back(self):
        async with relay_world(1) as world:
            world.node.tables.table = None
            answer = await world.call(ONCE)
            self.assertEqual(503, answer.status)
            self.assertIn("retry-after", answer.headers)

    @run_async
    async def test_a_lapsed_record_is_written_again(self):
        async with relay_world(1) as world:
            registration = world.node.registration
            store = world.store.store
            await wait_until(lambda: registration.key in store.values)
            store.end_lease(registration.lease)
            await wait_until(lambda: registration.key in store.values, 5.0)

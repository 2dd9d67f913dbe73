"""Test an instance on stand-ins of the platform: its fleet, its endpoints, its stop."""

import asyncio
import time
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE
from tests.common.relay_fixtures import (
    ACCESS_KEY,
    configuration,
    running_relay_simulation,
    runs,
)
from tests.common.waiting import wait_until
from turmericusher.api.metrics import METRICS_PATH, STATE_PATH
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.platform.names import (
    CONFIGURATION_KEY,
    ENTRYPOINTS_PATH,
    INSTANCE_PREFIX,
    READINESS_PATH,
)
from turmericusher.platform.records import encode_instance
from turmericusher.platform.store_messages import WATCH
from turmericusher.relay_serving import drain
from turmericusher.standins.platform_upstream import event

EVENTS = 12
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
LARGE_SITE_LIMIT_S = 3.0
"""The time in which a leaving mark and a configuration must be in force on large sites.

After it, a leaving upstream receives no request.
"""

RECOVERY_LIMIT_S = 3.0
"""Time after a fault until a change must again be in force within its limit of 2 s."""


class FleetTest(TestCase):
    @run_async
    async def test_a_leaving_upstream_receives_no_requests(self):
        async with running_relay_simulation(2) as simulation:
            simulation.write_upstream_entry(0, state="draining")
            fleet = simulation.node.fleet
            await wait_until(
                lambda: fleet.upstreams.entries["u0"].lifecycle.value == "leaving"
            )
            for _ in range(10):
                await simulation.call(IDEMPOTENT)
            self.assertEqual([], simulation.upstreams[0].runs)

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
    async def test_an_invalid_entry_in_the_store_is_ignored(self, _, value):
        async with running_relay_simulation(1) as simulation:
            simulation.store.store.write("servers/spoilt", value)
            simulation.store.store.write(CONFIGURATION_KEY, configuration(2))
            await wait_until(lambda: simulation.node.tables.current().version == 2)
            self.assertEqual({"u0"}, set(simulation.node.fleet.upstreams.entries))

    @run_async
    async def test_requests_are_served_while_the_store_is_unavailable(self):
        async with running_relay_simulation() as simulation:
            simulation.store.store.faults.down = True
            await asyncio.sleep(0.3)
            self.assertEqual(200, (await simulation.call(NON_IDEMPOTENT)).status)
            simulation.store.store.write(CONFIGURATION_KEY, configuration(5))
            simulation.store.store.faults.down = False
            await wait_until(lambda: simulation.node.tables.current().version == 5)

    @run_async
    async def test_a_change_that_a_watch_misses_is_in_force_in_time(self):
        async with running_relay_simulation() as simulation:
            simulation.store.faults.suppress_changes = True
            await asyncio.sleep(0.02)
            simulation.store.store.write(CONFIGURATION_KEY, configuration(7))
            simulation.store.faults.oldest_revision = simulation.store.store.revision
            limit_s = simulation.settings.configuration_limit_s
            await wait_until(
                lambda: simulation.node.tables.current().version == 7, limit_s
            )

    @run_async
    async def test_a_leaving_mark_after_a_large_configuration_is_in_force_in_time(self):
        # Two versions with 1,400 routes, sent over a link of 5 Mbit/s, delay all that
        # follows them.
        async with running_relay_simulation(
            2, configuration_limit_s=LARGE_SITE_LIMIT_S
        ) as simulation:
            simulation.store.store.write(CONFIGURATION_KEY, configuration(2))
            await wait_until(lambda: simulation.node.tables.current().version == 2)
            simulation.store.faults.change_delay_s = 1.95
            simulation.store.store.write(CONFIGURATION_KEY, configuration(3))
            simulation.write_upstream_entry(0, "draining")
            marked_at = time.monotonic()
            entries = simulation.node.fleet.upstreams.entries
            await wait_until(lambda: entries["u0"].lifecycle is Lifecycle.LEAVING)
            delay_s = time.monotonic() - marked_at
            self.assertTrue(delay_s < LARGE_SITE_LIMIT_S, delay_s)

    @run_async
    async def test_an_unanswered_watch_does_not_delay_a_change_for_long(self):
        async with running_relay_simulation(1) as simulation:
            simulation.store.faults.silent = True
            calls_before = len(simulation.store.calls)
            await wait_until(lambda: WATCH in simulation.store.calls[calls_before:])
            simulation.store.faults.silent = False
            simulation.store.store.write(CONFIGURATION_KEY, configuration(7))
            await wait_until(
                lambda: simulation.node.tables.current().version == 7, RECOVERY_LIMIT_S
            )

    @parameterized.expand(
        [
            ("an unknown path", {"path": "/nowhere/"}, 404),
            ("an unknown key", {"key": "wrong"}, 401),
        ]
    )
    @run_async
    async def test_a_request_that_the_configuration_does_not_allow_is_refused(
        self, _, change, status
    ):
        async with running_relay_simulation(1) as simulation:
            key = change.get("key", ACCESS_KEY)
            simulation.headers["Authorization"] = f"Bearer {key}"
            if "path" in change:
                simulation.headers["Host"] = "other.example"
            answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(status, answer.status)
            self.assertEqual(0, runs(simulation))


class InstanceTest(TestCase):
    @run_async
    async def test_entry_points_readiness_metrics_and_state_are_served(self):
        async with running_relay_simulation(1) as simulation:
            settings = simulation.settings
            key = f"{INSTANCE_PREFIX}{settings.name}"
            await wait_until(lambda: key in simulation.store.store.values)
            await wait_until(lambda: bool(simulation.node.fleet.entrypoints()))
            await simulation.call(NON_IDEMPOTENT)
            entrypoints_url = f"http://{settings.directory_address}{ENTRYPOINTS_PATH}"
            async with simulation.session.get(entrypoints_url) as response:
                body = await response.json()
            self.assertEqual([settings.caller_address], body["addresses"])
            self.assertTrue(0 < body["expiry_s"] <= settings.entrypoint_ttl_limit_s)
            ready = f"http://{settings.readiness_address}{READINESS_PATH}"
            async with simulation.session.get(ready) as response:
                self.assertEqual(200, response.status)
            metrics = f"http://{settings.metrics_address}{METRICS_PATH}"
            async with simulation.session.get(metrics) as response:
                text = await response.text()
            name = "requests.non_idempotent.answered_200"
            self.assertIn(f'events_total{{name="{name}"}} 1', text)
            self.assertIn('le="+Inf"} 1', text)
            state = f"http://{settings.metrics_address}{STATE_PATH}"
            async with simulation.session.get(state) as response:
                self.assertIn("u0", (await response.json())["upstreams"])

    @run_async
    async def test_a_stopping_instance_is_not_ready_and_closes_its_connections(self):
        async with running_relay_simulation(1) as simulation:
            for upstream in simulation.upstreams:
                upstream.events = EVENTS
            frontend = simulation.node.frontend
            frontend.stop.begin(frontend.clock())
            ready = f"http://{simulation.settings.readiness_address}{READINESS_PATH}"
            async with simulation.session.get(ready) as response:
                self.assertEqual(503, response.status)
            answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(200, answer.status)
            self.assertEqual("close", answer.headers["connection"])
            # A stream could outlast the process, so its caller is sent to another
            # instance at once.
            refused = await simulation.call(RESUMABLE)
            self.assertEqual(503, refused.status)
            self.assertEqual(0.0, float(refused.headers["retry-after"]))

    @run_async
    async def test_a_drain_ends_after_the_last_request(self):
        async with running_relay_simulation(1) as simulation:
            upstream = simulation.upstreams[0]
            upstream.events, upstream.event_gap_s = EVENTS, 0.15
            call_task = asyncio.create_task(simulation.call(RESUMABLE))
            await wait_until(lambda: runs(simulation) == 1)
            await asyncio.gather(call_task, drain(simulation.node))
            self.assertEqual(WHOLE_STREAM, call_task.result().body)
            self.assertNotIn(
                simulation.node.registration.key, simulation.store.store.values
            )
            address = simulation.settings.caller_address
            host, _, port = address.rpartition(":")
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(host, int(port))

    @run_async
    async def test_a_refusal_without_a_configuration_has_a_retry_after_header(self):
        async with running_relay_simulation(1) as simulation:
            simulation.node.tables.table = None
            answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(503, answer.status)
            self.assertIn("retry-after", answer.headers)

    @run_async
    async def test_an_instance_without_its_own_record_counts_itself_for_the_budget(
        self,
    ):
        async with running_relay_simulation(1) as simulation:
            node, store = simulation.node, simulation.store.store
            entries = node.fleet.instances.entries
            await wait_until(lambda: node.own.name in entries)
            other = replace(node.own, name="another")
            store.write(f"{INSTANCE_PREFIX}another", encode_instance(other))
            store.write(f"{INSTANCE_PREFIX}{node.own.name}", None)
            await wait_until(lambda: list(entries) == ["another"])
            reserve = node.shared.budget_template.reserve
            self.assertEqual(node.retries.reserve(2), reserve)

    @run_async
    async def test_a_record_whose_lease_has_expired_is_written_again(self):
        async with running_relay_simulation(1) as simulation:
            registration = simulation.node.registration
            store = simulation.store.store
            await wait_until(lambda: registration.key in store.values)
            store.end_lease(registration.lease)
            await wait_until(lambda: registration.key in store.values, 5.0)

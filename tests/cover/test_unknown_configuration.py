"""Test configurations with entries of kinds not met before, and malformed answers."""

from __future__ import annotations

import asyncio

import orjson
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import IDEMPOTENT, NON_IDEMPOTENT
from tests.common.relay_fixtures import (
    PATHS,
    SERVICE,
    configuration,
    running_relay_simulation,
    runs,
)
from tests.common.waiting import wait_until
from turmericusher.platform.names import CONFIGURATION_KEY, INSTANCE_PREFIX
from turmericusher.platform.store_messages import RENEW_LEASE, WATCH

KNOWN = orjson.loads(configuration())
HOST = KNOWN["routes"][0]["host"]
NEW_KIND = {
    "name": "new",
    "host": HOST,
    "prefix": f"{PATHS[IDEMPOTENT]}new/",
    "kind": "replicated",
    "timeout_ms": 1_000,
    "service": SERVICE,
}
SPLIT_TO_NOTHING = NEW_KIND | {"kind": "idempotent", "service": None}


class UnknownEntryTest(TestCase):
    @parameterized.expand(
        [
            ("a route of a new kind", {"routes": [*KNOWN["routes"], NEW_KIND]}),
            ("a route that is no table", {"routes": [*KNOWN["routes"], 7]}),
            ("a route without a host", {"routes": [*KNOWN["routes"], {"kind": "x"}]}),
            ("a service of a new form", {"services": [*KNOWN["services"], {"n": 1}]}),
            ("a team of a new form", {"tenants": [*KNOWN["tenants"], {"name": 3}]}),
        ]
    )
    @run_async
    async def test_the_rest_of_the_configuration_is_served(self, _, changes):
        async with running_relay_simulation(1) as simulation:
            value = configuration(2, **changes)
            simulation.store.store.write(CONFIGURATION_KEY, value)
            await wait_until(lambda: simulation.node.tables.current().version == 2)
            answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual((200, b"whole answer"), (answer.status, answer.body))

    @parameterized.expand(
        [("of a new kind", NEW_KIND), ("without a service", SPLIT_TO_NOTHING)]
    )
    @run_async
    async def test_requests_of_a_route_that_cannot_be_served_are_refused(
        self, _, route
    ):
        async with running_relay_simulation(1) as simulation:
            value = configuration(2, routes=[*KNOWN["routes"], route])
            simulation.store.store.write(CONFIGURATION_KEY, value)
            await wait_until(lambda: simulation.node.tables.current().version == 2)
            # Without the route, the one with the shorter prefix would run them.
            answer = await simulation.call(IDEMPOTENT, name="new/x")
            self.assertEqual(503, answer.status)
            self.assertTrue(float(answer.headers["retry-after"]) > 0)
            self.assertEqual(0, runs(simulation))
            self.assertEqual(200, (await simulation.call(IDEMPOTENT)).status)


class MalformedAnswerTest(TestCase):
    @parameterized.expand(
        [
            ("no fields", b"{}"),
            ("a list", b"[1]"),
            ("no JSON", b"\xff"),
            ("nested deeply", b"[" * 100_000),
            ("fields of other types", b'{"events": 3, "items": 3, "as_of": "x"}'),
        ]
    )
    @run_async
    async def test_changes_arrive_after_a_malformed_answer_to_a_watch(self, _, body):
        async with running_relay_simulation(1) as simulation:
            simulation.store.faults.malformed = {WATCH: body}
            calls_before = len(simulation.store.calls)
            await wait_until(
                lambda: simulation.store.calls[calls_before:].count(WATCH) >= 2, 5.0
            )
            simulation.store.faults.malformed = {}
            simulation.store.store.write(CONFIGURATION_KEY, configuration(3))
            await wait_until(lambda: simulation.node.tables.current().version == 3, 5.0)

    @run_async
    async def test_a_malformed_item_does_not_hide_the_others(self):
        async with running_relay_simulation(1) as simulation:
            simulation.store.faults.extra_event = {"key": 5, "value": "no base64 !"}
            simulation.store.store.write(CONFIGURATION_KEY, configuration(4))
            await wait_until(lambda: simulation.node.tables.current().version == 4, 5.0)

    @run_async
    async def test_a_registration_survives_a_malformed_answer_to_a_renewal(self):
        async with running_relay_simulation(1) as simulation:
            key = f"{INSTANCE_PREFIX}{simulation.settings.name}"
            values = simulation.store.store.values
            await wait_until(lambda: key in values)
            simulation.store.faults.malformed = {RENEW_LEASE: b"{}"}
            await wait_until(lambda: RENEW_LEASE in simulation.store.calls, 5.0)
            await asyncio.sleep(0.1)
            simulation.store.faults.malformed = {}
            calls_before = len(simulation.store.calls)
            await wait_until(
                lambda: RENEW_LEASE in simulation.store.calls[calls_before:], 5.0
            )
            self.assertIn(key, values)

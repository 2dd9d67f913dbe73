"""Test that a running instance publishes its use, and answers callers by shares.

Failures: a pressed instance that is not known to be, and shares that outlive the store.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import running_relay_simulation
from tests.common.waiting import wait_until
from turmericusher.decisions.entry_load.utilization import ResourceLimits
from turmericusher.platform.names import INSTANCE_PREFIX
from turmericusher.tasks.entry_load import measuring_load


class RunningInstanceTest(TestCase):
    @run_async
    async def test_a_pressed_instance_states_it_in_its_record(self):
        async with running_relay_simulation(1) as simulation:
            load, values = simulation.node.load, simulation.store.store.values
            load.utilization.limits = load.limits = ResourceLimits(memory_bytes=1e6)
            key = f"{INSTANCE_PREFIX}{simulation.settings.name}"
            async with measuring_load(load):
                await wait_until(
                    lambda: key in values and b"caller_share" in values[key].value, 5.0
                )
            record = msgspec.json.decode(values[key].value)
            self.assertEqual({"memory": 0.9}, record["utilization"])
            simulation.node.refresh_gauges()
            self.assertTrue(simulation.node.metrics.gauges["utilization.memory"] > 0.9)

    @run_async
    async def test_shares_become_equal_while_the_store_is_away(self):
        async with running_relay_simulation(1) as simulation:
            node = simulation.node
            other = replace(node.own, name="entry-2", caller_share=0.2)
            node.fleet.instances.put("entry-2", other)

            def share() -> float:
                return min(each.caller_share for each in node.entrypoints())

            self.assertEqual(0.2, share())
            node.fleet.store_lost(node.frontend.clock() - 5.0)
            self.assertAlmostEqual(0.6, share(), places=1)
            node.fleet.instances.store_lost_at -= 5.0
            self.assertEqual(1.0, share())
            node.fleet.store_regained(node.frontend.clock(), was_away=True)
            self.assertEqual(0.2, share())

"""Changes are in force in time although large values come over slow links."""

from __future__ import annotations

import asyncio

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.domain_fixtures import running_domain
from tests.common.relay_fixtures import SERVICE, configuration
from tests.common.waiting import wait_until
from turmericusher.decisions.watch_sharing import MIN_SHARING
from turmericusher.platform.names import CONFIGURATION_KEY

LINK_BYTES_PER_S = 625_000
"""5 Mbit/s."""

LIMIT_S = 3.0
"""Seconds within which a change must be in force."""

BOUNDS = {"configuration_apply_ms": 1_000 * LIMIT_S, "drain_ms": 1_000 * LIMIT_S}

SIZES = [("alone", 1), ("that_share_a_watch", MIN_SHARING)]


def large_configuration(version, size):
    """Return a configuration with so many bytes."""
    names = [{"name": SERVICE}, {"name": "x" * size}]
    return configuration(version, services=names)


async def write_versions(simulation, versions, size, gap_s):
    """Write versions of the configuration; each must be in force within the limit."""
    async with asyncio.TaskGroup() as group:
        for version in versions:
            simulation.store.store.write(
                CONFIGURATION_KEY, large_configuration(version, size)
            )
            group.create_task(
                simulation.wait_for_all(
                    lambda each, version=version: (
                        each.tables.current().version >= version
                    ),
                    LIMIT_S,
                )
            )
            await asyncio.sleep(gap_s)


class SlowLinkTest(TestCase):
    @parameterized.expand(SIZES)
    @run_async
    async def test_config_versions_in_quick_succession_are_in_force_in_time(
        self, _, instances
    ):
        async with running_domain(instances, LINK_BYTES_PER_S, **BOUNDS) as simulation:
            await write_versions(simulation, range(2, 9), 294_000, 0.33)

    @parameterized.expand(SIZES)
    @run_async
    async def test_drain_a_mark_is_known_in_time_behind_large_versions(
        self, _, instances
    ):
        async with running_domain(instances, LINK_BYTES_PER_S, **BOUNDS) as simulation:
            for index, version in enumerate(range(2, 5)):
                simulation.store.store.write(
                    CONFIGURATION_KEY, large_configuration(version, 1_000_000)
                )
                await asyncio.sleep(0.33)
                simulation.write_upstream(index)
            await simulation.wait_for_upstreams(3, LIMIT_S)

    @run_async
    async def test_an_answer_that_arrives_slowly_is_no_outage_of_the_store(self):
        async with running_domain(1, LINK_BYTES_PER_S, **BOUNDS) as simulation:
            (instance,) = simulation.instances.values()
            reached = []
            instance.watch.on_reach = reached.append
            simulation.store.store.write(
                CONFIGURATION_KEY, large_configuration(2, 1_500_000)
            )
            await wait_until(lambda: instance.tables.current().version == 2, 8.0)
            self.assertEqual([], reached)

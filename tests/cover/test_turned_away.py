"""Changes are in force in time at an instance that the store turns away."""

from __future__ import annotations

import asyncio
import time

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.domain_fixtures import running_domain
from tests.common.relay_fixtures import configuration
from tests.common.turned_away_fixtures import (
    LIMIT_S,
    SETTLING_S,
    TURNING_AWAY,
    running_turned_away,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.listing import RELIST_GRACE_S
from turmericusher.decisions.watch_sharing import (
    LARGE_VALUE_BYTES,
    MAX_KEPT_CHANGES,
    MIN_SHARING,
    choose_asking,
)
from turmericusher.platform.names import CONFIGURATION_KEY, UPSTREAM_PREFIX
from turmericusher.platform.store_messages import WATCH
from turmericusher.standins.platform_store import running_platform_store

LARGE_SERVICES = [{"name": "s"}, *({"name": f"s{n}"} for n in range(LARGE_VALUE_BYTES))]
# Seconds from a call, which takes one at most, to the end of the fault.
PHASES = [(0.0,), (0.4,), (0.8,), (1.2,)]

WAYS = [(how,) for how in TURNING_AWAY]


class TurnedAwayTest(TestCase):
    @parameterized.expand(WAYS)
    @run_async
    async def test_drain_a_leaving_upstream_is_not_used_while_the_store_turns_away(
        self, how
    ):
        async with running_turned_away() as simulation:
            await simulation.turn_away(how)
            simulation.fleet.write_upstream_entry(0, "draining")
            simulation.fleet.store.store.write(f"{UPSTREAM_PREFIX}u1", None)
            await wait_until(
                lambda: not simulation.is_used(0) and not simulation.is_used(1),
                LIMIT_S,
            )
            self.assertTrue(simulation.is_used(2))

    @parameterized.expand(WAYS)
    @run_async
    async def test_config_is_in_force_in_time_while_the_store_turns_away(self, how):
        async with running_turned_away() as simulation:
            await simulation.turn_away(how)
            write = simulation.fleet.store.store.write
            write(CONFIGURATION_KEY, configuration(2))
            await simulation.wait_for_version(2)
            write(CONFIGURATION_KEY, configuration(3, services=LARGE_SERVICES))
            await simulation.wait_for_version(3)

    @parameterized.expand(WAYS)
    @run_async
    async def test_drain_a_leaving_upstream_is_not_used_though_the_history_is_gone(
        self, how
    ):
        async with running_turned_away() as simulation:
            await simulation.turn_away(how)
            async with simulation.losing_history():
                simulation.fleet.write_upstream_entry(0, "draining")
                simulation.fleet.store.store.write(f"{UPSTREAM_PREFIX}u1", None)
            await wait_until(
                lambda: not simulation.is_used(0) and not simulation.is_used(1),
                LIMIT_S,
            )
            self.assertTrue(simulation.is_used(2))

    @parameterized.expand(WAYS)
    @run_async
    async def test_config_is_in_force_in_time_though_the_history_is_gone(self, how):
        async with running_turned_away() as simulation:
            await simulation.turn_away(how)
            write = simulation.fleet.store.store.write
            async with simulation.losing_history():
                write(CONFIGURATION_KEY, configuration(2, services=LARGE_SERVICES))
            await simulation.wait_for_version(2)

    @parameterized.expand(WAYS)
    @run_async
    async def test_drain_a_leaving_upstream_is_not_used_though_the_store_was_restored(
        self, how
    ):
        async with running_turned_away() as simulation:
            store = simulation.fleet.store.store
            copy = store.copied()
            await simulation.turn_away(how)
            store.restore(copy)
            await asyncio.sleep(SETTLING_S)
            simulation.fleet.write_upstream_entry(0, "draining")
            await wait_until(lambda: not simulation.is_used(0), LIMIT_S)

    @parameterized.expand(WAYS)
    @run_async
    async def test_config_is_in_force_in_time_though_the_store_was_restored(self, how):
        async with running_turned_away() as simulation:
            store = simulation.fleet.store.store
            copy = store.copied()
            await simulation.turn_away(how)
            store.restore(copy)
            await asyncio.sleep(SETTLING_S)
            for version, services in ((2, LARGE_SERVICES), (3, [{"name": "s"}])):
                store.write(
                    CONFIGURATION_KEY, configuration(version, services=services)
                )
                await simulation.wait_for_version(version)
            simulation.take_back()
            await asyncio.sleep(SETTLING_S)
            store.write(CONFIGURATION_KEY, configuration(4))
            await simulation.wait_for_version(4)

    @run_async
    async def test_drain_a_leaving_upstream_is_not_used_though_logs_were_trimmed(self):
        async with running_turned_away() as simulation:
            with simulation.cut_from_others():
                await simulation.turn_away("busy")
                simulation.fleet.store.store.write(f"{UPSTREAM_PREFIX}u0", None)
                for number in range(MAX_KEPT_CHANGES + 100):
                    simulation.fleet.store.store.write(f"status/{number}", b"")
                await asyncio.sleep(LIMIT_S)
                self.assertTrue(simulation.is_used(0))
            listing = simulation.alone.fleet.upstreams
            await wait_until(lambda: listing.store_lost_at is None, LIMIT_S)
            self.assertFalse(simulation.is_used(0))
            self.assertTrue(simulation.is_used(1))

    @run_async
    async def test_drain_a_mark_that_is_known_holds_though_the_store_was_restored(self):
        async with running_turned_away() as simulation:
            store = simulation.fleet.store.store
            copy = store.copied()
            await simulation.turn_away("busy")
            simulation.fleet.write_upstream_entry(0, "draining")
            await wait_until(lambda: not simulation.is_used(0), LIMIT_S)
            store.restore(copy)
            await asyncio.sleep(0.3)
            simulation.fleet.write_upstream_entry(0, "draining")
            taken_back_at = time.monotonic() + SETTLING_S
            while time.monotonic() < taken_back_at + SETTLING_S:
                self.assertFalse(simulation.is_used(0))
                await asyncio.sleep(0.02)
                if time.monotonic() > taken_back_at:
                    simulation.take_back()

    @run_async
    async def test_drain_an_upstream_that_others_know_is_gone_gets_no_time_to_return(
        self,
    ):
        async with running_turned_away() as simulation:
            with simulation.cut_from_others():
                await simulation.turn_away("silent")
                simulation.fleet.store.store.write(f"{UPSTREAM_PREFIX}u0", None)
                await asyncio.sleep(LIMIT_S)
                self.assertTrue(simulation.is_used(0))
            listing = simulation.alone.fleet.upstreams
            await wait_until(lambda: listing.store_lost_at is None, RELIST_GRACE_S)
            await asyncio.sleep(0.1)
            self.assertFalse(simulation.is_used(0))

    @parameterized.expand(PHASES)
    @run_async
    async def test_drain_an_upstream_that_left_during_a_cut_is_not_used_after_it(
        self, phase_s
    ):
        async with running_turned_away() as simulation:
            with simulation.cut_from_others():
                await simulation.turn_away("silent")
                simulation.fleet.store.store.write(f"{UPSTREAM_PREFIX}u0", None)
                await asyncio.sleep(phase_s)
                self.assertTrue(simulation.is_used(0))
            simulation.take_back()
            await wait_until(lambda: not simulation.is_used(0), SETTLING_S)

    @parameterized.expand(PHASES)
    @run_async
    async def test_drain_an_upstream_that_is_missing_after_an_outage_is_not_used_late(
        self, phase_s
    ):
        async with running_turned_away() as simulation:
            write = simulation.fleet.store.store.write
            stores = (simulation.fleet.store, simulation.door)
            for each in stores:
                each.faults.silent = True
            await wait_until(lambda: simulation.alone.watch.unreached_since, 5.0)
            await asyncio.sleep(SETTLING_S + phase_s)
            write(f"{UPSTREAM_PREFIX}u0", None)
            write(f"{UPSTREAM_PREFIX}u1", None)
            for each in stores:
                each.faults.silent = False
            returned_at = time.monotonic()
            await asyncio.sleep(RELIST_GRACE_S - 0.5)
            simulation.fleet.write_upstream_entry(1)
            while time.monotonic() < returned_at + SETTLING_S:
                self.assertTrue(simulation.is_used(1))
                await asyncio.sleep(0.01)
            self.assertFalse(simulation.is_used(0))

    @run_async
    async def test_an_entry_that_lapsed_in_an_outage_seen_at_its_end_is_kept(self):
        async with running_turned_away() as simulation:
            with simulation.cut_from_others():
                simulation.door.faults.silent = True
                seen = len(simulation.door.calls)
                await wait_until(lambda: WATCH in simulation.door.calls[seen:])
                simulation.fleet.store.store.write(f"{UPSTREAM_PREFIX}u1", None)
                simulation.take_back()
                listing = simulation.alone.fleet.upstreams
                await wait_until(lambda: listing.missing, 5.0)
                simulation.fleet.write_upstream_entry(1)
                await wait_until(lambda: not listing.missing)
                self.assertTrue(simulation.is_used(1))


class SharedTest(TestCase):
    @parameterized.expand([("watcher", True), ("follower", False)])
    @run_async
    async def test_config_is_in_force_in_time_if_the_store_turns_away_a(
        self, _, is_watcher
    ):
        async with (
            running_domain(MIN_SHARING - 1) as simulation,
            running_platform_store(simulation.store.store) as door,
        ):
            name = name_in_role(list(simulation.instances), is_watcher)
            await simulation.add_instance(name, door.address)
            alone = simulation.instances[name]
            await wait_until(
                lambda: (
                    alone.watch.sharing.is_watcher == is_watcher
                    and len(alone.fleet.instances.entries) == MIN_SHARING
                    and bool(alone.watch.source) != is_watcher
                ),
                10.0,
            )
            door.faults.refusal = 503
            await asyncio.sleep(SETTLING_S)
            write = simulation.store.store.write
            write(CONFIGURATION_KEY, configuration(2, services=LARGE_SERVICES))
            simulation.write_upstream(0)
            await simulation.wait_for_all(
                lambda each: (
                    each.tables.current().version == 2
                    and len(each.fleet.upstreams.entries) == 1
                )
            )


def name_in_role(others, is_watcher):
    """Return a name with which one more instance watches for the others, or not."""
    for number in range(1_000):
        names = [*others, f"entry-alone-{number}"]
        if (names[-1] in choose_asking({each: None for each in names})) == is_watcher:
            return names[-1]
    raise AssertionError("no such name")

"""Test that an instance which is out of step does not join streams of two versions."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.version_fixtures import running_version_simulation
from tests.common.waiting import wait_until
from turmericusher.platform.names import STREAM_PREFIX
from turmericusher.standins.platform_store import running_platform_store

OLD, NEW = ("v1",) * 2, ("v2",) * 4
EVENTS = 8
STREAMS = 6
STALE = "entry-3"


def cut_off(simulation, endpoint):
    """Cut an instance off from the store and from the others."""
    endpoint.faults.silent = True
    simulation.cut_from_instances(STALE)


def cut_from_store(simulation, endpoint):
    """Cut an instance off from the store alone."""
    endpoint.faults.silent = True


def stand_still(simulation, endpoint):
    """Keep changes from an instance that reaches the store, as after a freeze."""
    endpoint.faults.suppress_changes = True


@asynccontextmanager
async def running_stale_instance(put_out_of_step):
    """Run four instances; one is out of step when a second version joins."""
    async with running_version_simulation(
        OLD, later_versions=NEW, events=EVENTS, event_gap_s=0.05
    ) as simulation:
        shared_store = simulation.store.store
        async with running_platform_store(shared_store) as endpoint:
            await simulation.add_instance(STALE, endpoint.address)
            for node in simulation.instances.values():
                entries = node.fleet.instances.entries
                await wait_until(lambda entries=entries: len(entries) == 4)
            put_out_of_step(simulation, endpoint)
            for index in range(len(OLD), len(OLD) + len(NEW)):
                simulation.write_upstream_entry(index)
            await wait_until(
                lambda: all(
                    len(node.fleet.upstreams.entries) == len(OLD + NEW)
                    for name, node in simulation.instances.items()
                    if name != STALE
                )
            )
            yield simulation
            endpoint.faults.silent = False


async def begin_until(simulation, version):
    """Begin streams at the others until some began at a version; return their ids."""
    ids = []
    for number in range(100):
        request_id = f"q{number}"
        await simulation.stream(f"entry-{number % 3}", request_id, 2)
        if simulation.versions_of([request_id]) == {version}:
            ids.append(request_id)
        if len(ids) == STREAMS:
            return ids
    raise AssertionError(f"no {STREAMS} streams began at {version}")


class StaleInstanceTest(TestCase):
    # One that was cut off took its one version for the only one (ORDER, review/1).
    @parameterized.expand(
        [
            ("is cut off from the store and the others", cut_off),
            ("is cut off from the store", cut_from_store),
            ("missed the change", stand_still),
        ]
    )
    @run_async
    async def test_a_stream_of_a_new_version_is_not_joined_where_the_instance(
        self, _, put_out_of_step
    ):
        async with running_stale_instance(put_out_of_step) as simulation:
            for first in await begin_until(simulation, "v2"):
                again = f"{first}-again"
                await simulation.stream(
                    STALE, again, EVENTS, Last_Event_Id="2", Resumes=first
                )
                self.assertEqual({"v2"}, simulation.versions_of([first, again]))

    @run_async
    async def test_it_is_refused_where_nothing_is_known_of_other_versions(self):
        async with running_stale_instance(cut_off) as simulation:
            (first, *_) = await begin_until(simulation, "v2")
            status, events = await simulation.stream(
                STALE, f"{first}-again", EVENTS, Last_Event_Id="2", Resumes=first
            )
            self.assertEqual((503, []), (status, events))

    @run_async
    async def test_a_version_is_in_the_store_before_an_upstream_of_it_gets_a_stream(
        self,
    ):
        async with running_stale_instance(stand_still) as simulation:
            store = simulation.store.store
            has_run = simulation.versions_of
            while has_run(["q-first"]) != {"v2"}:
                store.values.pop(next(iter(simulation.saved(STREAM_PREFIX)), ""), None)
                for upstream in simulation.upstreams:
                    upstream.runs.clear()
                await simulation.stream("entry-0", "q-first", 1)
            self.assertEqual(1, len(simulation.saved(STREAM_PREFIX)))
            simulation.cut_from_instances(STALE)
            exchange = simulation.instances[STALE].frontend.context.versions
            async with asyncio.timeout(2.0):
                found = await exchange.find("q-first", "s")
            self.assertEqual("v2", found.version)

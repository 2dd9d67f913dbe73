"""Test that the versions of streams outlast all instances that know them."""

from __future__ import annotations

from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import SERVICE, make_upstream
from tests.common.version_fixtures import running_version_simulation
from tests.common.waiting import wait_until
from turmericusher.decisions.stream_versions import (
    KEPT_S,
    MAX_SAVED_PER_S,
    MAX_UNSAVED,
    SAVE_DELAY_S,
    ServiceVersions,
    StreamVersions,
)
from turmericusher.platform.names import STREAM_PREFIX, VERSIONS_PREFIX

TWO_VERSIONS = ("v1", "v2", "v1", "v2", "v1", "v2")
STREAMS = 12
EVENTS = 8


def list_versions(versions, *listed, now):
    """Let an instance list upstreams of these versions of one service."""
    upstreams = [
        replace(make_upstream(index), version=version)
        for index, version in enumerate(listed)
    ]
    versions.update_upstreams(upstreams, now)


def make_fleet_versions(count):
    """Return what each instance of a fleet knows, those that write first in front."""
    names = [f"e{number}" for number in range(count)]
    fleet = []
    for name in names:
        versions = StreamVersions()
        versions.update_instances(name, names)
        fleet.append(versions)
    return sorted(fleet, key=lambda each: each.rank(SERVICE))


class ServiceVersionsTest(TestCase):
    @parameterized.expand([(count,) for count in (1, 8, 86, 420)])
    def test_one_instance_after_the_other_writes_until_the_store_has_them(self, count):
        fleet = make_fleet_versions(count)
        for each in fleet:
            list_versions(each, "v1", now=0.0)
            self.assertEqual([], each.due_versions(0.0))
        for second in range(1, min(count, 5) + 1):
            now = SAVE_DELAY_S * second
            due = [each for each in fleet if each.due_versions(now)]
            self.assertEqual(fleet[:second], due)
        (record,) = fleet[0].due_versions(SAVE_DELAY_S)
        for each in fleet:
            each.record_saved(record, 5.0)
            self.assertEqual([], each.due_versions(1e6))

    def test_a_version_leaves_the_record_some_time_after_its_last_upstream(self):
        (versions,) = make_fleet_versions(1)
        versions.record_saved(ServiceVersions(SERVICE, frozenset({"v1", "v2"})), 0.0)
        list_versions(versions, "v2", now=1.0)
        self.assertEqual([], versions.due_versions(KEPT_S - 1.0))
        versions.due_versions(KEPT_S + 1.0)
        (record,) = versions.due_versions(KEPT_S + 1.0 + SAVE_DELAY_S)
        self.assertEqual(frozenset({"v2"}), record.versions)

    def test_an_instance_that_still_knows_a_removed_version_does_not_write_it(self):
        (versions,) = make_fleet_versions(1)
        list_versions(versions, "v1", "v2", now=0.0)
        list_versions(versions, "v2", now=1.0)
        versions.record_saved(ServiceVersions(SERVICE, frozenset({"v2"})), 2.0)
        self.assertEqual([], versions.due_versions(1e3))

    def test_streams_that_wait_to_be_written_are_bounded(self):
        (versions,) = make_fleet_versions(1)
        list_versions(versions, "v1", "v2", now=0.0)
        for number in range(2 * MAX_UNSAVED):
            versions.record_begin(f"q{number}", SERVICE, "v1", 1.0)
        self.assertEqual(MAX_UNSAVED, len(versions.unsaved))

    @parameterized.expand([(count,) for count in (1, 8, 195, 420)])
    def test_what_all_instances_write_of_streams_does_not_grow_with_them(self, count):
        fleet = make_fleet_versions(count)
        per_s = sum(1.0 / each.save_interval_s() for each in fleet)
        self.assertAlmostEqual(MAX_SAVED_PER_S, per_s)


async def begin_streams(simulation):
    """Begin streams at all instances; return their ids and those of their take-ups."""
    ids = [(f"q{number}", f"q{number}-again") for number in range(STREAMS)]
    for number, (first, _) in enumerate(ids):
        await simulation.stream(f"entry-{number % 3}", first, 3)
    return ids


async def take_up(simulation, number, first, second):
    """Take a stream up after its third event; return the status and events."""
    return await simulation.stream(
        f"entry-{number % 3}", second, EVENTS, Last_Event_Id="3", Resumes=first
    )


class LostInstanceTest(TestCase):
    # They were told to nobody, and refused once two versions served (LOST, review/2).
    @parameterized.expand([("their instance", False), ("all instances", True)])
    @run_async
    async def test_streams_from_before_the_second_version_go_on_after_the_loss_of(
        self, _, is_all
    ):
        async with running_version_simulation(
            ("v1",) * 3,
            instances=4,
            later_versions=("v2",) * 3,
            events=EVENTS,
            event_gap_s=0.05,
        ) as simulation:
            await wait_until(lambda: simulation.saved(VERSIONS_PREFIX))
            ids = [(f"q{number}", f"q{number}-again") for number in range(STREAMS)]
            for first, _again in ids:
                await simulation.stream("entry-3", first, 3)
            await simulation.stop_instance("entry-3")
            if is_all:
                await simulation.replace_all_instances()
            for index in (3, 4, 5):
                simulation.write_upstream_entry(index)
            for node in simulation.instances.values():
                entries = node.fleet.upstreams.entries
                await wait_until(lambda entries=entries: len(entries) == 6)
            for number, (first, second) in enumerate(ids):
                status, events = await take_up(simulation, number, first, second)
                self.assertEqual(200, status)
                self.assertEqual(list(range(4, EVENTS + 1)), events)
                self.assertEqual({"v1"}, simulation.versions_of([first, second]))


class AllInstancesKilledTest(TestCase):
    @run_async
    async def test_a_stream_goes_on_at_its_version_after_all_instances_were_killed(
        self,
    ):
        async with running_version_simulation(
            TWO_VERSIONS, events=EVENTS, event_gap_s=0.05
        ) as simulation:
            ids = await begin_streams(simulation)
            await wait_until(lambda: len(simulation.saved(STREAM_PREFIX)) == STREAMS)
            await simulation.replace_all_instances()
            for number, (first, second) in enumerate(ids):
                status, events = await take_up(simulation, number, first, second)
                self.assertEqual(200, status)
                self.assertEqual(list(range(4, EVENTS + 1)), events)
                self.assertEqual(1, len(simulation.versions_of([first, second])))

    @parameterized.expand(
        [
            ("while both versions were listed", TWO_VERSIONS),
            ("before the second version was listed", ("v1",) * 6),
        ]
    )
    @run_async
    async def test_a_stream_is_not_joined_from_two_versions_if_its_own_left_meanwhile(
        self, _, versions
    ):
        async with running_version_simulation(
            versions, later_versions=("v2",) * 3, events=EVENTS, event_gap_s=0.05
        ) as simulation:
            ids = await begin_streams(simulation)
            began_at = {first: simulation.versions_of([first]) for first, _ in ids}
            is_mixed = len(set(versions)) > 1
            streams = STREAMS if is_mixed else 0
            await wait_until(lambda: len(simulation.saved(STREAM_PREFIX)) == streams)
            await wait_until(lambda: simulation.saved(VERSIONS_PREFIX))
            await simulation.replace_all_instances(leaving="v1")
            for number, (first, second) in enumerate(ids):
                status, _ = await take_up(simulation, number, first, second)
                expected = 200 if began_at[first] == {"v2"} else 503
                self.assertEqual(expected, status)
                self.assertEqual(1, len(simulation.versions_of([first, second])))

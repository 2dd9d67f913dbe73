"""Test that the versions of streams outlast all instances that know them."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.version_fixtures import running_version_simulation
from tests.common.waiting import wait_until
from turmericusher.platform.names import STREAM_PREFIX, VERSIONS_PREFIX

TWO_VERSIONS = ("v1", "v2", "v1", "v2", "v1", "v2")
STREAMS = 12
EVENTS = 8


class AllInstancesKilledTest(TestCase):
    @run_async
    async def test_a_stream_goes_on_at_its_version_after_all_instances_were_killed(
        self,
    ):
        async with running_version_simulation(
            TWO_VERSIONS, events=EVENTS, event_gap_s=0.05
        ) as simulation:
            ids = [(f"q{number}", f"q{number}-again") for number in range(STREAMS)]
            for number, (first, _) in enumerate(ids):
                await simulation.stream(f"entry-{number % 3}", first, 3)
            await wait_until(lambda: len(simulation.saved(STREAM_PREFIX)) == STREAMS)
            await simulation.replace_all_instances()
            for number, (first, second) in enumerate(ids):
                status, events = await simulation.stream(
                    f"entry-{number % 3}",
                    second,
                    EVENTS,
                    Last_Event_Id="3",
                    Resumes=first,
                )
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
            ids = [(f"q{number}", f"q{number}-again") for number in range(STREAMS)]
            for number, (first, _) in enumerate(ids):
                await simulation.stream(f"entry-{number % 3}", first, 3)
            began_at = {first: simulation.versions_of([first]) for first, _ in ids}
            is_mixed = len(set(versions)) > 1
            streams = STREAMS if is_mixed else 0
            await wait_until(lambda: len(simulation.saved(STREAM_PREFIX)) == streams)
            await wait_until(lambda: simulation.saved(VERSIONS_PREFIX))
            await simulation.replace_all_instances(leaving="v1")
            for number, (first, second) in enumerate(ids):
                status, _ = await simulation.stream(
                    f"entry-{number % 3}",
                    second,
                    EVENTS,
                    Last_Event_Id="3",
                    Resumes=first,
                )
                expected = 200 if began_at[first] == {"v2"} else 503
                self.assertEqual(expected, status)
                self.assertEqual(1, len(simulation.versions_of([first, second])))

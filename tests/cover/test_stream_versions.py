"""Test that a stream goes on only at the version of upstreams that began it."""

from __future__ import annotations

from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.version_fixtures import running_version_simulation

TWO_VERSIONS = ("v1", "v2", "v1", "v2", "v1", "v2")
STREAMS = 12
EVENTS = 8


class MixedVersionTest(TestCase):
    @run_async
    async def test_a_stream_that_loses_its_upstream_goes_on_at_the_same_version(self):
        async with running_version_simulation(
            TWO_VERSIONS, instances=1, events=EVENTS, die_after=3
        ) as simulation:
            for number in range(STREAMS):
                request_id = f"q{number}"
                _, events = await simulation.stream("entry-0", request_id, EVENTS)
                self.assertEqual(list(range(1, EVENTS + 1)), events)
                self.assertEqual(1, len(simulation.versions_of([request_id])))

    @run_async
    async def test_a_stream_taken_up_at_another_instance_goes_on_at_the_same_version(
        self,
    ):
        async with running_version_simulation(
            TWO_VERSIONS, events=EVENTS, event_gap_s=0.05
        ) as simulation:
            for number in range(STREAMS):
                first, second = f"entry-{number % 3}", f"entry-{(number + 1) % 3}"
                ids = [f"q{number}", f"q{number}-again"]
                await simulation.stream(first, ids[0], 3)
                _, events = await simulation.stream(
                    second, ids[1], EVENTS, Last_Event_Id="3", Resumes=ids[0]
                )
                self.assertEqual(list(range(4, EVENTS + 1)), events)
                self.assertEqual(1, len(simulation.versions_of(ids)))

    @run_async
    async def test_a_stream_goes_on_at_the_same_version_after_its_instance_has_ended(
        self,
    ):
        async with running_version_simulation(
            TWO_VERSIONS, instances=4, events=EVENTS, event_gap_s=0.05
        ) as simulation:
            ids = [(f"q{number}", f"q{number}-again") for number in range(STREAMS)]
            for first, _ in ids:
                await simulation.stream("entry-0", first, 3)
            await simulation.stop_instance("entry-0")
            for number, (first, second) in enumerate(ids):
                _, events = await simulation.stream(
                    f"entry-{1 + number % 3}",
                    second,
                    EVENTS,
                    Last_Event_Id="3",
                    Resumes=first,
                )
                self.assertEqual(list(range(4, EVENTS + 1)), events)
                self.assertEqual(1, len(simulation.versions_of([first, second])))

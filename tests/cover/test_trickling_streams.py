"""Test that slow streams are not cut, and stalled ones that send bytes are left."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.version_fixtures import running_version_simulation
from tests.common.waiting import wait_until

EVENTS = 6
PAUSE_LIMIT_S = 1.0
"""The pause between events that the route's callers accept."""


class TricklingStreamTest(TestCase):
    @parameterized.expand([(after,) for after in range(1, EVENTS)])
    @run_async
    async def test_a_stream_that_sends_bytes_but_no_event_goes_on_elsewhere(
        self, after
    ):
        async with running_version_simulation(
            ("v1",) * 3, instances=1, events=EVENTS, trickle_after=after
        ) as simulation:
            clock = asyncio.get_running_loop().time
            began_at = clock()
            status, events = await simulation.stream("entry-0", "q1", EVENTS)
            self.assertEqual(200, status)
            self.assertEqual(list(range(1, EVENTS + 1)), events)
            self.assertLess(clock() - began_at, 2 * PAUSE_LIMIT_S)
            upstreams = simulation.upstreams
            await wait_until(lambda: sum(u.caller_disconnects for u in upstreams) == 1)

    @parameterized.expand([(0.25,), (0.5,), (0.75,)])
    @run_async
    async def test_a_stream_whose_pauses_are_accepted_stays_where_it_is(self, share):
        async with running_version_simulation(
            ("v1",) * 3,
            instances=1,
            events=EVENTS,
            event_gap_s=share * PAUSE_LIMIT_S,
        ) as simulation:
            for upstream in simulation.upstreams:
                upstream.report = replace(upstream.report, events_made={"q1": 1})
            _, events = await simulation.stream("entry-0", "q1", EVENTS)
            self.assertEqual(list(range(1, EVENTS + 1)), events)
            runs = [run for each in simulation.upstreams for run in each.runs]
            self.assertEqual(["q1"], runs)

"""Test that parts of prompts that crash upstreams are found and no longer sent."""

from __future__ import annotations

import asyncio
import math
import time

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.crash_fixtures import running_crash_simulation
from turmericusher.platform.codec import parse_shared_parts

FIRST, BAD, SOUND = "f0f0f0f0", "badbadba", "50545054"
SETTLE_S = 3.0
"""Seconds after the fifth crash from which on the part must be known."""

MAX_LATE_SENDS = 3
TRAFFIC_S = 9.0
REQUEST_INTERVAL_S = 0.15


class SharedPartsTest(TestCase):
    @parameterized.expand(
        [
            ("three parts", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", 2),
            ("one part, which is the request's own", "5c1e07a2:800", 0),
            ("spaces", " 5c1e07a2:800 , 91bd3f06:410", 1),
            ("upper case", "5C1E07A2:800,91bd3f06:410", 1),
            ("no header", None, 0),
            ("empty", "", 0),
            ("an entry without tokens", "5c1e07a2,91bd3f06:410", 0),
            ("an entry without an id", ":800,91bd3f06:410", 0),
            ("tokens that are no number", "5c1e07a2:many,91bd3f06:410", 0),
        ]
    )
    def test_all_parts_but_the_last_are_shared(self, _, header, count):
        expected = ("5c1e07a2", "91bd3f06")[:count]
        self.assertEqual(expected, parse_shared_parts(header))


class CrashingPartTest(TestCase):
    @run_async
    async def test_requests_with_a_part_that_crashes_upstreams_stop_reaching_them(self):
        async with running_crash_simulation(
            events=10,
            event_gap_s=0.15,
            first_event_s=0.1,
            crashing_parts=frozenset({BAD}),
        ) as simulation:
            sent_late = 0
            sound_calls = []
            ends_at = time.monotonic() + TRAFFIC_S
            async with asyncio.TaskGroup() as tasks:
                while (now := time.monotonic()) < ends_at:
                    number = simulation.request_count
                    middle = BAD if number % 3 == 0 else SOUND
                    call = simulation.call(number % 3, FIRST, middle)
                    task = tasks.create_task(call)
                    if middle == SOUND and now > ends_at - TRAFFIC_S / 3:
                        sound_calls.append(task)
                    received = len(simulation.received(BAD))
                    await asyncio.sleep(REQUEST_INTERVAL_S)
                    fifth_crash_at = (*simulation.crash_times, *[math.inf] * 5)[4]
                    if now - fifth_crash_at > SETTLE_S:
                        sent_late += len(simulation.received(BAD)) - received
            self.assertLessEqual(sent_late, MAX_LATE_SENDS)
            served = sum(task.result().is_whole for task in sound_calls)
            self.assertGreater(served, len(sound_calls) / 2)

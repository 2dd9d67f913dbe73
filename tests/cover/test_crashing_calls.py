"""Test that a plain call that crashes upstreams stops reaching them."""

from __future__ import annotations

import asyncio
import math
import time

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.crash_fixtures import (
    BAD_NAME,
    Replacement,
    running_crash_simulation,
)
from tests.common.relay_fixtures import PATHS
from turmericusher.decisions.routing import RequestKind
from turmericusher.standins.platform_upstream import CrashSign

SETTLE_S = 3.0
"""Seconds after the third crash from which on the request must be known."""

MAX_LATE_SENDS = 3
TRAFFIC_S = 14.0
REQUEST_INTERVAL_S = 0.25
WAIT_MS = {RequestKind.IDEMPOTENT: 400, RequestKind.RESUMABLE_STREAM: 3_000}
CRASH_AFTER_S = 0.1
RESTART_S = 1.2
LISTED_S = 2.4
"""Seconds for which the list shows a crashed upstream: two heartbeats of 1.2 s."""


def replacements():
    """Return the ways in which crashed upstreams are seen and replaced."""
    kinds = [
        (CrashSign.RESET, "plain_service"),
        (CrashSign.RESET_ONCE, "plain_service"),
        (CrashSign.SILENCE, "plain_service"),
        (CrashSign.SILENCE, "engine"),
    ]
    places = {
        "elsewhere": Replacement(RESTART_S, LISTED_S),
        "same_address": Replacement(RESTART_S, LISTED_S, keeps_address=True),
        "same_name": Replacement(RESTART_S, keeps_address=True, keeps_name=True),
    }
    return [
        (f"{sign.value}_{kind}_{place}", sign, kind == "engine", replacement)
        for sign, kind in kinds
        for place, replacement in places.items()
    ]


class CrashingCallTest(TestCase):
    @parameterized.expand(replacements())
    @run_async
    async def test_a_call_that_crashes_upstreams_stops_reaching_them(
        self, _, sign, makes_reports, replacement
    ):
        await self.check(RequestKind.IDEMPOTENT, sign, makes_reports, replacement)

    # Streams that crash each engine that begins them come again at any instance.
    @parameterized.expand([(sign.value, sign) for sign in CrashSign])
    @run_async
    async def test_a_stream_that_crashes_upstreams_stops_reaching_them(self, _, sign):
        replacement = Replacement(RESTART_S, keeps_address=True, keeps_name=True)
        await self.check(RequestKind.RESUMABLE_STREAM, sign, True, replacement)

    async def check(self, kind, sign, makes_reports, replacement):
        """Check that few requests run late that crash their upstreams."""
        async with running_crash_simulation(
            instances=4,
            upstreams=3,
            replacement=replacement,
            first_event_s=CRASH_AFTER_S,
            events=2 if kind.is_stream else 0,
            crashing_targets=frozenset({f"{PATHS[kind]}{BAD_NAME}"}),
            crash_sign=sign,
            makes_reports=makes_reports,
        ) as simulation:
            sound, late = [], 0
            ends_at = time.monotonic() + TRAFFIC_S
            async with asyncio.TaskGroup() as tasks:
                while (now := time.monotonic()) < ends_at:
                    number = simulation.request_count
                    name = BAD_NAME if number % 2 == 0 else "sound"
                    call = simulation.call_named(
                        number // 2 % 4, name, WAIT_MS[kind], kind
                    )
                    task = tasks.create_task(call)
                    if name != BAD_NAME and now > ends_at - TRAFFIC_S / 3:
                        sound.append(task)
                    sent = simulation.named_runs(BAD_NAME, kind)
                    await asyncio.sleep(REQUEST_INTERVAL_S)
                    third_crash_at = (*simulation.crash_times, *[math.inf] * 3)[2]
                    if now - third_crash_at > SETTLE_S:
                        late += simulation.named_runs(BAD_NAME, kind) - sent
            self.assertLessEqual(late, MAX_LATE_SENDS)
            served = sum(task.result().status == 200 for task in sound)
            self.assertGreater(served, len(sound) / 2)

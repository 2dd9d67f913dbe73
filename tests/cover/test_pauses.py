"""Test that an upstream that asks for a pause gets it, on every path of sends."""

from __future__ import annotations

import asyncio

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE
from tests.common.relay_fixtures import running_relay_simulation

PAUSE_S = 2.0
TOLD_AFTER_S = 0.5
"""Seconds after its refusal from which on an upstream that asks for a pause gets it."""

MAX_SENDS = 2
"""Requests that may reach it within the rest of the pause."""

TRAFFIC_S = 3.0
REQUEST_INTERVAL_S = 0.05


def excess_windows(standin):
    """Return how many requests came in each pause that an upstream asked for."""
    times = [call.at for call in standin.calls]
    return [
        count
        for asked_at in times
        if (
            count := sum(
                asked_at + TOLD_AFTER_S < at < asked_at + PAUSE_S for at in times
            )
        )
        > MAX_SENDS
    ]


class PauseTest(TestCase):
    @parameterized.expand(
        [
            (f"{count}_{kind.value}", count, kind)
            for count in (1, 3)
            for kind in (IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE)
        ]
    )
    @run_async
    async def test_upstreams_that_ask_for_a_pause_get_it(self, _, count, kind):
        async with running_relay_simulation(upstreams=3) as simulation:
            for standin in simulation.upstreams[:count]:
                standin.pause = str(PAUSE_S)
            for standin in simulation.upstreams:
                standin.events = 3 if kind.is_stream else 0
            async with asyncio.TaskGroup() as tasks:
                calls = []
                for _ in range(round(TRAFFIC_S / REQUEST_INTERVAL_S)):
                    calls.append(tasks.create_task(simulation.call(kind, 1_000)))
                    await asyncio.sleep(REQUEST_INTERVAL_S)
            for standin in simulation.upstreams[:count]:
                self.assertEqual([], excess_windows(standin))
            statuses = {call.result().status for call in calls}
            self.assertEqual({200} if count < 3 else {503}, statuses)

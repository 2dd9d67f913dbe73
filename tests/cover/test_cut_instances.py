"""Test that callers of instances that are cut off from upstreams are served."""

from __future__ import annotations

import asyncio

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.cut_fixtures import CutKind, call, cut, cut_ports, entrypoints_at
from tests.common.relay_events import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAM
from tests.common.version_fixtures import running_version_simulation

STABLE_S = 3.0
"""Seconds after the beginning of a cut from which on its callers must be served."""

SERVED_SHARE = 2 / 3
"""Smallest share of the requests that are served elsewhere that must be here."""

ONE_VERSION = ("v1",) * 6
KINDS = (IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAM)
REQUESTS = 12
PAUSE_S = 0.25
AT_ONCE_S = 0.15
"""Seconds within which a refusal counts as immediate."""


async def send_requests(simulation, instance, count=REQUESTS, kinds=KINDS):
    """Send requests of all kinds to an instance, some apart; return the answers."""
    answers = []
    for number in range(count):
        kind = kinds[number % len(kinds)]
        answers.append(await call(simulation, instance, kind, f"{instance}-{number}"))
        await asyncio.sleep(PAUSE_S)
    return answers


def served(answers):
    """Return how many of these answers are successes."""
    return sum(answer.status == 200 for answer in answers)


class CutInstanceTest(TestCase):
    @parameterized.expand(
        [
            ("one_hangs", ("entry-0",), CutKind.HANG),
            ("one_is_reset", ("entry-0",), CutKind.RESET),
            ("one_lives_on", ("entry-0",), CutKind.NEW_ONLY),
            ("all_but_one_hang", ("entry-0", "entry-1"), CutKind.HANG),
            ("all_but_one_are_reset", ("entry-0", "entry-1"), CutKind.RESET),
        ]
    )
    @run_async
    async def test_first_tries_at_instances_cut_off_from_upstreams_are_served_if(
        self, _, names, how
    ):
        async with running_version_simulation(ONE_VERSION, events=3) as simulation:
            cut(cut_ports(simulation), names, how)
            await send_requests(simulation, "entry-0", round(STABLE_S / PAUSE_S))
            here, there = await asyncio.gather(
                send_requests(simulation, "entry-0"),
                send_requests(simulation, "entry-2"),
            )
            self.assertGreaterEqual(served(here), SERVED_SHARE * served(there))

    @run_async
    async def test_callers_are_not_told_to_use_an_instance_cut_off_from_upstreams(self):
        async with running_version_simulation(ONE_VERSION, events=3) as simulation:
            ports = cut_ports(simulation)
            cut(ports, ["entry-0"], CutKind.HANG)
            await send_requests(simulation, "entry-0", round(STABLE_S / PAUSE_S))
            listed = await entrypoints_at(simulation, "entry-1")
            self.assertEqual({"entry-1", "entry-2"}, listed)

    @run_async
    async def test_requests_are_refused_at_once_if_no_instance_reaches_any_upstream(
        self,
    ):
        async with running_version_simulation(ONE_VERSION, events=3) as simulation:
            cut(cut_ports(simulation), simulation.instances, CutKind.HANG)
            await asyncio.gather(
                *(
                    send_requests(simulation, name, round(STABLE_S / PAUSE_S))
                    for name in simulation.instances
                )
            )
            answers = await send_requests(simulation, "entry-0")
            self.assertEqual({503}, {answer.status for answer in answers})
            self.assertLess(max(answer.took_s for answer in answers), AT_ONCE_S)
            self.assertTrue(all(answer.retry_after_s for answer in answers))
            self.assertEqual(
                [], [each for each in answers if "overloaded" in each.body]
            )

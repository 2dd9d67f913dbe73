"""Test that no request goes to an upstream whose answer said that it leaves."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE,
    STREAM,
)
from tests.common.relay_fixtures import (
    UPSTREAM_BORN,
    encode_upstream_entry,
    running_relay_simulation,
)
from tests.common.waiting import wait_until
from turmericusher.platform.names import UPSTREAM_PREFIX
from turmericusher.standins.platform_upstream import UpstreamFault

KINDS = (IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAM)
CALLS_AFTERWARDS = 5
MAX_CALLS_UNTIL_MARK = 60


async def call_until_marked(simulation, kind, index=0):
    """Send requests until an upstream that leaves has answered anything."""
    for _ in range(MAX_CALLS_UNTIL_MARK):
        await simulation.call(kind)
        marks = simulation.node.shared.leaving.marks
        if any(mark.upstream == f"u{index}" for mark in marks):
            return
    raise AssertionError("the upstream has not answered")


async def call_all_kinds(simulation):
    """Send some requests of each kind; return their answers."""
    return [
        await simulation.call(kind) for _ in range(CALLS_AFTERWARDS) for kind in KINDS
    ]


class LeavingAnswerTest(TestCase):
    @parameterized.expand(
        [
            ("an_answer", IDEMPOTENT, None, 0),
            ("a_failure", NON_IDEMPOTENT, UpstreamFault.FAIL, 0),
            ("a_refusal", IDEMPOTENT, UpstreamFault.SHED, 0),
            ("an_answer_that_breaks_off", NON_IDEMPOTENT, UpstreamFault.CUT, 0),
            ("a_stream", STREAM, None, 3),
            ("a_load_report", RESUMABLE, None, 3),
        ]
    )
    @run_async
    async def test_no_request_reaches_an_upstream_that_leaves_after(
        self, _, kind, fault, events
    ):
        async with running_relay_simulation() as simulation:
            for upstream in simulation.upstreams:
                upstream.events = events
            leaving = simulation.upstreams[0]
            leaving.is_leaving = True
            leaving.faults = [fault] * MAX_CALLS_UNTIL_MARK if fault else []
            await call_until_marked(simulation, kind)
            received = len(leaving.calls)
            answers = await call_all_kinds(simulation)
            self.assertEqual(received, len(leaving.calls))
            self.assertEqual([200] * len(answers), [each.status for each in answers])

    @run_async
    async def test_no_request_reaches_an_upstream_that_leaves_while_the_store_is_away(
        self,
    ):
        async with running_relay_simulation() as simulation:
            simulation.store.store.faults.down = True
            leaving = simulation.upstreams[0]
            leaving.is_leaving = True
            await call_until_marked(simulation, IDEMPOTENT)
            received = len(leaving.calls)
            await call_all_kinds(simulation)
            self.assertEqual(received, len(leaving.calls))

    @run_async
    async def test_callers_are_served_by_the_one_upstream_that_does_not_leave(self):
        async with running_relay_simulation() as simulation:
            for index in range(2):
                simulation.upstreams[index].is_leaving = True
                await call_until_marked(simulation, IDEMPOTENT, index)
            received = [len(each.calls) for each in simulation.upstreams[:2]]
            answers = await call_all_kinds(simulation)
            self.assertEqual([200] * len(answers), [each.status for each in answers])
            self.assertEqual(
                received, [len(each.calls) for each in simulation.upstreams[:2]]
            )

    @run_async
    async def test_an_upstream_that_starts_again_is_used_until_the_list_is_outdated(
        self,
    ):
        async with running_relay_simulation(1) as simulation:
            (upstream,) = simulation.upstreams
            old = encode_upstream_entry(upstream.address, 0)
            new = encode_upstream_entry(upstream.address, 0, born=UPSTREAM_BORN + 1)
            listed = simulation.node.fleet.upstreams.entries
            upstream.is_leaving = True
            await call_until_marked(simulation, IDEMPOTENT)
            refused = await simulation.call(IDEMPOTENT)
            upstream.is_leaving = False
            statuses = []
            for entry, born in ((new, UPSTREAM_BORN + 1), (old, UPSTREAM_BORN)):
                simulation.store.store.write(f"{UPSTREAM_PREFIX}u0", entry)
                await wait_until(lambda b=born: listed["u0"].incarnation == str(b))
                statuses.append((await simulation.call(IDEMPOTENT)).status)
            self.assertEqual([503, 200, 503], [refused.status, *statuses])

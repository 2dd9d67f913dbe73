"""Test what an unexpected error in the work for one request costs and logs."""

from __future__ import annotations

import asyncio
import gc
import io
import warnings
from types import SimpleNamespace
from unittest.mock import patch

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import NON_IDEMPOTENT, RESUMABLE
from tests.common.relay_fixtures import (
    encode_upstream_entry,
    make_relay_shared,
    make_test_relay,
    make_upstream,
    running_relay_simulation,
)
from tests.common.waiting import wait_until
from turmericusher.api.relay import Exchange
from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import (
    CheckHolder,
    ClaimTrial,
    CopyMemory,
    FindVersion,
    HolderChecked,
    LoadsReported,
    MemoryCopied,
    ProbeUpstream,
    QueryLoads,
    TrialClaimed,
    UpstreamProbed,
    VersionFound,
)
from turmericusher.decisions.routing import NewestTable
from turmericusher.logs import logging_to
from turmericusher.platform.names import UPSTREAM_PREFIX
from turmericusher.platform.records import decode_record
from turmericusher.ports.keyvalue import StoredValue, WatchEvent
from turmericusher.standins.platform_upstream import UpstreamFault
from turmericusher.tasks.relay import RelayOwner
from turmericusher.tasks.relay_fleet import MAX_FAILURES, RelayFleet

FIRST, SECOND = make_upstream(0), make_upstream(1)


class Failing:
    """Stands for any part of an instance; whatever is asked of it fails."""

    def __getattr__(self, name):
        raise RuntimeError(f"unexpected: {name}")


def make_failing_owner(shared=None):
    """Return the owner of a stream whose instance fails in all its parts."""
    relay = make_test_relay(RESUMABLE, shared or make_relay_shared())
    context = SimpleNamespace(shared=relay.shared, query_report=failing_query)
    context.port = context.versions = context.crash_reports = Failing()
    return RelayOwner(context, relay)


async def failing_query(upstream):
    """Fail as a query of a report would that has a bug."""
    raise RuntimeError("unexpected: query_report")


class HelperTest(TestCase):
    @parameterized.expand(
        [
            (ProbeUpstream(1, FIRST), UpstreamProbed),
            (ClaimTrial("part-a", FIRST), TrialClaimed),
            (FindVersion("q0", "s"), VersionFound),
            (QueryLoads((FIRST, SECOND)), LoadsReported),
            (CopyMemory(1, FIRST, SECOND), MemoryCopied),
            (CheckHolder(1, SECOND), HolderChecked),
        ]
    )
    @run_async
    async def test_a_request_does_not_wait_for_an_answer_that_does_not_come(
        self, action, answer
    ):
        logs = io.StringIO()
        with logging_to(logs):
            owner = make_failing_owner()
            owner.carry_out(action)
            async with asyncio.timeout(2.0):
                self.assertIsInstance(await owner.inbox.get(), answer)
        self.assertIn("event=helper_failed", logs.getvalue())

    @run_async
    async def test_a_stream_whose_version_was_not_found_is_not_joined_from_two(self):
        shared = make_relay_shared()
        for version in ("v1", "v2"):
            shared.versions.seen_at.setdefault("s", {})[version] = float("inf")
        owner = make_failing_owner(shared)
        owner.carry_out(FindVersion("q0", "s"))
        async with asyncio.timeout(2.0):
            self.assertFalse((await owner.inbox.get()).found.may_go_on)

    @run_async
    async def test_a_helper_that_has_not_begun_ends_without_a_warning(self):
        owner = make_failing_owner()
        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always")
            owner.carry_out(CheckHolder(1, SECOND))
            await owner.close()
            gc.collect()
        self.assertEqual([], [str(each.message) for each in caught])


class RequestTest(TestCase):
    @run_async
    async def test_an_attempt_ends_with_its_request_although_its_end_fails(self):
        owner = make_failing_owner()
        running = asyncio.create_task(asyncio.sleep(60.0))
        owner.attempts[1] = running

        def fail(relay, now):
            raise RuntimeError("unexpected")

        with patch.object(Relay, "close", fail):
            self.assertIn("unexpected", str(await exception_of(owner.close())))
        self.assertTrue(running.cancelled())

    @run_async
    async def test_an_unexpected_error_is_logged_and_costs_only_its_request(self):
        logs = io.StringIO()

        async def fail(exchange, request, routed):
            raise RuntimeError("unexpected")

        async with running_relay_simulation(1) as simulation:
            with logging_to(logs), patch.object(Exchange, "relay", fail):
                answer = await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(500, answer.status)
            self.assertEqual(200, (await simulation.call(NON_IDEMPOTENT)).status)
        self.assertIn("event=request_error id=q1 error=", logs.getvalue())

    @run_async
    async def test_work_ends_with_a_request_that_failed_unexpectedly(self):
        async with running_relay_simulation(1) as simulation:
            (upstream,) = simulation.upstreams
            upstream.faults = [UpstreamFault.HANG]

            def fail(relay, now):
                raise RuntimeError("unexpected")

            with patch.object(Relay, "tick", fail):
                call = asyncio.create_task(simulation.call(NON_IDEMPOTENT, 500))
                await wait_until(lambda: upstream.runs)
                self.assertEqual(500, (await call).status)


class FleetTest(TestCase):
    @parameterized.expand(
        [
            (
                "a change",
                lambda fleet, entries: fleet.store_changed(
                    [WatchEvent(e.key, e.value, e.revision) for e in entries], 1.0
                ),
            ),
            (
                "a read of all",
                lambda fleet, entries: fleet.store_read(tuple(entries), 1.0),
            ),
        ]
    )
    def test_an_unexpected_error_in_one_entry_costs_only_that_one_in(self, _, apply):
        def decode_all_but_one(key, value):
            if key.endswith("u1"):
                raise RuntimeError("unexpected")
            return decode_record(key, value)

        shared = make_relay_shared(0)
        fleet = RelayFleet(shared, NewestTable(), decode_all_but_one)
        entries = [
            StoredValue(
                f"{UPSTREAM_PREFIX}u{n}",
                encode_upstream_entry(f"127.0.0.1:{n + 1}", n),
                n + 1,
            )
            for n in range(3)
        ]
        logs = io.StringIO()
        with logging_to(logs):
            # What follows the store applies all of them again after an error.
            for _ in range(MAX_FAILURES - 1):
                self.assertRaises(RuntimeError, apply, fleet, entries)
                self.assertEqual({"u0", "u2"}, set(shared.selector.upstreams))
            apply(fleet, entries)
        self.assertEqual({"u0", "u2"}, set(shared.selector.upstreams))
        self.assertIn(
            f"event=entry_not_applied key={UPSTREAM_PREFIX}u1", logs.getvalue()
        )


async def exception_of(work):
    """Return the exception that a coroutine raises, or None."""
    try:
        await work
    except Exception as error:
        return error
    return None

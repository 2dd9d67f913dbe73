"""Test the adapter of the platform's store against a stand-in with its wire format."""

import asyncio
import time

from parameterized import parameterized
from testtools import ExpectedException, TestCase

from tests.common.asynchronous import run_async
from tests.common.waiting import wait_until
from turmericusher.errors import (
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from turmericusher.platform.store import CALL_TIMEOUT_S, open_platform_store
from turmericusher.platform.store_messages import READ_RANGE, WATCH
from turmericusher.ports.keyvalue import ABSENT
from turmericusher.standins.platform_store import SlowLink, running_platform_store

WATCH_PAUSE_S = 0.3


async def collect_events(store, events, from_revision=1):
    async for event in store.watch("a/", from_revision):
        events.append(event)


class PlatformStoreTest(TestCase):
    @run_async
    async def test_a_prefix_is_read_page_by_page(self):
        async with running_platform_store() as standin:
            for number in range(7):
                standin.store.write(f"a/{number}", str(number).encode())
            standin.store.write("b/1", b"other")
            standin.faults.page_size = 3
            async with open_platform_store(standin.address) as store:
                snapshot = await store.get_prefix("a/")
            self.assertEqual(7, len(snapshot.values))
            self.assertEqual(standin.store.revision, snapshot.revision)
            self.assertEqual(3, standin.calls.count(READ_RANGE))

    @run_async
    async def test_only_the_first_of_two_swaps_succeeds(self):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address) as store,
        ):
            first = await store.compare_and_swap("a/1", ABSENT, b"x")
            second = await store.compare_and_swap("a/1", ABSENT, b"y")
            self.assertEqual((True, False), (first.succeeded, second.succeeded))
            self.assertEqual(b"x", second.current.value)
            self.assertEqual(b"x", (await store.get("a/1")).value)
            removal = await store.compare_and_swap("a/1", first.revision, None)
            self.assertTrue(removal.succeeded)
            self.assertIsNone(await store.get("a/1"))

    @run_async
    async def test_a_revoked_lease_deletes_its_keys(self):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address) as store,
        ):
            lease = await store.grant_lease(4)
            await store.compare_and_swap("a/1", ABSENT, b"x", lease)
            self.assertEqual(4, await store.renew_lease(lease))
            await store.revoke_lease(lease)
            self.assertNotIn("a/1", standin.store.values)
            self.assertEqual(0, await store.renew_lease(lease))

    @run_async
    async def test_a_lost_reply_and_an_outage_raise_different_errors(self):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address) as store,
        ):
            standin.store.faults.lose_replies = 1
            with self.assertRaises(StoreOutcomeUnknownError):
                await store.compare_and_swap("a/1", ABSENT, b"x")
            self.assertEqual(b"x", standin.store.values["a/1"].value)
            standin.store.faults.down = True
            for call in (
                store.get("a/1"),
                store.get_prefix("a/"),
                store.grant_lease(3),
            ):
                with self.assertRaises(StoreUnavailableError):
                    await call

    @run_async
    async def test_a_call_to_a_store_that_does_not_answer_times_out(self):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address) as store,
        ):
            standin.faults.silent = True
            with self.assertRaises(StoreUnavailableError):
                await store.get("a/1")

    @run_async
    async def test_a_call_lasts_while_its_answer_arrives_and_ends_when_it_stops(self):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address) as store,
        ):
            standin.store.write("a/1", b"x" * 150_000)
            standin.link = SlowLink(100_000)
            started_at = time.monotonic()
            self.assertEqual(150_000, len((await store.get("a/1")).value))
            self.assertGreater(time.monotonic() - started_at, 1.5 * CALL_TIMEOUT_S)
            standin.link = SlowLink(100_000, stops_after_bytes=50_000)
            started_at = time.monotonic()
            with ExpectedException(StoreUnavailableError):
                await store.get("a/1")
            self.assertLess(time.monotonic() - started_at, 2.5 * CALL_TIMEOUT_S)

    @run_async
    async def test_a_write_to_an_unreachable_store_has_not_taken_effect(self):
        async with running_platform_store() as standin:
            address = standin.address
        async with open_platform_store(address) as store:
            with self.assertRaises(StoreUnavailableError):
                await store.compare_and_swap("a/1", ABSENT, b"x")

    @run_async
    async def test_a_watch_from_a_compacted_revision_raises_an_error(self):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address) as store,
        ):
            standin.faults.oldest_revision = 5
            with self.assertRaises(StoreHistoryLostError):
                await collect_events(store, [])

    @parameterized.expand(
        [("shorter than one wait", 0.05), ("longer than one wait", 0.5)]
    )
    @run_async
    async def test_a_watch_delivers_each_event_once_and_in_order(self, _, pause_s):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address, watch_wait_s=0.2) as store,
        ):
            events = []
            watch_task = asyncio.create_task(collect_events(store, events))
            for number in range(3):
                standin.store.write(f"a/{number}", b"x")
                await asyncio.sleep(pause_s)
            standin.store.write("a/1", None)
            await wait_until(lambda: len(events) == 4, 2.0)
            watch_task.cancel()
            self.assertIsNone(events[-1].value)
            revisions = [event.revision for event in events]
            self.assertEqual(sorted(set(revisions)), revisions)

    @run_async
    async def test_changes_in_quick_succession_share_watch_calls(self):
        # The engines of a failure domain that crashed together are listed again one
        # after the other. Without batching, each entry would wake every instance.
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address, 5.0, WATCH_PAUSE_S) as store,
        ):
            events = []
            watch_task = asyncio.create_task(collect_events(store, events))
            for number in range(20):
                standin.store.write(f"a/{number}", b"x")
                await asyncio.sleep(WATCH_PAUSE_S / 20)
            await wait_until(lambda: len(events) == 20, 2.0)
            watch_task.cancel()
            self.assertTrue(standin.calls.count(WATCH) <= 4, standin.calls)

"""Test the adapter of the platform's store against a stand-in with its wire format."""

import asyncio

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.waiting import wait_until
from turmericusher.errors import (
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from turmericusher.platform.store import open_platform_store
from turmericusher.platform.store_messages import READ_RANGE, WATCH
from turmericusher.ports.keyvalue import ABSENT
from turmericusher.standins.platform_store import running_platform_store

PAUSE_S = 0.3


async def collect(store, into, from_revision=1):
    async for event in store.watch("a/", from_revision):
        into.append(event)


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
    async def test_a_swap_succeeds_once(self):
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
    async def test_a_lease_ends_with_its_keys(self):
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
    async def test_lost_replies_and_outages_have_their_own_errors(self):
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
    async def test_a_silent_store_is_given_up(self):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address) as store,
        ):
            standin.faults.silent = True
            with self.assertRaises(StoreUnavailableError):
                await store.get("a/1")

    @run_async
    async def test_a_store_that_is_not_there_has_done_nothing(self):
        async with running_platform_store() as standin:
            address = standin.address
        async with open_platform_store(address) as store:
            with self.assertRaises(StoreUnavailableError):
                await store.compare_and_swap("a/1", ABSENT, b"x")

    @run_async
    async def test_history_that_is_gone_is_told(self):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address) as store,
        ):
            standin.faults.oldest_revision = 5
            with self.assertRaises(StoreHistoryLostError):
                await collect(store, [])

    @parameterized.expand(
        [("shorter than one wait", 0.05), ("longer than one wait", 0.5)]
    )
    @run_async
    async def test_a_watch_goes_on_behind_what_it_saw(self, _, pause_s):
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address, watch_wait_s=0.2) as store,
        ):
            seen = []
            watching = asyncio.create_task(collect(store, seen))
            for number in range(3):
                standin.store.write(f"a/{number}", b"x")
                await asyncio.sleep(pause_s)
            standin.store.write("a/1", None)
            await wait_until(lambda: len(seen) == 4, 2.0)
            watching.cancel()
            self.assertIsNone(seen[-1].value)
            revisions = [event.revision for event in seen]
            self.assertEqual(sorted(set(revisions)), revisions)

    @run_async
    async def test_changes_that_come_together_cost_one_call(self):
        # The engines of a failure domain that crashed together are listed again one
        # after the other. Without batching, each entry would wake every instance.
        async with (
            running_platform_store() as standin,
            open_platform_store(standin.address, 5.0, PAUSE_S) as store,
        ):
            seen = []
            watching = asyncio.create_task(collect(store, seen))
            for number in range(20):
                standin.store.write(f"a/{number}", b"x")
                await asyncio.sleep(PAUSE_S / 20)
            await wait_until(lambda: len(seen) == 20, 2.0)
            watching.cancel()
            self.assertTrue(standin.calls.count(WATCH) <= 4, standin.calls)

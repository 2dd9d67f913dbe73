"""The store adapter reports exactly whether a failed call may have taken effect."""

import asyncio
import json
from collections.abc import AsyncIterator, Coroutine
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, replace

import aiohttp
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from turmericusher.errors import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from turmericusher.ports.etcd import EtcdStore, open_etcd_store
from turmericusher.ports.etcd_messages import prefix_end
from turmericusher.ports.keyvalue import ABSENT, KeyValueStore, WatchEvent
from turmericusher.standins.store import MemoryStore
from turmericusher.standins.store_server import ConnectionFaults, running_store

LONG_TIMEOUT_S = 20.0
SCENARIO_LIMIT_S = 60.0
SHORT_TIMEOUT_S = 0.25
STALL_TIMEOUT_S = 0.1
WATCH_OPEN_TIMEOUT_S = 3.0
CLOSED_ADDRESS = "127.0.0.1:1"

Unavailable = StoreUnavailableError
Unknown = StoreOutcomeUnknownError


@dataclass
class StoreHarness:
    """A store server and two adapters to it, one of them with a short timeout."""

    address: str
    memory: MemoryStore
    faults: ConnectionFaults
    store: EtcdStore
    short_timeout_store: EtcdStore

    async def set_faults(self, **faults: object) -> None:
        """Set faults by the server's control route."""
        url = f"http://{self.address}/control/faults"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=faults) as reply,
        ):
            assert reply.status == 200, await reply.text()


@asynccontextmanager
async def running_harness() -> AsyncIterator[StoreHarness]:
    """Run a store server and its adapters."""
    memory, faults = MemoryStore(), ConnectionFaults()
    async with running_store("127.0.0.1", 0, memory, faults) as address:
        url = f"http://{address}"
        async with (
            open_etcd_store(url, LONG_TIMEOUT_S, STALL_TIMEOUT_S) as store,
            open_etcd_store(
                url, SHORT_TIMEOUT_S, STALL_TIMEOUT_S
            ) as short_timeout_store,
        ):
            yield StoreHarness(address, memory, faults, store, short_timeout_store)


def run_with_timeout(scenario: Coroutine[None, None, None]) -> None:
    """Run a scenario, and fail it if it takes longer than `SCENARIO_LIMIT_S`."""
    asyncio.run(asyncio.wait_for(scenario, SCENARIO_LIMIT_S))


async def next_events(
    events: AsyncIterator[WatchEvent], count: int
) -> list[WatchEvent]:
    return [await anext(events) for _ in range(count)]


async def write(store: KeyValueStore) -> None:
    await store.compare_and_swap("/a", ABSENT, b"1")


async def read(store: KeyValueStore) -> None:
    await store.get("/a")


async def read_prefix(store: KeyValueStore) -> None:
    await store.get_prefix("/")


async def grant(store: KeyValueStore) -> None:
    await store.grant_lease(5)


async def renew(store: KeyValueStore) -> None:
    await store.renew_lease(5)


async def revoke(store: KeyValueStore) -> None:
    await store.revoke_lease(5)


async def start_watch(store: KeyValueStore) -> None:
    async with aclosing(store.watch("/", 1)) as events:
        await anext(events)


READS = (read, read_prefix, start_watch)
WRITES = (write, grant, renew, revoke)
FAULTS = [
    ("down", {"down": True}, Unavailable, False),
    ("slow", {"delay_s": 30}, Unknown, False),
    ("silent", {"silent": True}, Unknown, True),
    ("request_dropped", {"drop_requests": 1}, Unknown, False),
    ("not_json", {"garbage": "<html>"}, Unknown, True),
    ("empty_body", {"garbage": " "}, Unknown, True),
    ("empty_object", {"garbage": "{}"}, Unknown, True),
    ("list", {"garbage": "[1]"}, Unknown, True),
    (
        "revision_zero",
        {"garbage": '{"header":{"revision":"0"},"succeeded":true,"ID":"0"}'},
        Unknown,
        True,
    ),
    ("error_line", {"garbage": '{"error":{"grpc_code":14}}'}, Unknown, True),
]


class EtcdTest(TestCase):
    def test_a_swapped_value_is_read_back(self) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                store = harness.store
                first = await store.compare_and_swap("/p/a", ABSENT, b"\x00\xff")
                late = await store.compare_and_swap("/p/a", ABSENT, b"late")
                second = await store.compare_and_swap("/p/é", ABSENT, b"")
                self.assertTrue(first.succeeded and second.succeeded)
                self.assertFalse(late.succeeded)
                self.assertEqual(first.revision, late.current.revision)
                self.assertEqual(b"\x00\xff", (await store.get("/p/a")).value)
                snapshot = await store.get_prefix("/p/")
                self.assertEqual(["/p/a", "/p/é"], [v.key for v in snapshot.values])
                self.assertEqual(second.revision, snapshot.revision)
                self.assertIsNone(await store.get("/p"))
                gone = await store.compare_and_swap("/p/a", first.revision, None)
                self.assertTrue(gone.succeeded)
                self.assertIsNone(await store.get("/p/a"))
                again = await store.compare_and_swap("/p/a", first.revision, b"3")
                self.assertEqual((False, None), (again.succeeded, again.current))

        run_with_timeout(scenario())

    def test_an_expired_lease_deletes_its_keys_and_cannot_be_renewed(self) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                lease = await harness.store.grant_lease(60)
                await harness.store.compare_and_swap("/held", ABSENT, b"me", lease)
                self.assertEqual(lease, (await harness.store.get("/held")).lease)
                self.assertEqual(60, await harness.store.renew_lease(lease))
                url = f"http://{harness.address}/control/leases/{lease}/expire"
                async with aiohttp.ClientSession() as session:
                    await session.post(url)
                self.assertEqual(0, await harness.store.renew_lease(lease))
                self.assertIsNone(await harness.store.get("/held"))
                other = await harness.store.grant_lease(60)
                await harness.store.revoke_lease(other)
                self.assertEqual(0, await harness.store.renew_lease(other))

        run_with_timeout(scenario())

    def test_a_watch_delivers_each_change_once_and_in_order(self) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                store = harness.store
                first = await store.compare_and_swap("/p/a", ABSENT, b"x" * 999_999)
                async with aclosing(store.watch("/p/", first.revision)) as events:
                    await store.compare_and_swap("/other", ABSENT, b"unseen")
                    seen = await next_events(events, 1)
                    # Long enough for several streams to reach their stall timeout.
                    await asyncio.sleep(3 * STALL_TIMEOUT_S)
                    last = await store.compare_and_swap("/p/a", first.revision, None)
                    seen += await next_events(events, 1)
                expected = [
                    WatchEvent("/p/a", b"x" * 999_999, first.revision),
                    WatchEvent("/p/a", None, last.revision),
                ]
                self.assertEqual(expected, seen)

        run_with_timeout(scenario())

    @parameterized.expand(
        [(f"{name}_{call.__name__}", fault, call) for name, fault, *_ in FAULTS
         for call in READS]
    )  # fmt: skip
    def test_a_failed_read_is_reported_as_without_effect(
        self, name: str, fault: dict, call
    ) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                await harness.set_faults(**fault)
                error = await self.error_of(call(harness.short_timeout_store))
                self.assertIs(Unavailable, type(error), repr(error))
                await self.check_recovery(harness)

        run_with_timeout(scenario())

    @parameterized.expand(
        [(f"{name}_{call.__name__}", fault, call, expected, effect)
         for name, fault, expected, effect in FAULTS for call in WRITES]
    )  # fmt: skip
    def test_a_failed_write_reports_whether_it_may_have_taken_effect(
        self, name: str, fault: dict, call, expected: type, takes_effect: bool
    ) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                await harness.set_faults(**fault)
                error = await self.error_of(call(harness.short_timeout_store))
                self.assertIs(expected, type(error), repr(error))
                if call is write:
                    self.assertEqual(takes_effect, "/a" in harness.memory.values)
                await self.check_recovery(harness)

        run_with_timeout(scenario())

    def test_a_write_whose_reply_is_lost_stays_written(self) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                await harness.set_faults(lose_replies=2)
                for call in (write, grant):
                    error = await self.error_of(call(harness.store))
                    self.assertIs(Unknown, type(error), repr(error))
                self.assertEqual(b"1", (await harness.store.get("/a")).value)

        run_with_timeout(scenario())

    @parameterized.expand(
        [
            ("too_large", b"x" * 1_000_001, 0),
            ("lease_that_does_not_exist", b"x", 77),
        ]
    )
    def test_a_refused_write_is_reported_as_without_effect(
        self, _name: str, value: bytes, lease: int
    ) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                swap = harness.store.compare_and_swap("/a", ABSENT, value, lease)
                self.assertIs(Unavailable, type(await self.error_of(swap)))
                self.assertEqual({}, harness.memory.values)

        run_with_timeout(scenario())

    @parameterized.expand([(call.__name__, call) for call in READS + WRITES])
    def test_a_refused_connection_is_reported_as_without_effect(
        self, _name: str, call
    ) -> None:
        async def scenario() -> None:
            async with open_etcd_store(
                f"http://{CLOSED_ADDRESS}", LONG_TIMEOUT_S
            ) as store:
                error = await self.error_of(call(store))
                self.assertIs(Unavailable, type(error), repr(error))

        run_with_timeout(scenario())

    @parameterized.expand(
        [
            ("down", {"down": True}),
            ("garbage", {"garbage": "<html>"}),
            ("cancelled", {"garbage": '{"result":{"canceled":true}}'}),
            ("not_utf8", {"garbage": '{"result":{"events":[{"kv":{"key":"/w==",'
                          '"mod_revision":"3"}}]}}'}),
            ("stays_silent", {"silent": True}),
        ]
    )  # fmt: skip
    def test_a_running_watch_ends_with_an_error(self, _name: str, fault: dict) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                await write(harness.store)
                # The long timeout leaves a busy machine time to open the watch; only
                # the silent store uses it up.
                store = replace(
                    harness.short_timeout_store, timeout_s=WATCH_OPEN_TIMEOUT_S
                )
                async with aclosing(store.watch("/", 1)) as events:
                    await anext(events)
                    await harness.set_faults(**fault)
                    if not harness.memory.faults.down:
                        harness.memory.write("/b", b"2")
                    error = await self.error_of(anext(events))
                    self.assertIs(Unavailable, type(error), repr(error))

        run_with_timeout(scenario())

    def test_a_watch_from_a_compacted_revision_is_refused(self) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                await harness.set_faults(compacted=5)
                error = await self.error_of(start_watch(harness.store))
                self.assertIn("compact_revision=5", error.message)

        run_with_timeout(scenario())

    def test_a_watch_on_a_dead_connection_loses_no_change(self) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                await write(harness.store)
                async with aclosing(harness.store.watch("/", 1)) as events:
                    seen = await next_events(events, 1)
                    harness.faults.silent = True
                    harness.memory.write("/b", b"2")
                    waiting = asyncio.create_task(next_events(events, 2))
                    await asyncio.sleep(2 * STALL_TIMEOUT_S)
                    harness.memory.write("/c", b"3")
                    harness.faults.silent = False
                    seen += await waiting
                self.assertEqual(["/a", "/b", "/c"], [event.key for event in seen])

        run_with_timeout(scenario())

    def test_a_closed_watch_is_closed_at_the_store(self) -> None:
        async def scenario() -> None:
            async with running_harness() as harness:
                await write(harness.store)
                async with aclosing(harness.store.watch("/", 1)) as events:
                    await anext(events)
                    self.assertEqual(1, await self.count_watches(harness))
                for _ in range(1000):
                    if not await self.count_watches(harness):
                        return
                    await asyncio.sleep(0.01)
                self.fail("the store still serves the watch")

        run_with_timeout(scenario())

    @given(st.text(max_size=6), st.text(max_size=8))
    def test_a_prefix_selects_only_the_keys_under_it(self, prefix, key) -> None:
        start, end = prefix.encode("utf-8", "surrogatepass"), None
        found = key.encode("utf-8", "surrogatepass")
        start = start or b"\0"
        end = prefix_end(start)
        in_range = start <= found and (end == b"\0" or found < end)
        is_under = found.startswith(start) if prefix else found >= b"\0"
        self.assertEqual(is_under, in_range)

    async def error_of(self, call) -> StoreError:
        try:
            await call
        except StoreError as error:
            return error
        return self.fail("the call did not fail")

    async def check_recovery(self, harness: StoreHarness) -> None:
        """Check that the adapter works again once the fault is removed."""
        await harness.set_faults(down=False, delay_s=0, silent=False, garbage=None)
        harness.faults.drop_requests = 0
        self.assertIsNone(await harness.store.get("/none"))

    async def count_watches(self, harness: StoreHarness) -> int:
        url = f"http://{harness.address}/control/state"
        async with aiohttp.ClientSession() as session, session.get(url) as reply:
            return json.loads(await reply.read())["watches"]

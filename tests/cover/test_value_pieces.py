"""Test that an instance reads a large value for another one, however long it takes."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from unittest.mock import patch

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from parameterized import parameterized
from testtools import ExpectedException, TestCase

from tests.common.asynchronous import run_async
from turmericusher.decisions.watch_pace import WatchPace
from turmericusher.decisions.watch_sharing import LARGE_VALUE_BYTES, WatchSharing
from turmericusher.errors import StoreUnavailableError
from turmericusher.peers import changes_service
from turmericusher.peers.changes_service import ChangesService, ChangeStreams
from turmericusher.ports.change_peers import ChangePeerError
from turmericusher.ports.keyvalue import StoredValue
from turmericusher.tasks.change_feed import ChangeFeed
from turmericusher.tasks.shared_watch import SharedWatch

VALUE = bytes(range(256)) * 1_000
TIMEOUT_S = 0.2


class SlowStream:
    """A stream of the server on which each message takes a while."""

    def __init__(self, stream, pause_s):
        self.stream, self.pause_s = stream, pause_s

    async def recv_message(self):
        return await self.stream.recv_message()

    async def send_message(self, message):
        await asyncio.sleep(self.pause_s)
        await self.stream.send_message(message)


class SlowService(ChangesService):
    """Sends a piece of a value every `pause_s` seconds."""

    pause_s = 0.0

    async def ReadPieces(self, stream):
        await super().ReadPieces(SlowStream(stream, self.pause_s))


class EarlierService(ChangesService):
    """The service of a release that does not know pieces."""

    async def ReadPieces(self, stream):
        raise GRPCError(Status.UNIMPLEMENTED, "Method not found")


@asynccontextmanager
async def serving(service_type, read_key, pause_s=0.0):
    """Serve values; yield the address."""
    service = service_type(ChangeFeed(), read_key)
    service.pause_s = pause_s
    server = Server([service])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    try:
        with patch.object(changes_service, "READ_TIMEOUT_S", TIMEOUT_S):
            yield f"127.0.0.1:{port}"
    finally:
        server.close()
        await server.wait_closed()


class PiecesTest(TestCase):
    @parameterized.expand(
        [
            ("whole", ChangesService, StoredValue("k", VALUE, 5), VALUE, 0.0),
            (
                "longer_than_silence_may",
                SlowService,
                StoredValue("k", VALUE, 5),
                VALUE,
                0.03,
            ),
            ("empty", ChangesService, StoredValue("k", b"", 5), b"", 0.0),
            ("absent", ChangesService, None, None, 0.0),
            (
                "of_an_earlier_release",
                EarlierService,
                StoredValue("k", b"v", 5),
                b"v",
                0.0,
            ),
        ]
    )
    @run_async
    async def test_a_value_is_received(self, _, service, stored, expected, pause_s):
        async def read_key(key, revision):
            return stored

        async with serving(service, read_key, pause_s) as address:
            value = await ChangeStreams().read(address, "k", 5)
        self.assertEqual(expected, value)

    @run_async
    async def test_a_value_of_which_nothing_more_comes_is_left(self):
        async def read_key(key, revision):
            return StoredValue("k", VALUE, 5)

        async with serving(SlowService, read_key, 3 * TIMEOUT_S) as address:
            with ExpectedException(ChangePeerError):
                await ChangeStreams().read(address, "k", 5)


class CountingStore:
    """A store of one value, which counts the calls that read it."""

    def __init__(self):
        self.revision, self.calls, self.may_answer = 5, 0, asyncio.Event()

    async def get(self, key):
        self.calls += 1
        revision = self.revision
        await self.may_answer.wait()
        if revision == 0:
            raise StoreUnavailableError("down")
        return StoredValue(key, VALUE, revision)


class ReadForOtherTest(TestCase):
    def make_watch(self, store):
        pace = WatchPace(wait_s=1.0, pause_s=0.0, watcher_s=1.0, silence_s=1.0)
        return SharedWatch(store, pace, WatchSharing("own", "d0"))

    @run_async
    async def test_instances_that_want_the_same_value_cost_one_call(self):
        store = CountingStore()
        watch = self.make_watch(store)
        reading = [asyncio.create_task(watch.read_for_other("k", 5)) for _ in range(9)]
        await asyncio.sleep(0.01)
        store.may_answer.set()
        async with asyncio.timeout(5):
            found = await asyncio.gather(*reading)
        self.assertEqual({5}, {each.revision for each in found})
        self.assertEqual(1, store.calls)

    @run_async
    async def test_a_call_from_before_a_version_does_not_answer_for_it(self):
        store = CountingStore()
        watch = self.make_watch(store)
        early = asyncio.create_task(watch.read_for_other("k", 5))
        await asyncio.sleep(0.01)
        store.revision = 6
        late = [asyncio.create_task(watch.read_for_other("k", 6)) for _ in range(5)]
        await asyncio.sleep(0.01)
        store.may_answer.set()
        async with asyncio.timeout(5):
            self.assertEqual(5, (await early).revision)
            found = await asyncio.gather(*late)
        self.assertEqual({6}, {each.revision for each in found})
        self.assertEqual(2, store.calls)

    @parameterized.expand([("new_enough", 7, 0), ("older", 8, 1), ("any", 0, 1)])
    @run_async
    async def test_what_is_known_here_is_not_read_unless_it_is(self, _, wanted, calls):
        store = CountingStore()
        store.revision = 9
        store.may_answer.set()
        watch = self.make_watch(store)
        watch.known.replace([StoredValue("k", b"x" * LARGE_VALUE_BYTES, 7)])
        found = await watch.read_for_other("k", wanted)
        self.assertEqual(9 if calls else 7, found.revision)
        self.assertEqual(calls, store.calls)

    @run_async
    async def test_an_error_of_the_store_is_passed_on_to_all_that_wait(self):
        store = CountingStore()
        store.revision = 0
        watch = self.make_watch(store)
        reading = [asyncio.create_task(watch.read_for_other("k", 5)) for _ in range(3)]
        await asyncio.sleep(0.01)
        store.may_answer.set()
        for each in reading:
            with ExpectedException(StoreUnavailableError):
                await each

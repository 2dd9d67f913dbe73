"""Test what an instance tells another one: large values, and all that the store has."""

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
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.watch_pace import WatchPace
from turmericusher.decisions.watch_sharing import (
    LARGE_VALUE_BYTES,
    PassedChange,
    PassedState,
    WatchSharing,
)
from turmericusher.errors import StoreUnavailableError
from turmericusher.peers import changes_service
from turmericusher.peers.changes_service import (
    STATE_PART_CHANGES,
    ChangesService,
    ChangeStreams,
)
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
    service = service_type(ChangeFeed(), read_key, lambda: None)
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


STATES = [
    ("of some keys", 3, 7),
    ("of many keys", 2 * STATE_PART_CHANGES + 1, 7),
    ("of no key", 0, 7),
    ("of a store with one history", 1, None),
]


class StateTest(TestCase):
    @parameterized.expand(STATES)
    @run_async
    async def test_a_state_is_received_as_it_is(self, _, keys, history):
        changes = [PassedChange(f"k{n}", n + 1, b"v") for n in range(keys)]
        changes.append(PassedChange("large", 99, None, must_be_read=True))
        state = PassedState(tuple(changes), 100, history, 2.5)
        async with telling(state) as address:
            self.assertEqual(state, await ChangeStreams().state(address))

    @run_async
    async def test_an_instance_that_does_not_know_tells_no_state(self):
        async with telling(None) as address:
            with ExpectedException(ChangePeerError):
                await ChangeStreams().state(address)

    @parameterized.expand(
        [
            ("since before this one was without the store", 7, 10.0, True),
            ("only since", 7, 0.0, False),
            ("of another history", 8, 0.0, True),
        ]
    )
    @run_async
    async def test_a_state_is_used_if_the_store_was_followed(
        self, _, history, followed_s, is_used
    ):
        state = PassedState((PassedChange("k", 5, b"v"),), 9, history, followed_s)
        async with telling(state) as address:
            watch = make_watch(CountingStore())
            watch.sharing.domains = {
                "d0": {"w0": EntryInstance("w0", "d0", "c", address)}
            }
            watch.peers.set_result(ChangeStreams())
            watch.unreached_since = asyncio.get_running_loop().time() - 5.0
            found = await watch.ask_state()
        self.assertEqual(is_used, found is not None)
        if found is not None:
            self.assertEqual((StoredValue("k", b"v", 5),), found.snapshot.values)
            self.assertEqual((9, history), (found.snapshot.revision, found.history))


@asynccontextmanager
async def telling(state):
    """Serve a state; yield the address."""
    service = ChangesService(ChangeFeed(), None, lambda: state)
    server = Server([service])
    await server.start("127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server._server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        await server.wait_closed()


def make_watch(store):
    pace = WatchPace(wait_s=1.0, pause_s=0.0, watcher_s=1.0, silence_s=1.0)
    return SharedWatch(store, pace, WatchSharing("own", "d0"))


class CountingStore:
    """A store of one value, which counts the calls that read it."""

    history = 7

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
    @run_async
    async def test_instances_that_want_the_same_value_cost_one_call(self):
        store = CountingStore()
        watch = make_watch(store)
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
        watch = make_watch(store)
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
        watch = make_watch(store)
        watch.known.replace([StoredValue("k", b"x" * LARGE_VALUE_BYTES, 7)])
        found = await watch.read_for_other("k", wanted)
        self.assertEqual(9 if calls else 7, found.revision)
        self.assertEqual(calls, store.calls)

    @run_async
    async def test_an_error_of_the_store_is_passed_on_to_all_that_wait(self):
        store = CountingStore()
        store.revision = 0
        watch = make_watch(store)
        reading = [asyncio.create_task(watch.read_for_other("k", 5)) for _ in range(3)]
        await asyncio.sleep(0.01)
        store.may_answer.set()
        for each in reading:
            with ExpectedException(StoreUnavailableError):
                await each

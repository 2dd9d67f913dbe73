"""Test that a late answer on a connection in use again is never another request's."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from turmericusher.errors import StoreOutcomeUnknownError, StoreUnavailableError
from turmericusher.platform.store import open_platform_store
from turmericusher.pooled_session import open_pooled_session
from turmericusher.ports.etcd import open_etcd_store
from turmericusher.ports.keyvalue import ABSENT
from turmericusher.standins.platform_store import running_platform_store
from turmericusher.standins.store import MemoryStore
from turmericusher.standins.store_server import running_store
from turmericusher.tasks.background import cancel_tasks

LATE_S = 0.05


@asynccontextmanager
async def repeating_server(copies=1, first_repeated=1):
    """Serve numbered answers, of which one is sent again later; yield the address.

    Each connection counts its requests. The answer to the one with the number
    `first_repeated` comes again so many times.
    """
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        number = 0
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                number += 1
                body = b"answer %d of connection %d" % (number, len(writers))
                length = b"Content-Length: %d\r\n" % len(body)
                answer = b"HTTP/1.1 200 OK\r\n" + length + b"\r\n" + body
                writer.write(answer)
                await writer.drain()
                if number == first_repeated:
                    await asyncio.sleep(LATE_S)
                    writer.write(answer * copies)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        await close_all(writers)


class PooledSessionTest(TestCase):
    @parameterized.expand([("GET", 1), ("POST", 1), ("PUT", 1), ("GET", 3)])
    @run_async
    async def test_a_late_copy_of_an_answer_is_dropped_with_its_connection(
        self, method, copies
    ):
        async with (
            repeating_server(copies) as address,
            open_pooled_session() as session,
        ):
            answers = []
            for _ in range(3):
                async with session.request(method, f"http://{address}/") as response:
                    answers.append(await response.text())
                await asyncio.sleep(2 * LATE_S)
        expected = [f"answer 1 of connection {number}" for number in (1, 2, 3)]
        self.assertEqual(expected, answers)

    @run_async
    async def test_a_clean_connection_is_used_again(self):
        async with (
            repeating_server(first_repeated=99) as address,
            open_pooled_session() as session,
        ):
            for number in (1, 2):
                async with session.get(f"http://{address}/") as response:
                    expected = f"answer {number} of connection 1"
                    self.assertEqual(expected, await response.text())


async def close_all(writers):
    """Close connections while the event loop still runs."""
    for writer in writers:
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()


class RepeatingProxy:
    """Passes a store's bytes on, and sends the first answer of a connection again.

    The copy comes a little later, or in front of the next answer, or, if `in_front` is
    None, never.
    """

    def __init__(self, upstream, in_front):
        self.upstream, self.in_front = upstream, in_front
        self.tasks, self.writers = set(), []

    async def serve(self, reader, writer):
        """Relay one connection; the first answer of it comes twice."""
        host, port = self.upstream.split(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        self.writers += [writer, store_writer]

        async def pump(source, target, is_answer):
            copy, is_first = b"", is_answer and self.in_front is not None
            while data := await source.read(65_536):
                target.write(copy + data)
                copy = b""
                if is_first and self.in_front:
                    copy = data
                elif is_first:
                    await asyncio.sleep(LATE_S)
                    target.write(data)
                is_first = False
            target.close()

        for task in (
            asyncio.create_task(pump(reader, store_writer, False)),
            asyncio.create_task(pump(store_reader, writer, True)),
        ):
            self.tasks.add(task)


@asynccontextmanager
async def repeating(address, in_front):
    """Yield the address of a proxy before `address` that repeats answers."""
    proxy = RepeatingProxy(address, in_front)
    server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        await cancel_tasks(proxy.tasks)
        await close_all(proxy.writers)


@asynccontextmanager
async def product_store(memory, in_front=False):
    """Yield the product's adapter to a store that repeats answers."""
    async with (
        running_store("127.0.0.1", 0, memory) as address,
        repeating(address, in_front) as repeated,
        open_etcd_store(f"http://{repeated}", 2.0) as store,
    ):
        yield store


@asynccontextmanager
async def platform_store(memory, in_front=False):
    """Yield the platform's adapter to a store that repeats answers."""
    async with (
        running_platform_store(memory) as standin,
        repeating(standin.address, in_front) as repeated,
        open_platform_store(repeated) as store,
    ):
        yield store


class StoreAnswersTest(TestCase):
    @parameterized.expand([("product", product_store), ("platform", platform_store)])
    @run_async
    async def test_a_read_of_a_store_gets_its_own_answer(self, _, open_store):
        memory = MemoryStore()
        keys = ("a", "b")
        for key in keys:
            memory.write(key, f"of {key}".encode())
        async with open_store(memory) as store:
            for key in keys * 3:
                stored = await store.get(key)
                self.assertEqual(f"of {key}".encode(), stored.value)
                await asyncio.sleep(2 * LATE_S)

    @parameterized.expand([("product", product_store), ("platform", platform_store)])
    @run_async
    async def test_a_write_that_failed_is_not_taken_for_one_that_succeeded(
        self, _, open_store
    ):
        async with open_store(MemoryStore()) as store:
            first = await store.compare_and_swap("a", ABSENT, b"1")
            self.assertTrue(first.succeeded)
            await asyncio.sleep(2 * LATE_S)
            second = await store.compare_and_swap("a", ABSENT, b"2")
            self.assertFalse(second.succeeded)
            self.assertEqual(b"1", second.current.value)

    @parameterized.expand([("product", product_store), ("platform", platform_store)])
    @run_async
    async def test_a_copy_in_front_of_the_answer_to_a_write_leaves_its_outcome_unknown(
        self, _, open_store
    ):
        async with open_store(MemoryStore(), in_front=True) as store:
            self.assertTrue((await store.compare_and_swap("a", ABSENT, b"1")).succeeded)
            with self.assertRaises(StoreOutcomeUnknownError):
                await store.compare_and_swap("a", ABSENT, b"2")
            third = await store.compare_and_swap("a", ABSENT, b"2")
            self.assertEqual(b"1", third.current.value)

    @parameterized.expand([("product", product_store), ("platform", platform_store)])
    @run_async
    async def test_a_copy_in_front_of_the_answer_to_a_read_is_no_answer(
        self, _, open_store
    ):
        memory = MemoryStore()
        memory.write("a", b"of a")
        memory.write("b", b"of b")
        async with open_store(memory, in_front=True) as store:
            self.assertEqual(b"of a", (await store.get("a")).value)
            with self.assertRaises(StoreUnavailableError):
                await store.get("b")
            self.assertEqual(b"of b", (await store.get("b")).value)

    @parameterized.expand([("product", product_store), ("platform", platform_store)])
    @run_async
    async def test_writes_succeed_after_a_store_has_lost_revisions(self, _, open_store):
        memory = MemoryStore()
        memory.revision = 100
        async with open_store(memory, in_front=None) as store:
            await store.compare_and_swap("a", ABSENT, b"1")
            memory.revision = 50
            with self.assertRaises(StoreOutcomeUnknownError):
                await store.compare_and_swap("b", ABSENT, b"1")
            swap = await store.compare_and_swap("c", ABSENT, b"1")
            self.assertTrue(swap.succeeded)

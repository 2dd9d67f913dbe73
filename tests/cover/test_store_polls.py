"""Test that small changes do not wait for an answer with large values."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from tests.common.asynchronous import run_async
from turmericusher.decisions.watch_sharing import LARGE_VALUE_BYTES
from turmericusher.errors import LargeAnswerError
from turmericusher.ports.key_revisions import KeyRevisions
from turmericusher.ports.keyvalue import StoredValue, WatchAnswer
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.store_polls import StorePolls, WatchedParts, open_polls

PARTS = WatchedParts(("servers/", "own/"), "op/", 4 * LARGE_VALUE_BYTES)
LARGE = b"x" * (5 * LARGE_VALUE_BYTES)


class SizedStore:
    """A store whose answers have a size; `may_read_large` holds large ones up."""

    def __init__(self):
        self.store, self.calls = MemoryStore(), []
        self.may_read_large = asyncio.Event()

    async def poll(self, prefix, after, wait_s, max_bytes=None):
        self.calls.append((prefix, after))
        revision = self.store.revision
        events = [
            each
            for each in self.store.history
            if each.revision > after and each.key.startswith(prefix)
        ]
        size = sum(len(each.value or b"") for each in events)
        if max_bytes is not None and size > max_bytes:
            raise LargeAnswerError(f"{size} bytes")
        if size > PARTS.large_answer_bytes:
            await self.may_read_large.wait()
        if not events:
            await asyncio.sleep(wait_s)
        return WatchAnswer(tuple(events), revision)

    async def read_part(self, prefix):
        self.calls.append(("state", prefix))
        await self.may_read_large.wait()
        return await self.store.get_prefix(prefix)


async def answers_of(polls, known, seconds):
    """Return the answers that come within some seconds, as an instance applies them."""
    answers = []
    async with asyncio.timeout(seconds + 1.0):
        until = asyncio.get_running_loop().time() + seconds
        while (now := asyncio.get_running_loop().time()) < until and polls.tasks:
            await asyncio.wait(polls.tasks.values(), timeout=until - now)
            for answer in polls.take(now):
                known.record(known.select_news(answer.events), answer.revision)
                answers.append(answer)
            polls.join()
    return answers


class StorePollsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.known = KeyRevisions()

    def keys(self, answers):
        return [(e.key, e.revision) for answer in answers for e in answer.events]

    @run_async
    async def test_small_changes_come_while_a_large_value_is_read(self):
        sized = SizedStore()
        sized.store.write("op/config", LARGE)
        sized.store.write("servers/a", b"leaving")
        polls = StorePolls(sized, "", self.known, PARTS, lambda: (0.02, 0.01))
        async with open_polls(polls):
            polls.begin(0)
            first = await answers_of(polls, self.known, 0.1)
            self.assertEqual([("servers/a", 3)], self.keys(first))
            self.assertEqual({0}, {answer.revision for answer in first})
            sized.store.write("servers/b", b"new")
            self.assertIn(
                ("servers/b", 4), self.keys(await answers_of(polls, self.known, 0.1))
            )
            sized.may_read_large.set()
            last = await answers_of(polls, self.known, 0.1)
            self.assertEqual([("op/config", 2)], self.keys(last))
            self.assertEqual(4, last[-1].revision)

    @run_async
    async def test_of_several_versions_the_newest_alone_is_read(self):
        sized = SizedStore()
        sized.may_read_large.set()
        for _ in range(4):
            sized.store.write("op/config", LARGE)
        polls = StorePolls(sized, "", self.known, PARTS, lambda: (0.02, 0.01))
        async with open_polls(polls):
            polls.begin(0)
            answers = await answers_of(polls, self.known, 0.1)
        self.assertEqual([("op/config", 5)], self.keys(answers))
        self.assertEqual(1, sized.calls.count(("state", "op/")))

    @run_async
    async def test_one_call_asks_for_all_again_once_large_values_are_gone(self):
        sized = SizedStore()
        sized.may_read_large.set()
        sized.store.write("op/config", LARGE)
        polls = StorePolls(sized, "", self.known, PARTS, lambda: (0.02, 0.01))
        async with open_polls(polls):
            polls.begin(0)
            await answers_of(polls, self.known, 0.1)
            self.assertEqual({*PARTS.small, PARTS.large}, set(polls.tasks))
            sized.store.write("op/config", b"small")
            await answers_of(polls, self.known, 0.2)
            self.assertEqual({""}, set(polls.tasks))
            sized.store.write("servers/a", b"")
            found = self.keys(await answers_of(polls, self.known, 0.1))
        self.assertEqual([("servers/a", 4)], found)

    @run_async
    async def test_a_burst_of_small_changes_is_read_and_asked_for_at_once_later(self):
        sized = SizedStore()
        sized.may_read_large.set()
        for number in range(8):
            sized.store.write(f"servers/{number}", b"x" * (LARGE_VALUE_BYTES - 1))
        polls = StorePolls(sized, "", self.known, PARTS, lambda: (0.02, 0.01))
        async with open_polls(polls):
            polls.begin(0)
            found = self.keys(await answers_of(polls, self.known, 0.2))
            self.assertEqual({""}, set(polls.tasks))
        self.assertEqual(8, len(found))

    @run_async
    async def test_all_keys_are_heard_of_when_the_last_part_is(self):
        sized = SizedStore()
        sized.store.write("op/config", LARGE)
        known = KeyRevisions()
        known.replace([StoredValue("op/config", LARGE, 1)])
        polls = StorePolls(sized, "", known, PARTS, lambda: (0.02, 0.01))
        async with open_polls(polls):
            polls.begin(0)
            early = await answers_of(polls, known, 0.1)
            self.assertEqual({0.0}, {answer.heard_at for answer in early})
            sized.may_read_large.set()
            late = await answers_of(polls, known, 0.1)
            self.assertGreater(late[-1].heard_at, 0.0)

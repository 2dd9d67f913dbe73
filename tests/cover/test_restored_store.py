"""Test that nothing is missed when the store comes back from an older copy."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import replace

from parameterized import parameterized
from testtools import ExpectedException, TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import (
    SERVICE,
    encode_upstream_entry,
    make_relay_shared,
    make_upstream,
)
from tests.common.version_fixtures import running_version_simulation
from tests.common.waiting import wait_until
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.listing import RELIST_GRACE_S
from turmericusher.decisions.routing import NewestTable
from turmericusher.decisions.watch_pace import WatchPace
from turmericusher.decisions.watch_sharing import (
    PassedChange,
    PassedChanges,
    WatchSharing,
)
from turmericusher.errors import (
    StoreOutcomeUnknownError,
    StoreRestoredError,
    StoreUnavailableError,
)
from turmericusher.platform.names import INSTANCE_PREFIX, UPSTREAM_PREFIX
from turmericusher.platform.records import decode_record
from turmericusher.platform.store import open_platform_store
from turmericusher.ports.keyvalue import ABSENT, StoredValue, WatchEvent
from turmericusher.standins.platform_store import running_platform_store
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.registration import Registration, registered
from turmericusher.tasks.relay_fleet import RelayFleet
from turmericusher.tasks.shared_watch import SharedWatch
from turmericusher.tasks.store_follower import StoreFollower, following_store

PACE = WatchPace(wait_s=0.1, pause_s=0.02, watcher_s=0.05, silence_s=0.1)


class Recorder:
    """A listener that keeps the values and counts the restored stores."""

    def __init__(self):
        self.values, self.restored, self.losses = {}, 0, 0

    def store_read(self, values, now):
        self.values = {each.key: each.value for each in values}

    def store_changed(self, events, now):
        self.values |= {each.key: each.value for each in events}

    def store_lost(self, now):
        self.losses += 1

    def store_regained(self, now, was_away):
        pass

    def store_restored(self, now):
        self.restored += 1


@asynccontextmanager
async def following(standin):
    """Follow a store; yield what was read."""
    async with open_platform_store(standin.address) as store:
        watch = SharedWatch(store, PACE, WatchSharing("own", "d0"))
        recorder = Recorder()
        follower = StoreFollower(watch, "", recorder, random.Random(1))
        async with following_store(follower):
            yield recorder


def restore_and_write(memory, copy, revisions):
    """Restore a copy; write a change, and others up to some revisions later."""
    memory.restore(copy)
    memory.write("op/change", b"new")
    for number in range(revisions - 1):
        memory.write(f"other-{number}", b"")


class ChangeTest(TestCase):
    # A change below the last revision seen was never read (CONFIG, review/3).
    @parameterized.expand(
        [
            ("below the last one seen", 1),
            ("that reach the last one seen", 3),
            ("beyond the last one seen", 6),
        ]
    )
    @run_async
    async def test_a_change_is_read_whatever_revisions_are_given_out_again(
        self, _, revisions
    ):
        memory = MemoryStore()
        async with running_platform_store(memory) as standin:
            memory.write("op/change", b"old")
            copy = memory.copied()
            for _number in range(3):
                memory.write("lost", b"")
            async with following(standin) as recorder:
                await wait_until(lambda: "lost" in recorder.values)
                restore_and_write(memory, copy, revisions)
                await wait_until(
                    lambda: recorder.values.get("op/change") == b"new", 2.0
                )
                self.assertNotIn("lost", recorder.values)
                self.assertEqual(1, recorder.restored)

    @run_async
    async def test_a_store_that_was_away_for_longer_counts_as_restored_too(self):
        memory = MemoryStore()
        async with running_platform_store(memory) as standin:
            copy = memory.copied()
            memory.write("lost", b"")
            async with following(standin) as recorder:
                await wait_until(lambda: "lost" in recorder.values)
                memory.faults.down = True
                await wait_until(lambda: recorder.losses == 1)
                restore_and_write(memory, copy, 3)
                memory.faults.down = False
                await wait_until(lambda: "op/change" in recorder.values)
                self.assertEqual(1, recorder.restored)

    @run_async
    async def test_it_is_read_while_the_changes_come_from_another_instance(self):
        store = FollowedStore()
        sharing = WatchSharing("own", "d0")
        sharing.watchers = (EntryInstance("w0", "d0", "127.0.0.1:1", "127.0.0.1:2"),)
        watch = SharedWatch(store, PACE, sharing)
        watch.peers.set_result(store)
        with ExpectedException(StoreRestoredError):
            async with asyncio.timeout(2.0):
                async for _answer in watch.watch("", 11):
                    store.is_restored = True


class FollowedStore:
    """A store, and an instance that passes on a change again and again."""

    is_restored = False
    history = None

    def check_history(self):
        if self.is_restored:
            raise StoreRestoredError("restored")

    @asynccontextmanager
    async def follow(self, address, after_revision, history=None):
        yield self.stream()

    async def stream(self):
        for number in range(11, 100):
            yield PassedChanges((PassedChange("k", number, b""),), number)
            await asyncio.sleep(0.01)


class CallTest(TestCase):
    @run_async
    async def test_writes_and_reads_go_on_at_the_lower_revisions(self):
        memory = MemoryStore()
        async with (
            running_platform_store(memory) as standin,
            open_platform_store(standin.address) as store,
        ):
            copy = memory.copied()
            for _ in range(5):
                memory.write("lost", b"")
            await store.get_prefix("")
            memory.restore(copy)
            swap = await store.compare_and_swap("k", ABSENT, b"1")
            self.assertTrue(swap.succeeded)
            with ExpectedException(StoreRestoredError):
                await store.poll("", swap.revision, 0.0)
            with ExpectedException(StoreRestoredError):
                await store.poll("", swap.revision, 0.0)
            snapshot = await store.get_prefix("")
            self.assertEqual(["k"], [each.key for each in snapshot.values])
            answer = await store.poll("", snapshot.revision, 0.0)
            self.assertEqual((), answer.events)

    @run_async
    async def test_a_late_answer_from_before_is_not_believed(self):
        memory = MemoryStore()
        async with (
            running_platform_store(memory) as standin,
            open_platform_store(standin.address) as store,
        ):
            memory.era = 2
            await store.get_prefix("")
            memory.era = 1
            with ExpectedException(StoreUnavailableError):
                await store.get("k")
            with ExpectedException(StoreOutcomeUnknownError):
                await store.compare_and_swap("k", ABSENT, b"1")

    @run_async
    async def test_a_malformed_era_changes_nothing(self):
        memory = MemoryStore()
        async with (
            running_platform_store(memory) as standin,
            open_platform_store(standin.address) as store,
        ):
            await store.get_prefix("")
            memory.era = "one"
            self.assertIsNone(await store.get("k"))
            store.check_history()


class WriterTest(TestCase):
    @run_async
    async def test_an_instance_registers_anew_and_leaves_the_lease_of_another_one(self):
        memory = MemoryStore()
        copy = memory.copied()
        registration = Registration(memory, "own", b"own")
        async with registered(registration):
            await wait_until(lambda: "own" in memory.values)
            before = registration.lease
            memory.restore(copy)
            foreign = await memory.grant_lease(1)
            self.assertEqual(before, foreign)
            registration.restart()
            await wait_until(lambda: "own" in memory.values)
            self.assertNotEqual(foreign, memory.values["own"].lease)

    @run_async
    async def test_all_instances_are_listed_again_with_their_records(self):
        async with running_version_simulation(("v1",)) as simulation:
            memory = simulation.store.store
            copy = memory.copied()
            names = {each for each in memory.values if INSTANCE_PREFIX in each}
            self.assertEqual(3, len(names))
            old = replace(
                copy, values={k: v for k, v in copy.values.items() if k not in names}
            )
            memory.restore(old)
            await wait_until(lambda: names <= memory.values.keys(), 4.0)
            for node in simulation.instances.values():
                self.assertEqual(3, len(node.fleet.instances.entries))

    def test_streams_that_run_are_told_of_again(self):
        versions = make_relay_shared().versions
        upstreams = [replace(make_upstream(n), version=f"v{n}") for n in (0, 1)]
        versions.update_upstreams(upstreams, 0.0)
        versions.written["q1"] = "v1"
        versions.record_begin("q1", SERVICE, "v1", 1.0)
        self.assertEqual(0, len(versions.unsaved))
        versions.record_store_restored(2.0)
        self.assertEqual(["q1"], [each.stream for each in versions.unsaved])


def make_fleet():
    """Return the view of a fleet with one listed upstream."""
    fleet = RelayFleet(make_relay_shared(0), NewestTable(), decode_record)
    fleet.store_changed([entry_event("u0", 5)], 0.0)
    return fleet


def entry(sequence):
    """Return an upstream's entry with a sequence."""
    return encode_upstream_entry("127.0.0.1:1", 0, sequence=sequence)


def entry_event(name, sequence):
    """Return the change that brings an upstream's entry."""
    return WatchEvent(f"{UPSTREAM_PREFIX}{name}", entry(sequence), 1)


class ListTest(TestCase):
    @parameterized.expand(
        [
            ("that is older is not used", 4, False),
            ("that is the removed one is not used", 5, False),
            ("that was written since is used", 6, True),
        ]
    )
    def test_a_removed_entry_that_a_copy_brings_back(self, _, sequence, is_used):
        fleet = make_fleet()
        fleet.store_changed([WatchEvent(f"{UPSTREAM_PREFIX}u0", None, 2)], 1.0)
        fleet.store_restored(2.0)
        value = StoredValue(f"{UPSTREAM_PREFIX}u0", entry(sequence), 1)
        fleet.store_read((value,), 2.1)
        self.assertEqual(is_used, "u0" in fleet.upstreams.entries)

    def test_an_entry_that_a_copy_lacks_has_time_to_come_back(self):
        fleet = make_fleet()
        fleet.store_restored(2.0)
        fleet.store_read((), 2.1)
        self.assertIn("u0", fleet.upstreams.entries)
        fleet.drop_expired(2.0 + RELIST_GRACE_S)
        self.assertNotIn("u0", fleet.upstreams.entries)

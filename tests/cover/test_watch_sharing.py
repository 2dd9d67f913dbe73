"""Test that few instances watch the store, and that all learn of changes in time."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import aclosing, asynccontextmanager, suppress
from dataclasses import replace
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.domain_fixtures import running_domain
from tests.common.relay_fixtures import configuration
from turmericusher.decisions.fleet import EntryInstance, Lifecycle
from turmericusher.decisions.watch_pace import WatchPace
from turmericusher.decisions.watch_sharing import (
    AVOIDANCE_S,
    FOLLOWERS,
    LARGE_VALUE_BYTES,
    MAX_KEPT_CHANGES,
    MIN_SHARING,
    MIN_WATCHERS,
    ChangeLog,
    PassedChange,
    PassedChanges,
    WatchSharing,
    make_passed_change,
)
from turmericusher.errors import StoreUnavailableError
from turmericusher.platform.names import CONFIGURATION_KEY
from turmericusher.platform.store_messages import READ_KEY, READ_RANGE
from turmericusher.ports.change_peers import ChangePeerError
from turmericusher.ports.keyvalue import StoredValue, WatchAnswer
from turmericusher.tasks.change_feed import ChangeFeed
from turmericusher.tasks.shared_watch import MAX_SILENCES, SharedWatch

FLEET = MIN_SHARING
DOMAINS = 5


def make_instances(count, domains=DOMAINS):
    """Return so many instances, spread over failure domains."""
    return [
        EntryInstance(f"e{number}", f"d{number % domains}", f"c{number}", f"p{number}")
        for number in range(count)
    ]


def share(instances):
    """Return the sharing of each instance that knows all of them."""
    sharings = []
    for each in instances:
        sharing = WatchSharing(each.name, each.failure_domain)
        sharing.update_instances(instances)
        sharings.append(sharing)
    return sharings


class WatchSharingTest(TestCase):
    @parameterized.expand([(count,) for count in (60, 86, 195, 420, 3_200)])
    def test_the_share_of_instances_that_watch_does_not_grow_with_the_fleet(
        self, count
    ):
        sharings = share(make_instances(count))
        direct = [each for each in sharings if each.source(0.0) is None]
        self.assertTrue(all(each.is_watcher for each in direct))
        share_of_all = len(direct) / count
        at_least = DOMAINS * MIN_WATCHERS / count
        self.assertLessEqual(share_of_all, max(at_least, 1.4 / (1 + FOLLOWERS)))

    @parameterized.expand([(count,) for count in (60, 195, 420, 3_200)])
    def test_those_that_follow_are_spread_over_the_watchers_of_their_domain(
        self, count
    ):
        instances = make_instances(count)
        domain_of = {each.name: each.failure_domain for each in instances}
        followers = Counter()
        for each in share(instances):
            source = each.source(0.0)
            if source is not None:
                self.assertEqual(each.failure_domain, source.failure_domain)
                self.assertEqual(domain_of[source.name], each.failure_domain)
                followers[source.name] += 1
        self.assertLessEqual(max(followers.values()), 2 * FOLLOWERS)

    @parameterized.expand(
        [
            ("a domain of few", make_instances(MIN_SHARING - 1, 1)),
            (
                "instances that serve no others",
                [EntryInstance(f"e{n}", "d0", f"c{n}", f"c{n}") for n in range(9)],
            ),
            (
                "instances that leave",
                [
                    EntryInstance(
                        f"e{n}", "d0", f"c{n}", f"p{n}", lifecycle=Lifecycle.LEAVING
                    )
                    for n in range(9)
                ],
            ),
        ]
    )
    def test_all_watch_for_themselves_in(self, _, instances):
        for each in share(instances):
            self.assertIsNone(each.source(0.0))
            self.assertFalse(each.is_watcher)

    def test_a_watcher_that_fails_is_left_for_the_next_and_then_for_the_store(self):
        (sharing,) = [e for e in share(make_instances(20, 1)) if not e.is_watcher][:1]
        first = sharing.source(0.0)
        sharing.record_failure(first.name, 0.0)
        second = sharing.source(0.1)
        self.assertNotEqual(first, second)
        sharing.record_failure(second.name, 0.1)
        self.assertIsNone(sharing.source(0.2))
        self.assertEqual(first, sharing.source(AVOIDANCE_S))

    @parameterized.expand(
        [
            ("small", b"x" * (LARGE_VALUE_BYTES - 1), False),
            ("large", b"x" * LARGE_VALUE_BYTES, True),
            ("deleted", None, False),
        ]
    )
    def test_only_a_large_value_is_not_passed_on_when_it_is(self, _, value, is_large):
        change = make_passed_change("k", 1, value)
        self.assertEqual(is_large, change.must_be_read)
        self.assertEqual(None if is_large else value, change.value)


class ChangeLogMachine(RuleBasedStateMachine):
    """A log that is opened, closed and written, beside all changes that there were."""

    def __init__(self):
        super().__init__()
        self.log = ChangeLog()
        self.written = {}
        self.revision = self.opened = 0

    @rule(skipped=st.integers(0, 3), keys=st.sampled_from([1, 3, 1_000_000]))
    def open(self, skipped, keys):
        was_open = self.log.is_open
        self.write(skipped, keys)
        self.revision += skipped
        self.log.open_at(self.revision)
        if skipped or not was_open:
            self.opened = self.revision

    def write(self, count, keys):
        """Write so many revisions to the keys in turn; return them."""
        new = range(self.revision + 1, self.revision + 1 + count)
        self.written |= {revision: f"k{revision % keys}" for revision in new}
        return new

    @precondition(lambda self: self.log.is_open)
    @rule(
        count=st.sampled_from([0, 1, 3, MAX_KEPT_CHANGES]),
        gap=st.integers(0, 2),
        keys=st.sampled_from([1, 3, 1_000_000]),
    )
    def append(self, count, gap, keys):
        new = self.write(count, keys)
        self.revision += count + gap
        changes = [PassedChange(self.written[r], r, b"") for r in new]
        self.log.append(changes, self.revision)

    @rule()
    def close(self):
        self.log.close()

    @invariant()
    def those_that_know_more_are_not_turned_away(self):
        ahead = self.log.after(self.revision + 1)
        assert (ahead is not None) == self.log.is_open
        assert ahead is None or not ahead.changes

    @invariant()
    def what_is_passed_on_misses_nothing(self):
        for after in {0, self.revision // 2, self.revision - 1, self.revision}:
            passed = self.log.after(after)
            if passed is None:
                continue
            written = [r for r in self.written if after < r <= passed.revision]
            newest = {self.written[r]: r for r in written}
            found = [each.revision for each in passed.changes]
            self.assertEqual_(sorted(set(found)), found)
            self.assertEqual_(newest, {e.key: e.revision for e in passed.changes})
            self.assertEqual_([], [r for r in found if r not in written])

    @invariant()
    def what_few_keys_had_since_the_log_was_opened_is_all_known(self):
        keys = {self.written[r] for r in self.written if r > self.opened}
        if self.log.is_open and len(keys) <= MAX_KEPT_CHANGES:
            assert self.log.after(self.opened) is not None

    @invariant()
    def what_is_kept_is_bounded(self):
        assert len(self.log.changes) <= MAX_KEPT_CHANGES

    def assertEqual_(self, expected, found):
        assert expected == found, (expected, found)


ChangeLogTest = ChangeLogMachine.TestCase
ChangeLogTest.settings = settings(max_examples=60, stateful_step_count=20)


class ScriptedStore:
    """A store without changes, and connections to instances; `calls` lists them all.

    `passed` has what the instances pass on before they fall silent, by address, each
    `delay_s` seconds after the one before. A connection takes `connect_s` seconds.
    """

    def __init__(self, **passed):
        self.calls, self.passed, self.revision = [], passed, 10
        self.is_down, self.history = False, None
        self.delay_s = self.connect_s = 0.0

    async def get(self, key):
        self.calls.append("get")
        if self.is_down:
            raise StoreUnavailableError("down")
        return StoredValue(key, b"large", self.revision)

    def check_history(self):
        pass

    async def poll(self, prefix, after, wait_s):
        self.calls.append(f"poll {after}")
        await asyncio.sleep(min(wait_s, 0.05))
        return WatchAnswer((), max(after, self.revision))

    async def read(self, address, key, revision):
        self.calls.append(f"read {address} {key}")
        raise ChangePeerError("unread")

    @asynccontextmanager
    async def follow(self, address, after_revision, history=None):
        self.calls.append(f"follow {address} {after_revision}")
        await asyncio.sleep(self.connect_s)
        yield self.stream(address)

    async def stream(self, address):
        for passed in self.passed.get(address, ()):
            await asyncio.sleep(self.delay_s)
            yield passed
        await asyncio.Event().wait()


def make_shared_watch(store, watchers=("w0", "w1")):
    """Return the watch of an instance that may follow these."""
    sharing = WatchSharing("own", "d0")
    sharing.watchers = tuple(EntryInstance(n, "d0", f"c{n}", n) for n in watchers)
    pace = WatchPace(wait_s=0.05, pause_s=0.0, watcher_s=0.05, silence_s=0.05)
    watch = SharedWatch(store, pace, sharing)
    watch.peers.set_result(store)
    return watch


async def watch_for(watch, seconds):
    """Return the changes that a watch brings in some seconds."""
    events = []
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds), aclosing(watch.watch("", 11)) as changes:
            async for answer in changes:
                events.extend(answer.events)
    return events


class FollowingTest(TestCase):
    @run_async
    async def test_the_store_is_asked_at_once_when_an_instance_is_silent(self):
        store = ScriptedStore()
        await watch_for(make_shared_watch(store), 0.3)
        self.assertEqual(
            ["follow w0 10", *["poll 10"] * MAX_SILENCES, "follow w1 10"],
            store.calls[: MAX_SILENCES + 2],
        )

    @run_async
    async def test_an_instance_that_is_late_is_followed_on_and_brings_nothing_old(self):
        late = [PassedChanges((PassedChange("k", n, b""),), n) for n in (11, 12, 13)]
        store = ScriptedStore(w0=late)
        store.revision, store.delay_s = 12, 0.08
        events = await watch_for(make_shared_watch(store), 0.35)
        self.assertEqual([13], [each.revision for each in events])
        follows = [call for call in store.calls if call.startswith("follow")]
        self.assertEqual(["follow w0 10"], follows[:1])
        self.assertIn("poll 10", store.calls)

    @run_async
    async def test_the_store_is_asked_if_an_instance_cannot_be_connected_to(self):
        store = ScriptedStore()
        store.connect_s = 60.0
        await watch_for(make_shared_watch(store), 0.3)
        self.assertEqual(
            ["follow w0 10", "poll 10", "follow w1 10", "poll 10", "poll 10"],
            store.calls[:5],
        )

    @run_async
    async def test_an_instance_is_followed_on_although_its_record_changes(self):
        changes = [PassedChanges((PassedChange("k", n, b""),), n) for n in (11, 12)]
        store = ScriptedStore(w0=changes)
        watch = make_shared_watch(store)
        async with aclosing(watch.watch("", 11)) as events:
            await anext(events)
            (first, second) = watch.sharing.watchers
            changed = replace(first, limited_upstreams=frozenset({"u0"}))
            watch.sharing.watchers = (changed, second)
            self.assertEqual(12, (await anext(events)).revision)
        self.assertEqual(["follow w0 10"], store.calls)

    @run_async
    async def test_a_value_that_cannot_be_read_leaves_its_change_to_the_store(self):
        large = PassedChange("k", 11, None, must_be_read=True)
        store = ScriptedStore(w0=[PassedChanges((large,), 11)])
        store.is_down = True
        events = await watch_for(make_shared_watch(store), 0.04)
        self.assertEqual([], events)
        self.assertEqual(["follow w0 10", "get", "poll 10"], store.calls[:3])


class FailingStore(ScriptedStore):
    """Connections to instances that fail unexpectedly, at `step`."""

    step = ""

    def fail(self, step):
        if step == self.step:
            raise AttributeError(step)

    async def get(self, key):
        self.calls.append("get")
        self.fail("value")
        return StoredValue(key, b"large", 11)

    @asynccontextmanager
    async def follow(self, address, after_revision, history=None):
        self.calls.append(f"follow {address} {after_revision}")
        self.fail("opening")
        yield self.stream(address)
        self.fail("closing")

    async def stream(self, address):
        self.fail("first")
        yield PassedChanges((PassedChange("k", 11, None, must_be_read=True),), 11)
        await asyncio.sleep(0.02)
        self.fail("next")
        raise ChangePeerError("ended")


class UnexpectedErrorTest(TestCase):
    @parameterized.expand(
        [(step,) for step in ("opening", "first", "value", "next", "closing")]
    )
    @run_async
    async def test_an_unexpected_error_of_an_instance_does_not_end_the_watch(
        self, step
    ):
        store = FailingStore()
        store.step = step
        watch = make_shared_watch(store)
        await watch_for(watch, 0.3)
        asked = [call for call in store.calls if not call.startswith("get")]
        self.assertEqual("follow w0 10", asked[0])
        self.assertIn("follow w1", " ".join(asked))
        self.assertTrue(any(call.startswith("poll") for call in asked))
        self.assertIsNone(watch.unreached_since)


def is_in_force(version):
    """Return the condition that an instance has a version of the configuration."""
    return lambda each: each.tables.current().version == version


class SharedWatchTest(TestCase):
    @run_async
    async def test_only_the_watchers_ask_the_store_again_and_again(self):
        async with running_domain(FLEET) as simulation:
            self.assertEqual(MIN_WATCHERS, len(simulation.watchers()))
            self.assertEqual(FLEET - MIN_WATCHERS, len(simulation.followers()))
            polls = {n: e.watch.polls for n, e in simulation.instances.items()}
            for index in range(6):
                simulation.write_upstream(index)
                await asyncio.sleep(0.25)
            await simulation.wait_for_upstreams(6)
            asked = {
                name
                for name, each in simulation.instances.items()
                if each.watch.polls > polls[name]
            }
            self.assertEqual(set(simulation.watchers()), asked)

    @run_async
    async def test_a_large_configuration_is_read_from_the_store_by_each(self):
        async with running_domain(FLEET) as simulation:
            calls = Counter(simulation.store.calls)
            filler = [{"name": f"s{n}"} for n in range(LARGE_VALUE_BYTES)]
            large = configuration(2, services=[{"name": "s"}, *filler])
            simulation.store.store.write(CONFIGURATION_KEY, large)
            await simulation.wait_for_all(is_in_force(2))
            calls = Counter(simulation.store.calls) - calls
            self.assertEqual(FLEET - MIN_WATCHERS, calls[READ_KEY])
            self.assertEqual(0, calls[READ_RANGE])

    @parameterized.expand([("one", 1), ("all", MIN_WATCHERS)])
    @run_async
    async def test_a_change_is_in_force_in_time_after_the_end_of_watchers(
        self, _, count
    ):
        async with running_domain(FLEET) as simulation:
            await asyncio.gather(
                *map(simulation.stop_instance, simulation.watchers()[:count])
            )
            simulation.store.store.write(CONFIGURATION_KEY, configuration(2))
            await simulation.wait_for_all(is_in_force(2))

    @run_async
    async def test_a_change_is_in_force_in_time_while_watchers_are_silent(self):
        async with running_domain(FLEET) as simulation:
            with patch.object(ChangeFeed, "publish", lambda *_: None):
                simulation.store.store.write(CONFIGURATION_KEY, configuration(2))
                await simulation.wait_for_all(is_in_force(2))

    @run_async
    async def test_an_outage_of_the_store_is_noticed_by_those_that_follow(self):
        async with running_domain(FLEET) as simulation:
            simulation.store.store.faults.down = True
            await simulation.wait_for_all(
                lambda each: each.fleet.upstreams.store_lost_at is not None
            )
            simulation.write_upstream(0)
            simulation.store.store.faults.down = False
            await simulation.wait_for_upstreams(1)

    @run_async
    async def test_changes_arrive_after_the_store_has_dropped_its_history(self):
        async with running_domain(FLEET) as simulation:
            simulation.store.faults.oldest_revision = simulation.store.store.revision
            simulation.write_upstream(0)
            simulation.store.faults.oldest_revision = simulation.store.store.revision
            await simulation.wait_for_upstreams(1, 2 * 2.0)

    @run_async
    async def test_instances_that_come_later_follow_and_miss_nothing(self):
        async with running_domain(FLEET) as simulation:
            simulation.write_upstream(0)
            await simulation.add_instance("entry-late")
            simulation.write_upstream(1)
            await simulation.wait_for_upstreams(2)
            await simulation.wait_for_all(
                lambda each: (
                    bool(each.watch.source) == bool(each.watch.sharing.watchers)
                ),
                3 * AVOIDANCE_S,
            )
            simulation.write_upstream(2)
            await simulation.wait_for_upstreams(3)


class SlowValueStore(ScriptedStore):
    """A store whose large values take long to read; `reads` are those in progress."""

    def __init__(self, **passed):
        super().__init__(**passed)
        self.may_read = asyncio.Event()

    async def get(self, key):
        self.calls.append("get")
        await self.may_read.wait()
        return StoredValue(key, b"large", self.revision)


class LargeValueTest(TestCase):
    @run_async
    async def test_drain_a_small_change_does_not_wait_for_a_large_value(self):
        passed = [
            PassedChanges((PassedChange("config", 11, None, must_be_read=True),), 11),
            PassedChanges((PassedChange("upstream", 12, b"leaving"),), 12),
            PassedChanges((PassedChange("config", 13, None, must_be_read=True),), 13),
            PassedChanges((PassedChange("other", 14, None),), 14),
        ]
        store = SlowValueStore(w0=passed)
        seen, revisions = [], []
        async with aclosing(make_shared_watch(store).watch("", 11)) as answers:
            async with asyncio.timeout(2.0):
                async for answer in answers:
                    seen += [(each.key, each.revision) for each in answer.events]
                    revisions.append(answer.revision)
                    if len(seen) == 2:
                        store.may_read.set()
                    if answer.revision == 14:
                        break
        self.assertEqual([("upstream", 12), ("other", 14)], seen[:2])
        self.assertEqual([("config", 11), ("config", 13)], seen[2:])
        # What is not read yet is asked for again after a failure.
        self.assertEqual([10, 10, 10, 10, 11, 14], revisions)
        self.assertEqual(["get", "get"], [c for c in store.calls if c == "get"])

    @run_async
    async def test_versions_that_came_before_a_read_are_read_once(self):
        versions = [
            PassedChange("config", revision, None, must_be_read=True)
            for revision in (11, 12, 13)
        ]
        store = SlowValueStore(w0=[PassedChanges(tuple(versions), 13)])
        store.may_read.set()
        async with aclosing(make_shared_watch(store).watch("", 11)) as answers:
            await anext(answers)
            read = await anext(answers)
        self.assertEqual([13], [each.revision for each in read.events])
        self.assertEqual(13, read.revision)
        self.assertEqual(["follow w0 10", "get"], store.calls)

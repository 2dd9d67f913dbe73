"""Test that a stream goes on only at the version of upstreams that began it."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import (
    MAY_HAVE_RUN,
    NOT_RUN,
    RESUMABLE,
    event,
    failed,
    filter_by_type,
    make_upstream_report,
)
from tests.common.relay_fixtures import (
    SERVICE,
    make_relay_shared,
    make_test_relay,
    make_upstream,
)
from tests.common.version_fixtures import running_version_simulation
from tests.common.waiting import wait_until
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    FindVersion,
    LoadsReported,
    QueryLoads,
    StartRelay,
    UpstreamProbed,
    VersionFound,
)
from turmericusher.decisions.stream_versions import (
    ASKED_COUNT,
    HOLDER_COUNT,
    KEPT_S,
    SAVE_BURST,
    FoundVersion,
    SavedStream,
    ServiceVersions,
    StoredVersion,
    StreamVersion,
    StreamVersions,
    conclude_version,
    make_service_versions,
)

TWO_VERSIONS = ("v1", "v2", "v1", "v2", "v1", "v2")
STREAMS = 12
EVENTS = 8


class MixedVersionTest(TestCase):
    @run_async
    async def test_a_stream_that_loses_its_upstream_goes_on_at_the_same_version(self):
        async with running_version_simulation(
            TWO_VERSIONS, instances=1, events=EVENTS, die_after=3
        ) as simulation:
            for number in range(STREAMS):
                request_id = f"q{number}"
                _, events = await simulation.stream("entry-0", request_id, EVENTS)
                self.assertEqual(list(range(1, EVENTS + 1)), events)
                self.assertEqual(1, len(simulation.versions_of([request_id])))

    @run_async
    async def test_a_stream_taken_up_at_another_instance_goes_on_at_the_same_version(
        self,
    ):
        async with running_version_simulation(
            TWO_VERSIONS, events=EVENTS, event_gap_s=0.05
        ) as simulation:
            for number in range(STREAMS):
                first, second = f"entry-{number % 3}", f"entry-{(number + 1) % 3}"
                ids = [f"q{number}", f"q{number}-again"]
                await simulation.stream(first, ids[0], 3)
                _, events = await simulation.stream(
                    second, ids[1], EVENTS, Last_Event_Id="3", Resumes=ids[0]
                )
                self.assertEqual(list(range(4, EVENTS + 1)), events)
                self.assertEqual(1, len(simulation.versions_of(ids)))

    @run_async
    async def test_a_stream_goes_on_at_the_same_version_after_its_instance_has_ended(
        self,
    ):
        async with running_version_simulation(
            TWO_VERSIONS, instances=4, events=EVENTS, event_gap_s=0.05
        ) as simulation:
            ids = [(f"q{number}", f"q{number}-again") for number in range(STREAMS)]
            for first, _ in ids:
                await simulation.stream("entry-0", first, 3)
            await simulation.stop_instance("entry-0")
            for number, (first, second) in enumerate(ids):
                _, events = await simulation.stream(
                    f"entry-{1 + number % 3}",
                    second,
                    EVENTS,
                    Last_Event_Id="3",
                    Resumes=first,
                )
                self.assertEqual(list(range(4, EVENTS + 1)), events)
                self.assertEqual(1, len(simulation.versions_of([first, second])))


def make_mixed_shared(*versions):
    """Return the state of an instance with one upstream of each version."""
    shared = make_relay_shared(0)
    upstreams = [
        replace(make_upstream(index), version=version)
        for index, version in enumerate(versions)
    ]
    shared.selector.update(upstreams)
    shared.versions.update_upstreams(upstreams, 0.0)
    return shared


def make_running_stream(shared, events=1, **options):
    """Return a stream that has delivered some events, and its first attempt."""
    relay = make_test_relay(RESUMABLE, shared, **options)
    (start,) = relay.start(0.0)
    for number in range(1, events + 1):
        relay.handle(event(1, number), 0.1)
    return relay, start


def lose(relay, number, at=0.2, cause=AttemptCause.LOST):
    """Return the attempt that follows the loss of one, or None."""
    actions = relay.handle(failed(number, cause, MAY_HAVE_RUN, at), at)
    starts = filter_by_type(actions, StartRelay)
    return starts[0] if starts else None


class SendPathTest(TestCase):
    @parameterized.expand([(seed,) for seed in range(8)])
    def test_a_resume_and_its_standby_stay_at_the_version_of_the_stream(self, seed):
        shared = make_mixed_shared("v1", "v2", "v1", "v2", "v1", "v2")
        shared.selector.random.seed(seed)
        relay, start = make_running_stream(shared)
        version = start.upstream.version
        self.assertEqual(version, start.standby.version)
        from_copy = lose(relay, 1)
        self.assertTrue(from_copy.from_copy)
        self.assertEqual(version, from_copy.upstream.version)
        again = lose(relay, 2)
        self.assertEqual(version, again.upstream.version)

    def test_a_stream_without_an_upstream_of_its_version_waits_for_one(self):
        shared = make_mixed_shared("v1", "v2", "v2")
        upstreams = list(shared.selector.upstreams.values())
        shared.selector.update(upstreams[:1])
        relay, _ = make_running_stream(shared)
        shared.selector.update(upstreams[1:])
        self.assertIsNone(lose(relay, 1))
        self.assertEqual([], relay.tick(relay.wake_at()))
        shared.selector.update(upstreams)
        (start,) = relay.tick(relay.wake_at())
        self.assertEqual("v1", start.upstream.version)

    def test_a_standby_has_the_version_of_the_upstream_or_there_is_none(self):
        shared = make_mixed_shared("v1", "v2", "v2", "v2")
        first = shared.selector.upstreams["u0"]
        relay = make_test_relay(RESUMABLE, shared)
        self.assertIsNone(relay.choose_standby(first, 0.0))
        other = relay.choose_standby(shared.selector.upstreams["u1"], 0.0)
        self.assertEqual("v2", other.version)

    def test_an_attempt_placed_by_load_has_a_standby_of_its_version(self):
        shared = make_mixed_shared("v1", "v2", "v1", "v2", "v1")
        relay = make_test_relay(
            RESUMABLE, shared, reports_load=True, target_latency_s=1e3
        )
        (query,) = relay.start(0.0)
        reports = {each.name: make_upstream_report() for each in query.candidates}
        (start,) = relay.handle(LoadsReported(0.1, reports), 0.1)
        self.assertEqual(start.upstream.version, start.standby.version)

    def test_a_stream_that_has_begun_queries_only_upstreams_of_its_version(self):
        shared = make_mixed_shared("v1", "v2", "v1", "v2", "v1")
        relay = make_test_relay(
            RESUMABLE, shared, reports_load=True, target_latency_s=1e3
        )
        (query,) = relay.start(0.0)
        reports = {each.name: make_upstream_report() for each in query.candidates}
        (start,) = relay.handle(LoadsReported(0.1, reports), 0.1)
        relay.handle(event(1, 1), 0.1)
        shared.selector.mark_replaced(start.standby)
        lost = failed(1, AttemptCause.LOST, MAY_HAVE_RUN)
        (query,) = filter_by_type(relay.handle(lost, 0.2), QueryLoads)
        versions = {each.version for each in query.candidates}
        self.assertEqual({start.upstream.version}, versions)

    def test_a_stream_that_no_longer_hears_of_its_upstream_stays_at_its_version(self):
        shared = make_mixed_shared("v1", "v2", "v1", "v2")
        relay, start = make_running_stream(shared)
        now = relay.wake_at()
        relay.tick(now)
        actions = relay.handle(UpstreamProbed(1, now, None), now)
        (resumed,) = filter_by_type(actions, StartRelay)
        self.assertEqual(start.upstream.version, resumed.upstream.version)

    def test_an_attempt_before_any_event_may_follow_at_another_version(self):
        shared = make_mixed_shared("v1", "v2")
        relay, start = make_running_stream(shared, events=0)
        other = lose(relay, 1)
        self.assertNotEqual(start.upstream.version, other.upstream.version)


class TakenUpTest(TestCase):
    def take_up(self, shared, found, resumes="q0"):
        """Return the actions for a stream that its caller takes up again."""
        relay = make_test_relay(RESUMABLE, shared, resume_after=3)
        relay.request = replace(relay.request, resumes=resumes)
        self.assertEqual([FindVersion(resumes, SERVICE)], relay.start(0.0))
        return relay.handle(VersionFound(found), 0.1)

    @parameterized.expand([("v1", "u0"), ("v2", "u1")])
    def test_it_goes_on_at_the_version_that_is_found(self, version, upstream):
        shared = make_mixed_shared("v1", "v2")
        found = FoundVersion(version, frozenset({"v1", "v2"}))
        (start,) = self.take_up(shared, found)
        self.assertEqual(upstream, start.upstream.name)

    @parameterized.expand([("with its id", "q0"), ("without it", None)])
    def test_it_is_refused_if_no_one_knows_which_of_two_versions_began_it(
        self, _, resumes
    ):
        shared = make_mixed_shared("v1", "v2")
        found = FoundVersion(None, frozenset({"v1", "v2"}))
        (refusal,) = self.take_up(shared, found, resumes)
        self.assertIsInstance(refusal, Fail)
        self.assertEqual(NOT_RUN, refusal.verdict)
        self.assertGreater(refusal.retry_after_s, 0.0)

    @parameterized.expand([("with its id", "q0"), ("without it", None)])
    def test_it_goes_on_if_there_is_only_one_version(self, _, resumes):
        shared = make_mixed_shared("v1", "v1")
        found = FoundVersion("v1", frozenset({"v1"}))
        (start,) = self.take_up(shared, found, resumes)
        self.assertEqual(3, start.resume_after)

    def test_it_is_refused_while_no_upstream_of_its_version_is_live(self):
        shared = make_mixed_shared("v2", "v2")
        (refusal,) = self.take_up(shared, FoundVersion("v1", frozenset({"v2"})))
        self.assertEqual(NOT_RUN, refusal.verdict)


def make_versions(instances=8, own="e0"):
    """Return what an instance knows of versions, with a service of two of them."""
    versions = StreamVersions()
    versions.update_instances(own, [f"e{number}" for number in range(instances)])
    return versions


def list_versions(versions, *names, now=0.0):
    """Let an instance list upstreams of these versions."""
    upstreams = [
        replace(make_upstream(index), version=name) for index, name in enumerate(names)
    ]
    versions.update_upstreams(upstreams, now)


class StreamVersionsTest(TestCase):
    def test_nobody_is_told_while_there_is_one_version(self):
        versions = make_versions()
        list_versions(versions, "v1", "v1")
        versions.record_begin("q1", SERVICE, "v1", 1.0)
        self.assertEqual({}, versions.take_unsent())

    def test_some_instances_are_told_of_a_stream_while_there_are_two(self):
        versions = make_versions()
        list_versions(versions, "v1", "v2")
        versions.record_begin("q1", SERVICE, "v1", 1.0)
        unsent = versions.take_unsent()
        self.assertEqual(HOLDER_COUNT, len(unsent))
        self.assertNotIn("e0", unsent)
        self.assertEqual([[StreamVersion("q1", "v1")]] * 2, list(unsent.values()))

    def test_streams_that_run_are_told_of_when_a_second_version_comes(self):
        versions = make_versions()
        list_versions(versions, "v1")
        versions.record_begin("q1", SERVICE, "v1", 1.0)
        versions.record_begin("q2", SERVICE, "v1", 1.0)
        versions.record_end("q2")
        list_versions(versions, "v1", "v2", now=2.0)
        told = {
            r.stream for records in versions.take_unsent().values() for r in records
        }
        self.assertEqual({"q1"}, told)

    @parameterized.expand([(count,) for count in (3, 8, 86, 420)])
    def test_any_instance_asks_those_that_were_told(self, count):
        for number in range(50):
            stream = f"q{number}"
            owner = make_versions(count, own=f"e{number % count}")
            holders = set(owner.ranked(stream, HOLDER_COUNT))
            for other in range(0, count, max(1, count // 10)):
                asker = make_versions(count, own=f"e{other}")
                asked = {*asker.ranked(stream, ASKED_COUNT), asker.own}
                self.assertEqual(set(), holders - asked)

    def test_an_instance_that_takes_a_stream_up_keeps_the_version_that_began_it(self):
        versions = make_versions()
        versions.record_known(StreamVersion("q1", "v1"), 1.0)
        versions.record_known(StreamVersion("q1", "v2"), 2.0)
        self.assertEqual("v1", versions.find("q1", SERVICE, 3.0).version)

    def test_what_is_known_expires_and_does_not_grow(self):
        versions = make_versions()
        for number in range(1_000):
            record = StreamVersion(f"q{number}", "v1")
            versions.record_known(record, float(number))
        self.assertEqual(KEPT_S, len(versions.known))

    def test_a_version_counts_as_seen_for_a_while_after_its_last_upstream(self):
        versions = make_versions()
        list_versions(versions, "v1", "v2")
        list_versions(versions, "v2", now=1.0)
        seen = versions.versions_seen(SERVICE, KEPT_S - 0.1)
        self.assertEqual(frozenset({"v1", "v2"}), seen)
        self.assertEqual(
            frozenset({"v2"}), versions.versions_seen(SERVICE, KEPT_S + 0.5)
        )

    def test_a_version_is_recorded_before_a_stream_begins_at_one_of_several(self):
        versions = make_versions()
        list_versions(versions, "v1")
        self.assertFalse(versions.must_record("q1", SERVICE, "v1", 1.0))
        list_versions(versions, "v1", "v2", now=2.0)
        self.assertTrue(versions.must_record("q1", SERVICE, "v2", 2.0))
        versions.begin_saving("q1", 2.0)
        # The write may have failed.
        self.assertTrue(versions.must_record("q1", SERVICE, "v2", 2.0))
        versions.finish_saving(SavedStream("q1", SERVICE, "v2"))
        self.assertFalse(versions.must_record("q1", SERVICE, "v2", 2.0))
        self.assertTrue(versions.must_record("q1", SERVICE, "v1", 2.0))

    @parameterized.expand(
        [
            ("the store is away", lambda each: setattr(each, "is_store_lost", True)),
            ("a write has failed", lambda each: each.pause_saving(2.0)),
            ("the limit is reached", lambda each: save_many(each, 2 * SAVE_BURST)),
        ]
    )
    def test_no_stream_begins_at_a_version_that_cannot_be_recorded_while(self, _, act):
        versions = make_versions()
        list_versions(versions, "v1", now=1.0)
        record = make_service_versions(SERVICE, frozenset({"v1"}))
        versions.record_saved(record, 1.0)
        list_versions(versions, "v1", "v2", now=2.0)
        self.assertEqual(frozenset(), versions.closed_versions(SERVICE, 2.0))
        act(versions)
        self.assertEqual(frozenset({"v2"}), versions.closed_versions(SERVICE, 2.0))
        list_versions(versions, "v2", now=2.0)
        self.assertEqual(frozenset(), versions.closed_versions(SERVICE, 2.0))

    def test_a_stream_that_cannot_be_recorded_begins_elsewhere_and_costs_nothing(self):
        shared = make_mixed_shared("v1", "v2")
        record = make_service_versions(SERVICE, frozenset({"v1"}))
        shared.versions.record_saved(record, 0.0)
        shared.selector.mark_replaced(shared.selector.upstreams["u0"])
        relay = make_test_relay(RESUMABLE, shared)
        (start,) = relay.start(0.0)
        self.assertTrue(start.must_record)
        shared.selector.replaced.clear()
        shared.versions.pause_saving(0.1)
        unrecorded = failed(1, AttemptCause.UNRECORDED, NOT_RUN, 0.1)
        (start,) = filter_by_type(relay.handle(unrecorded, 0.1), StartRelay)
        self.assertEqual("v1", start.upstream.version)
        self.assertEqual(1, relay.sends)
        self.assertFalse(shared.reach.services_cut_off())


ONE, OTHER = frozenset({"v1"}), frozenset({"v2"})
NOBODY = FoundVersion(None, ONE)


class UnrecordedTest(TestCase):
    # Streams that began before there was a second version were refused (LOST).
    @parameterized.expand(
        [
            ("the first one", None, {"v1"}, "v1"),
            ("the former one beside a new one", "v1", {"v1", "v2"}, "v1"),
            ("none of two that were there at first", None, {"v1", "v2"}, None),
            ("the only one that is left", "v1", {"v2"}, "v2"),
            ("none of two that came later", "v1", {"v2", "v3"}, None),
        ]
    )
    def test_the_version_whose_streams_need_no_record_is(
        self, _, before, versions, expected
    ):
        record = make_service_versions(SERVICE, frozenset(versions), before)
        self.assertEqual(expected, record.unrecorded)

    def test_only_streams_of_another_version_need_a_record(self):
        versions = make_versions()
        versions.record_saved(make_service_versions(SERVICE, ONE | OTHER, "v1"), 0.0)
        list_versions(versions, "v1", "v2")
        self.assertFalse(versions.must_record("q1", SERVICE, "v1", 1.0))
        self.assertTrue(versions.must_record("q1", SERVICE, "v2", 1.0))
        versions.record_begin("q1", SERVICE, "v1", 1.0)
        self.assertEqual(0, len(versions.unsaved))
        self.assertEqual(HOLDER_COUNT, len(versions.take_unsent()))

    def test_a_former_record_of_another_attempt_is_replaced(self):
        versions = make_versions()
        versions.record_saved(make_service_versions(SERVICE, ONE | OTHER, "v1"), 0.0)
        versions.finish_saving(SavedStream("q1", SERVICE, "v2"))
        self.assertTrue(versions.must_record("q1", SERVICE, "v1", 1.0))


class ConcludeTest(TestCase):
    # An instance that was out of step took its one version for the only one there is.
    @parameterized.expand(
        [
            ("another instance knows it", 4, [NOBODY, FoundVersion("v2")], None, "v2"),
            ("the store knows it", 4, [], ("v2", ONE | OTHER), "v2"),
            ("the store has one version", 0, [], (None, ONE), "v1"),
            ("the store has no record of the service", 0, [], (None, None), "v1"),
            ("the store has another version", 4, [], (None, OTHER), None),
            (
                "an instance has seen another version",
                1,
                [FoundVersion(None, OTHER)],
                (None, ONE),
                None,
            ),
            ("the store is away and all but one answer", 4, [NOBODY] * 3, None, "v1"),
            ("the store is away and too few answer", 4, [NOBODY] * 2, None, None),
            ("the store is away and both answer", 2, [NOBODY] * 2, None, "v1"),
            ("the store is away and one of two answers", 2, [NOBODY], None, None),
            ("the store is away and there is nobody else", 0, [], None, None),
        ]
    )
    def test_a_stream_nobody_here_knows_goes_on_only_if_that_is_confirmed(
        self, _, asked, answers, stored, version
    ):
        if stored is not None:
            of_stream, of_service = stored
            service = ServiceVersions(SERVICE, of_service) if of_service else None
            stored = StoredVersion(of_stream, service)
        found = conclude_version(NOBODY, asked, answers, stored)
        self.assertEqual(version, found.version)
        self.assertEqual(version is not None, found.may_go_on)


def save_many(versions, count):
    """Let an instance write as many records at once."""
    for number in range(count):
        versions.begin_saving(f"q{number}", 2.0)


class ExchangeTest(TestCase):
    @run_async
    async def test_an_instance_that_does_not_answer_is_passed_over(self):
        async with running_version_simulation(("v1", "v2")) as simulation:
            node = simulation.instances["entry-0"]
            exchange = node.frontend.context.versions
            silent = node.fleet.instances.entries["entry-1"]
            node.fleet.instances.entries["entry-1"] = replace(
                silent, peer_address="127.0.0.1:9"
            )
            found = await exchange.find("unknown", SERVICE)
            self.assertEqual(FoundVersion(None, frozenset({"v1", "v2"})), found)
            self.assertFalse(found.may_go_on)

    # An unexpected error of one connection ended the search, though others knew.
    @run_async
    async def test_a_version_is_found_though_asking_one_instance_fails_unexpectedly(
        self,
    ):
        async with running_version_simulation(("v1", "v2")) as simulation:
            node = simulation.instances["entry-0"]
            exchange = node.frontend.context.versions
            peers = await exchange.peers
            simulation.instances["entry-2"].shared.versions.record_known(
                StreamVersion("q1", "v2"), 1e9
            )
            failing = node.fleet.instances.entries["entry-1"].peer_address

            class FailingPeers:
                async def ask(self, address, stream, service, timeout_s):
                    if address == failing:
                        raise AttributeError("unexpected")
                    return await peers.ask(address, stream, service, timeout_s)

            exchange.peers = asyncio.get_running_loop().create_future()
            exchange.peers.set_result(FailingPeers())
            found = await exchange.find("q1", SERVICE)
            self.assertEqual("v2", found.version)

    @run_async
    async def test_a_stream_goes_on_while_the_upstreams_of_its_version_leave(self):
        async with running_version_simulation(
            ("v1", "v1", "v1", "v2"), instances=2, events=6, event_gap_s=0.05
        ) as simulation:
            ids = ["q1", "q1-again"]
            await simulation.stream("entry-0", ids[0], 2)
            for index in range(2):
                simulation.write_upstream_entry(index, "draining")
            upstreams = simulation.instances["entry-1"].fleet.upstreams.entries
            await wait_until(lambda: upstreams["u1"].lifecycle is Lifecycle.LEAVING)
            began_at = simulation.versions_of(ids)
            status, _ = await simulation.stream(
                "entry-1", ids[1], 6, Last_Event_Id="2", Resumes=ids[0]
            )
            self.assertEqual(200, status)
            self.assertEqual(began_at, simulation.versions_of(ids))

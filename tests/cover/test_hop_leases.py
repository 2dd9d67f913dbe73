"""Test the leases of forwarded streams, and what they make a forwarder wait for."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
import socket
from dataclasses import replace

from grpclib.server import Server
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.crash_fixtures import BAD_PART, make_blocked_shared
from tests.common.relay_events import (
    IDEMPOTENT,
    MAY_HAVE_RUN,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE,
    STREAM,
    event,
    failed,
    filter_by_type,
)
from tests.common.relay_fixtures import (
    SERVICE,
    make_instance,
    make_relay_shared,
    make_test_relay,
)
from turmericusher.decisions.crash_records import request_traits
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.hop_leases import (
    FIRST_QUESTION_INTERVAL_S,
    LEASE_S,
    MARGIN_S,
    QUESTION_INTERVAL_S,
    ForwardedHops,
    HopAnswer,
    ServedHops,
)
from turmericusher.decisions.reachability import ServiceReach
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    BreakStream,
    EndHop,
    HopEnded,
    StartRelay,
)
from turmericusher.decisions.relay_state import FORWARD_STALL_S
from turmericusher.peers.hops_service import HopChannels, HopsService
from turmericusher.peers.streams_service import StreamChannels
from turmericusher.ports.hop_peers import (
    HopPeerError,
    HopPeerGoneError,
    HopsUnknownError,
)

PLAYS = 2_000
LATER_S = 1e6
"""A time after all that is played."""


def answer(*wanted, number=1):
    """Return the answer of a forwarder that still waits for some streams."""
    return HopAnswer(frozenset(wanted), number)


class ServedHopsTest(TestCase):
    def ask(self, served, now):
        """Return the only question that is due."""
        (question,) = served.take_questions(now)
        return question

    def test_a_forwarder_is_asked_at_once_then_each_interval(self):
        served = ServedHops()
        served.begin("e0", "q1", 1.0)
        asked_at = []
        for tick in range(100, 300):
            for question in served.take_questions(tick / 100):
                asked_at.append(question.at)
                served.record_answer(question, answer("q1"))
                served.close_question(question)
        self.assertEqual([1.0, 1.5, 2.0, 2.5], asked_at)

    def test_one_question_lists_all_streams_of_a_forwarder(self):
        served = ServedHops()
        for forwarder, request_id in (("e0", "q2"), ("e0", "q1"), ("e1", "q3")):
            served.begin(forwarder, request_id, 1.0)
        listed = {each.forwarder: each for each in served.take_questions(1.0)}
        self.assertEqual(["q1", "q2"], listed["e0"].request_ids())
        self.assertEqual(["q3"], listed["e1"].request_ids())
        self.assertEqual([], served.take_questions(LATER_S))

    def test_a_stream_that_is_new_is_asked_for_sooner_but_not_each_by_itself(self):
        served = ServedHops()
        questions = []
        for number in range(100):
            now = 1.0 + number / 100
            served.begin("e0", f"q{number}", now)
            for question in served.take_questions(now):
                questions.append(question)
                served.close_question(question)
        self.assertLessEqual(len(questions), 1.0 / FIRST_QUESTION_INTERVAL_S + 1)
        self.assertGreater(len(questions), 1.0 / QUESTION_INTERVAL_S + 1)
        listings = [each for each in questions if "q0" in each.request_ids()]
        self.assertEqual(1.0 / QUESTION_INTERVAL_S, len(listings))
        asked = {name for each in questions for name in each.request_ids()}
        self.assertLessEqual({f"q{number}" for number in range(90)}, asked)

    def test_a_lease_counts_from_when_its_question_was_sent(self):
        served = ServedHops()
        hop = served.begin("e0", "q1", 1.0)
        question = self.ask(served, 1.2)
        # However late the answer comes.
        self.assertEqual([], served.record_answer(question, answer("q1")))
        self.assertEqual([], served.expired(1.19 + LEASE_S))
        self.assertEqual([hop], served.expired(1.21 + LEASE_S))

    def test_an_answer_to_an_earlier_question_does_not_shorten_a_lease(self):
        served = ServedHops()
        served.begin("e0", "q1", 1.0)
        first = self.ask(served, 1.0)
        served.close_question(first)
        second = self.ask(served, 1.6)
        served.record_answer(second, answer("q1"))
        served.record_answer(first, answer("q1"))
        self.assertEqual([], served.expired(1.59 + LEASE_S))

    def test_a_stream_without_any_answer_ends_a_lease_after_it_arrived(self):
        served = ServedHops()
        hop = served.begin("e0", "q1", 1.0)
        served.close_question(self.ask(served, 1.0))
        self.assertEqual([hop], served.expired(1.01 + LEASE_S))

    def test_only_what_was_asked_for_is_ended_by_an_answer(self):
        served = ServedHops()
        hop = served.begin("e0", "q1", 1.0)
        question = self.ask(served, 1.0)
        served.begin("e0", "q2", 1.1)
        self.assertEqual([hop], served.record_answer(question, answer()))

    def test_a_forwarder_that_knows_no_leases_is_not_asked_again(self):
        served = ServedHops()
        served.begin("e0", "q1", 1.0)
        question = self.ask(served, 1.0)
        served.record_unknown(question)
        served.close_question(question)
        self.assertEqual([], served.take_questions(LATER_S))
        self.assertEqual([], served.expired(LATER_S))
        self.assertIsNone(served.wake_at())

    def test_nothing_is_due_without_streams(self):
        served = ServedHops()
        self.assertIsNone(served.wake_at())
        hop = served.begin("e0", "q1", 1.0)
        served.close_question(self.ask(served, 1.0))
        self.assertEqual(1.0 + QUESTION_INTERVAL_S, served.wake_at())
        served.end(hop)
        self.assertIsNone(served.wake_at())
        kept = served.by_forwarder, served.asked_at, served.listed_at
        self.assertEqual(({}, {}, {}), kept)


class ForwardedHopsTest(TestCase):
    def test_only_the_receiver_is_confirmed_and_only_while_it_is_waited_for(self):
        hops = ForwardedHops()
        hop = hops.begin(make_instance("e1", incarnation="i1"), "q1", 1.0)
        for server, incarnation, wanted in (
            ("e1", "i1", {"q1"}),
            ("e1", "i2", set()),
            ("e2", "i1", set()),
        ):
            asked = hops.confirm(server, incarnation, ["q1", "q2"], 2.0)
            self.assertEqual(wanted, asked.wanted)
        hops.end(hop)
        self.assertEqual(frozenset(), hops.confirm("e1", "i1", ["q1"], 3.0).wanted)
        self.assertEqual((2.0, {}), (hop.confirmed_at, hops.hops))

    @parameterized.expand(
        [
            ("never_confirmed", None, None, 1.0),
            ("never_confirmed_but_heard", None, 4.0, 4.0),
            ("confirmed", 5.0, 4.0, 5.0),
        ]
    )
    def test_a_receiver_has_let_go_a_lease_after_it_was(
        self, _, confirmed_at, first_event_at, counted_from
    ):
        hops = ForwardedHops()
        hop = hops.begin(make_instance("e1"), "q1", 1.0)
        if confirmed_at is not None:
            hops.confirm("e1", "", ["q1"], confirmed_at)
        self.assertEqual(counted_from + LEASE_S + MARGIN_S, hop.ends_by(first_event_at))

    def test_an_end_by_an_earlier_answer_is_that_of_another_run(self):
        hops = ForwardedHops()
        hop = hops.begin(make_instance("e1"), "q1", 1.0)
        before = hops.confirm("e1", "", ["q1"], 1.1).number
        self.assertFalse(hop.is_ended_by(before))
        hops.end(hop)
        self.assertFalse(hop.is_ended_by(before))
        self.assertTrue(hop.is_ended_by(hops.confirm("e1", "", ["q1"], 1.2).number))

    def test_a_forwarder_rarely_waits_longer_than_for_an_event(self):
        self.assertLess(LEASE_S + MARGIN_S, FORWARD_STALL_S)
        self.assertLess(2 * QUESTION_INTERVAL_S, LEASE_S)


def start_forward(kind=RESUMABLE, **options):
    """Return a relay whose first attempt goes by another instance, and its state."""
    shared = make_relay_shared()
    names = ("e0", "e1", "e2", "e3")
    shared.forwarding.update_instances("e0", map(make_instance, names))
    shared.reach.services[SERVICE] = ServiceReach({"u0": LATER_S}, is_unreachable=True)
    relay = make_test_relay(kind, shared, **options)
    (start,) = relay.start(0.0)
    assert start.hop is not None
    return relay, start


class ReleaseTest(TestCase):
    def fail_after_event(self, cause, verdict=MAY_HAVE_RUN):
        """Return a relay, and the actions after its attempt failed at 0.2 s."""
        relay, _ = start_forward()
        relay.handle(event(1, 1), 0.1)
        return relay, relay.handle(failed(1, cause, verdict, 0.2), 0.2)

    @parameterized.expand(
        [
            ("lost", AttemptCause.LOST),
            ("malformed", AttemptCause.MALFORMED),
            ("silent", AttemptCause.SILENT),
            ("unanswered", AttemptCause.UNANSWERED),
        ]
    )
    def test_twice_a_stream_does_not_go_on_while_the_other_may_run_it(self, _, cause):
        relay, actions = self.fail_after_event(cause)
        (end,) = actions
        self.assertEqual(("q1", 1), (end.hop.request_id, end.attempt))
        self.assertEqual(0.1 + LEASE_S + MARGIN_S, end.ends_by)
        self.assertEqual([], relay.handle(HopEnded(1, is_certain=False), 0.3))
        self.assertEqual([], relay.handle(HopEnded(2, is_certain=True), 0.3))
        (start,) = filter_by_type(
            relay.handle(HopEnded(1, is_certain=True), 0.4), StartRelay
        )
        self.assertEqual((2, 1), (start.attempt, start.resume_after))
        self.assertEqual([], relay.handle(HopEnded(1, is_certain=True), 0.5))

    @parameterized.expand(
        [
            ("it_answered_with_a_failure", AttemptCause.FAILED, MAY_HAVE_RUN),
            ("it_refused", AttemptCause.REFUSED, NOT_RUN),
            ("it_was_not_reached", AttemptCause.UNREACHABLE, NOT_RUN),
        ]
    )
    def test_a_stream_goes_on_at_once_if(self, _, cause, verdict):
        relay, actions = self.fail_after_event(cause, verdict)
        self.assertEqual([], filter_by_type(actions, EndHop))
        self.assertEqual(1, len(filter_by_type(actions, StartRelay)))
        self.assertEqual(1, len(relay.shared.forwarded.hops))

    def test_without_an_answer_a_stream_goes_on_when_the_lease_is_over(self):
        relay, (end,) = self.fail_after_event(AttemptCause.LOST)
        self.assertEqual(end.ends_by, relay.wake_at())
        self.assertEqual([], relay.tick(end.ends_by - 0.01))
        actions = relay.tick(end.ends_by)
        self.assertEqual(1, len(filter_by_type(actions, StartRelay)))

    @parameterized.expand(
        [
            ("long_ago", FORWARD_STALL_S - LEASE_S - MARGIN_S, StartRelay),
            ("just_now", FORWARD_STALL_S, EndHop),
        ]
    )
    def test_a_stalled_stream_waits_only_if_it_was_confirmed(self, _, at, expected):
        relay, start = start_forward(deadline=20.0)
        relay.handle(event(1, 1), 0.1)
        hops, first = relay.shared.forwarded, relay.attempts[1].forwarded
        hops.confirm(start.upstream.name, "", ["q1"], at)
        now = relay.wake_at()
        self.assertAlmostEqual(0.1 + FORWARD_STALL_S, now)
        types = {type(action) for action in relay.tick(now)}
        self.assertEqual({StartRelay, EndHop} & types, {expected})
        self.assertNotIn(first, itertools.chain(*hops.hops.values()))

    @parameterized.expand([(each.value, each) for each in (IDEMPOTENT, NON_IDEMPOTENT)])
    def test_a_request_that_does_not_go_on_has_no_lease_of_kind(self, _, kind):
        relay, _ = start_forward(kind)
        self.assertEqual({}, relay.shared.forwarded.hops)
        actions = relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        self.assertEqual(1, len(filter_by_type(actions, Fail)))

    def test_a_stream_that_may_not_be_resumed_has_no_lease(self):
        relay, _ = start_forward(STREAM)
        relay.handle(event(1, 1), 0.1)
        actions = relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        self.assertEqual(1, len(filter_by_type(actions, BreakStream)))

    def test_a_request_that_ends_while_it_waits_may_have_run(self):
        relay, _ = start_forward(deadline=1.0)
        (end,) = relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        self.assertGreater(end.ends_by, 1.0)
        (failure,) = relay.tick(relay.wake_at())
        self.assertEqual(MAY_HAVE_RUN, failure.verdict)

    def test_nothing_is_waited_for_once_the_caller_has_gone(self):
        relay, _ = start_forward()
        relay.close(0.2)
        self.assertEqual({}, relay.shared.forwarded.hops)

    def test_a_request_that_crashes_upstreams_leaves_nothing_to_wait_for(self):
        relay = make_test_relay(RESUMABLE, make_blocked_shared())
        relay.request = replace(relay.request, prompt_parts=(BAD_PART, "0"))
        relay.traits = request_traits(relay.request)
        actions = relay.start_forward(make_instance("e1"), 0.1)
        self.assertEqual(1, len(filter_by_type(actions, Fail)))
        self.assertEqual({}, relay.shared.forwarded.hops)


class LeasePlay:
    """A forwarder and a server of one stream over a network that loses and delays.

    The server's clock is ahead by `offset_s`, and its timers are late by less than the
    margin. It plays until the forwarder goes on.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.offset_s = self.random.uniform(-1e4, 1e4)
        self.loss = self.random.choice((0.0, 0.3, 0.7))
        self.longest_s = self.random.choice((0.01, 0.4, 3.0))
        self.served, self.forwarded = ServedHops(), ForwardedHops()
        self.events, self.order = [], itertools.count()
        self.run, self.ended_at, self.was_confirmed = None, None, False

    def later(self, at, work):
        """Do some work at a time."""
        heapq.heappush(self.events, (at, next(self.order), work))

    def send(self, now, work):
        """Do some work when a message arrives, if it does."""
        if self.random.random() >= self.loss:
            self.later(now + self.random.uniform(0.0, self.longest_s), work)

    def play(self):
        """Return when the server ended the run, and when the forwarder goes on."""
        hop = self.forwarded.begin(make_instance("e1"), "q1", 0.0)
        self.later(0.0, self.serve)
        gives_up_at = self.random.uniform(0.0, 12.0)
        while self.events and self.events[0][0] < gives_up_at:
            now, _, work = heapq.heappop(self.events)
            work(now)
        self.forwarded.end(hop)
        goes_on_at = max(gives_up_at, hop.ends_by(0.0))
        while self.events and self.ended_at is None:
            now, _, work = heapq.heappop(self.events)
            work(now)
        return self.ended_at, goes_on_at

    def serve(self, now):
        """Begin the run."""
        self.run = self.served.begin("e0", "q1", now + self.offset_s)
        self.wake(now)

    def wake(self, now):
        """Do what is due at the server, and wake again when more is."""
        if self.ended_at is not None:
            return
        clock = now + self.offset_s
        if self.run in self.served.expired(clock):
            self.ended_at = now
            return
        for question in self.served.take_questions(clock):
            self.send(now, lambda at, q=question: self.confirm(at, q))
            self.later(
                now + QUESTION_INTERVAL_S, lambda at, q=question: self.close(at, q)
            )
        due_s = self.served.wake_at() - clock
        self.later(now + max(0.0, due_s) + self.random.uniform(0.0, 0.2), self.wake)

    def close(self, now, question):
        """Give a question up, and ask again if that is due."""
        self.served.close_question(question)
        self.wake(now)

    def confirm(self, now, question):
        """Answer a question at the forwarder."""
        told = self.forwarded.confirm("e1", "", question.request_ids(), now)
        self.was_confirmed |= bool(told.wanted)
        self.send(now, lambda at: self.record(at, question, told))

    def record(self, now, question, told):
        """Take an answer at the server."""
        if self.ended_at is None and self.served.record_answer(question, told):
            self.ended_at = now


class LeasePlayTest(TestCase):
    def test_twice_a_forwarder_goes_on_only_after_the_server_has_ended(self):
        waited, confirmed = 0, 0
        for seed in range(PLAYS):
            play = LeasePlay(seed)
            ended_at, goes_on_at = play.play()
            self.assertIsNotNone(ended_at, f"seed={seed}")
            self.assertLessEqual(ended_at, goes_on_at, f"seed={seed}")
            waited += goes_on_at > ended_at
            confirmed += play.was_confirmed
        # The plays reach what they are to show.
        self.assertGreater(waited, PLAYS / 4)
        self.assertGreater(confirmed, PLAYS / 4)


def server_address(server):
    """Return the `ip:port` of a server."""
    return "{}:{}".format(*server._server.sockets[0].getsockname())


class HopChannelsTest(TestCase):
    @run_async
    async def test_the_calls_bring_what_both_sides_say(self):
        told = []

        async def end(*arguments):
            told.append(arguments)
            return True

        service = HopsService(
            lambda *arguments: told.append(arguments) or answer("q1", number=7),
            lambda *arguments: told.append(arguments),
            end,
        )
        server = Server([service])
        await server.start("127.0.0.1", 0)
        address = server_address(server)
        channels = StreamChannels()
        try:
            peers = HopChannels(channels)
            asked = await peers.confirm(address, "e1", "i1", ["q1", "q2"], 1.0)
            await peers.tell_ended(address, "e1", "i1", ["q2"], 7, 1.0)
            was_running = await peers.end(address, "e0", "i1", "q1", 1.0)
        finally:
            channels.close()
            server.close()
            await server.wait_closed()
        self.assertEqual((answer("q1", number=7), True), (asked, was_running))
        expected = [
            ("e1", "i1", ["q1", "q2"]),
            ("e1", "i1", ["q2"], 7),
            ("e0", "i1", "q1"),
        ]
        self.assertEqual(expected, told)

    @run_async
    async def test_an_instance_of_the_build_before_is_told_from_one_that_is_gone(self):
        server = Server([])
        await server.start("127.0.0.1", 0)
        address = server_address(server)
        with socket.socket() as silent:
            silent.bind(("127.0.0.1", 0))
            silent.listen()
            channels = StreamChannels()
            peers = HopChannels(channels)
            silent_address = "{}:{}".format(*silent.getsockname())
            try:
                with self.assertRaises(HopsUnknownError):
                    await peers.end(address, "e0", "i1", "q1", 1.0)
                with self.assertRaises(HopPeerError) as raised:
                    await peers.end(silent_address, "e0", "i1", "q1", 0.05)
                self.assertIs(HopPeerError, type(raised.exception))
                server.close()
                await server.wait_closed()
                await asyncio.sleep(0)
                with self.assertRaises(HopPeerGoneError):
                    await peers.confirm(address, "e1", "i1", ["q1"], 1.0)
            finally:
                channels.close()

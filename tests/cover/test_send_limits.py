"""Test that instances together keep the limits that upstreams name."""

import asyncio
import random
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from benchmarks.limit_model import LimitSpan, Traffic, simulate_limits
from tests.common.asynchronous import run_async
from tests.common.relay_events import (
    IDEMPOTENT,
    MAY_HAVE_RUN,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE,
    failed,
    filter_by_type,
    make_started_stream,
)
from tests.common.relay_fixtures import (
    make_relay_shared,
    make_test_relay,
    make_upstream,
    running_relay_simulation,
    runs,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.relay_messages import AttemptCause, StartRelay
from turmericusher.decisions.send_limits import UNCLAIMED_EXPIRY_S, SendLimits
from turmericusher.errors import ErrorCode
from turmericusher.platform.names import INSTANCE_PREFIX
from turmericusher.platform.records import encode_instance
from turmericusher.standins.platform_upstream import UpstreamFault

NAMED_AT_S = 5.0
LIFTED_AT_S = 25.0
ALL_THREE = ("u0", "u1", "u2")
TWO_OF_THREE = ("u0", "u1")


def span(per_s, upstreams, begins_at=NAMED_AT_S, ends_at=LIFTED_AT_S):
    """Return the span of a limit."""
    return LimitSpan(per_s, begins_at, ends_at, upstreams)


TRAFFICS = [
    ("one instance", Traffic(1, 3, 24.0), span(2.5, TWO_OF_THREE)),
    ("8 instances", Traffic(8, 3, 24.0), span(2.5, TWO_OF_THREE)),
    (
        "8 instances and all upstreams limited",
        Traffic(8, 3, 24.0),
        span(2.5, ALL_THREE),
    ),
    ("8 instances and a low limit", Traffic(8, 3, 24.0), span(0.4, ALL_THREE)),
    ("most calls at one instance", Traffic(8, 3, 24.0, 0.8), span(2.5, ALL_THREE)),
    (
        "an instance that starts later",
        Traffic(8, 3, 24.0, starts_at=12.0),
        span(2.5, ALL_THREE),
    ),
    ("30 instances", Traffic(30, 3, 80.0), span(2.5, ALL_THREE)),
    ("86 instances", Traffic(86, 3, 160.0), span(2.5, ALL_THREE)),
    ("86 instances and a high limit", Traffic(86, 3, 160.0), span(30.0, ALL_THREE)),
    (
        "86 instances and a burst after a lull",
        Traffic(86, 3, 6.0, burst_at=100.0, burst_factor=25.0),
        span(2.5, ALL_THREE, ends_at=130.0),
    ),
    ("100 instances and a low limit", Traffic(100, 3, 160.0), span(0.4, TWO_OF_THREE)),
]


class NamedLimitTest(TestCase):
    @parameterized.expand(TRAFFICS)
    def test_an_upstream_does_not_get_more_than_the_limit_that_it_names_with(
        self, _, traffic, limit
    ):
        simulation = simulate_limits(traffic, (limit,), until=limit.ends_at + 5.0)
        self.assertLessEqual(simulation.worst_excess(limit), 0.0)

    @parameterized.expand(TRAFFICS)
    def test_no_call_waits_behind_a_limit_with(self, _, traffic, limit):
        # The model fails if a refusal does not say that the call has not run.
        counts = simulate_limits(traffic, (limit,)).counts
        self.assertEqual(0.0, counts.held_s)
        self.assertTrue(all(0.0 < each <= 1.3 for each in counts.retry_times_s))

    def test_calls_go_to_the_upstream_that_names_no_limit(self):
        limit = span(2.5, TWO_OF_THREE)
        counts = simulate_limits(Traffic(8, 3, 24.0), (limit,)).counts
        self.assertEqual(0, counts.refusals)

    @parameterized.expand(
        [
            ("8 instances", Traffic(8, 3, 24.0)),
            ("most calls at one instance", Traffic(8, 3, 24.0, 0.5)),
            ("86 instances", Traffic(86, 3, 160.0)),
        ]
    )
    def test_most_of_a_limit_is_used_while_more_calls_arrive_at(self, _, traffic):
        limit = span(2.5, ALL_THREE)
        simulation = simulate_limits(traffic, (limit,))
        rates = [simulation.mean_rate(each, 10.0, 25.0) for each in ALL_THREE]
        self.assertGreaterEqual(min(rates), 0.5 * limit.per_s, rates)

    @parameterized.expand(
        [("8 instances", Traffic(8, 3, 24.0)), ("86 instances", Traffic(86, 3, 160.0))]
    )
    def test_an_upstream_is_used_as_before_soon_after_its_limit_is_gone_with(
        self, _, traffic
    ):
        limit = span(2.5, ALL_THREE, ends_at=15.0)
        simulation = simulate_limits(traffic, (limit,))
        rates = [simulation.mean_rate(each, 20.0, 30.0) for each in ALL_THREE]
        self.assertGreaterEqual(min(rates), 0.75 * traffic.calls_per_s / 3, rates)


class SharedLimitTest(TestCase):
    """Twenty instances, of which some share an upstream's limit of 2.5 a second."""

    def limits_of(self, is_sharer):
        """Return the limits of an instance that shares, or does not share, this one."""
        names = [f"e{number}" for number in range(20)]
        for own in names:
            limits = SendLimits(random.Random(1))
            limits.update_instances(own, dict.fromkeys(names, frozenset()))
            limits.record_answer(make_upstream(0), 2.5, 0.0)
            if bool(limits.claims()) == is_sharer:
                return limits
        raise AssertionError("all instances share the limit, or none")

    def tell(self, limits, claims, now):
        """Let another instance's record say which limits it shares."""
        listed = dict.fromkeys(limits.instances, frozenset())
        other = next(name for name in listed if name != limits.own)
        limits.update_instances(limits.own, listed | {other: claims})
        limits.drop_lifted(now)

    def test_an_instance_that_shares_no_limit_sends_nothing_until_it_is_gone(self):
        limits = self.limits_of(is_sharer=False)
        self.tell(limits, frozenset({"u0"}), 1.0)
        self.assertEqual({"u0"}, limits.blocked(1e4))
        self.tell(limits, frozenset(), 1e4)
        self.assertEqual(frozenset(), limits.blocked(1e4))

    def test_instances_that_learn_a_limit_together_do_not_send_together(self):
        names = [f"e{number}" for number in range(8)]
        waits = []
        for number, own in enumerate(names):
            limits = SendLimits(random.Random(number))
            limits.update_instances(own, dict.fromkeys(names, frozenset()))
            limits.record_answer(make_upstream(0), 2.5, 0.0)
            waits.append(limits.wait_s("u0", 0.0))
        self.assertLessEqual(sum(wait_s < 0.4 for wait_s in waits), 3, waits)
        self.assertLessEqual(max(waits), 8 / 2.5)

    def test_an_instance_takes_over_from_sharers_that_have_gone(self):
        limits = self.limits_of(is_sharer=False)
        self.assertEqual({"u0"}, limits.blocked(1e4))
        limits.update_instances(limits.own, {limits.own: frozenset()})
        self.assertEqual(frozenset(), limits.blocked(1.0))

    def test_a_limit_that_no_other_instance_tells_of_is_dropped_after_a_time(self):
        limits = self.limits_of(is_sharer=False)
        self.tell(limits, frozenset(), UNCLAIMED_EXPIRY_S)
        self.assertEqual({}, limits.limits)

    @parameterized.expand(
        [
            ("just learned", False, (frozenset({"u0"}), frozenset()), 2.0),
            ("shared by another", False, (frozenset({"u0"}),), 9.0),
            ("not told of by any other yet", False, (frozenset(),), 9.0),
            ("shared by this instance", True, (frozenset({"u0"}), frozenset()), 9.0),
        ]
    )
    def test_a_limit_stays_in_force_that_is(self, _, is_sharer, claims, now):
        limits = self.limits_of(is_sharer)
        for each in claims:
            self.tell(limits, each, now)
        self.assertEqual(["u0"], list(limits.limits))


def make_limited_shared(count, limited, per_s=1.0):
    """Return the state of an instance that has just sent to its limited upstreams."""
    shared = make_relay_shared(count)
    for index in range(limited):
        shared.send_limits.record_answer(make_upstream(index), per_s, 0.0)
        shared.send_limits.record_send(f"u{index}", 0.0)
    return shared


class LimitedRequestTest(TestCase):
    @parameterized.expand(
        [("idempotent", IDEMPOTENT), ("non idempotent", NON_IDEMPOTENT)]
    )
    def test_a_call_is_refused_at_once_when_all_upstreams_are_at_their_limits(
        self, _, kind
    ):
        relay = make_test_relay(kind, make_limited_shared(3, 3))
        (refusal,) = relay.start(0.1)
        self.assertIsInstance(refusal, Fail)
        self.assertEqual(
            (ErrorCode.OVERLOADED, NOT_RUN), (refusal.code, refusal.verdict)
        )
        self.assertTrue(0.0 < refusal.retry_after_s <= 1.3)

    def test_a_retry_avoids_upstreams_at_their_limits(self):
        shared = make_limited_shared(4, 2)
        relay = make_test_relay(NON_IDEMPOTENT, shared)
        (first,) = relay.start(0.1)
        refusal = failed(1, AttemptCause.OVERLOADED, NOT_RUN)
        (second,) = relay.handle(refusal, 0.1)
        self.assertEqual({"u2", "u3"}, {first.upstream.name, second.upstream.name})
        last = relay.handle(failed(2, AttemptCause.OVERLOADED, NOT_RUN), 0.1)
        self.assertEqual(NOT_RUN, filter_by_type(last, Fail)[0].verdict)

    def test_a_hedge_avoids_upstreams_at_their_limits(self):
        shared = make_limited_shared(2, 1)
        relay = make_test_relay(IDEMPOTENT, shared)
        (start,) = relay.start(0.0)
        self.assertEqual("u1", start.upstream.name)
        self.assertEqual([], relay.tick(relay.wake_at()))

    @parameterized.expand([("soon", 0.5, True), ("late", 5.0, False)])
    def test_a_lost_stream_waits_for_its_copy_if_the_limit_of_the_holder_allows_it(
        self, _, interval_s, is_from_copy
    ):
        shared = make_relay_shared()
        relay, start = make_started_stream(shared)
        holder = start.standby
        shared.send_limits.record_answer(holder, 1.0 / interval_s, 0.1)
        shared.send_limits.record_send(holder.name, 0.1)
        actions = relay.handle(failed(1, AttemptCause.LOST, MAY_HAVE_RUN), 0.2)
        if is_from_copy:
            self.assertEqual([], actions)
            actions = relay.tick(relay.wake_at())
        (resumed,) = filter_by_type(actions, StartRelay)
        self.assertEqual(is_from_copy, resumed.from_copy)
        self.assertEqual(is_from_copy, resumed.upstream == holder)

    def test_a_limit_ends_with_the_incarnation_that_named_it(self):
        shared = make_limited_shared(1, 1)
        shared.send_limits.retain_listed({"u0": make_upstream(0, incarnation="2")})
        (start,) = make_test_relay(NON_IDEMPOTENT, shared).start(0.1)
        self.assertEqual("u0", start.upstream.name)

    def test_an_upstream_that_takes_nothing_is_tried_only_after_a_long_time(self):
        shared = make_limited_shared(1, 1, per_s=0.0)
        for at in (0.1, 10.0, 29.0):
            (refusal,) = make_test_relay(
                RESUMABLE, shared, arrived_at=at, deadline=1e9
            ).start(at)
            self.assertIsInstance(refusal, Fail)


class LimitedNodeTest(TestCase):
    @run_async
    async def test_an_instance_keeps_the_limit_of_its_upstreams_and_refuses_the_rest(
        self,
    ):
        async with running_relay_simulation(upstreams=2) as simulation:
            for upstream in simulation.upstreams:
                upstream.send_limit = "0.5"
            answers = [await simulation.call(NON_IDEMPOTENT) for _ in range(20)]
            served = [answer for answer in answers if answer.status == 200]
            refused = [answer for answer in answers if answer.status == 503]
            # One untold send to each, and a first turn that may come at once.
            self.assertLessEqual(len(served), 4)
            self.assertEqual(20, len(served) + len(refused))
            self.assertEqual(len(served), runs(simulation))
            for answer in refused:
                self.assertTrue(0.0 < float(answer.headers["retry-after"]) <= 1.3)

    @parameterized.expand(
        [("no number", "many"), ("negative", "-1"), ("endless", "inf"), ("nan", "nan")]
    )
    @run_async
    async def test_a_malformed_limit_is_no_limit_and_breaks_no_answer(self, _, text):
        async with running_relay_simulation(upstreams=1) as simulation:
            simulation.upstreams[0].send_limit = text
            answers = [await simulation.call(NON_IDEMPOTENT) for _ in range(5)]
            self.assertEqual({200}, {answer.status for answer in answers})

    @run_async
    async def test_a_refusal_that_names_no_limit_does_not_end_the_limit(self):
        async with running_relay_simulation(upstreams=1) as simulation:
            (upstream,) = simulation.upstreams
            upstream.send_limit = "2"
            await simulation.call(NON_IDEMPOTENT)
            upstream.faults = [UpstreamFault.SHED]
            await asyncio.sleep(0.6)
            for _ in range(5):
                await simulation.call(NON_IDEMPOTENT)
            self.assertEqual(2, len(upstream.calls))

    @run_async
    async def test_a_limit_is_gone_with_the_first_answer_that_does_not_name_it(self):
        async with running_relay_simulation(upstreams=1) as simulation:
            (upstream,) = simulation.upstreams
            upstream.send_limit = "2"
            await simulation.call(NON_IDEMPOTENT)
            upstream.send_limit = None
            await asyncio.sleep(0.6)
            answers = [await simulation.call(NON_IDEMPOTENT) for _ in range(5)]
            self.assertEqual([200] * 5, [answer.status for answer in answers])

    @run_async
    async def test_an_instance_tells_in_its_record_which_limits_it_shares(self):
        async with running_relay_simulation(upstreams=6) as simulation:
            for number in range(20):
                other = replace(simulation.node.own, name=f"other-{number}")
                key = f"{INSTANCE_PREFIX}{other.name}"
                simulation.store.store.write(key, encode_instance(other))
            limits = simulation.node.shared.send_limits
            instances = simulation.node.fleet.instances
            own = simulation.node.own.name
            # An instance counts itself before the store has brought its own record.
            await wait_until(lambda: len(limits.instances) == 21)
            await wait_until(lambda: own in instances.entries)
            for upstream in simulation.upstreams:
                upstream.send_limit = "2.5"
            for _ in range(40):
                await simulation.call(NON_IDEMPOTENT)
            await wait_until(lambda: bool(limits.claims()))
            await wait_until(
                lambda: instances.entries[own].limited_upstreams == limits.claims()
            )
            for upstream in simulation.upstreams:
                upstream.send_limit = None
            # A sharer sees that the limit is gone when its next turn comes.
            async with asyncio.timeout(20.0):
                while limits.claims():
                    await simulation.call(NON_IDEMPOTENT)
                    await asyncio.sleep(0.1)
            await wait_until(lambda: not instances.entries[own].limited_upstreams)

"""Test relayed streams while long prompts exceed the engines' prefill capacity."""

from parameterized import parameterized
from testtools import TestCase

from benchmarks import policies
from benchmarks.relay_model import DURATION_S, ENGINES, PREFILL_S, TARGET_S, simulate
from tests.common.relay_events import make_upstream_report
from tests.common.relay_fixtures import (
    SERVICE,
    make_relay_shared,
    make_test_relay,
    start_taken_up,
)
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.placing.free_capacity import (
    PrefillTime,
    TypicalSize,
    count_streams_to_end,
    expected_wait,
)
from turmericusher.decisions.relay_messages import (
    LoadsReported,
    StartRelay,
    UpstreamReport,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.profiles import NORMAL_URGENCY

SIZE = 8_000
TEN_STREAMS = {f"q{number}": 9 for number in range(10)}
"""Streams that have produced events, so that their prompts are prefilled."""

SIX_STREAMS = {f"q{number}": 9 for number in range(6)}


class OverloadTest(TestCase):
    @parameterized.expand([("half", 0.5), ("three quarters", 0.75)])
    def test_below_capacity_nearly_all_streams_start_in_time(self, _, load):
        result = simulate(load, TARGET_S)
        total = result.in_time + result.late + result.refused
        self.assertTrue(result.in_time >= 0.97 * total, result)

    @parameterized.expand([("one and a half", 1.5), ("two", 2.0), ("three", 3.0)])
    def test_above_capacity_the_streams_in_time_stay_near_capacity(self, _, load):
        capacity = ENGINES * DURATION_S / PREFILL_S
        result = simulate(load, TARGET_S)
        self.assertTrue(result.in_time >= 0.85 * capacity, (result, capacity))

    def test_without_refusals_nearly_all_streams_start_late(self):
        result = simulate(1.5, target_s=1e9)
        self.assertTrue(result.in_time <= 0.2 * result.late, result)

    def test_each_service_has_its_own_prefill_time(self):
        shared = make_relay_shared(1)
        shared.prefill_times["long", NORMAL_URGENCY] = PrefillTime(2.0)
        shared.prefill_times[SERVICE, NORMAL_URGENCY] = PrefillTime(0.02)
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            reports_load=True,
            target_latency_s=0.5,
        )
        relay.start(0.0)
        reports = {"u0": UpstreamReport("1", 2, 1, 0, 88_000, {})}
        (action,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertIsInstance(action, StartRelay)

    def test_no_stream_is_refused_before_a_prefill_time_is_measured(self):
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            make_relay_shared(1),
            reports_load=True,
            target_latency_s=0.3,
        )
        relay.start(0.0)
        reports = {"u0": UpstreamReport("1", 1, 0, 0, 88_000, {})}
        (action,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertIsInstance(action, StartRelay)

    @parameterized.expand(
        [
            ("fits no upstream", 10**9, 0.0),
            ("fits one", 87_000, 87_000.0),
            ("is at an upstream of unknown memory", 10**9, 10.0**9),
        ]
    )
    def test_config_a_stated_size_counts_for_others_only_if_it(
        self, name, size, expected
    ):
        shared = make_relay_shared(1)
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            reports_load=True,
            target_latency_s=TARGET_S,
            size=size,
        )
        relay.start(0.0)
        total = 0 if "unknown" in name else 88_000
        reports = {"u0": UpstreamReport("1", 0, 0, 0, total, {})}
        relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertEqual(expected, shared.typical_size(SERVICE).mean)

    @parameterized.expand(
        [("a new stream", None, Fail), ("a resumed stream", 41, StartRelay)]
    )
    def test_under_overload_only_resumed_streams_are_accepted(
        self, _, resume_after, expected
    ):
        # All machines were lost, and the callers return for the rest of their streams.
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            make_relay_shared(1),
            resume_after=resume_after,
            reports_load=True,
            target_latency_s=TARGET_S,
        )
        start_taken_up(relay)
        reports = {"u0": make_upstream_report(9, 9)}
        (action,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertIsInstance(action, expected)

    def test_the_retry_time_leaves_time_to_be_served(self):
        shared = make_relay_shared(1)
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            reports_load=True,
            target_latency_s=TARGET_S,
        )
        relay.start(0.0)
        reports = {"u0": UpstreamReport("1", 1, 9, 0, 88_000, {})}
        (refusal,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertTrue(0.2 < refusal.retry_after_s < TARGET_S - PREFILL_S, refusal)


class FreeCapacityTest(TestCase):
    """Prompts that fill the engines' memory before prefill becomes the bottleneck."""

    @parameterized.expand(
        [
            (
                "capacity for all",
                make_upstream_report(3, used=24_000, made=TEN_STREAMS),
                0,
                0,
            ),
            (
                "capacity for one",
                make_upstream_report(9, used=79_000, made=TEN_STREAMS),
                0,
                0,
            ),
            (
                "no capacity",
                make_upstream_report(10, used=82_000, made=TEN_STREAMS),
                0,
                1,
            ),
            (
                "no capacity and some waiting",
                make_upstream_report(10, 2, 82_000, TEN_STREAMS),
                0,
                3,
            ),
            (
                "others were placed just now",
                make_upstream_report(9, used=79_000, made=TEN_STREAMS),
                2,
                2,
            ),
            (
                "prompts in prefill grow",
                make_upstream_report(9, used=72_000, made=SIX_STREAMS),
                0,
                1,
            ),
        ]
    )
    def test_how_many_streams_must_end_before_one_more_fits(
        self, _, upstream_report, placed, expected
    ):
        self.assertEqual(expected, count_streams_to_end(upstream_report, placed, SIZE))

    @parameterized.expand([("nearly full", 80_000, 1), ("half full", 44_000, 0)])
    def test_without_a_known_size_an_engine_is_full_near_its_limit(
        self, _, used, expected
    ):
        self.assertEqual(
            expected, count_streams_to_end(make_upstream_report(10, 9, used), 5, 0)
        )

    def test_a_request_of_unknown_size_counts_with_the_mean_size(self):
        size = TypicalSize()
        for recorded in (0, 1_000, 0, 9_000, 0):
            size.record_size(recorded)
        self.assertEqual(1_500.0, size.mean)

    def test_copies_of_streams_of_other_engines_free_capacity_as_well(self):
        # One stream runs beside nine copies, all of which end within 9 s.
        upstream_report = make_upstream_report(1, used=82_000, made=TEN_STREAMS)
        wait = expected_wait(upstream_report, 0, SIZE, PrefillTime(1.0), 9.0)
        self.assertTrue(1.5 < wait.first_event_s < 2.0, wait)

    @parameterized.expand(
        [("long streams", 12.0, Fail), ("short streams", 1.0, StartRelay)]
    )
    def test_a_stream_is_refused_if_capacity_is_freed_too_late(
        self, _, duration_s, expected
    ):
        shared = make_relay_shared(1)
        shared.stream_duration.record_duration(duration_s)
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            reports_load=True,
            target_latency_s=TARGET_S,
            size=SIZE,
        )
        relay.start(0.0)
        reports = {"u0": make_upstream_report(10, 1, 88_000, TEN_STREAMS)}
        (action,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertIsInstance(action, expected)

    @parameterized.expand([("once", 1.0), ("twice", 2.0), ("three times", 3.0)])
    def test_goodput_stays_flat_above_capacity(self, _, load):
        best = policies.result_row(
            "", 0.75, policies.simulate(policies.place_as_shipped, 0.75, 1)
        )
        row = policies.result_row(
            "", load, policies.simulate(policies.place_as_shipped, load, 1)
        )
        least = 0.85 * best["in_time_of_capacity"]
        self.assertGreaterEqual(row["in_time_of_capacity"], least, (row, best))

    @parameterized.expand([("once", 1.0), ("one and a half", 1.5), ("twice", 2.0)])
    def test_no_class_of_requests_is_served_much_worse_than_the_rest(self, _, load):
        rows = [
            policies.result_row(
                "", load, policies.simulate(policies.place_as_shipped, load, seed)
            )
            for seed in (1, 2, 3)
        ]
        mean = {
            name: sum(row[name] for row in rows) / len(rows)
            for name in ("in_time", "urgent", "others", "small_team", "longest_tenth")
        }
        self.assertGreaterEqual(mean["urgent"], mean["others"] - 0.1, mean)
        self.assertGreaterEqual(mean["small_team"], mean["in_time"] - 0.1, mean)
        self.assertGreaterEqual(mean["longest_tenth"], mean["in_time"] - 0.1, mean)

"""What callers get while more long prompts come than the engines can read."""

from parameterized import parameterized
from testtools import TestCase

from benchmarks.relay_model import DURATION_S, ENGINES, READ_S, TARGET_S, play
from tests.common.relay_parts import SERVICE, make_shared, started_relay
from turmericusher.decisions.relay_messages import (
    LoadsReported,
    StartRelay,
    UpstreamReport,
)
from turmericusher.decisions.room import ReadingTime
from turmericusher.decisions.routing import RequestKind
from turmericusher.profiles import NORMAL_URGENCY


class OverloadTest(TestCase):
    @parameterized.expand([("half", 0.5), ("three quarters", 0.75)])
    def test_below_the_capacity_nearly_all_come_in_time(self, _, load):
        played = play(load, TARGET_S)
        total = played.in_time + played.late + played.refused
        self.assertTrue(played.in_time >= 0.97 * total, played)

    @parameterized.expand([("one and a half", 1.5), ("two", 2.0), ("three", 3.0)])
    def test_above_the_capacity_the_engines_serve_in_time_what_they_can(self, _, load):
        capacity = ENGINES * DURATION_S / READ_S
        played = play(load, TARGET_S)
        self.assertTrue(played.in_time >= 0.85 * capacity, (played, capacity))

    def test_without_refusals_nearly_all_would_come_late(self):
        played = play(1.5, target_s=1e9)
        self.assertTrue(played.in_time <= 0.2 * played.late, played)

    def test_a_service_with_short_prompts_is_not_judged_by_one_with_long_ones(self):
        shared = make_shared(1)
        shared.readings["long", NORMAL_URGENCY] = ReadingTime(2.0)
        shared.readings[SERVICE, NORMAL_URGENCY] = ReadingTime(0.02)
        relay = started_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            reports_load=True,
            target_latency_s=0.5,
        )
        relay.start(0.0)
        reports = {"u0": UpstreamReport("1", 2, 1, 0, 88_000, {})}
        (action,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertIsInstance(action, StartRelay)

    def test_before_a_prompt_was_measured_a_short_target_is_no_reason_to_refuse(self):
        relay = started_relay(
            RequestKind.RESUMABLE_STREAM,
            make_shared(1),
            reports_load=True,
            target_latency_s=0.3,
        )
        relay.start(0.0)
        reports = {"u0": UpstreamReport("1", 1, 0, 0, 88_000, {})}
        (action,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertIsInstance(action, StartRelay)

    def test_the_time_to_come_back_leaves_time_to_be_served(self):
        shared = make_shared(1)
        relay = started_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            reports_load=True,
            target_latency_s=TARGET_S,
        )
        relay.start(0.0)
        reports = {"u0": UpstreamReport("1", 1, 9, 0, 88_000, {})}
        (refusal,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertTrue(0.2 < refusal.retry_after_s < TARGET_S - READ_S, refusal)

"""Test on which upstream a relayed stream is placed, and on which its standby."""

from parameterized import parameterized
from testtools import TestCase

from tests.common.relay_events import (
    NOT_RUN,
    filter_by_type,
    make_relay_querying_loads,
    make_upstream_report,
)
from tests.common.relay_fixtures import (
    make_relay_shared,
    make_upstream,
)
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.decisions.relay_messages import (
    LoadsReported,
    StartRelay,
)


class PlacementTest(TestCase):
    """Long prompts on engines whose memory holds few of them."""

    @parameterized.expand(
        [
            (
                "the least busy",
                {
                    0: make_upstream_report(3),
                    1: make_upstream_report(1),
                    2: make_upstream_report(2),
                },
                "u1",
            ),
            (
                "the shortest queue",
                {0: make_upstream_report(1, 3), 1: make_upstream_report(3)},
                "u1",
            ),
            (
                "the fewest prompts in prefill",
                {
                    0: make_upstream_report(2),
                    1: make_upstream_report(4, made={"a": 9, "b": 2, "c": 9}),
                },
                "u1",
            ),
            (
                "free memory",
                {0: make_upstream_report(1, used=85_000), 1: make_upstream_report(4)},
                "u1",
            ),
            (
                "the only one that answers",
                {2: make_upstream_report(9, 9, 88_000)},
                "u2",
            ),
        ]
    )
    def test_a_stream_is_placed_by_the_reported_loads(self, _, reports, expected):
        relay, query = make_relay_querying_loads()
        reports_by_name = {
            f"u{index}": upstream_report for index, upstream_report in reports.items()
        }
        (start,) = relay.handle(LoadsReported(0.01, reports_by_name), 0.01)
        self.assertEqual(expected, start.upstream.name)
        self.assertTrue(len(query.candidates) > 1)

    def test_simultaneous_streams_spread_over_the_upstreams(self):
        # Six streams arrive before any report can show the others.
        shared, chosen = make_relay_shared(), set()
        for _ in range(6):
            relay, _asked = make_relay_querying_loads(shared)
            reports = {f"u{index}": make_upstream_report() for index in range(6)}
            (start,) = relay.handle(LoadsReported(0.01, reports), 0.01)
            chosen.add(start.upstream.name)
        self.assertEqual(6, len(chosen))

    def test_a_stream_is_placed_without_reports_by_local_state(self):
        relay, _ = make_relay_querying_loads()
        self.assertEqual(
            1,
            len(
                filter_by_type(relay.handle(LoadsReported(0.05, {}), 0.05), StartRelay)
            ),
        )

    def test_an_upstream_that_leaves_during_the_query_is_not_used(self):
        relay, _ = make_relay_querying_loads()
        upstreams = relay.shared.selector.upstreams
        leaving = make_upstream(0, Lifecycle.LEAVING)
        others = [each for name, each in upstreams.items() if name != "u0"]
        relay.shared.selector.update([leaving, *others])
        reports = {"u0": make_upstream_report(0), "u1": make_upstream_report(9)}
        (start,) = relay.handle(LoadsReported(0.01, reports), 0.01)
        self.assertEqual("u1", start.upstream.name)

    def test_the_standby_is_the_next_best_of_another_domain(self):
        relay, _ = make_relay_querying_loads()
        reports = {
            "u0": make_upstream_report(0),
            "u3": make_upstream_report(1),
            "u4": make_upstream_report(2),
            "u5": make_upstream_report(3),
        }
        (start,) = relay.handle(LoadsReported(0.01, reports), 0.01)
        self.assertEqual(("u0", "u4"), (start.upstream.name, start.standby.name))

    def test_the_deadline_ends_the_load_query(self):
        relay, _ = make_relay_querying_loads()
        (failure,) = relay.tick(relay.wake_at())
        self.assertEqual(NOT_RUN, failure.verdict)
        self.assertEqual(
            [], relay.handle(LoadsReported(11.0, {"u0": make_upstream_report()}), 11.0)
        )

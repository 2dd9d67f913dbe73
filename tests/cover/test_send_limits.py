"""Test that instances together keep the limits that upstreams name."""

from parameterized import parameterized
from testtools import TestCase

from benchmarks.limit_model import LimitSpan, Traffic, simulate_limits

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
    ("100 instances and a low limit", Traffic(100, 3, 160.0), span(0.4, TWO_OF_THREE)),
]


class NamedLimitTest(TestCase):
    @parameterized.expand(TRAFFICS)
    def test_an_upstream_does_not_get_more_than_the_limit_that_it_names_with(
        self, _, traffic, limit
    ):
        simulation = simulate_limits(traffic, (limit,))
        self.assertLessEqual(simulation.worst_excess(limit), 0.0)

"""Test that repeats of running streams keep within the limit on all retries."""

from parameterized import parameterized
from testtools import TestCase

from benchmarks.stream_faults import (
    GROWN,
    SMALL,
    EngineFault,
    FaultSpan,
    make_simulation,
    worst_excess,
)
from tests.common.relay_fixtures import DOMAINS

FAULT_AT_S = 12.0
LAST_ARRIVAL_S = 20.0
END_S = 50.0
"""When every stream is over, as each may take 25 s."""

SILENCES_IN_TURN = tuple(
    FaultSpan(
        EngineFault.SILENT,
        FAULT_AT_S + 0.7 * step,
        FAULT_AT_S + 0.7 * step + 1.0,
        (DOMAINS[step % len(DOMAINS)],),
    )
    for step in range(9)
)
SILENCES_OF_ALL = tuple(
    FaultSpan(
        EngineFault.SILENT, FAULT_AT_S + 2.5 * step, FAULT_AT_S + 2.5 * step + 1.0
    )
    for step in range(3)
)


def fault_of_all(fault):
    """Return a fault that all engines have for two seconds."""
    return (FaultSpan(fault, FAULT_AT_S, FAULT_AT_S + 2.0),)


def simulate(deployment, faults):
    """Run a simulation to its end and return the records of its streams."""
    simulation = make_simulation(deployment, faults, LAST_ARRIVAL_S)
    simulation.run(END_S)
    return simulation.records


class RetryLimitTest(TestCase):
    @parameterized.expand(
        [
            ("refuse and 7 instances", SMALL, fault_of_all(EngineFault.SHEDS)),
            ("refuse and 86 instances", GROWN, fault_of_all(EngineFault.SHEDS)),
            ("reset and 7 instances", SMALL, fault_of_all(EngineFault.RESETS)),
            ("reset and 86 instances", GROWN, fault_of_all(EngineFault.RESETS)),
            ("pause and 7 instances", SMALL, SILENCES_OF_ALL),
            ("pause and 86 instances", GROWN, SILENCES_OF_ALL),
            ("pause in turn and 86 instances", GROWN, SILENCES_IN_TURN),
        ]
    )
    def test_running_streams_do_not_exceed_the_retry_limit_when_all_engines(
        self, _, deployment, faults
    ):
        records = simulate(deployment, faults)
        self.assertLessEqual(worst_excess(records), 0.0)

    @parameterized.expand(
        [
            ("all pause, 7 instances", SMALL, SILENCES_OF_ALL),
            ("all pause, 86 instances", GROWN, SILENCES_OF_ALL),
            ("they pause in turn, 7 instances", SMALL, SILENCES_IN_TURN),
            ("they pause in turn, 86 instances", GROWN, SILENCES_IN_TURN),
        ]
    )
    def test_streams_are_not_given_up_on_engines_that_go_on_when(
        self, _, deployment, faults
    ):
        records = simulate(deployment, faults)
        broken = [record for record in records if not record.is_complete]
        self.assertEqual([], broken)

    @parameterized.expand(
        [("refuse", EngineFault.SHEDS), ("reset", EngineFault.RESETS)]
    )
    def test_running_streams_outlast_the_lack_of_retries_when_all_engines(
        self, _, fault
    ):
        records = simulate(SMALL, fault_of_all(fault))
        broken = [record for record in records if record.events and record.is_broken]
        self.assertEqual([], broken)

"""Execution at most once: every fault at every step of a call, singly and in pairs.

A caller sends a key to instance 1, which stops at a step and has a fault there. The
caller repeats the key at instance 2, which in a pair has a second fault, and finally,
with all faults ended, at instance 3. The simulation checks the runs and the verdicts.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from itertools import product

from parameterized import parameterized
from testtools import TestCase

from tests.common.claim_simulation import RETENTION_S, ClaimSimulation, SimulatedRequest
from tests.common.gated_ports import Fault, Step
from turmericusher.errors import Verdict


class Disruption(enum.StrEnum):
    """A fault that occurs while an instance is stopped at a step."""

    DEATH = "death"
    PAUSE = "pause"
    PAUSE_BEYOND_RETENTION = "pause_beyond_retention"
    STORE_DOWN = "store_down"
    STORE_CUT_OFF = "store_cut_off"
    REPLY_LOST = "reply_lost"
    WRITE_LATE = "write_late"
    SERVICE_REFUSES = "service_refuses"
    SERVICE_DIES = "service_dies"
    ANSWER_LOST = "answer_lost"
    OWNER_LOST = "owner_lost"


RECOVERABLE_DISRUPTIONS = (
    Disruption.STORE_DOWN,
    Disruption.STORE_CUT_OFF,
    Disruption.REPLY_LOST,
    Disruption.SERVICE_REFUSES,
    Disruption.OWNER_LOST,
)
"""Disruptions that leave nothing undecided: a caller that repeats gets an answer."""


def apply_disruption(
    simulation: ClaimSimulation, number: int, disruption: Disruption
) -> None:
    """Apply a disruption to an instance, and let it continue unless it died or pauses.

    An instance under `PAUSE` continues at `heal`.
    """
    instance = simulation.instances[number]
    match disruption:
        case Disruption.DEATH:
            simulation.kill_instance(number)
            return
        case Disruption.PAUSE:
            return
        case Disruption.PAUSE_BEYOND_RETENTION:
            simulation.advance(RETENTION_S + 5)
            simulation.sweep(3)
            simulation.sweep(3)
        case Disruption.STORE_DOWN:
            simulation.store.faults.down = True
        case Disruption.STORE_CUT_OFF:
            instance.store.is_disconnected = True
        case Disruption.REPLY_LOST:
            instance.gate.should_lose_reply = True
        case Disruption.WRITE_LATE:
            instance.gate.faults[:] = [Fault.LATE]
        case Disruption.SERVICE_REFUSES:
            instance.port.faults[:] = [Fault.REFUSE]
        case Disruption.SERVICE_DIES:
            # With LATE, the service port fails a half-sent call, which never runs.
            instance.port.current_fault = Fault.LATE
            instance.port.faults[:] = [Fault.LATE]
        case Disruption.ANSWER_LOST:
            instance.port.current_fault = Fault.LOSE
            instance.port.faults[:] = [Fault.LOSE]
        case Disruption.OWNER_LOST:
            instance.router.owner = 9  # No instance has this number.
    instance.gate.opened.set()
    simulation.run_ready()


def heal(simulation: ClaimSimulation) -> None:
    """End every disruption, and apply the delayed writes."""
    simulation.store.faults.down = False
    for instance in simulation.instances.values():
        instance.store.is_disconnected = False
        instance.gate.opened.set()
    simulation.run_ready()
    simulation.apply_late_writes()
    simulation.advance(3.0)


def run_case(
    is_numbered: bool,
    first: tuple[Step, Disruption],
    second: tuple[Step, Disruption] | None = None,
    profile: str = "bookings",
) -> SimulatedRequest:
    """Run one case and return the last repeat of the request."""
    simulation = ClaimSimulation()
    try:
        simulation.start_instances()
        key = simulation.new_key(is_numbered)
        simulation.instances[1].gate.stop_at = first[0]
        simulation.request(key, 1, profile)
        simulation.advance(0.4)
        apply_disruption(simulation, 1, first[1])
        if second is not None:
            simulation.instances[2].gate.stop_at = second[0]
        simulation.request(key, 2, profile)
        simulation.advance(0.4)
        if second is not None:
            apply_disruption(simulation, 2, second[1])
        simulation.advance(2.5)
        heal(simulation)
        last_request = simulation.request(key, 3, profile)
        simulation.advance(3.0)
    finally:
        simulation.close()
    return last_request


def single_disruptions() -> Iterator[tuple[str, Step, Disruption]]:
    """Yield every disruption at every step, with a name for the case."""
    for step, disruption in product(Step, Disruption):
        yield f"{disruption}_{step}", step, disruption


def disruption_pairs() -> Iterator[tuple[str, Disruption, Disruption]]:
    """Yield every pair of disruptions, with a name for the case."""
    for first, second in product(Disruption, Disruption):
        yield f"{first}_and_{second}", first, second


class OnceMatrixTest(TestCase):
    @parameterized.expand(single_disruptions())
    def test_a_key_runs_at_most_once_under(
        self, _name: str, step: Step, disruption: Disruption
    ) -> None:
        for is_numbered in (False, True):
            last_request = run_case(is_numbered, (step, disruption))
            self.assertTrue(last_request.answer or last_request.error)
            if disruption in RECOVERABLE_DISRUPTIONS:
                self.assertIsNotNone(last_request.answer, repr(last_request.error))
            elif last_request.error is not None and last_request.key.runs:
                self.assertNotEqual(Verdict.NOT_RUN, last_request.error.verdict)

    @parameterized.expand(disruption_pairs())
    def test_a_key_runs_at_most_once_under_both(
        self, _name: str, first: Disruption, second: Disruption
    ) -> None:
        # Requests are numbered if both disruptions occur at the same step.
        for first_step, second_step in product(Step, Step):
            last_request = run_case(
                first_step is second_step, (first_step, first), (second_step, second)
            )
            self.assertTrue(
                last_request.answer or last_request.error, f"{first_step} {second_step}"
            )

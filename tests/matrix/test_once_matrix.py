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

from tests.common.claim_world import RETENTION_S, ClaimWorld, WorldRequest
from tests.common.gated_ports import Fault, Step
from turmericusher.errors import Verdict


class Trouble(enum.StrEnum):
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


CERTAIN_TROUBLES = (
    Trouble.STORE_DOWN,
    Trouble.STORE_CUT_OFF,
    Trouble.REPLY_LOST,
    Trouble.SERVICE_REFUSES,
    Trouble.OWNER_LOST,
)
"""Disruptions that leave nothing undecided: a caller that repeats gets an answer."""


def strike(world: ClaimWorld, number: int, trouble: Trouble) -> None:
    """Apply a disruption to an instance, and let it continue unless it died."""
    instance = world.instances[number]
    match trouble:
        case Trouble.DEATH:
            world.kill_instance(number)
            return
        case Trouble.PAUSE:
            return
        case Trouble.PAUSE_BEYOND_RETENTION:
            world.advance(RETENTION_S + 5)
            world.sweep(3)
            world.sweep(3)
        case Trouble.STORE_DOWN:
            world.store.faults.down = True
        case Trouble.STORE_CUT_OFF:
            instance.store.is_cut = True
        case Trouble.REPLY_LOST:
            instance.gate.loses_reply = True
        case Trouble.WRITE_LATE:
            instance.gate.faults[:] = [Fault.LATE]
        case Trouble.SERVICE_REFUSES:
            instance.port.faults[:] = [Fault.REFUSE]
        case Trouble.SERVICE_DIES:
            instance.port.coming = Fault.LATE
            instance.port.faults[:] = [Fault.LATE]
        case Trouble.ANSWER_LOST:
            instance.port.coming = Fault.LOSE
            instance.port.faults[:] = [Fault.LOSE]
        case Trouble.OWNER_LOST:
            instance.router.owner = 9
    instance.gate.opened.set()
    world.settle()


def heal(world: ClaimWorld) -> None:
    """End every disruption, and apply the delayed writes."""
    world.store.faults.down = False
    for instance in world.instances.values():
        instance.store.is_cut = False
        instance.gate.opened.set()
    world.settle()
    world.land_late_writes()
    world.advance(3.0)


def play(
    is_numbered: bool,
    first: tuple[Step, Trouble],
    second: tuple[Step, Trouble] | None = None,
    profile: str = "bookings",
) -> WorldRequest:
    """Run one case and return the last repeat of the request."""
    world = ClaimWorld()
    try:
        world.start_instances()
        key = world.new_key(is_numbered)
        world.instances[1].gate.stop_at = first[0]
        world.request(key, 1, profile)
        world.advance(0.4)
        strike(world, 1, first[1])
        if second is not None:
            world.instances[2].gate.stop_at = second[0]
        world.request(key, 2, profile)
        world.advance(0.4)
        if second is not None:
            strike(world, 2, second[1])
        world.advance(2.5)
        heal(world)
        last = world.request(key, 3, profile)
        world.advance(3.0)
    finally:
        world.close()
    return last


def singles() -> Iterator[tuple[str, Step, Trouble]]:
    """Yield every disruption at every step, with a name for the case."""
    for step, trouble in product(Step, Trouble):
        yield f"{trouble}_{step}", step, trouble


def trouble_pairs() -> Iterator[tuple[str, Trouble, Trouble]]:
    """Yield every pair of disruptions, with a name for the case."""
    for first, second in product(Trouble, Trouble):
        yield f"{first}_and_{second}", first, second


class OnceMatrixTest(TestCase):
    @parameterized.expand(singles())
    def test_a_key_runs_at_most_once_under(
        self, _name: str, step: Step, trouble: Trouble
    ) -> None:
        for is_numbered in (False, True):
            last = play(is_numbered, (step, trouble))
            self.assertTrue(last.answer or last.error)
            if trouble in CERTAIN_TROUBLES:
                self.assertIsNotNone(last.answer, repr(last.error))
            elif last.error is not None and last.key.runs:
                self.assertNotEqual(Verdict.NOT_RUN, last.error.verdict)

    @parameterized.expand(trouble_pairs())
    def test_a_key_runs_at_most_once_under_both(
        self, _name: str, first: Trouble, second: Trouble
    ) -> None:
        for step, other in product(Step, Step):
            last = play(step is other, (step, first), (other, second))
            self.assertTrue(last.answer or last.error, f"{step} {other}")

"""Faults at every step of an order, and of a ticket that waits for admission."""

import asyncio
import itertools
import random

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.call_fixtures import booking_call, make_runner, new_key, upstream_at
from tests.common.order_simulation import OrderSimulation
from turmericusher.decisions.admission import Admit, Refuse, ServiceAdmission
from turmericusher.decisions.capacity import CapacityView
from turmericusher.decisions.fair_queue import Ticket
from turmericusher.decisions.order_holder import Failure, Stage
from turmericusher.errors import RequestRefusedError, Verdict
from turmericusher.ports.services import open_service_port
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.admission import running_admission
from turmericusher.tasks.load_control import call_admission

ORDER_FAULTS = ("no_effect", "unknown", "late_reply", "died", "paused_before")
ORDER_ROWS = [
    (f"{stage.value}_{fault}_{name}", stage, fault, fenced)
    for stage, fault, (name, fenced) in itertools.product(
        Stage, ORDER_FAULTS, [("fenced", True), ("unfenced", False)]
    )
]


class OrderMatrixTest(TestCase):
    @parameterized.expand(ORDER_ROWS)
    def test_a_change_survives_a_fault_at_any_step(
        self, _name, stage, fault, fenced
    ) -> None:
        simulation = OrderSimulation({f"u{index}": fenced for index in range(4)})
        simulation.set_intent("v1")
        first_holder = simulation.holders[0]
        action = None
        while action is None or action.stage is not stage:
            if action is not None:
                simulation.run(first_holder, action)
            simulation.advance(0.1)
            action = first_holder.next_action(simulation.now)
        self.apply_fault(simulation, action, fault)
        survivors = (1,) if fault == "died" else (0, 1)
        simulation.run_without_faults(400, survivors)
        versions = {state.actual.version for state in simulation.states.values()}
        self.assertEqual({"v1"}, versions)

    def apply_fault(self, simulation, action, fault) -> None:
        """Apply a fault at an action of the first holder.

        Its pause of 120 rounds (30 s) exceeds the lease's time to live, `LEASE_TTL_S`;
        the delay of a late reply, 32 rounds (8 s), does not.
        """
        first_holder = simulation.holders[0]
        if fault == "no_effect":
            simulation.run(first_holder, action, Failure.NO_EFFECT)
        elif fault == "unknown":
            simulation.run(first_holder, action, Failure.UNKNOWN)
        elif fault == "died":
            simulation.perform_action(first_holder, action)
        elif fault == "paused_before":
            simulation.run_without_faults(120, (1,))
            simulation.run(first_holder, action)
        else:
            outcome = simulation.perform_action(first_holder, action)
            simulation.run_without_faults(32, (1,))
            first_holder.handle_outcome(action, outcome, simulation.now)
            simulation.run_without_faults(32, (1,))


TICKET_ROWS = [
    ("queued_caller_leaves", "queued", "leave"),
    ("running_caller_leaves", "running", "leave"),
    ("queued_and_upstreams_lost", "queued", "no_upstream"),
    ("running_and_upstreams_lost", "running", "no_upstream"),
    ("queued_and_capacity_halved", "queued", "halved"),
    ("running_and_capacity_halved", "running", "halved"),
    ("queued_and_tick_late", "queued", "late"),
    ("running_and_tick_late", "running", "late"),
]


class TicketMatrixTest(TestCase):
    @parameterized.expand(TICKET_ROWS)
    def test_a_ticket_has_one_outcome_and_releases_its_slot(
        self, _name, step, fault
    ) -> None:
        admission = ServiceAdmission("s", random.Random(1), 4)
        outcomes: dict[int, list[str]] = {number: [] for number in range(8)}

        def record_actions(actions) -> None:
            for action in actions:
                kind = "admitted" if isinstance(action, Admit) else "refused"
                self.assertIsInstance(action, (Admit, Refuse))
                outcomes[action.number].append(kind)

        for number in outcomes:
            ticket = Ticket("team", 5, 20.0, "s")
            record_actions(admission.submit(number, ticket, 0.0))
        target = 0 if step == "running" else 7
        if fault == "leave":
            record_actions(admission.remove(target, 1.0))
        elif fault == "no_upstream":
            record_actions(admission.set_limit(0, 1.0))
        elif fault == "halved":
            record_actions(admission.set_limit(2, 1.0))
        else:
            record_actions(admission.tick(60.0))
        for number in outcomes:
            record_actions(admission.remove(number, 61.0))
        self.assertEqual({}, admission.running)
        self.assertEqual({}, admission.queue.waiting)
        self.assertEqual({}, admission.queue.ranks)
        self.assertTrue(all(len(kinds) <= 1 for kinds in outcomes.values()))

    @parameterized.expand(
        [("first", 1, Verdict.NOT_RUN), ("repeat", 2, Verdict.MAY_HAVE_RUN)]
    )
    @run_async
    async def test_a_refused_repeat_is_reported_as_may_have_run(
        self, _name, attempt, expected
    ) -> None:
        async with (
            open_service_port() as port,
            running_admission(
                ["halle-app"], lambda _: CapacityView(0, 1, 1), 1
            ) as admission,
        ):
            runner = make_runner(port, MemoryStore(), [upstream_at("127.0.0.1:1")])
            runner.admit = call_admission(admission)
            call = booking_call(new_key(), attempt)
            (error,) = await asyncio.gather(runner.run(call), return_exceptions=True)
        self.assertIsInstance(error, RequestRefusedError)
        self.assertEqual(expected, error.verdict)

"""Faults at every step of an order, and of a ticket that waits for admission."""

import asyncio
import itertools
import random

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.call_parts import booking, new_key, runner_on, upstream_at
from tests.common.order_world import OrderWorld
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
        world = OrderWorld({f"u{index}": fenced for index in range(4)})
        world.want("v1")
        first = world.holders[0]
        action = None
        while action is None or action.stage is not stage:
            if action is not None:
                world.run(first, action)
            world.pass_time(0.1)
            action = first.next_action(world.now)
        self.strike(world, action, fault)
        survivors = (1,) if fault == "died" else (0, 1)
        world.run_quietly(400, survivors)
        versions = {state.actual.version for state in world.states.values()}
        self.assertEqual({"v1"}, versions)

    def strike(self, world, action, fault) -> None:
        """Apply a fault at an action of the first holder."""
        first = world.holders[0]
        if fault == "no_effect":
            world.run(first, action, Failure.NO_EFFECT)
        elif fault == "unknown":
            world.run(first, action, Failure.UNKNOWN)
        elif fault == "died":
            world.make(first, action)
        elif fault == "paused_before":
            world.run_quietly(120, (1,))
            world.run(first, action)
        else:
            outcome = world.make(first, action)
            world.run_quietly(32, (1,))
            first.handle_outcome(action, outcome, world.now)
            world.run_quietly(32, (1,))


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
    def test_a_ticket_gets_one_end_and_its_slot_comes_back(
        self, _name, step, fault
    ) -> None:
        decision = ServiceAdmission("s", random.Random(1), 4)
        ends: dict[int, list[str]] = {number: [] for number in range(8)}

        def note(actions) -> None:
            for action in actions:
                kind = "admitted" if isinstance(action, Admit) else "refused"
                self.assertIsInstance(action, (Admit, Refuse))
                ends[action.number].append(kind)

        for number in ends:
            ticket = Ticket("team", 5, 20.0, "s")
            note(decision.submit(number, ticket, 0.0))
        target = 0 if step == "running" else 7
        if fault == "leave":
            note(decision.remove(target, 1.0))
        elif fault == "no_upstream":
            note(decision.set_limit(0, 1.0))
        elif fault == "halved":
            note(decision.set_limit(2, 1.0))
        else:
            note(decision.tick(60.0))
        for number in ends:
            note(decision.remove(number, 61.0))
        self.assertEqual({}, decision.running)
        self.assertEqual({}, decision.queue.waiting)
        self.assertEqual({}, decision.queue.ranks)
        self.assertTrue(all(len(kinds) <= 1 for kinds in ends.values()))

    @parameterized.expand(
        [("first", 1, Verdict.NOT_RUN), ("repeat", 2, Verdict.MAY_HAVE_RUN)]
    )
    @run_async
    async def test_a_refused_repeat_is_not_called_not_run(
        self, _name, attempt, expected
    ) -> None:
        async with (
            open_service_port() as port,
            running_admission(
                ["halle-app"], lambda _: CapacityView(0, 1, 1), 1
            ) as owner,
        ):
            runner = runner_on(port, MemoryStore(), [upstream_at("127.0.0.1:1")])
            runner.admit = call_admission(owner)
            call = booking(new_key(), attempt)
            (error,) = await asyncio.gather(runner.run(call), return_exceptions=True)
        self.assertIsInstance(error, RequestRefusedError)
        self.assertEqual(expected, error.verdict)

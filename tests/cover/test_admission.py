"""Admission keeps its queue bounded and fair, refuses early and loses no slot."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from parameterized import parameterized
from testtools import ExpectedException, TestCase

from tests.common.waiting import wait_until
from turmericusher.decisions.admission import (
    DEFAULT_QUEUE_LIMIT,
    MAX_QUEUED_SHARE,
    Admit,
    Refuse,
    ServiceAdmission,
)
from turmericusher.decisions.capacity import CapacityView, ConcurrencyLimit
from turmericusher.decisions.fair_queue import (
    RESUME_RANK,
    FairQueue,
    QueuedTicket,
    Ticket,
)
from turmericusher.errors import ErrorCode, RequestRefusedError, Verdict
from turmericusher.tasks.admission import Departure, admitted, running_admission

LOST_SLOT_TIMEOUT_S = 10.0
TEAMS = ("large", "small", "other")


def make_ticket(
    team="large", urgency=5, deadline=30.0, resume=False, cost=None
) -> Ticket:
    """Return a ticket; `deadline` is in seconds of the test's clock."""
    return Ticket(team, urgency, deadline, "s", resume, cost)


def admission(limit: int, queue_limit: int = DEFAULT_QUEUE_LIMIT) -> ServiceAdmission:
    return ServiceAdmission("s", random.Random(1), limit, queue_limit)


class AdmissionMachine(RuleBasedStateMachine):
    """Arrivals, departures, cancellations and changes of the limit in any order."""

    @initialize(limit=st.integers(1, 6), queue_limit=st.integers(1, 8))
    def start(self, limit, queue_limit):
        self.admission = admission(limit, queue_limit)
        self.now = 0.0
        self.tickets = {}
        self.refused = set()
        self.departed = set()

    def check_actions(self, actions):
        """Check the decisions on tickets, and record the refusals."""
        for action in actions:
            ticket = self.tickets[action.number]
            assert action.number not in self.refused | self.departed
            if isinstance(action, Admit):
                assert action.number in self.admission.running
                running = self.admission.running[action.number]
                assert self.now <= running.queued.latest_start
                assert len(self.admission.running) <= self.admission.limit
                limit = self.admission.new_work_limit()
                others = len(self.admission.running) - 1
                new_work = [
                    r
                    for r in self.admission.running.values()
                    if not r.queued.ticket.is_resume
                ]
                assert ticket.is_resume or len(new_work) <= limit or others < limit
            else:
                assert action.retry_after_s > 0
                self.refused.add(action.number)

    @rule(
        team=st.sampled_from(TEAMS),
        urgency=st.integers(0, 2),
        budget=st.floats(0, 20),
        resume=st.booleans(),
    )
    def arrive(self, team, urgency, budget, resume):
        number = len(self.tickets)
        self.tickets[number] = make_ticket(team, urgency, self.now + budget, resume)
        self.check_actions(
            self.admission.submit(number, self.tickets[number], self.now)
        )

    @precondition(lambda self: self.tickets)
    @rule(data=st.data())
    def leave(self, data):
        number = data.draw(st.sampled_from(sorted(self.tickets)))
        if number not in self.refused:
            self.departed.add(number)
        self.check_actions(self.admission.remove(number, self.now))

    @rule(step=st.floats(0.01, 3))
    def time_passes(self, step):
        self.now += step
        self.check_actions(self.admission.tick(self.now))
        for queued in self.admission.queue.waiting.values():
            assert self.now <= queued.latest_start

    @rule(step=st.floats(1, 30))
    def time_passes_without_a_tick(self, step):
        self.now += step

    @rule(limit=st.integers(0, 6))
    def change_limit(self, limit):
        self.check_actions(self.admission.set_limit(limit, self.now))

    @invariant()
    def every_ticket_is_in_one_place(self):
        running = set(self.admission.running)
        waiting = set(self.admission.queue.waiting)
        places = [running, waiting, self.refused, self.departed]
        assert sum(map(len, places)) == len(self.tickets)
        assert set().union(*places) == set(self.tickets)

    @invariant()
    def the_queue_is_bounded(self):
        assert len(self.admission.queue.waiting) <= self.admission.queue_limit

    @invariant()
    def no_slot_is_idle_while_a_ticket_waits(self):
        waiting = self.admission.queue.waiting.values()
        running = len(self.admission.running)
        if waiting:
            assert running >= self.admission.new_work_limit()
        if any(queued.ticket.is_resume for queued in waiting):
            assert running >= self.admission.limit

    @invariant()
    def only_teams_with_work_have_a_flow(self):
        ranks = self.admission.queue.ranks
        flows = [flow for rank in ranks.values() for flow in rank.flows.values()]
        assert all(flow.waiting or flow.running for flow in flows)
        assert sum(flow.running for flow in flows) == len(self.admission.running)


AdmissionMachineTest = AdmissionMachine.TestCase


class FairQueueTest(TestCase):
    @given(
        costs=st.tuples(st.floats(0.1, 10), st.floats(0.1, 10)),
        pops=st.integers(1, 60),
        head_start=st.integers(0, 20),
    )
    def test_backlogged_teams_differ_by_no_more_than_one_request_each(
        self, costs, pops, head_start
    ) -> None:
        queue = FairQueue()
        served_cost = {"a": 0.0, "b": 0.0}
        for number in range(200):
            queue.push(make_queued_ticket(number, "a", costs[0]))
        for _ in range(head_start):
            queue.pop()
        for number in range(200, 400):
            queue.push(make_queued_ticket(number, "b", costs[1]))
        for _ in range(pops):
            popped = queue.pop()
            served_cost[popped.ticket.team] += popped.cost_s
            difference = abs(served_cost["a"] - served_cost["b"])
            self.assertLessEqual(difference, sum(costs) + 1e-6)

    def test_resumes_run_first_then_urgency_then_deadline(self) -> None:
        queue = FairQueue()
        tickets = [
            make_ticket(urgency=5, deadline=9),
            make_ticket(urgency=1, deadline=8),
            make_ticket(urgency=5, deadline=7),
            make_ticket(urgency=9, deadline=9, resume=True),
        ]
        for number, entry in enumerate(tickets):
            queue.push(QueuedTicket(number, entry, 0.0, 9.0, 1.0))
        self.assertEqual([3, 1, 2, 0], [q.number for q in queue.service_order()])
        self.assertEqual([3, 1, 2, 0], [queue.pop().number for _ in tickets])


def make_queued_ticket(number: int, team: str, cost: float) -> QueuedTicket:
    """Return a ticket as it stands in the queue, with its cost in slot-seconds."""
    return QueuedTicket(number, make_ticket(team), 0.0, 1e9, cost)


class ServiceAdmissionTest(TestCase):
    def busy_admission(
        self, limit=2, service_s=10.0, queue_limit=100
    ) -> ServiceAdmission:
        """Return an admission with known service time whose slots are all taken."""
        decision = admission(limit, queue_limit)
        decision.submit(-1, make_ticket(), 0.0)
        decision.remove(-1, service_s)
        for number in range(limit):
            long_resume = make_ticket(deadline=1000.0, resume=True)
            decision.submit(1000 + number, long_resume, service_s)
        return decision

    @parameterized.expand(
        [
            ("predicted_wait_too_long", 1.0, ErrorCode.WAIT_EXCEEDED),
            ("deadline_passed", -1.0, ErrorCode.WAIT_EXCEEDED),
        ]
    )
    def test_a_wait_that_cannot_be_met_is_refused_at_once(
        self, _name, budget, code
    ) -> None:
        (action,) = self.busy_admission().submit(
            1, make_ticket(deadline=10.0 + budget), 10.0
        )
        self.assertEqual(code, action.code)

    def test_a_wait_that_can_be_met_is_queued(self) -> None:
        decision = self.busy_admission()
        self.assertEqual([], decision.submit(1, make_ticket(deadline=70.0), 10.0))
        self.assertEqual(
            [Admit(1)], decision.remove(1000, 20.0) + decision.remove(1001, 20.0)
        )

    def test_a_queued_ticket_that_can_no_longer_start_in_time_is_refused(self) -> None:
        decision = self.busy_admission()
        decision.submit(1, make_ticket(deadline=70.0), 10.0)
        (action,) = decision.submit(2, make_ticket(deadline=13.0, urgency=0), 10.0)
        self.assertIsInstance(action, Refuse)
        for number in range(3, 9):
            urgent = make_ticket(urgency=0, deadline=1000.0)
            decision.submit(number, urgent, 10.0)
        (action,) = decision.tick(10.1)
        self.assertEqual(1, action.number)

    def test_a_slot_that_comes_free_too_late_admits_nothing(self) -> None:
        decision = self.busy_admission()
        decision.submit(1, make_ticket(deadline=70.0), 10.0)
        (action,) = decision.remove(1000, 59.0) + decision.remove(1001, 59.0)
        self.assertEqual((1, ErrorCode.WAIT_EXCEEDED), (action.number, action.code))

    def test_an_initial_burst_is_refused_in_part_once_times_are_measured(self) -> None:
        decision = admission(1)
        for number in range(20):
            decision.submit(number, make_ticket(deadline=60.0), 0.0)
        refused_by_age = decision.tick(4.0)
        refused_by_rate = decision.remove(0, 9.0) + decision.tick(9.0)
        self.assertGreater(len(refused_by_age), 3)
        self.assertGreater(len(refused_by_rate), 3)
        self.assertLessEqual(len(decision.queue.waiting), 7)

    def test_without_a_live_upstream_everything_is_refused(self) -> None:
        (action,) = admission(0).submit(1, make_ticket(), 0.0)
        self.assertEqual(ErrorCode.NO_UPSTREAM, action.code)

    def test_a_stalled_service_refuses_what_it_would_have_queued(self) -> None:
        decision = self.busy_admission()
        self.assertEqual([], decision.submit(1, make_ticket(deadline=130.0), 10.0))
        (action,) = decision.submit(2, make_ticket(deadline=160.0), 100.0)
        self.assertEqual(ErrorCode.WAIT_EXCEEDED, action.code)

    def test_a_full_queue_evicts_a_ticket_of_the_largest_team(self) -> None:
        decision = self.busy_admission(limit=2, service_s=0.01, queue_limit=5)
        for number in range(5):
            decision.submit(number, make_ticket("large"), 0.01)
        (action,) = decision.submit(10, make_ticket("small"), 0.01)
        self.assertEqual((4, ErrorCode.OVERLOADED), (action.number, action.code))
        (action,) = decision.submit(11, make_ticket("large"), 0.01)
        self.assertEqual(11, action.number)

    def test_a_small_team_waits_no_longer_for_a_large_teams_backlog(self) -> None:
        decision = self.busy_admission(limit=3, service_s=1.0)
        for number in range(60):
            decision.submit(number, make_ticket("large", deadline=500.0), 1.0)
        wait = decision.queue.cost_ahead_s(make_ticket("small"))
        self.assertLessEqual(wait, 1.0)
        decision.submit(99, make_ticket("small", deadline=500.0), 1.0)
        order = [entry.number for entry in decision.queue.service_order()]
        self.assertLessEqual(order.index(99), 1)

    def test_a_resume_takes_the_headroom_that_new_work_leaves(self) -> None:
        decision = admission(4)
        for number in range(6):
            decision.submit(number, make_ticket(), 0.0)
        self.assertEqual(3, len(decision.running))
        self.assertEqual([Admit(9)], decision.submit(9, make_ticket(resume=True), 0.0))
        self.assertIn(RESUME_RANK, decision.queue.ranks)

    def test_a_wait_never_exceeds_the_hold_share(self) -> None:
        decision = admission(1)
        decision.submit(0, make_ticket(), 0.0)
        decision.submit(1, make_ticket(deadline=10.0), 0.0)
        self.assertEqual([], decision.tick(2.0))
        self.assertEqual(1, len(decision.tick(10.0 * MAX_QUEUED_SHARE)))


class ConcurrencyLimitTest(TestCase):
    @parameterized.expand(
        [
            ("share_when_all_are_busy", 20, 140, 0, 20),
            ("borrows_when_peers_are_idle", 20, 0, 0, 37),
            ("no_upstreams", 0, 0, 0, 0),
            ("shrinks_when_upstreams_queue", 20, 140, 50, 18),
        ]
    )
    def test_the_limit_follows_the_capacity_view(
        self, _name, own, peers, waiting, expected
    ) -> None:
        upstreams = 10 if own else 0
        view = CapacityView(upstreams, 16, 8, peers, waiting)
        self.assertEqual(expected, ConcurrencyLimit().update(view, own))

    def test_queues_seen_while_draining_do_not_lower_the_limit(self) -> None:
        limits = ConcurrencyLimit()
        limits.update(CapacityView(10, 16, 8), 20)
        for _ in range(10):
            limit = limits.update(CapacityView(5, 16, 8, 140, 60), 20)
        self.assertEqual(9, limit)

    def test_borrowing_instances_stay_below_the_capacity(self) -> None:
        limits = [ConcurrencyLimit() for _ in range(8)]
        running = [0] * 8
        for _ in range(50):
            seen = list(running)
            for index in range(3):
                peers = sum(seen) - seen[index]
                view = CapacityView(10, 16, 8, peers)
                running[index] = limits[index].update(view, running[index])
        self.assertLessEqual(sum(running), 160)
        self.assertGreater(sum(running), 130)


class AdmissionTaskTest(TestCase):
    def test_cancelled_callers_release_their_slots(self) -> None:
        async def scenario() -> list[str]:
            events: list[str] = []
            async with running_admission(
                ["s"], lambda _: CapacityView(1, 1, 1), 1
            ) as admission_task:
                distant_deadline = admission_task.clock() + 1000

                async def hold(name: str, release: asyncio.Event) -> None:
                    async with admitted(
                        admission_task, make_ticket(deadline=distant_deadline)
                    ):
                        events.append(name)
                        running.set()
                        await release.wait()

                release = asyncio.Event()
                running = asyncio.Event()
                first = asyncio.create_task(hold("first", release))
                second = asyncio.create_task(hold("second", release))
                third = asyncio.create_task(hold("third", release))
                await running.wait()
                second.cancel()
                first.cancel()
                release.set()
                all_ended = asyncio.gather(first, second, third, return_exceptions=True)
                await asyncio.wait_for(all_ended, LOST_SLOT_TIMEOUT_S)
            return events

        self.assertEqual(["first", "third"], asyncio.run(scenario()))

    def test_a_services_first_upstream_is_used_at_once(self) -> None:
        async def scenario() -> None:
            views = [CapacityView(0, 1, 1)]
            async with running_admission(
                ["s"], lambda _: views[-1], 1
            ) as admission_task:
                await asyncio.sleep(0)
                views.append(CapacityView(1, 1, 1))
                async with admitted(
                    admission_task, make_ticket(deadline=admission_task.clock() + 5)
                ):
                    pass

        asyncio.run(scenario())

    @parameterized.expand([("ended", False), ("failed", True)])
    def test_waiting_callers_are_refused_when_the_admission_task_ends(
        self, _name, task_fails
    ) -> None:
        async def scenario() -> list[object]:
            async with running_admission(
                ["s"], lambda _: CapacityView(1, 1, 1), 1
            ) as admission_task:

                async def hold() -> None:
                    async with admitted(
                        admission_task,
                        make_ticket(deadline=admission_task.clock() + 99),
                    ):
                        await asyncio.Event().wait()

                holders = [asyncio.create_task(hold()) for _ in range(2)]
                await wait_until(
                    lambda: bool(admission_task.services["s"].queue.waiting)
                )
                if task_fails:
                    admission_task.inbox.put_nowait(Departure(0, "unknown"))
                    with ExpectedException(RequestRefusedError):
                        await asyncio.wait_for(holders[1], LOST_SLOT_TIMEOUT_S)
            if not task_fails:
                await asyncio.wait([holders[1]], timeout=LOST_SLOT_TIMEOUT_S)
            holders[0].cancel()
            return await asyncio.gather(*holders, return_exceptions=True)

        error = asyncio.run(scenario())[1]
        self.assertEqual(ErrorCode.INSTANCE_STOPPING, error.code)

    def test_a_refusal_says_that_nothing_ran(self) -> None:
        error = asyncio.run(self.refused(resume=False))
        self.assertEqual(Verdict.NOT_RUN, error.verdict)
        self.assertGreater(error.retry_after_s, 0)

    def test_a_refused_resume_says_that_its_request_may_have_run(self) -> None:
        error = asyncio.run(self.refused(resume=True))
        self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict)

    async def refused(self, resume: bool) -> RequestRefusedError:
        """Return the error of a ticket that arrives while no upstream is live."""
        view = CapacityView(0, 1, 1)
        async with running_admission(["s"], lambda _: view, 1) as admission_task:
            arriving = make_ticket(deadline=admission_task.clock() + 5, resume=resume)
            try:
                async with admitted(admission_task, arriving):
                    raise AssertionError("the ticket was admitted")
            except RequestRefusedError as error:
                return error

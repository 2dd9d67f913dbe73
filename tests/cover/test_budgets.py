"""Budgets bound retries to a share of the calls, and the resumes that wait at once."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from turmericusher.decisions.extra_work import ResumeLimiter
from turmericusher.decisions.retries import RetryBudget


class BudgetTest(TestCase):
    @given(events=st.lists(st.booleans(), max_size=300))
    def test_retries_never_exceed_the_share_and_one_reserve(self, events) -> None:
        budget = RetryBudget()
        calls, spent = 0, 0
        for is_call in events:
            if is_call:
                calls += 1
                budget.earn()
            else:
                spent += budget.spend()
            self.assertLessEqual(spent, budget.reserve + budget.ratio * calls + 1e-6)

    @given(events=st.lists(st.booleans(), max_size=300))
    def test_no_more_resumes_wait_than_the_gate_allows(self, events) -> None:
        gate = ResumeLimiter(limit=3)
        for wants_to_enter in events:
            if wants_to_enter and gate.has_free_slot():
                gate.acquire()
            elif not wants_to_enter and gate.waiting:
                gate.free()
            self.assertTrue(0 <= gate.waiting <= 3)
            self.assertEqual(gate.waiting < 3, gate.has_free_slot())

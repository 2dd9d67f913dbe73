"""Budgets bound retries to a share of the calls, and the resumes that wait at once."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from turmericusher.decisions.extra_work import ResumeLimiter
from turmericusher.decisions.retries import RetryBudget


class BudgetTest(TestCase):
    @given(events=st.lists(st.booleans(), max_size=300))
    def test_retries_never_exceed_the_reserve_and_a_share_of_the_calls(
        self, events
    ) -> None:
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
    def test_no_more_resumes_wait_than_the_limiter_allows(self, events) -> None:
        limiter = ResumeLimiter(limit=3)
        for is_acquisition in events:
            if is_acquisition and limiter.has_free_slot():
                limiter.acquire()
            elif not is_acquisition and limiter.waiting:
                limiter.free()
            self.assertTrue(0 <= limiter.waiting <= 3)
            self.assertEqual(limiter.waiting < 3, limiter.has_free_slot())

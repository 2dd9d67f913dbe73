"""Budgets keep repeats a share of the work done."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from turmericusher.decisions.budgets import (
    CAPACITY,
    FLOOR_PER_S,
    SHARE_PER_SUCCESS,
    ResumeBudget,
)


class BudgetTest(TestCase):
    @given(
        events=st.lists(
            st.tuples(st.booleans(), st.floats(0, 2, allow_nan=False)), max_size=200
        )
    )
    def test_resumes_never_exceed_the_share_the_floor_and_one_burst(
        self, events
    ) -> None:
        budget = ResumeBudget(0.0)
        now, successes, spent = 0.0, 0, 0
        for is_success, step in events:
            now += step
            if is_success:
                successes += 1
                budget.succeeded(now)
            elif budget.spend(now):
                spent += 1
            allowed = CAPACITY + SHARE_PER_SUCCESS * successes + FLOOR_PER_S * now
            self.assertLessEqual(spent, allowed + 1e-6)

    def test_an_empty_budget_says_when_to_ask_again(self) -> None:
        budget = ResumeBudget(0.0)
        while budget.spend(0.0):
            pass
        wait_s = budget.wait_s(0.0)
        self.assertGreater(wait_s, 0)
        self.assertFalse(budget.spend(wait_s / 2))
        self.assertTrue(budget.spend(wait_s + 1e-6))

    def test_a_clock_that_steps_back_earns_nothing(self) -> None:
        budget = ResumeBudget(100.0)
        while budget.spend(100.0):
            pass
        self.assertFalse(budget.spend(50.0))
        self.assertFalse(budget.spend(100.0))

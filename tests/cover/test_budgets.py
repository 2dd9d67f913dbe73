"""Budgets bound retries to a share of the calls, and the resumes that wait at once."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from turmericusher.decisions.extra_work import ResumeLimiter
from turmericusher.decisions.retries import RetryBounds, RetryBudget

WINDOW_S = 10.0
PAUSES = st.sampled_from([0.0, 0.01, 0.3, 1.0, 4.0, 11.0])


class BudgetTest(TestCase):
    @given(events=st.lists(st.tuples(st.booleans(), PAUSES), max_size=300))
    def test_retries_of_a_window_never_exceed_the_reserve_and_a_share_of_the_calls(
        self, events
    ) -> None:
        budget, now = RetryBudget(window_s=WINDOW_S), 0.0
        calls, retries = [], []
        for is_call, pause_s in events:
            now += pause_s
            if is_call:
                calls.append(now)
                budget.record_request(now)
            elif budget.spend(now):
                retries.append(now)
            spent = sum(at > now - WINDOW_S for at in retries)
            # Calls leave the count a bucket after they left the window.
            earned = sum(at > now - 1.05 * WINDOW_S for at in calls)
            limit = budget.reserve + budget.ratio * earned
            self.assertLessEqual(spent, limit + 1e-6)

    def test_the_whole_reserve_is_back_a_window_after_it_was_spent(self) -> None:
        budget = RetryBudget(ratio=0.0, reserve=5.0, window_s=WINDOW_S)
        self.assertEqual(5, sum(budget.spend(100.0) for _ in range(9)))
        self.assertFalse(budget.has_retry(100.0 + 0.9 * WINDOW_S))
        at = 100.0 + 1.05 * WINDOW_S
        self.assertEqual(5, sum(budget.spend(at) for _ in range(9)))

    def test_restarts_of_all_instances_do_not_renew_what_they_have_spent(self) -> None:
        # Every retry that is allowed is made, before the restart and after it.
        bounds, instances, spent = RetryBounds(0.8, 150.0, WINDOW_S), 7, 0
        for _ in range(instances):
            reserve = bounds.reserve(instances)
            before = RetryBudget(bounds.instance_ratio(), reserve, WINDOW_S)
            spent += sum(before.spend(50.0) for _ in range(200))
            after = RetryBudget(bounds.instance_ratio(), reserve, WINDOW_S, 50.5)
            spent += sum(after.spend(51.0) for _ in range(200))
        self.assertLessEqual(spent, bounds.slack)

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

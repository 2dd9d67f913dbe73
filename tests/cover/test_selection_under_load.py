"""Test the complete load policy in the simulation of the load benchmark."""

from testtools import TestCase

from benchmarks.load import run_simulation
from benchmarks.load_world import make_simulation


class PolicyUnderLoadTest(TestCase):
    def test_goodput_holds_past_the_capacity_and_comes_back_after_a_loss(self) -> None:
        seen = run_simulation(make_simulation("turmericusher", 3.0, 7))
        self.assertGreater(seen["goodput"]["before"], 0.85)
        self.assertGreater(seen["goodput"]["lost"], 0.85 * 2 / 3)
        self.assertGreater(seen["goodput"]["after"], 0.85)
        self.assertEqual(0, seen["late_share_of_accepted"])
        self.assertEqual(0, seen["resumes_late"])
        self.assertGreater(seen["served_share"]["small"], 0.7)
        self.assertLess(seen["refused_after_waiting"], 0.1 * seen["refused"])

    def test_the_same_seed_gives_the_same_figures(self) -> None:
        first, second = (
            run_simulation(make_simulation("turmericusher", 0.5, 7)) for _ in range(2)
        )
        self.assertEqual(first, second)
        self.assertLess(first["refused"], 0.01 * first["requests"])

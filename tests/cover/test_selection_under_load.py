"""Test the complete load policy in the simulation of the load benchmark."""

from testtools import TestCase

from benchmarks.load import run_simulation
from benchmarks.load_simulation import make_simulation


class PolicyUnderLoadTest(TestCase):
    def test_goodput_holds_above_capacity_and_recovers_after_a_loss(self) -> None:
        figures = run_simulation(make_simulation("turmericusher", 3.0, 7))
        self.assertGreater(figures["goodput"]["before"], 0.85)
        self.assertGreater(figures["goodput"]["lost"], 0.85 * 2 / 3)
        self.assertGreater(figures["goodput"]["after"], 0.85)
        self.assertEqual(0, figures["late_share_of_accepted"])
        self.assertEqual(0, figures["resumes_late"])
        self.assertGreater(figures["served_share"]["small"], 0.7)
        self.assertLess(figures["refused_after_waiting"], 0.1 * figures["refused"])

    def test_the_same_seed_gives_the_same_figures(self) -> None:
        first, second = (
            run_simulation(make_simulation("turmericusher", 0.5, 7)) for _ in range(2)
        )
        self.assertEqual(first, second)
        self.assertLess(first["refused"], 0.01 * first["requests"])

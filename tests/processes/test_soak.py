"""A short run of the soak: a fixed seed, and those that have ever found a fault."""

import tempfile
from pathlib import Path

from parameterized import parameterized
from testtools import TestCase

from benchmarks.soak.run import play_seed
from benchmarks.soak.schedule import make_plan
from benchmarks.soak.world import ROOT
from tests.common.asynchronous import run_async

SHORT_S = 6.0

REGRESSIONS: tuple[tuple[str, int, float], ...] = ()
"""The cause in a few words, the seed, and the seconds of faults that showed it."""


class SoakTest(TestCase):
    @parameterized.expand([("a short run", 2, SHORT_S), *REGRESSIONS])
    @run_async
    async def test_no_promise_is_broken_in(self, _, seed, duration_s):
        with tempfile.TemporaryDirectory() as folder:
            plan = make_plan(seed, duration_s)
            outcome = await play_seed(plan, Path(folder), ROOT / "src")
        self.assertEqual([], outcome.findings, outcome.describe())
        self.assertTrue(any(one.is_served for one in outcome.history.requests.values()))

"""Test the comparison of two checkouts by paired plays."""

from __future__ import annotations

import math
from collections import Counter

from parameterized import parameterized
from testtools import TestCase

from benchmarks.paired import Pair, Play, parse_report, parse_seeds, summarize

REPORT = {
    "G": 0.5,
    "classes": [{"name": "a", "in_aim": 3, "late": 1, "refused": 0, "failed": 2}],
    "prices": [["calls", 10.0, 0.02], ["calls", 1.0, 0.01], ["none", 0.0, 0.0]],
    "breaks": {"ORDER": 1},
}


def make_play(worth: float, failed: int = 0) -> Play:
    return Play(worth, Counter({"a failed": failed}), Counter({"calls": 0.1}), ())


class PairedTest(TestCase):
    @parameterized.expand([("one", "7", [7]), ("ranges", "31-33,41", [31, 32, 33, 41])])
    def test_seeds_are_listed(self, _, text, expected):
        self.assertEqual(expected, parse_seeds(text))

    def test_a_report_becomes_a_play(self):
        play = parse_report(REPORT)
        self.assertEqual(0.5, play.worth)
        self.assertEqual(2, play.outcomes["a failed"])
        self.assertAlmostEqual(0.03, play.prices["calls"])
        self.assertEqual(("ORDER",), play.broken)

    def test_differences_are_taken_within_pairs(self):
        pairs = [
            Pair("d", 1, make_play(0.2, 4), make_play(0.3, 2)),
            Pair("d", 2, make_play(0.8, 2), make_play(0.8, 2)),
        ]
        summary = summarize(pairs)
        self.assertEqual(0.05, summary["difference"])
        self.assertEqual(0.05, summary["standard_error"])
        self.assertEqual([3.0, 2.0], summary["outcomes"]["a failed"])

    def test_one_pair_has_no_standard_error(self):
        pair = Pair("d", 1, make_play(0.2), make_play(0.3))
        self.assertTrue(math.isnan(summarize([pair])["standard_error"]))

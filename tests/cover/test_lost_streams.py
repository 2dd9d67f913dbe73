"""Test the table of causes of lost attempts."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from benchmarks.lost_streams import cause_of, count_causes, parse_line

START = (
    "  4.3 node-1 time=T event=attempt_started id={id} attempt=2 from_copy={copy} "
    'reason="u1: {reason}"'
)
END = (
    "time=T event=request_ended id={id} outcome={outcome} kind=resumable_stream "
    "resume_after={after}"
)


class LostStreamTest(TestCase):
    @parameterized.expand(
        [
            ("u1: lost ServerDisconnectedError('x')", "lost"),
            ("u1: silent stalled for 0.56 s", "stalled"),
            ("u1: silent does not answer", "silent"),
            ("", "hedge"),
        ]
    )
    def test_the_cause_is_read_from_the_reason(self, reason, cause):
        self.assertEqual(cause, cause_of(reason))

    def test_quoted_values_keep_their_spaces(self):
        fields = parse_line(START.format(id="a", copy="true", reason="lost x y"))
        self.assertEqual("u1: lost x y", fields["reason"])

    def test_each_repeat_is_counted_by_its_way(self):
        lines = [
            START.format(id="a", copy="true", reason="lost x"),
            START.format(id="a", copy="false", reason="no_copy status=503"),
            START.format(id="b", copy="false", reason="silent does not answer"),
            "no log line",
            END.format(id="a", outcome="answered_200", after="null"),
            END.format(id="b", outcome='"failed_overloaded: x"', after="12"),
        ]
        counts = count_causes(lines)
        self.assertEqual({"lost": 1}, counts["from a copy"])
        self.assertEqual({"no_copy": 1, "silent": 1}, counts["prompt read again"])
        self.assertEqual({"prompt read again": 1}, counts["taken up by callers"])
        self.assertEqual({"failed_overloaded": 1}, counts["not served"])
        self.assertEqual({"ended": 2}, counts["streams"])

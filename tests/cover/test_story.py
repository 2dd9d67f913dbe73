"""Test that log lines alone explain a failed request."""

import io
import tempfile
from contextlib import redirect_stdout
from pathlib import Path

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import running_relay_simulation
from turmericusher.cli.dispatch import EXIT_FAILED, EXIT_OK, run_command
from turmericusher.cli.stories import Story
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import RequestRefusedError
from turmericusher.logs import logging_to
from turmericusher.reports.request_trace import parse_lines, trace_request
from turmericusher.standins.platform_upstream import UpstreamFault

FIRST_LOG = """time=T1 event=upstream_changed upstream=u1 state=live
time=T2 event=attempt_failed id=q1 upstream=u1 cause=lost message="it is gone"
time=T3 event=request_ended id=q2 outcome=answered_200
time=T0 event=upstream_changed upstream=u1 state=gone
time=T1 event=request_ended id=q1 outcome=failed
time=T9 event=upstream_changed upstream=u1 state=live
cut off in the mid"""
SECOND_LOG = """ 0.1 front-2 time=T5 event=request_ended id=q1 outcome=answered_200
 0.2 front-2 time=T6 event=store_lost message="x"
 0.3 front-2 time=T7 event=broken quote="
"""


class StoryTest(TestCase):
    def test_lines_keep_the_order_in_which_each_instance_wrote_them(self):
        files = [
            parse_lines("b", SECOND_LOG.splitlines()),
            parse_lines("a", FIRST_LOG.splitlines()),
        ]
        found = [
            (line.source, line.time, line.event) for line in trace_request("q1", files)
        ]
        self.assertEqual(
            [
                ("a", "T1", "upstream_changed"),
                ("a", "T2", "attempt_failed"),
                ("a", "T0", "upstream_changed"),
                ("a", "T1", "request_ended"),
                ("b", "T5", "request_ended"),
            ],
            found,
        )

    def test_the_command_prints_the_story(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text(FIRST_LOG)
            printed = io.StringIO()
            with redirect_stdout(printed):
                self.assertEqual(EXIT_OK, run_command(Story("q1", [path])))
                self.assertEqual(EXIT_FAILED, run_command(Story("none", [path])))
            self.assertIn("T2 a.log: event=attempt_failed", printed.getvalue())
            missing = Path(folder) / "missing"
            self.assertRaises(RequestRefusedError, run_command, Story("q", [missing]))


class FailureCauseTest(TestCase):
    @parameterized.expand(
        [
            ("refused under load", UpstreamFault.SHED, "cause=overloaded", 503),
            ("an unknown outcome", UpstreamFault.RESET, "verdict=may_have_run", 502),
            ("a malformed answer", UpstreamFault.UNSIGNED, "cause=malformed", 502),
            ("no answer in time", UpstreamFault.HANG, "failed_wait_exceeded", 504),
        ]
    )
    @run_async
    async def test_the_lines_of_a_request_show_why_it_failed(
        self, _, fault, expected, status
    ):
        stream = io.StringIO()
        with logging_to(stream):
            async with running_relay_simulation() as simulation:
                shared_faults = [fault] * 9
                for upstream in simulation.upstreams:
                    upstream.faults = shared_faults
                answer = await simulation.call(RequestKind.NON_IDEMPOTENT, wait_ms=400)
        self.assertEqual(status, answer.status)
        lines = parse_lines("log", stream.getvalue().splitlines())
        lines_of_request = trace_request("q1", [lines])
        self.assertEqual("request_ended", lines_of_request[-1].event)
        text = " ".join(
            f"{name}={value}"
            for line in lines_of_request
            for name, value in line.fields.items()
        )
        self.assertIn(expected, text)

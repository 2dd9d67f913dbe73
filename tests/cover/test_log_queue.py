"""Logging never waits for the reader of its stream, and its volume is bounded."""

import io
import time

from parameterized import parameterized
from testtools import TestCase

from tests.common.streams import StuckStream
from turmericusher.log_queue import (
    BURST_LINES,
    QUEUE_LINES,
    EventRateLimiter,
    QueuedStream,
    bounded_logs,
)
from turmericusher.logs import log_event

WAIT_LIMIT_S = 1.0


class BrokenPipeStream(io.StringIO):
    """A stream whose reader has closed its end."""

    def write(self, text: str, /) -> int:
        raise BrokenPipeError(32, "Broken pipe")


class QueuedStreamTest(TestCase):
    def test_a_stopped_reader_loses_lines_but_never_blocks_the_writer(self):
        stream = StuckStream()
        queued = QueuedStream(stream)
        queued.start()
        queued.write("the line at which the reader stops\n")
        self.assertTrue(stream.is_blocked.wait(WAIT_LIMIT_S))
        started_at = time.monotonic()
        for number in range(3 * QUEUE_LINES):
            queued.write(f"line {number}\n")
        self.assertTrue(time.monotonic() - started_at < WAIT_LIMIT_S)
        self.assertTrue(queued.lines.qsize() <= QUEUE_LINES)
        self.assertTrue(queued.dropped >= QUEUE_LINES)
        stream.resume_reading.set()
        queued.thread.join(0.5)
        self.assertIn("event=log_lines_dropped count=", stream.getvalue())

    def test_a_broken_pipe_does_not_keep_the_thread_alive(self):
        queued = QueuedStream(BrokenPipeStream())
        queued.start()
        queued.write("one\n")
        queued.close()
        self.assertFalse(queued.thread.is_alive())

    def test_all_queued_lines_are_written_at_the_end(self):
        stream = io.StringIO()
        with bounded_logs(stream):
            for number in range(100):
                log_event("counted", number=number)
        self.assertEqual(100, len(stream.getvalue().splitlines()))
        log_event("counted", number=-1)
        self.assertNotIn("number=-1", stream.getvalue())


class LineLimitTest(TestCase):
    @parameterized.expand(
        [
            ("a_burst", 0.0, 2 * BURST_LINES, BURST_LINES),
            ("a_steady_flow_below_the_limit", 0.01, 1_000, 1_000),
            ("a_steady_flow_above_the_limit", 0.001, 10_000, 400 + 2_000),
        ]
    )
    def test_the_lines_of_one_event_are_bounded(self, _, gap_s, lines, expected):
        limit = EventRateLimiter()
        written = sum(
            limit.try_acquire("e", index * gap_s) for index in range(int(lines))
        )
        self.assertAlmostEqual(expected, written, delta=2)
        self.assertTrue(limit.try_acquire("another", lines * gap_s))

    def test_lines_held_back_are_reported_once(self):
        limit = EventRateLimiter()
        for _ in range(int(BURST_LINES) + 7):
            limit.try_acquire("e", 10.0)
        self.assertEqual({"e": 7}, limit.pop_held_back(10.0))
        self.assertEqual({}, limit.pop_held_back(20.0))

    def test_held_back_lines_are_logged_with_their_count(self):
        stream, now = io.StringIO(), [10.0]
        with bounded_logs(stream, clock=lambda: now[0]):
            for _ in range(int(BURST_LINES) + 5):
                log_event("e")
            now[0] += 2
            log_event("f")
        self.assertIn(
            "event=log_lines_held_back held_back=e count=5", stream.getvalue()
        )

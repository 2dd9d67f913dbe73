"""An event is one line of key=value pairs, whatever its values are."""

import io
import shlex

import eliot
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from turmericusher.errors import Verdict
from turmericusher.logs import configure_logs, log_event, logging_to


class BrokenPipeStream(io.StringIO):
    """A stream whose reader has closed its end."""

    def write(self, text: str, /) -> int:
        raise BrokenPipeError(32, "Broken pipe")


class LogsTest(TestCase):
    @parameterized.expand(
        [
            ("word", "abc", "abc"),
            ("empty", "", '""'),
            ("space", "a b", '"a b"'),
            ("quote", 'a"b', r'"a\"b"'),
            ("apostrophe", "a'b", '"a\'b"'),
            ("equals", "a=b", '"a=b"'),
            ("newline", "a\nb", r'"a\nb"'),
            ("accent", "criée", r'"cri\u00e9e"'),
            ("none", None, "null"),
            ("true", True, "true"),
            ("whole", 3, "3"),
            ("fraction", 0.1 + 0.2, "0.3"),
            ("verdict", Verdict.NOT_RUN, "not_run"),
            ("exception", ValueError("no way"), '"no way"'),
            ("long", "x" * 5000, "x" * 2000 + "..."),
        ]
    )
    def test_a_value_is_quoted_only_where_needed(
        self, _name: str, value: object, expected: str
    ) -> None:
        stream = io.StringIO()
        with logging_to(stream):
            log_event("request_refused", value=value)
        line = stream.getvalue()
        self.assertTrue(line.startswith("time="), line)
        self.assertTrue(line.endswith(f" event=request_refused value={expected}\n"))

    @given(st.dictionaries(st.from_regex(r"[a-z_]{1,8}", fullmatch=True), st.text()))
    def test_any_event_is_one_line_that_shlex_can_split(self, fields: dict) -> None:
        stream = io.StringIO()
        with logging_to(stream):
            log_event("any", **fields)
        self.assertEqual(1, len(stream.getvalue().splitlines()))
        words = shlex.split(stream.getvalue())
        self.assertEqual(
            {"time", "event", *fields}, {word.partition("=")[0] for word in words}
        )

    def test_names_reserved_by_eliot_are_allowed(self) -> None:
        stream = io.StringIO()
        with logging_to(stream):
            log_event("clash", message_type="a", task_uuid="b", self="c", event="d")
        self.assertIn("message_type=a task_uuid=b self=c", stream.getvalue())

    def test_without_a_stream_eliot_is_not_called(self) -> None:
        seen: list[object] = []
        eliot.add_destinations(seen.append)
        self.addCleanup(eliot.remove_destination, seen.append)
        log_event("unseen")
        self.assertEqual([], seen)

    def test_a_broken_stream_does_not_fail_the_caller(self) -> None:
        with logging_to(BrokenPipeStream()):
            log_event("lost")

    def test_the_previous_stream_is_restored(self) -> None:
        outer, inner = io.StringIO(), io.StringIO()
        configure_logs(outer)
        self.addCleanup(configure_logs, None)
        with logging_to(inner):
            log_event("first")
        log_event("second")
        self.assertIn("event=first", inner.getvalue())
        self.assertNotIn("event=first", outer.getvalue())
        self.assertIn("event=second", outer.getvalue())

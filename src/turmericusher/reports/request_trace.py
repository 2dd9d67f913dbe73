"""The trace of one request, assembled from the log lines of several instances."""

from __future__ import annotations

import re
import shlex
from collections.abc import Iterable
from dataclasses import dataclass

LOG_LINE_PATTERN = re.compile(r"(?:^|\s)(time=\S+ event=.*)$")
LOOKBACK_S = 10.0
"""Seconds before a request in which changes of its upstreams are relevant."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line: its file, its index among the file's lines, and its fields."""

    source: str
    number: int
    fields: dict[str, str]

    @property
    def time(self) -> str:
        """The instance's wall clock time as RFC 3339, which sorts as text."""
        return self.fields.get("time", "")

    @property
    def event(self) -> str:
        """The name of the event."""
        return self.fields.get("event", "")


def parse_lines(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Parse the lines of one file; lines that are not log lines are skipped."""
    found = []
    for number, text in enumerate(lines):
        match = LOG_LINE_PATTERN.search(text.rstrip("\n"))
        if match is None:
            continue
        try:
            words = shlex.split(match[1])
        except ValueError:
            # The line was truncated when its process ended.
            continue
        pairs = (word.partition("=") for word in words)
        fields = {name: value for name, _, value in pairs}
        found.append(LogLine(source, number, fields))
    return found


def trace_request(request_id: str, files: Iterable[list[LogLine]]) -> list[LogLine]:
    """Return a request's log lines and the related events on the same instances.

    The lines of one instance keep the order in which they were written, which is right
    even if its wall clock jumped. Instances are sorted by the time of their first line.
    """
    selected = []
    for lines in files:
        own = [line for line in lines if line.fields.get("id") == request_id]
        if own:
            selected.append(select_lines(lines, own))
    selected.sort(key=lambda lines: lines[0].time)
    return [line for lines in selected for line in lines]


def select_lines(lines: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return a request's lines and related events up to its last line, in order."""
    upstreams = {line.fields["upstream"] for line in own if "upstream" in line.fields}
    last = own[-1].number
    related = [
        line
        for line in lines
        if line.number <= last
        and "id" not in line.fields
        and is_related(line, upstreams, own[0].number)
    ]
    return sorted([*own, *related], key=lambda line: line.number)


def is_related(line: LogLine, upstreams: set[str], first_number: int) -> bool:
    """Whether an event may explain what happened to a request.

    Every change of its upstreams is related, and so are events of the store, the
    configuration and the shutdown from line `first_number`, the request's first, on.
    """
    if line.fields.get("upstream") in upstreams:
        return True
    return line.number >= first_number and line.event.startswith(
        ("store_", "config", "stop")
    )


def format_line(line: LogLine) -> str:
    """Return a log line with its time and source in front of its other fields."""
    other_fields = {
        name: value for name, value in line.fields.items() if name != "time"
    }
    rest = " ".join(f"{name}={value}" for name, value in other_fields.items())
    return f"{line.time} {line.source}: {rest}"

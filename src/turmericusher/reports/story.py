"""The story of one request, out of the log lines of several instances."""

from __future__ import annotations

import re
import shlex
from collections.abc import Iterable
from dataclasses import dataclass

LINE = re.compile(r"(?:^|\s)(time=\S+ event=.*)$")
BEFORE_S = 10.0
"""How far back changes of an upstream matter to a request that used it."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line: where it stood, its time as written, and its fields."""

    source: str
    number: int
    fields: dict[str, str]

    @property
    def time(self) -> str:
        """The wall clock as the instance saw it; comparable as text."""
        return self.fields.get("time", "")

    @property
    def event(self) -> str:
        """What happened."""
        return self.fields.get("event", "")


def parse_lines(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines of one file; others are passed over."""
    found = []
    for number, text in enumerate(lines):
        match = LINE.search(text.rstrip("\n"))
        if match is None:
            continue
        try:
            words = shlex.split(match[1])
        except ValueError:
            # A line that was cut off by the end of its process.
            continue
        pairs = (word.partition("=") for word in words)
        fields = {name: value for name, _, value in pairs}
        found.append(LogLine(source, number, fields))
    return found


def story_of(request_id: str, files: Iterable[list[LogLine]]) -> list[LogLine]:
    """Return a request's lines, with the changes that its instances saw meanwhile.

    Within one instance lines stay in the order in which they were written: that order
    holds whatever its wall clock did. Instances follow one another by their first line.
    """
    told = []
    for lines in files:
        own = [line for line in lines if line.fields.get("id") == request_id]
        if own:
            told.append(lines_around(lines, own))
    told.sort(key=lambda lines: lines[0].time)
    return [line for lines in told for line in lines]


def lines_around(lines: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return a request's lines and the changes that may explain them, as written."""
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


def is_related(line: LogLine, upstreams: set[str], first: int) -> bool:
    """Whether a change concerns a request: its upstreams, or what came meanwhile."""
    if line.fields.get("upstream") in upstreams:
        return True
    return line.number >= first and line.event.startswith(("store_", "config", "stop"))


def format_line(line: LogLine) -> str:
    """Return a line as it is shown."""
    shown = {name: value for name, value in line.fields.items() if name != "time"}
    rest = " ".join(f"{name}={value}" for name, value in shown.items())
    return f"{line.time} {line.source}: {rest}"

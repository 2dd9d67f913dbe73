"""The `story` command: the log lines of one request from several instances."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import cappa

from turmericusher.cli.dispatch import EXIT_FAILED, EXIT_OK, run_command
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.reports.request_trace import format_line, parse_lines, trace_request


@cappa.command(name="story")
@dataclass
class Story:
    """Show the log lines of one request, in order, from any number of files."""

    request_id: str
    files: list[Path]


@run_command.register
def run_story(command: Story) -> int:
    """Print the trace of a request; fail if no file mentions it."""
    parsed_files = []
    for path in command.files:
        try:
            with path.open(encoding="utf-8", errors="replace") as stream:
                parsed_files.append(parse_lines(path.name, stream))
        except OSError as error:
            raise RequestRefusedError(
                ErrorCode.INVALID_REQUEST, f"cannot read file {str(path)!r}: {error}"
            ) from error
    lines = trace_request(command.request_id, parsed_files)
    for line in lines:
        print(format_line(line))
    return EXIT_OK if lines else EXIT_FAILED

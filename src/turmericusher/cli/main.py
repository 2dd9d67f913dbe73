"""Entry point of the `turmericusher` command line."""

from __future__ import annotations

import sys
from dataclasses import dataclass

import cappa

from turmericusher.cli.access import print_error
from turmericusher.cli.commands import Call, Generate, Serve, ServePlatform, Try
from turmericusher.cli.configuration import CheckConfiguration
from turmericusher.cli.dispatch import (
    EXIT_FAILED,
    EXIT_MAY_HAVE_RUN,
    EXIT_USAGE,
    run_command,
)
from turmericusher.cli.profiles import ProfileCommand
from turmericusher.cli.queries import Entrypoints, SettingsCommand, State
from turmericusher.cli.snapshots import SnapshotCommand
from turmericusher.cli.standins import Standin
from turmericusher.cli.stories import Story
from turmericusher.errors import ErrorCode, TurmericusherError, Verdict

USAGE_CODES = frozenset({ErrorCode.INVALID_SETTINGS, ErrorCode.INVALID_REQUEST})


@cappa.command(name="turmericusher")
@dataclass
class Turmericusher:
    """Serve long model generations to completion on engines that fail."""

    command: cappa.Subcommands[
        Serve
        | ServePlatform
        | Try
        | Standin
        | Generate
        | Call
        | CheckConfiguration
        | Entrypoints
        | State
        | SettingsCommand
        | ProfileCommand
        | SnapshotCommand
        | Story
    ]


def main() -> None:
    """Parse the command line, run the command and exit with its status."""
    command = cappa.parse(Turmericusher).command
    sys.exit(run_reporting_errors(command))


def run_reporting_errors(command: object) -> int:
    """Run a command; print a `TurmericusherError` and return its exit status."""
    try:
        return run_command(command)
    except TurmericusherError as error:
        print_error(error, as_json=bool(getattr(command, "json", False)))
        return exit_status_for(error)
    except KeyboardInterrupt:
        return EXIT_FAILED


def exit_status_for(error: TurmericusherError) -> int:
    """Return the exit status for an error.

    Scripts distinguish wrong usage, a request that did not run, and one that may have
    run.
    """
    if error.code in USAGE_CODES:
        return EXIT_USAGE
    if error.verdict is Verdict.NOT_RUN:
        return EXIT_FAILED
    return EXIT_MAY_HAVE_RUN

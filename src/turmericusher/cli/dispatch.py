"""Dispatch of a parsed command line to the function that runs the command.

Each command is a data class that cappa fills in. The module of the command registers
an implementation with `run_command`; its return value is the exit status.
"""

from __future__ import annotations

from functools import singledispatch

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_MAY_HAVE_RUN = 3
EXIT_WARNINGS = 4


@singledispatch
def run_command(command: object) -> int:
    """Run a command and return the exit status of the process."""
    raise NotImplementedError(f"command={command!r} has no implementation")

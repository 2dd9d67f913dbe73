"""How a parsed command line is carried out.

Each command is a data class that cappa fills in. Its module registers with
`run_command` what the command does; the number returned is the exit status.
"""

from __future__ import annotations

from functools import singledispatch

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_MAY_HAVE_RUN = 3


@singledispatch
def run_command(command: object) -> int:
    """Carry out a command and return the exit status of the process."""
    raise NotImplementedError(f"command={command!r} has no implementation")

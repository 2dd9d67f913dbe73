"""The `check` command: findings on a configuration before it is put in force."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cappa

from turmericusher.cli.access import print_json
from turmericusher.cli.dispatch import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_WARNINGS,
    run_command,
)
from turmericusher.cli.queries import Json
from turmericusher.errors import ErrorCode, RequestRefusedError


@cappa.command(name="check")
@dataclass
class CheckConfiguration:
    """Check a configuration of the serving platform before it is put in force.

    The exit status is 0 without findings, or with nothing but changes; 1 with errors; 2
    if a file cannot be read or the command line is wrong; 4 with warnings alone.
    """

    path: Annotated[Path, cappa.Arg(value_name="FILE", help="the configuration")]
    against: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            value_name="FILE",
            help="the configuration in force; what differs from it is printed",
        ),
    ] = None
    json: Json = False


@run_command.register
def run_check_configuration(command: CheckConfiguration) -> int:
    """Print the findings on a configuration and return the status for them."""
    from turmericusher.platform.configuration_check import check_configuration

    in_force = None if command.against is None else read_file(command.against)
    findings = check_configuration(read_file(command.path), in_force)
    counts = Counter(finding.severity.value for finding in findings)
    if command.json:
        print_json({"findings": [asdict(each) for each in findings], **totals(counts)})
    else:
        for each in findings:
            place = each.place or str(command.path)
            print(f"{each.severity}: {place}: {each.message} ({each.code})")
        summary = ", ".join(f"{name} {count}" for name, count in totals(counts).items())
        print(f"{command.path}: {summary}")
    if counts["error"]:
        return EXIT_FAILED
    return EXIT_WARNINGS if counts["warning"] else EXIT_OK


def totals(counts: Counter[str]) -> dict[str, int]:
    """Return the numbers of findings as they are printed."""
    return {
        "errors": counts["error"],
        "warnings": counts["warning"],
        "changes": counts["change"],
    }


def read_file(path: Path) -> bytes:
    """Return a file's contents; raise `RequestRefusedError` if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST, f"cannot read file {str(path)!r}: {error}"
        ) from error

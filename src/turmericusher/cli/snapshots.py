"""Commands that save, check and restore snapshots of the profiles."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, TypeVar

import cappa

from turmericusher.cli.access import print_json
from turmericusher.cli.dispatch import EXIT_OK, run_command
from turmericusher.ports.etcd import open_etcd_store
from turmericusher.ports.keyvalue import KeyValueStore
from turmericusher.snapshots import (
    SnapshotError,
    read_snapshot_file,
    restore_snapshot,
    take_snapshot,
    write_snapshot_file,
)
from turmericusher.tasks.profile_watch import FLEET_DIRECTORY

STORE_TIMEOUT_S = 10.0
"""Seconds within which the key-value service must answer one request."""

PROFILES_DIRECTORY = FLEET_DIRECTORY + "profiles/"

StoreUrl = Annotated[str, cappa.Arg(long=True, help="URL of the key-value service")]
Prefix = Annotated[str, cappa.Arg(long=True, help="store.prefix of the settings")]
Json = Annotated[bool, cappa.Arg(long=True, help="print JSON")]
Result = TypeVar("Result")


@dataclass
class Save:
    """Save every profile, including retired ones, to a file."""

    path: Path
    store: StoreUrl
    prefix: Prefix = "/turmericusher/"
    json: Json = False


@cappa.command(name="check")
@dataclass
class CheckFile:
    """Check that a file is complete and readable by this version."""

    path: Path
    json: Json = False


@dataclass
class Restore:
    """Write the profiles that the key-value service lacks."""

    path: Path
    store: StoreUrl
    prefix: Prefix = "/turmericusher/"
    only_missing: Annotated[
        bool, cappa.Arg(long=True, help="required: existing profiles are kept")
    ] = False
    json: Json = False


@cappa.command(name="snapshot")
@dataclass
class SnapshotCommand:
    """Save, check and restore snapshots of the profiles."""

    command: cappa.Subcommands[Save | CheckFile | Restore]


@run_command.register
def run_snapshot(command: SnapshotCommand) -> int:
    """Run the chosen subcommand of `snapshot`."""
    return run_command(command.command)


@run_command.register
def run_save(command: Save) -> int:
    """Read all profiles from the key-value service and write them to a file."""
    prefix = command.prefix + PROFILES_DIRECTORY
    snapshot = run_with_store(command.store, lambda store: take_snapshot(store, prefix))
    write_snapshot_file(command.path, snapshot)
    result = {"profiles": len(snapshot.profiles), "revision": snapshot.revision}
    return print_result(f"{command.path}: saved", result, command.json)


@run_command.register
def run_check_file(command: CheckFile) -> int:
    """Check a snapshot file and print its number of profiles and its revision."""
    snapshot = read_snapshot_file(command.path)
    result = {"profiles": len(snapshot.profiles), "revision": snapshot.revision}
    return print_result(f"{command.path}: complete", result, command.json)


@run_command.register
def run_restore(command: Restore) -> int:
    """Restore missing profiles and print how many were written and kept."""
    if not command.only_missing:
        raise SnapshotError(
            "only_missing=False: a restore writes only the profiles that are missing; "
            "confirm this with --only-missing"
        )
    snapshot = read_snapshot_file(command.path)
    prefix = command.prefix + PROFILES_DIRECTORY
    restored = run_with_store(
        command.store, lambda store: restore_snapshot(store, prefix, snapshot)
    )
    counts = Counter(outcome.value for outcome in restored.values())
    return print_result(f"{command.path}: restored", dict(counts), command.json)


def run_with_store(
    url: str, operation: Callable[[KeyValueStore], Awaitable[Result]]
) -> Result:
    """Run an operation with a client of the key-value service at `url`."""

    async def run() -> Result:
        async with open_etcd_store(url, STORE_TIMEOUT_S) as store:
            return await operation(store)

    return asyncio.run(run())


def print_result(title: str, result: dict[str, int], as_json: bool) -> int:
    """Print the counts of an operation and return the exit status for success."""
    if as_json:
        print_json(result)
    else:
        figures = ", ".join(f"{value} {name}" for name, value in result.items())
        print(f"{title}, {figures}")
    return EXIT_OK

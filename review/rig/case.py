"""Runs the check of a case and turns its outcome into an exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig.record import Record, recording

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 115.0


class CaseError(Exception):
    """The case could not be set up, so that it says nothing of the rule."""


def is_troubled() -> bool:
    """Whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, check: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Run a check, which returns whether the rule held, and exit."""
    sys.exit(status_of(folder, check))


def status_of(folder: Path, check: Callable[[Record, bool], Awaitable[bool]]) -> int:
    """Return the exit status of a check."""

    async def limited(record: Record) -> bool:
        # A script that is told to end must end what it has started.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await check(record, is_troubled())

    with recording(folder / "record.txt") as record:
        try:
            has_held = asyncio.run(limited(record))
        except (Exception, KeyboardInterrupt, asyncio.CancelledError):
            traceback.print_exc()
            return COULD_NOT_RUN
    return HELD if has_held else BROKEN

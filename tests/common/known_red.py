"""The tests that fail because of a known fault; CI tolerates and prints them.

A listed test must still run and must still fail: one that passes fails the run, so
that its entry is removed. An entry whose test does not exist fails the run as well.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import pytest

FILE_NAME = "KNOWN-RED.txt"
WORKER_KEY = "known_red_missing"


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry: a pytest node id, a command, what the command shows, and the issue."""

    test: str
    command: str
    seen: str
    issue: str


@dataclass(slots=True)
class KnownRedPlugin:
    """A pytest plugin that expects the listed tests to fail and reports them apart.

    `missing` are the complaints about entries without a test that workers of
    pytest-xdist passed on, since an exception would only end the worker.
    """

    entries: tuple[KnownRed, ...]
    missing: set[str] = field(default_factory=set)

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Mark each listed test as expected to fail; reject an entry without a test.

        This hook runs before others, while `items` still holds the tests that `-k`
        deselects.
        """
        collected = {item.nodeid: item for item in items}
        for entry in self.entries:
            item = collected.get(entry.test)
            if item is not None:
                item.add_marker(pytest.mark.xfail(strict=True, reason=reason(entry)))
            elif is_selected(config, entry.test):
                message = (
                    f"{FILE_NAME}: test={entry.test!r} does not exist; "
                    "remove or correct the entry"
                )
                if not hasattr(config, "workeroutput"):
                    raise pytest.UsageError(message)
                config.workeroutput.setdefault(WORKER_KEY, []).append(message)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Collect the complaints of a worker that has ended."""
        self.missing.update(getattr(node, "workeroutput", {}).get(WORKER_KEY, ()))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run if a worker found an entry without a test."""
        if self.missing:
            session.exitstatus = pytest.ExitCode.USAGE_ERROR

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Print the listed tests that failed, and the entries without a test."""
        for message in sorted(self.missing):
            terminalreporter.line(message, red=True)
        failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", ())}
        failed_entries = [entry for entry in self.entries if entry.test in failed]
        if not failed_entries:
            return
        terminalreporter.section(f"known red: {len(failed_entries)}")
        for entry in failed_entries:
            terminalreporter.line(f"known red: {entry.test} ({reason(entry)})")


def pytest_configure(config: pytest.Config) -> None:
    """Read the list next to the configuration file and register the plugin."""
    path = config.rootpath / FILE_NAME
    try:
        entries = read_known_red(path)
    except ValueError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error
    config.pluginmanager.register(KnownRedPlugin(entries), "known-red")


def read_known_red(path: Path) -> tuple[KnownRed, ...]:
    """Return the entries of a list; a file that does not exist has none."""
    if not path.exists():
        return ()
    lines = path.read_text(encoding="utf-8").splitlines()
    kept = "\n".join(line for line in lines if not line.startswith("#"))
    return tuple(parse_entry(block) for block in kept.split("\n\n") if block.strip())


def parse_entry(block: str) -> KnownRed:
    """Return one entry; raise `ValueError` unless it has exactly the four fields."""
    pairs = [line.partition(":") for line in block.strip().splitlines()]
    fields_found = [(name.strip(), value.strip()) for name, _, value in pairs]
    expected = [field.name for field in fields(KnownRed)]
    if [name for name, _ in fields_found] != expected or not all(
        value for _, value in fields_found
    ):
        raise ValueError(f"entry {block.strip()!r} must have the lines {expected!r}")
    return KnownRed(**dict(fields_found))


def is_selected(config: pytest.Config, node_id: str) -> bool:
    """Return whether this run would have collected the test, if it existed."""
    path = config.rootpath / node_id.partition("::")[0]
    selected_paths = [
        config.invocation_params.dir / argument for argument in config.args
    ]
    return any(path.is_relative_to(directory) for directory in selected_paths)


def reason(entry: KnownRed) -> str:
    """Return the reason shown for an expected failure: what is seen, and the issue."""
    return f"{entry.seen}; issue {entry.issue}"

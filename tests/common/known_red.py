"""The list of tests that fail for a known fault, which CI passes over and prints.

A listed test must still run and must still fail: one that passes fails the run, so
that its entry is removed, and an entry whose test does not exist fails the run too.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry: a pytest node id, how to see it fail, what is seen, the issue."""

    test: str
    command: str
    seen: str
    issue: str


@dataclass(slots=True)
class KnownRedPlugin:
    """Expects the listed tests to fail and reports them apart."""

    entries: tuple[KnownRed, ...]

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Expect each listed test to fail; refuse an entry without a test.

        This comes first, while `items` still holds what a `-k` leaves out.
        """
        collected = {item.nodeid: item for item in items}
        for entry in self.entries:
            item = collected.get(entry.test)
            if item is not None:
                item.add_marker(pytest.mark.xfail(strict=True, reason=reason(entry)))
            elif is_selected(config, entry.test):
                raise pytest.UsageError(
                    f"{FILE_NAME}: test={entry.test!r} does not exist; "
                    "remove or correct the entry"
                )

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Print the known red tests that failed in this run."""
        failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", ())}
        shown = [entry for entry in self.entries if entry.test in failed]
        if not shown:
            return
        terminalreporter.section(f"known red: {len(shown)}")
        for entry in shown:
            terminalreporter.line(f"known red: {entry.test} ({reason(entry)})")


def pytest_configure(config: pytest.Config) -> None:
    """Read the list beside the configuration file and register the plugin."""
    path = config.rootpath / FILE_NAME
    try:
        entries = read_known_red(path)
    except ValueError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error
    config.pluginmanager.register(KnownRedPlugin(entries), "known-red")


def read_known_red(path: Path) -> tuple[KnownRed, ...]:
    """Read the entries of a list; one that does not exist has none."""
    if not path.exists():
        return ()
    lines = path.read_text(encoding="utf-8").splitlines()
    kept = "\n".join(line for line in lines if not line.startswith("#"))
    return tuple(parse_entry(block) for block in kept.split("\n\n") if block.strip())


def parse_entry(block: str) -> KnownRed:
    """Return one entry; raise `ValueError` unless it has exactly the four fields."""
    pairs = [line.partition(":") for line in block.strip().splitlines()]
    found = [(name.strip(), value.strip()) for name, _, value in pairs]
    expected = [field.name for field in fields(KnownRed)]
    if [name for name, _ in found] != expected or not all(value for _, value in found):
        raise ValueError(f"entry {block.strip()!r} must have the lines {expected!r}")
    return KnownRed(**dict(found))


def is_selected(config: pytest.Config, node: str) -> bool:
    """Whether this run was to collect the test, had it existed."""
    path = config.rootpath / node.partition("::")[0]
    chosen = [config.invocation_params.dir / argument for argument in config.args]
    return any(path.is_relative_to(directory) for directory in chosen)


def reason(entry: KnownRed) -> str:
    """Return what is seen and the issue that stands for it."""
    return f"{entry.seen}; issue {entry.issue}"

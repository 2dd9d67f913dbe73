"""Runs all checks of a configuration."""

from __future__ import annotations

from collections.abc import Iterator

from turmericusher.decisions.configuration_check.comparison import compare
from turmericusher.decisions.configuration_check.contents import CheckedConfiguration
from turmericusher.decisions.configuration_check.entries import check_entries
from turmericusher.decisions.configuration_check.findings import Finding
from turmericusher.decisions.configuration_check.limits import check_numbers
from turmericusher.decisions.retrying.retries import RetryBounds


def find_all(
    configuration: CheckedConfiguration,
    bounds: RetryBounds,
    in_force: CheckedConfiguration | None = None,
) -> Iterator[Finding]:
    """Yield all findings on a configuration, compared with one in force if given."""
    yield from check_entries(configuration)
    yield from check_numbers(configuration, bounds)
    if in_force is not None:
        yield from compare(configuration, in_force)

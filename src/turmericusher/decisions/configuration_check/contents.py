"""The contents of a configuration to check, also of one that is partly invalid.

A field is None where it is missing or invalid, which was reported when it was read.
`settings` has all the fields of an entry by the names that operators know, for the
comparison of two versions. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.configuration_check.findings import Section
from turmericusher.decisions.routing import WeightedService

Settings = Mapping[str, object]


@dataclass(frozen=True, slots=True)
class Hidden:
    """A secret value: compared, but never printed."""

    value: object = field(repr=False)


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of a section and its index there."""

    section: Section
    index: int
    name: str | None = None
    settings: Settings = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CheckedRoute(Entry):
    """A route; it names one service or the shares of several."""

    host: str | None = None
    prefix: str | None = None
    is_stream: bool = False
    service: str | None = None
    shares: tuple[WeightedService, ...] | None = None
    are_services_readable: bool = True
    timeout_s: float | None = None
    target_latency_s: float | None = None
    longest_gap_s: float | None = None
    max_attempts: int | None = None
    urgency: int | None = None
    needs_team: bool = True


@dataclass(frozen=True, slots=True)
class CheckedTeam(Entry):
    """A team and its keys."""

    keys: tuple[str, ...] | None = None
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class CheckedLimits:
    """Limits on what callers may send."""

    header_bytes: int | None = None
    body_bytes: int | None = None
    header_timeout_s: float | None = None
    idle_timeout_s: float | None = None
    settings: Settings = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CheckedConfiguration:
    """A whole configuration; `teams` is None if the deployment has none."""

    version: int | None
    routes: tuple[CheckedRoute, ...] = ()
    services: tuple[Entry, ...] = ()
    teams: tuple[CheckedTeam, ...] | None = None
    limits: CheckedLimits = CheckedLimits()

    def entries(self) -> tuple[Entry, ...]:
        """Return the entries of all sections."""
        return (*self.routes, *self.services, *(self.teams or ()))

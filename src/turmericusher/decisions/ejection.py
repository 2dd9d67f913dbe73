"""Outlier ejection: avoids an upstream that has just failed for a bounded time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
FAILURE_WINDOW_S = 60.0
"""Seconds between two failures above which they do not count as consecutive."""
MAX_EJECTED_SHARE = 0.5
"""Largest share of a service's upstreams that is ejected at once: a fault of the
callers or of this instance must not eject the whole service."""


@dataclass(frozen=True, slots=True)
class Ejection:
    """The number of consecutive failures of an upstream, and when its ejection ends."""

    failures: int
    failed_at: float
    until: float


@dataclass(slots=True)
class EjectionTable:
    """The upstreams with recent failures, by name; times are monotonic seconds."""

    ejections: dict[str, Ejection] = field(default_factory=dict)

    def failed(self, name: str, now: float) -> None:
        """Eject an upstream after a failure; each consecutive one doubles the time."""
        last = self.ejections.get(name)
        is_consecutive = last is not None and now - last.failed_at <= FAILURE_WINDOW_S
        failures = last.failures + 1 if last is not None and is_consecutive else 1
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2 ** min(failures - 1, 8))
        self.ejections[name] = Ejection(failures, now, now + duration_s)

    def succeeded(self, name: str) -> None:
        """End the ejection of an upstream that has answered."""
        self.ejections.pop(name, None)

    def recently_failed(self, names: Iterable[str], now: float) -> list[str]:
        """Return those of the names whose last failure is not long enough ago.

        They are ejected, except for the share of a service that never is.
        """
        return [
            name
            for name in names
            if name in self.ejections and self.ejections[name].until > now
        ]

    def ejected(self, names: Iterable[str], now: float) -> frozenset[str]:
        """Return which of the names are ejected, at most the allowed share of them.

        If more have failed, those with the latest failures are chosen.
        """
        known = list(names)
        current = self.recently_failed(known, now)
        current.sort(key=lambda name: (-self.ejections[name].failed_at, name))
        return frozenset(current[: int(len(known) * MAX_EJECTED_SHARE)])

    def prune(self, names: set[str], now: float) -> None:
        """Drop the entries of upstreams not in `names` and of old failures."""
        self.ejections = {
            name: ejection
            for name, ejection in self.ejections.items()
            if name in names and now - ejection.failed_at <= FAILURE_WINDOW_S
        }

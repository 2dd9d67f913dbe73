"""Outlier ejection: an upstream that has just failed is avoided for a bounded time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
FAILURE_MEMORY_S = 60.0
"""Failures further apart than this are not counted together."""
MAX_EJECTED_SHARE = 0.5
"""No more of a service's upstreams are avoided at once: a fault of the callers or of
this instance must not close the whole service."""


@dataclass(frozen=True, slots=True)
class Ejection:
    """The recent failures of one upstream, and until when it is avoided."""

    failures: int
    failed_at: float
    until: float


@dataclass(slots=True)
class EjectionTable:
    """The upstreams that failed lately; times are monotonic seconds."""

    ejections: dict[str, Ejection] = field(default_factory=dict)

    def failed(self, name: str, now: float) -> None:
        """Count a failure; each further one in a row doubles the time."""
        last = self.ejections.get(name)
        repeated = last is not None and now - last.failed_at <= FAILURE_MEMORY_S
        failures = last.failures + 1 if last is not None and repeated else 1
        length_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2 ** min(failures - 1, 8))
        self.ejections[name] = Ejection(failures, now, now + length_s)

    def succeeded(self, name: str) -> None:
        """End the ejection of an upstream that has answered again."""
        self.ejections.pop(name, None)

    def ejected(self, names: Iterable[str], now: float) -> frozenset[str]:
        """Return which of the names are avoided now, the latest failures first."""
        known = list(names)
        current = [
            name
            for name in known
            if name in self.ejections and self.ejections[name].until > now
        ]
        current.sort(key=lambda name: (-self.ejections[name].failed_at, name))
        return frozenset(current[: int(len(known) * MAX_EJECTED_SHARE)])

    def forget(self, names: set[str], now: float) -> None:
        """Drop unknown upstreams and old failures."""
        self.ejections = {
            name: ejection
            for name, ejection in self.ejections.items()
            if name in names and now - ejection.failed_at <= FAILURE_MEMORY_S
        }

"""Limits that upstreams name for the requests that they take from all instances.

An upstream in need names a limit in its answers, for as long as it holds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance


@dataclass(slots=True)
class NamedLimit:
    """The limit that one incarnation of an upstream names, in requests per second."""

    incarnation: str
    per_s: float


@dataclass(slots=True)
class SendLimits:
    """The limits in force, by upstream name."""

    limits: dict[str, NamedLimit] = field(default_factory=dict)

    def record_answer(self, upstream: UpstreamInstance, per_s: float | None) -> bool:
        """Record the limit that an answer names, or None; return whether it is new."""
        known = self.limits.get(upstream.name)
        if per_s is None:
            self.limits.pop(upstream.name, None)
            return known is not None
        self.limits[upstream.name] = NamedLimit(upstream.incarnation, per_s)
        return known is None or known.per_s != per_s

    def retain_listed(self, listed: Mapping[str, UpstreamInstance]) -> None:
        """Drop the limits of incarnations that the list no longer shows."""
        self.limits = {
            name: limit
            for name, limit in self.limits.items()
            if name in listed and listed[name].incarnation == limit.incarnation
        }

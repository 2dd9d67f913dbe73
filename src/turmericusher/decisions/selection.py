"""Selection: which upstream gets the next attempt."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance


@dataclass(frozen=True, slots=True)
class PickRequest:
    """What an attempt needs of its upstream.

    `model` is empty for a plain service. `version` is empty until the first attempt
    has shown one. `excluded` names are never picked; `avoided_domains` are picked only
    when nothing else is left. `prefix` is a hash of the prompt's beginning, for cache
    affinity; empty asks for none.
    """

    service: str
    model: str = ""
    version: str = ""
    excluded: frozenset[str] = frozenset()
    avoided_domains: frozenset[str] = frozenset()
    prefix: bytes = b""
    is_resume: bool = False


@dataclass(slots=True)
class Selector:
    """Picks upstreams by the requests that this instance has in flight there."""

    random: random.Random
    upstreams: dict[str, UpstreamInstance] = field(default_factory=dict)
    in_flight: dict[str, int] = field(default_factory=dict)

    def update(self, upstreams: Iterable[UpstreamInstance]) -> None:
        """Replace the known upstreams."""
        self.upstreams = {upstream.name: upstream for upstream in upstreams}

    def pick(self, request: PickRequest) -> UpstreamInstance | None:
        """Return the upstream for an attempt, or None when there is none."""
        candidates = [u for u in self.upstreams.values() if can_serve(u, request)]
        preferred = [
            u for u in candidates if u.failure_domain not in request.avoided_domains
        ]
        return min(
            preferred or candidates,
            key=lambda u: (self.in_flight.get(u.name, 0), self.random.random()),
            default=None,
        )

    def started(self, name: str) -> None:
        """Count an attempt that begins on the upstream `name`."""
        self.in_flight[name] = self.in_flight.get(name, 0) + 1

    def finished(self, name: str) -> None:
        """Count an attempt that ended on the upstream `name`."""
        remaining = self.in_flight.get(name, 0) - 1
        if remaining > 0:
            self.in_flight[name] = remaining
        else:
            self.in_flight.pop(name, None)


def can_serve(upstream: UpstreamInstance, request: PickRequest) -> bool:
    """Whether an upstream may be given the attempt at all."""
    return (
        upstream.service == request.service
        and upstream.lifecycle is Lifecycle.LIVE
        and upstream.name not in request.excluded
        and (not request.model or request.model in upstream.models)
        and (not request.version or upstream.version == request.version)
    )

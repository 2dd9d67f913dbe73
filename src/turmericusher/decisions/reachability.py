"""Which services this instance reaches: whether their upstreams accept its connections.

An instance may lose its links to all upstreams while callers, the store and the other
instances still reach it. Its attempts then fail at one upstream after the other, each
with the timeout of a connection. Connections that are tried to a few more upstreams
show sooner that a service is unreachable, and one now and then that it is back.

Load: an instance that is cut off from every upstream of a service, or from those of one
service only, and upstreams that are down for everybody. The connections do not grow
with the requests.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.placing.selection import Selector

ENOUGH_FAILURES = 4
"""Upstreams, or all if there are fewer, that must have refused connections since any
accepted one: fewer may be a failure domain that has crashed."""

MIN_FAILURES = 2
"""Failed connections that it takes in any case: one may be a lost packet."""

FAILURE_EXPIRY_S = 5.0
"""Seconds after which a failed connection says nothing of the present."""

MAX_FAILURE_S = 0.4
"""Seconds within which connections fail: their timeouts are shorter. One that took
longer tells of a delay of this process, not of its links."""

CHECK_PAUSE_S = 1.0
"""Seconds between two rounds of checks of a service that may be unreachable."""

RECHECK_INTERVAL_S = 0.25
"""Seconds between two checks of a service that is unreachable."""


@dataclass(slots=True)
class ServiceReach:
    """What connections to the upstreams of one service have shown.

    `failed` maps upstreams to the start of their last failed connection; those that
    began before the last one that succeeded, at `reached_at`, are left out. `failures`
    counts them, and the last checks were made at `checked_at`. `is_served_elsewhere`:
    another instance has reached the service meanwhile, so that its upstreams are not
    down for everybody. Times are monotonic seconds.
    """

    failed: dict[str, float] = field(default_factory=dict)
    failures: int = 0
    reached_at: float = -math.inf
    checked_at: float = -math.inf
    is_unreachable: bool = False
    is_served_elsewhere: bool = False


@dataclass(slots=True)
class Reachability:
    """What connections have shown, by the names of services."""

    selector: Selector
    services: dict[str, ServiceReach] = field(default_factory=dict)

    # Queries

    def is_unreachable(self, service: str) -> bool:
        """Whether no upstream of a service accepts connections of this instance."""
        reach = self.services.get(service)
        return reach is not None and reach.is_unreachable

    def unreachable_services(self) -> frozenset[str]:
        """Return the services that this instance does not reach."""
        return frozenset(
            name for name, reach in self.services.items() if reach.is_unreachable
        )

    def has_doubts(self) -> bool:
        """Whether connections to any service failed and none succeeded since."""
        return any(reach.failed for reach in self.services.values())

    def services_cut_off(self) -> frozenset[str]:
        """Return the services that others reach and this instance does not."""
        return frozenset(
            name
            for name, reach in self.services.items()
            if reach.is_unreachable and reach.is_served_elsewhere
        )

    # Commands

    def record_served_elsewhere(self, service: str) -> None:
        """Record that another instance served a request of a service."""
        reach = self.services.get(service)
        if reach is not None and reach.is_unreachable:
            reach.is_served_elsewhere = True

    def record_success(self, service: str, started_at: float) -> None:
        """Record a connection that an upstream of a service accepted.

        One that began before others failed does not tell what is the case now.
        """
        reach = self.services.setdefault(service, ServiceReach())
        reach.reached_at = max(reach.reached_at, started_at)
        if not reach.failed:
            return
        reach.failed = {
            name: failed_at
            for name, failed_at in reach.failed.items()
            if failed_at > started_at
        }
        if not reach.failed:
            reach.failures = 0
            reach.is_unreachable = reach.is_served_elsewhere = False

    def record_failure(
        self, upstream: UpstreamInstance, started_at: float, failed_at: float
    ) -> None:
        """Record a connection that began at `started_at` and failed at `failed_at`."""
        if failed_at - started_at > MAX_FAILURE_S:
            return
        reach = self.services.setdefault(upstream.service, ServiceReach())
        if started_at <= reach.reached_at:
            return
        reach.failed = {
            name: failed_at
            for name, failed_at in reach.failed.items()
            if failed_at > started_at - FAILURE_EXPIRY_S
        }
        if not reach.failed:
            reach.failures = 0
        reach.failed[upstream.name] = started_at
        reach.failures += 1
        live = self.selector.live.get(upstream.service, [])
        failed = sum(name in reach.failed for name in live)
        if reach.failures >= MIN_FAILURES and failed >= min(len(live), ENOUGH_FAILURES):
            reach.is_unreachable = True

    def due_checks(self, now: float) -> list[UpstreamInstance]:
        """Return the upstreams to which a connection should be tried now.

        Of a service that is unreachable, this is one at a time. Otherwise it is as many
        as may show that it is. Nothing is known of a service without live upstreams.
        """
        due = []
        for service, reach in list(self.services.items()):
            if not reach.failed:
                continue
            interval_s = RECHECK_INTERVAL_S if reach.is_unreachable else CHECK_PAUSE_S
            live = self.selector.live.get(service, [])
            if not live:
                del self.services[service]
                continue
            if now - reach.checked_at < interval_s:
                continue
            reach.checked_at = now
            rest = [name for name in live if name not in reach.failed]
            if reach.is_unreachable:
                names = [self.selector.random.choice(rest or live)]
            elif rest:
                count = min(len(rest), ENOUGH_FAILURES - 1)
                names = self.selector.random.sample(rest, count)
            else:
                names = live[:1]
            due += [self.selector.upstreams[name] for name in names]
        return due

"""Forwarding: which other instance gets a request whose service is unreachable here.

An instance that reaches no upstream of a service forwards its callers' requests to one
that does, as a caller of it would. That instance decides all that concerns upstreams:
routing, retries and their budget, limits, versions and traits that crash upstreams. It
does not forward a request once more.

Load: requests of the instances that are cut off, spread evenly over the others, which
would get them anyway if the callers came to them.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import (
    EntryInstance,
    Lifecycle,
    UpstreamInstance,
    UpstreamKind,
)
from turmericusher.errors import ErrorCode

MAX_REFUSALS_ELSEWHERE = 3
"""Instances that may refuse a request before it counts as refused by all."""

REFUSAL_EXPIRY_S = 1.0
"""Seconds for which an instance that could not take a request gets none."""

ELSEWHERE_CODES = frozenset(
    {ErrorCode.INSTANCE_STOPPING, ErrorCode.NO_CONFIGURATION, ErrorCode.NO_UPSTREAM}
)
"""Codes of refusals that concern one instance, so that another one may do better."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The error with which another instance refused a request, which has not run."""

    code: ErrorCode
    message: str
    retry_after_s: float | None

    @property
    def is_local(self) -> bool:
        """Whether another instance may take the request."""
        return self.code in ELSEWHERE_CODES


@dataclass(frozen=True, slots=True)
class Hop:
    """What the next instance is told about a request that is forwarded to it.

    `sender` is the name of the instance that forwards it, and `configuration` the
    version by which it was accepted there. A request that `may_have_run` is not refused
    for being late. `receiver` is the incarnation of the next instance, which only
    instances know, so that callers cannot pretend a hop. `resumes` is the id of the
    request that brought the stream's first event, if this one goes on with a stream.
    """

    sender: str
    configuration: int
    may_have_run: bool = False
    receiver: str = ""
    resumes: str | None = None


@dataclass(slots=True)
class Forwarding:
    """The other instances, and which of them could not take a request lately.

    `own` and `incarnation` are this instance's name and incarnation. `refused_until`
    maps an instance's name and a service to the monotonic time in seconds until which
    it gets no requests for that service.
    """

    random: random.Random
    own: str = ""
    incarnation: str = ""
    instances: tuple[EntryInstance, ...] = ()
    refused_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def update_instances(self, own: str, instances: Iterable[EntryInstance]) -> None:
        """Set this instance's name and the list of all instances."""
        self.own = own
        self.instances = tuple(each for each in instances if each.name != own)

    def pick(
        self, service: str, excluded: Iterable[str], now: float
    ) -> EntryInstance | None:
        """Return an instance that may reach a service, or None."""
        names = set(excluded)
        candidates = [
            each
            for each in self.instances
            if each.lifecycle is Lifecycle.LIVE
            and each.name not in names
            and service not in each.unreachable_services
            and self.refused_until.get((each.name, service), now) <= now
        ]
        return self.random.choice(candidates) if candidates else None

    def record_refusal(self, name: str, service: str, now: float) -> None:
        """Record that an instance did not take a request for a service."""
        self.refused_until = {
            key: until for key, until in self.refused_until.items() if until > now
        }
        self.refused_until[name, service] = now + REFUSAL_EXPIRY_S


def forward_target(
    instance: EntryInstance, service: str, version: str
) -> UpstreamInstance:
    """Return an instance as the upstream of an attempt that is forwarded to it."""
    return UpstreamInstance(
        name=instance.name,
        service=service,
        kind=UpstreamKind.SERVICE,
        address=instance.caller_address,
        failure_domain=instance.failure_domain,
        incarnation=instance.incarnation,
        version=version,
    )

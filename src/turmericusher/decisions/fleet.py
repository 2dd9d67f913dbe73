"""The members of the fleet: upstreams and entry instances."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class UpstreamKind(enum.StrEnum):
    """What an upstream serves: model generations or plain calls."""

    ENGINE = "engine"
    SERVICE = "service"


class Lifecycle(enum.StrEnum):
    """Whether an instance is leaving; `LEAVING` is final for an incarnation."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class UpstreamInstance:
    """One upstream process.

    `incarnation` differs between two starts under the same `name`. `address` is
    `host:port` with a numeric IP address. `models` is empty for a plain service.
    `checks_fencing` tells that it rejects orders with an outdated fencing number.
    """

    name: str
    service: str
    kind: UpstreamKind
    address: str
    failure_domain: str
    incarnation: str = ""
    version: str = ""
    models: tuple[str, ...] = ()
    lifecycle: Lifecycle = Lifecycle.LIVE
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class EntryInstance:
    """One entry instance of this system, as its peers know it.

    `limited_upstreams` are those of which it shares a limit, `unreachable_services`
    those that it does not reach and others do. `utilization` has the shares in use of
    its limits by resource, in steps from one half on; `caller_share` is the share of
    callers that it asks for, up to 1 for an instance that is not pressed.
    """

    name: str
    failure_domain: str
    caller_address: str
    peer_address: str
    incarnation: str = ""
    lifecycle: Lifecycle = Lifecycle.LIVE
    limited_upstreams: frozenset[str] = frozenset()
    unreachable_services: frozenset[str] = frozenset()
    utilization: tuple[tuple[str, float], ...] = ()
    caller_share: float = 1.0

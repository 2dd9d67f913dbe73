"""Routing tables: the service, team and limits that apply to each request.

A route is chosen by the host and the longest matching prefix of the path. A table
belongs to one version of the configuration and is immutable; a newer version gets a new
table.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.profiles import LEAST_URGENT, NORMAL_URGENCY

NO_CONFIGURATION_RETRY_S = 0.5
"""Seconds after which an instance that has just started has usually read its
configuration: one read of the store plus a margin."""

UNSUPPORTED_ROUTE_RETRY_S = 1.0
"""Retry-After in seconds where a route cannot be served: only another instance, or the
next configuration, serves it."""


class RequestKind(enum.StrEnum):
    """How a request may be repeated after a failed attempt."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    RESUMABLE_STREAM = "resumable_stream"
    STREAM = "stream"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (RequestKind.RESUMABLE_STREAM, RequestKind.STREAM)

    @property
    def may_repeat(self) -> bool:
        """Whether another attempt may follow one that may have run."""
        return self in (RequestKind.RESUMABLE_STREAM, RequestKind.IDEMPOTENT)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requirements of the requests under one path prefix; times are in seconds.

    `timeout_s` limits the time to the complete answer. `target_latency_s` is the target
    for the answer, or for the first event of a stream. `longest_gap_s` is the pause
    between two events that callers accept. `max_attempts` limits the attempts for one
    request. `needs_team` is False where callers need no key. `urgency` is as in a
    profile: 0 is the most urgent. Without `services` this build cannot serve the route,
    which still keeps its requests from those with shorter prefixes.
    With `session_affinity`, what upstreams hold of a prompt counts in its placement.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    longest_gap_s: float = 1.0
    max_attempts: int = 1
    needs_team: bool = True
    urgency: int = NORMAL_URGENCY
    session_affinity: bool = False


@dataclass(frozen=True, slots=True)
class ServiceTraits:
    """Properties that the upstreams of a service share.

    `slots` is the number of requests that one upstream runs at once, None where it is
    not known. `keeps_copies`: they hold standby copies of an attempt's KV cache.
    `moves_copies`: they make such copies on request. `reports_load`: they can be
    queried for their load. `urgency_targets` has the target for the first event of
    streams, in seconds, by their urgency, the most urgent first; it is empty if all
    routes of its streams have the same urgency. `urgency_ranks` has the urgency of each
    pair of a team's and a route's own one, and is empty as well then, or if no team has
    its own.
    `fetch_token_s` is the time in seconds in which one fetches a token's KV cache from
    another, None where they do not.
    """

    name: str
    slots: int | None = None
    keeps_copies: bool = False
    reports_load: bool = False
    moves_copies: bool = False
    urgency_targets: tuple[tuple[int, float], ...] = ()
    urgency_ranks: Mapping[tuple[int, int], int] = field(default_factory=dict)
    fetch_token_s: float | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on what callers may send."""

    max_body_bytes: int = 4_194_304
    max_header_bytes: int = 16_384


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """The route and service of a request; `team` is empty if the route needs none.

    `urgency` is that of the team if it has its own, or else that of the route. Where
    the routes of a service's streams differ, it is the rank of both: the team's comes
    first, and the route's decides among teams that are as urgent. `version` is that of
    the configuration.
    """

    route: Route
    service: ServiceTraits
    team: str
    version: int
    urgency: int = NORMAL_URGENCY


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The routes and services of one version of the configuration.

    `by_host` has each host's routes, the longest prefix first. `team_by_key` is None
    where the deployment has no teams. `team_urgency` has the teams whose own urgency
    overrides that of the routes.
    """

    version: int
    by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceTraits]
    team_by_key: Mapping[str, str] | None = None
    limits: RequestLimits = field(default_factory=RequestLimits)
    team_urgency: Mapping[str, int] = field(default_factory=dict)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def admit(
        self, host: str, path: str, key: str | None, rng: random.Random
    ) -> RoutedRequest:
        """Return the route and service of a request, or raise `RequestRefusedError`.

        The service is drawn at random by the weights of the route.
        """
        route = self.match(host, path)
        if route is None:
            raise RequestRefusedError(
                ErrorCode.UNKNOWN_ROUTE,
                f"host={host!r} has no route for path={path!r}; check the address",
            )
        team = self.team_for(route, key)
        if not route.services:
            raise RequestRefusedError(
                ErrorCode.UNSUPPORTED_ROUTE,
                f"route={route.name!r} is of a kind that this instance cannot serve; "
                "another instance may",
                retry_after_s=UNSUPPORTED_ROUTE_RETRY_S,
            )
        service = choose_service(route.services, rng)
        traits = self.services.get(service) or ServiceTraits(service)
        own = self.team_urgency.get(team, route.urgency)
        urgency = traits.urgency_ranks.get((own, route.urgency), own)
        return RoutedRequest(route, traits, team, self.version, urgency)

    def team_for(self, route: Route, key: str | None) -> str:
        """Return the team of a key, or raise if the route needs one and has none."""
        if self.team_by_key is None or not route.needs_team:
            return ""
        team = self.team_by_key.get(key) if key is not None else None
        if team is None:
            raise RequestRefusedError(
                ErrorCode.UNAUTHORIZED,
                f"route={route.name!r} needs the key of a team; send a valid one",
            )
        return team


@dataclass(slots=True)
class NewestTable:
    """Holds the newest routing table; an older version never replaces it."""

    table: RoutingTable | None = None

    def replace_if_newer(self, table: RoutingTable) -> bool:
        """Replace the table if this one is newer; return whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True

    def current(self) -> RoutingTable:
        """Return the table in force, or raise if none was read yet."""
        if self.table is None:
            raise RequestRefusedError(
                ErrorCode.NO_CONFIGURATION,
                "this instance has not read its configuration yet; repeat the request",
                retry_after_s=NO_CONFIGURATION_RETRY_S,
            )
        return self.table


def choose_service(services: tuple[WeightedService, ...], rng: random.Random) -> str:
    """Draw one service by weight; a weight of zero is never drawn unless all are."""
    if len(services) == 1:
        return services[0].name
    usable = [service for service in services if service.weight > 0] or list(services)
    weights = [max(service.weight, 0.0) or 1.0 for service in usable]
    return rng.choices(usable, weights)[0].name


def make_routing_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[ServiceTraits],
    team_by_key: Mapping[str, str] | None = None,
    limits: RequestLimits | None = None,
    team_urgency: Mapping[str, int] | None = None,
) -> RoutingTable:
    """Return a table in which each host's longest prefixes come first."""
    by_host: dict[str, list[Route]] = {}
    routes, team_urgency = tuple(routes), team_urgency or {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in by_host.items()
    }
    ranked = (with_urgencies(each, routes, team_urgency) for each in services)
    return RoutingTable(
        version=version,
        by_host=ordered,
        services={service.name: service for service in ranked},
        team_by_key=team_by_key,
        limits=limits or RequestLimits(),
        team_urgency=team_urgency,
    )


def with_urgencies(
    service: ServiceTraits, routes: Iterable[Route], team_urgency: Mapping[str, int]
) -> ServiceTraits:
    """Return a service with the ranks and targets of its streams' urgencies.

    There are none unless the routes of its streams differ in urgency.
    """
    targets: dict[int, float] = {}
    for route in routes:
        if route.kind.is_stream and service.name in {s.name for s in route.services}:
            known = targets.get(route.urgency, route.target_latency_s)
            targets[route.urgency] = min(known, route.target_latency_s)
    if len(targets) <= 1:
        return service
    teams = set(team_urgency.values())
    if not teams:
        return replace(service, urgency_targets=tuple(sorted(targets.items())))
    pairs = sorted((own, route) for route in targets for own in teams | {route})
    ranks = {pair: min(rank, LEAST_URGENT) for rank, pair in enumerate(pairs)}
    by_rank: dict[int, float] = {}
    for (_, route_urgency), rank in ranks.items():
        target_s = targets[route_urgency]
        by_rank[rank] = min(by_rank.get(rank, target_s), target_s)
    return replace(
        service,
        urgency_targets=tuple(sorted(by_rank.items())),
        urgency_ranks=ranks,
    )

"""Selection: which upstream gets the next attempt.

Two random choices (Mitzenmacher, 2001) among the instance's subset of upstreams, by
estimated load. A request with a prefix goes to a likely holder or to the prefix's
place, as long as that one's load is bounded (Mirrokni, Thorup and Zadimoghaddam, 2018).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from turmericusher.decisions.ejection import EjectionTable
from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.prefix_cache import PrefixDirectory
from turmericusher.decisions.subsets import InstanceRing, rendezvous_weight
from turmericusher.decisions.upstream_load import LoadReport, LoadTable

CHOICES = 2
AFFINITY_SLACK = 0.25
"""How far above the mean load an upstream may be for the sake of its cache."""


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
    """Picks upstreams by the load that this instance knows of.

    `own` is the instance's name. `now` is the monotonic time in seconds as last told
    by `advance`; reports and failures are aged by it. `replaced` gives the incarnation
    of upstreams at whose address another one has answered.
    """

    random: random.Random
    own: str = ""
    now: float = 0.0
    upstreams: dict[str, UpstreamInstance] = field(default_factory=dict)
    ring: InstanceRing = field(default_factory=InstanceRing)
    live: dict[str, list[str]] = field(default_factory=dict)
    subset_names: dict[str, frozenset[str]] = field(default_factory=dict)
    load: LoadTable = field(default_factory=LoadTable)
    ejections: EjectionTable = field(default_factory=EjectionTable)
    prefixes: PrefixDirectory = field(default_factory=PrefixDirectory)
    replaced: dict[str, str] = field(default_factory=dict)

    @property
    def in_flight(self) -> dict[str, int]:
        """The attempts that this instance has running, by upstream."""
        return self.load.in_flight

    def advance(self, now: float) -> None:
        """Tell the time; it never goes back."""
        self.now = max(self.now, now)

    def update(self, upstreams: Iterable[UpstreamInstance]) -> None:
        """Replace the known upstreams."""
        known = {upstream.name: upstream for upstream in upstreams}
        for name, upstream in known.items():
            before = self.upstreams.get(name)
            if before is not None and before.incarnation != upstream.incarnation:
                self.prefixes.forget_upstream(name)
                self.ejections.succeeded(name)
        for name in self.upstreams.keys() - known.keys():
            self.prefixes.forget_upstream(name)
        self.upstreams = known
        self.replaced = {
            name: incarnation
            for name, incarnation in self.replaced.items()
            if name in known and known[name].incarnation == incarnation
        }
        self.load.forget(set(known), self.now)
        self.ejections.forget(set(known), self.now)
        self.update_subsets()

    def update_instances(self, names: Iterable[str]) -> None:
        """Replace the names of the live entry instances."""
        instances = frozenset(names) | {self.own}
        if instances != self.instances:
            self.ring.update(instances)
            self.update_subsets()

    @property
    def instances(self) -> frozenset[str]:
        """Return the names of the live entry instances."""
        return self.ring.instances

    def update_subsets(self) -> None:
        """Follow a change of the upstreams or of the entry instances."""
        self.live = {}
        for upstream in self.upstreams.values():
            if upstream.lifecycle is Lifecycle.LIVE:
                self.live.setdefault(upstream.service, []).append(upstream.name)
        self.ring.keep_positions(self.upstreams)
        self.subset_names = {
            service: self.ring.covered_by(self.own, names)
            for service, names in self.live.items()
        }

    def pick(self, request: PickRequest) -> UpstreamInstance | None:
        """Return the upstream for an attempt, or None when there is none."""
        candidates = self.preferred(self.candidates(request), request)
        if not candidates:
            return None
        if request.prefix:
            near = self.pick_by_prefix(candidates, request.prefix)
            if near is not None:
                return near
        chosen = candidates
        if len(candidates) > CHOICES:
            chosen = self.random.sample(candidates, CHOICES)
        return min(chosen, key=self.load_order)

    def sample(self, request: PickRequest, count: int) -> tuple[UpstreamInstance, ...]:
        """Return up to `count` upstreams of the best class, drawn by chance."""
        found = self.preferred(self.candidates(request), request)
        if len(found) <= count:
            return tuple(found)
        return tuple(self.random.sample(found, count))

    def candidates(self, request: PickRequest) -> list[UpstreamInstance]:
        """Return who can serve a request: of the subset, or else of the service."""
        if self.replaced:
            gone = request.excluded | self.replaced.keys()
            request = replace(request, excluded=gone)
        names = self.subset_names.get(request.service, frozenset())
        near = [self.upstreams[name] for name in sorted(names)]
        found = [upstream for upstream in near if can_serve(upstream, request)]
        if found or len(names) == len(self.upstreams):
            return found
        return [u for u in self.upstreams.values() if can_serve(u, request)]

    def preferred(
        self, candidates: list[UpstreamInstance], request: PickRequest
    ) -> list[UpstreamInstance]:
        """Keep the best class: not ejected, and outside the avoided domains.

        An upstream in an avoided domain goes before one that itself has just failed.
        """
        ejected = self.ejections.ejected((u.name for u in candidates), self.now)
        ranked = [
            (u.name in ejected, u.failure_domain in request.avoided_domains)
            for u in candidates
        ]
        best = min(ranked, default=None)
        return [
            upstream
            for upstream, rank in zip(candidates, ranked, strict=True)
            if rank == best
        ]

    def pick_by_prefix(
        self, candidates: list[UpstreamInstance], prefix: bytes
    ) -> UpstreamInstance | None:
        """Return a likely holder or the prefix's place, if its load is bounded."""
        estimates = {u.name: self.load.estimate(u.name, self.now) for u in candidates}
        mean = sum(estimates.values()) / len(candidates)
        bound = (1 + AFFINITY_SLACK) * (mean + 1)
        bounded = [u for u in candidates if estimates[u.name] + 1 <= bound]
        holders = self.prefixes.likely_holders(prefix, self.now)
        holding = [u for u in bounded if u.name in holders]
        if holding:
            return min(holding, key=lambda u: (estimates[u.name], u.name))
        place = prefix.hex()
        return max(
            bounded, key=lambda u: rendezvous_weight(place, u.name), default=None
        )

    def load_order(self, upstream: UpstreamInstance) -> tuple[float, float]:
        """Return the sort key of a choice; equal loads are settled by chance."""
        return (self.load.estimate(upstream.name, self.now), self.random.random())

    def started(self, name: str, prefix: bytes = b"") -> None:
        """Count an attempt that begins on the upstream `name`."""
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.prefixes.record_holder(prefix, name, self.now)

    def finished(self, name: str) -> None:
        """Count an attempt that ended on the upstream `name`."""
        remaining = self.in_flight.get(name, 0) - 1
        if remaining > 0:
            self.in_flight[name] = remaining
        else:
            self.in_flight.pop(name, None)

    def failed(self, name: str) -> None:
        """Avoid for a while an upstream that has just failed an attempt.

        The attempt's end is counted by `finished` as well.
        """
        self.ejections.failed(name, self.now)

    def succeeded(self, name: str) -> None:
        """End the ejection of an upstream that has answered a whole attempt."""
        self.ejections.succeeded(name)

    def note_replaced(self, upstream: UpstreamInstance) -> None:
        """Note that another instance answers at an upstream's address.

        This life of the upstream is over, whatever the list says, so nothing more is
        sent to it until the list shows another one.
        """
        known = self.upstreams.get(upstream.name)
        if known is not None and known.incarnation == upstream.incarnation:
            self.replaced[upstream.name] = upstream.incarnation

    def merge_report(self, name: str, report: LoadReport) -> None:
        """Take an upstream's load report."""
        if name in self.upstreams:
            self.load.merge_report(name, report, self.now)

    def merge_peer_counts(self, peer: str, counts: Mapping[str, int]) -> None:
        """Take a peer's requests in flight, by upstream."""
        self.load.merge_peer_counts(peer, counts, self.now)

    def peers_in_flight(self, service: str) -> int:
        """Return the peers' requests on a service, scaled to the peers not heard."""
        heard = self.load.peers
        if not heard:
            return 0
        total = sum(
            count
            for counts in heard.values()
            for name, count in counts.counts.items()
            if name in self.upstreams and self.upstreams[name].service == service
        )
        others = max(len(heard), len(self.instances - {self.own}))
        return round(total * others / len(heard))

    def reported_waiting(self, service: str) -> float:
        """Return the requests that a service's upstreams report as queued in them."""
        return sum(
            received.report.waiting
            for name, received in self.load.reports.items()
            if self.upstreams[name].service == service
        )


def can_serve(upstream: UpstreamInstance, request: PickRequest) -> bool:
    """Whether an upstream may be given the attempt at all."""
    return (
        upstream.service == request.service
        and upstream.lifecycle is Lifecycle.LIVE
        and upstream.name not in request.excluded
        and (not request.model or request.model in upstream.models)
        and (not request.version or upstream.version == request.version)
    )

"""Selection: which upstream gets the next attempt.

Uses two random choices (Mitzenmacher, 2001) among the instance's subset of upstreams,
by estimated load. A request with a prefix goes to an upstream that is likely to have
the prefix in its cache, or else to the prefix's preferred upstream, as long as that
upstream's load is bounded (Mirrokni, Thorup and Zadimoghaddam, 2018).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from turmericusher.decisions.ejection import EjectionTable
from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.placing.upstream_load import LoadReport, LoadTable
from turmericusher.decisions.placing.work_model import WorkModel
from turmericusher.decisions.prefix_cache import PrefixDirectory
from turmericusher.decisions.subsets import InstanceRing, rendezvous_weight

RANDOM_CHOICES = 2
"""Number of random candidates of which the least loaded one is chosen."""
AFFINITY_SLACK = 0.25
"""How far above the mean an upstream's load may be if it is chosen for its cache."""


@dataclass(frozen=True, slots=True)
class PickRequest:
    """What an attempt requires of its upstream.

    `model` is empty for a plain service, which has no models. `version` is empty until
    the first attempt has determined one, and those of `closed_versions` are never
    picked. `excluded` names are never picked;
    `avoided_domains` are picked only when nothing else is left. `prefix` is a hash of
    the beginning of the prompt, for cache affinity; empty disables it. `is_resume` does
    not influence the choice.
    """

    service: str
    model: str = ""
    version: str = ""
    closed_versions: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    avoided_domains: frozenset[str] = frozenset()
    prefix: bytes = b""
    is_resume: bool = False


@dataclass(slots=True)
class Selector:
    """Picks upstreams by the load that this instance knows of.

    `own` is the instance's name. `now` is the monotonic time in seconds that was last
    passed to `advance_clock`; the age of reports and failures is measured against it.
    `live` and `subset_names` map a service to its live upstreams and to those of them
    that this instance sends to. `replaced` maps an upstream to its incarnation that
    ended because another instance has answered at its address, or is listed there;
    `displaced` has those of which only the list says so.
    """

    random: random.Random
    own: str = ""
    now: float = 0.0
    upstreams: dict[str, UpstreamInstance] = field(default_factory=dict)
    ring: InstanceRing = field(default_factory=InstanceRing)
    live: dict[str, list[str]] = field(default_factory=dict)
    subset_names: dict[str, frozenset[str]] = field(default_factory=dict)
    load: LoadTable = field(default_factory=LoadTable)
    work: WorkModel = field(default_factory=WorkModel)
    ejections: EjectionTable = field(default_factory=EjectionTable)
    prefixes: PrefixDirectory = field(default_factory=PrefixDirectory)
    replaced: dict[str, str] = field(default_factory=dict)
    displaced: set[str] = field(default_factory=set)

    @property
    def in_flight(self) -> dict[str, int]:
        """The number of attempts that this instance has running, by upstream."""
        return self.load.in_flight

    def advance_clock(self, now: float) -> None:
        """Set the current time; an earlier one than before is ignored."""
        self.now = max(self.now, now)

    def update(self, upstreams: Iterable[UpstreamInstance]) -> None:
        """Replace the known upstreams and drop what was known of removed ones.

        The cached prefixes and the ejection of a restarted upstream are dropped too.
        """
        known = {upstream.name: upstream for upstream in upstreams}
        self.mark_displaced(known)
        for name, upstream in known.items():
            previous = self.upstreams.get(name)
            if previous is not None and previous.incarnation != upstream.incarnation:
                self.prefixes.forget_upstream(name)
                self.ejections.succeeded(name)
                self.work.forget(name)
        for name in self.upstreams.keys() - known.keys():
            self.prefixes.forget_upstream(name)
        self.upstreams = known
        self.replaced = {
            name: incarnation
            for name, incarnation in self.replaced.items()
            if name in known and known[name].incarnation == incarnation
        }
        self.load.prune(set(known), self.now)
        self.work.retain({name: each.service for name, each in known.items()})
        self.ejections.prune(set(known), self.now)
        self.update_subsets()

    def mark_displaced(self, known: Mapping[str, UpstreamInstance]) -> None:
        """Mark upstreams as replaced at whose addresses others are newly listed."""
        addresses = {
            upstream.address
            for name, upstream in known.items()
            if name not in self.upstreams
        }
        if not addresses:
            return
        for name, upstream in self.upstreams.items():
            if upstream.address in addresses and name in known:
                self.mark_replaced(upstream)
                self.displaced.add(name)

    def record_heartbeat(self, upstream: UpstreamInstance) -> None:
        """Use an upstream again that goes on writing its entry.

        Another writer may list any address. One that was really given to another
        upstream belonged to one that had ended, and writes no more.
        """
        if upstream.name in self.displaced:
            self.displaced.discard(upstream.name)
            if self.replaced.get(upstream.name) == upstream.incarnation:
                del self.replaced[upstream.name]

    def update_instances(self, names: Iterable[str]) -> None:
        """Replace the names of the live entry instances, and the subsets if changed."""
        instances = frozenset(names) | {self.own}
        if instances != self.instances:
            self.ring.update(instances)
            self.compute_subsets()

    @property
    def instances(self) -> frozenset[str]:
        """The names of the live entry instances."""
        return self.ring.instances

    def update_subsets(self) -> None:
        """Recompute the subsets if the live upstreams of any service have changed."""
        live: dict[str, list[str]] = {}
        for upstream in self.upstreams.values():
            if upstream.lifecycle is Lifecycle.LIVE:
                live.setdefault(upstream.service, []).append(upstream.name)
        if live != self.live:
            self.live = live
            self.compute_subsets()

    def compute_subsets(self) -> None:
        """Compute which live upstreams this instance sends to.

        The time that it takes grows with the entry instances and the upstreams.
        """
        self.ring.update_positions(self.upstreams)
        self.subset_names = {
            service: self.ring.covered_upstreams(self.own, names)
            for service, names in self.live.items()
        }

    def pick(self, request: PickRequest) -> UpstreamInstance | None:
        """Return the upstream for an attempt, or None when there is none."""
        candidates = self.keep_preferred(self.candidates(request), request)
        if not candidates:
            return None
        if request.prefix:
            by_prefix = self.pick_by_prefix(candidates, request.prefix)
            if by_prefix is not None:
                return by_prefix
        chosen = candidates
        if len(candidates) > RANDOM_CHOICES:
            chosen = self.random.sample(candidates, RANDOM_CHOICES)
        if request.service in self.work.services:
            return self.pick_soonest_done(chosen)
        return min(chosen, key=self.load_sort_key)

    def sample(self, request: PickRequest, count: int) -> tuple[UpstreamInstance, ...]:
        """Return up to `count` preferred candidates of a request, chosen at random."""
        found = self.keep_preferred(self.candidates(request), request)
        if len(found) <= count:
            return tuple(found)
        return tuple(self.random.sample(found, count))

    def candidates(self, request: PickRequest) -> list[UpstreamInstance]:
        """Return the upstreams that can serve a request.

        They come from this instance's subset, or from the whole service if no upstream
        of the subset can.
        """
        if self.replaced:
            excluded = request.excluded | self.replaced.keys()
            request = replace(request, excluded=excluded)
        names = self.subset_names.get(request.service, frozenset())
        subset = [self.upstreams[name] for name in sorted(names)]
        found = [upstream for upstream in subset if can_serve(upstream, request)]
        if found or len(names) == len(self.upstreams):
            return found
        return [u for u in self.upstreams.values() if can_serve(u, request)]

    def keep_preferred(
        self, candidates: list[UpstreamInstance], request: PickRequest
    ) -> list[UpstreamInstance]:
        """Return the candidates of the best class: healthy, not in avoided domains.

        An upstream in an avoided domain is preferred to one that has failed itself, and
        one that has failed to one that is ejected.
        """
        names = [u.name for u in candidates]
        failed = self.ejections.recently_failed(names, self.now)
        ejected = self.ejections.ejected(names, self.now)
        ranked = [
            (
                u.name in ejected,
                u.name in failed,
                u.failure_domain in request.avoided_domains,
            )
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
        """Return an upstream for a prefix, or None when all of them are overloaded.

        This is the least loaded likely holder, else the prefix's preferred upstream.
        """
        estimates = {u.name: self.load.estimate(u.name, self.now) for u in candidates}
        mean = sum(estimates.values()) / len(candidates)
        bound = (1 + AFFINITY_SLACK) * (mean + 1)
        bounded = [u for u in candidates if estimates[u.name] + 1 <= bound]
        holders = self.prefixes.likely_holders(prefix, self.now)
        holding = [u for u in bounded if u.name in holders]
        if holding:
            return min(holding, key=lambda u: (estimates[u.name], u.name))
        prefix_name = prefix.hex()
        return max(
            bounded, key=lambda u: rendezvous_weight(prefix_name, u.name), default=None
        )

    def pick_soonest_done(self, candidates: list[UpstreamInstance]) -> UpstreamInstance:
        """Return the candidate at which one more request is likely done first."""
        typical_s = self.work.typical_duration_s(each.name for each in candidates)

        def sort_key(upstream: UpstreamInstance) -> tuple[float, float]:
            load, random_key = self.load_sort_key(upstream)
            name = upstream.name
            done_s = self.work.done_after_s(name, load, typical_s, self.now)
            return done_s, random_key

        return min(candidates, key=sort_key)

    def load_sort_key(self, upstream: UpstreamInstance) -> tuple[float, float]:
        """Return the sort key of a choice; ties in load are broken at random."""
        return (self.load.estimate(upstream.name, self.now), self.random.random())

    def attempt_started(self, name: str, prefix: bytes = b"") -> None:
        """Count an attempt that starts on the upstream `name`."""
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.prefixes.record_holder(prefix, name, self.now)

    def attempt_finished(self, name: str) -> None:
        """Count an attempt that ended on the upstream `name`, however it ended."""
        remaining = self.in_flight.get(name, 0) - 1
        if remaining > 0:
            self.in_flight[name] = remaining
        else:
            self.in_flight.pop(name, None)

    def record_duration(self, name: str, duration_s: float) -> None:
        """Record how long an upstream took for a call that it has answered."""
        if (
            name in self.upstreams
            and self.upstreams[name].service in self.work.services
        ):
            load = self.load.estimate(name, self.now)
            self.work.record_duration(name, duration_s, load, self.now)

    def failed(self, name: str) -> None:
        """Eject an upstream for some time because it has just failed an attempt.

        The end of the attempt is counted by `attempt_finished` in addition.
        """
        self.ejections.failed(name, self.now)

    def succeeded(self, name: str) -> None:
        """End the ejection of an upstream that has completed an attempt."""
        self.ejections.succeeded(name)

    def mark_replaced(self, upstream: UpstreamInstance) -> None:
        """Record that another instance answers at an upstream's address.

        This incarnation has ended, even if the list still shows it, so nothing more is
        sent to it until the list shows a different one.
        """
        known = self.upstreams.get(upstream.name)
        if known is not None and known.incarnation == upstream.incarnation:
            self.replaced[upstream.name] = upstream.incarnation

    def is_current(self, upstream: UpstreamInstance) -> bool:
        """Whether an upstream is still listed and no later incarnation was seen."""
        listed = self.upstreams.get(upstream.name)
        if listed is None or listed.incarnation != upstream.incarnation:
            return False
        return upstream.name not in self.replaced

    def merge_report(self, name: str, report: LoadReport) -> None:
        """Store an upstream's load report; ignore those of unknown upstreams."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        self.load.merge_report(name, report, self.now)
        self.work.merge_report(name, report, self.now, upstream.service)

    def merge_peer_counts(self, peer: str, counts: Mapping[str, int]) -> None:
        """Store a peer's numbers of requests in flight, by upstream."""
        self.load.merge_peer_counts(peer, counts, self.now)

    def peers_in_flight(self, service: str) -> int:
        """Return the peers' requests in flight on a service.

        The sum is scaled up to include the peers whose counts are not known.
        """
        known = self.load.peers
        if not known:
            return 0
        total = sum(
            count
            for counts in known.values()
            for name, count in counts.counts.items()
            if name in self.upstreams and self.upstreams[name].service == service
        )
        others = max(len(known), len(self.instances - {self.own}))
        return round(total * others / len(known))

    def reported_waiting(self, service: str) -> float:
        """Return the requests that a service's upstreams report as queued in them."""
        return sum(
            received.report.waiting
            for name, received in self.load.reports.items()
            if self.upstreams[name].service == service
        )


def can_serve(upstream: UpstreamInstance, request: PickRequest) -> bool:
    """Whether an upstream can take the attempt, whatever its load."""
    return (
        upstream.service == request.service
        and upstream.lifecycle is Lifecycle.LIVE
        and upstream.name not in request.excluded
        and (not request.model or request.model in upstream.models)
        and (not request.version or upstream.version == request.version)
        and upstream.version not in request.closed_versions
    )

"""The share of a roll-out's target that an instance keeps at each send.

The deciding instance's state says the step. An instance without one sends nothing to
the target. One that is cut off from the store keeps its last step, but ends a trial:
it would not learn that the version is bad.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.rollouts.evidence import Evidence
from turmericusher.decisions.rollouts.orders import (
    InstanceReport,
    RolloutBounds,
    RolloutOrder,
    RolloutState,
    Step,
    monotonic_start,
)
from turmericusher.decisions.rollouts.steps import (
    CONFIRMATION_S,
    LAST_PART,
    SHARES,
    TRIAL_SHARE,
    exposure_limit,
)
from turmericusher.decisions.rollouts.verdict import VersionTests
from turmericusher.decisions.subsets import rendezvous_weight

STALE_S = 4.0
"""Seconds without any answer of the store after which a trial ends here: a watch call
takes up to 3."""

BRAKE_AT = math.log(1 / 0.02)
"""Log likelihood ratio from which an instance stops by itself: a false alarm costs only
a part of the evidence."""


SPARING_SHARES = {Step.TRIAL: 0.1, Step.SOME: SHARES[Step.SOME]}
"""Steps at which only as many engines of the target are used as its share needs."""

BASELINE_S = 60.0
"""Seconds after which the times of a version in force are counted anew."""

MAX_BASELINES = 16
"""Versions of services whose times are counted without an order."""


@dataclass(slots=True)
class ServiceRollout:
    """An order, as far as this instance keeps it.

    `seen_at` is when it was read, in monotonic seconds; `was_seen`: this instance saw
    it being written. `requests` and `target_sends` count since then. `braked_at` is the
    step at which this instance has stopped by itself, and `alarms` counts how often its
    own evidence was against the target. `spared` has the engines that get nothing yet,
    of the upstreams and at the step that it begins with.
    """

    order: RolloutOrder
    seen_at: float
    was_seen: bool
    evidence: Evidence
    state: RolloutState | None = None
    requests: int = 0
    target_sends: int = 0
    tests: VersionTests = field(
        default_factory=lambda: VersionTests(reject_at=BRAKE_AT)
    )
    braked_at: Step | None = None
    alarms: int = 0
    spared: tuple[Mapping[str, UpstreamInstance], Step, frozenset[str]] | None = None

    @property
    def step(self) -> Step | None:
        """The step that holds, None before the decision has begun."""
        return self.state.step if self.state is not None else None

    @property
    def is_over(self) -> bool:
        """Whether the result is known."""
        return self.step is not None and self.step.is_final

    def is_braked(self) -> bool:
        """Whether this instance's own evidence has stopped the current step."""
        return self.braked_at is not None and self.step == self.braked_at

    def apply(self, state: RolloutState) -> bool:
        """Keep a state of this order unless a newer one is known."""
        if state.order != self.order.identity:
            return False
        if self.state is not None and not state.is_at_least(self.state):
            return False
        self.state = state
        return True

    def update_tests(self) -> None:
        """Test this instance's own evidence, and brake on it."""
        self.tests.update(self.evidence.counts)
        if self.tests.rejected is None:
            return
        self.alarms += 1
        self.tests.rejected = None
        self.tests.ratios.clear()
        # Later, others may count on old engines being left by this instance.
        if self.step in (Step.TRIAL, Step.SOME, Step.MOST):
            self.braked_at = self.step


@dataclass(frozen=True, slots=True)
class ServedVersions:
    """The versions of a service: those listed, those live, and those that are usable.

    Usable ones have a live engine that this request may go to.
    """

    listed: frozenset[str]
    live: frozenset[str]
    usable: frozenset[str]


def served_versions(
    upstreams: Iterable[UpstreamInstance],
    service: str,
    excluded: Iterable[str],
    closed: frozenset[str] = frozenset(),
) -> ServedVersions:
    """Return the versions of a service.

    Neither upstreams named in `excluded` nor those of `closed` versions are usable.
    """
    of_service = [each for each in upstreams if each.service == service]
    live = [each for each in of_service if each.lifecycle is Lifecycle.LIVE]
    excluded = frozenset(excluded)
    return ServedVersions(
        frozenset(each.version for each in of_service),
        frozenset(each.version for each in live),
        frozenset(each.version for each in live if each.name not in excluded) - closed,
    )


@dataclass(slots=True)
class Rollouts:
    """The roll-outs that this instance knows, by service.

    `bounds` are None where the deployment has no roll-outs. `heard_at` is when the
    store was last heard of, `clock_offset` the Unix time less the monotonic one, and
    `instances` the number of entry instances. `runs` and
    `unrepeatable` count the attempts in flight by service and version, also without any
    order: some of them are there when one comes. `baseline` has the times of versions
    without an order, since `baseline_since`, and `earlier_baseline` those before it.
    """

    bounds: RolloutBounds | None = None
    heard_at: float = -math.inf
    clock_offset: float = 0.0
    instances: int = 1
    services: dict[str, ServiceRollout] = field(default_factory=dict)
    baseline: dict[tuple[str, str], Evidence] = field(default_factory=dict)
    earlier_baseline: dict[tuple[str, str], Evidence] = field(default_factory=dict)
    baseline_since: float = -math.inf
    runs: Counter[tuple[str, str]] = field(default_factory=Counter)
    unrepeatable: Counter[tuple[str, str]] = field(default_factory=Counter)

    # Orders and states

    def apply_order(self, order: RolloutOrder, now: float, was_seen: bool) -> bool:
        """Keep an order; return whether it is new. The newer one of a service holds."""
        known = self.services.get(order.service)
        if known is not None and known.order == order:
            return False
        evidence = Evidence(order.target)
        evidence.add_baseline(
            counts
            for generation in (self.baseline, self.earlier_baseline)
            for (service, version), counts in generation.items()
            if service == order.service and version != order.target
        )
        self.services[order.service] = ServiceRollout(order, now, was_seen, evidence)
        return True

    def remove_order(self, service: str) -> None:
        """Forget an order that was removed: all versions are used as without one."""
        self.services.pop(service, None)

    # Sends

    def target_share(self, rollout: ServiceRollout, route: str, now: float) -> float:
        """Return the target's share of a route's new requests at this instance."""
        state = rollout.state
        if state is None or state.step is Step.ROLLED_BACK or rollout.is_braked():
            return 0.0
        if self.may_have_ended(rollout, state, now):
            return 1.0
        if state.step is not Step.TRIAL:
            return max(SHARES[state.step], state.shares.get(route, 0.0))
        if self.is_stale(now) or not self.has_exposure(rollout):
            return 0.0
        bounds = self.bounds or RolloutBounds()
        return state.shares.get(route, TRIAL_SHARE * bounds.exposure_share)

    def may_have_ended(
        self, rollout: ServiceRollout, state: RolloutState, now: float
    ) -> bool:
        """Whether old engines may be left by now, by a result not heard of here.

        The version has been found good, and the decision no longer waits for instances
        that are cut off.
        """
        if state.step not in (Step.SOME, Step.MOST) or not self.is_stale(now):
            return False
        start = monotonic_start(
            state.began_at, self.clock_offset, rollout.seen_at, rollout.was_seen
        )
        late_s = (1 - 2 * LAST_PART) * rollout.order.duration_s
        return now - start >= late_s - CONFIRMATION_S

    def is_stale(self, now: float) -> bool:
        """Whether the store was not heard of for a while."""
        return now - self.heard_at > STALE_S

    def has_exposure(self, rollout: ServiceRollout) -> bool:
        """Whether one more request to the target is within the bound."""
        bounds = self.bounds or RolloutBounds()
        limit = exposure_limit(
            rollout.requests, self.instances, rollout.was_seen, bounds
        )
        return rollout.target_sends + 1 <= limit

    def closed_versions(
        self,
        service: str,
        route: str,
        draw: float,
        versions: ServedVersions,
        now: float,
    ) -> frozenset[str]:
        """Return the versions that a new request's next attempt must not go to.

        `draw` is a random number from 0 to 1, the same for each look at one attempt.
        Without usable engines of the version drawn the other one is taken, where the
        step and the bound allow that.
        """
        rollout = self.services.get(service)
        if rollout is None:
            return frozenset()
        target, step = rollout.order.target, rollout.step
        earlier = rollout.state.closed if rollout.state is not None else frozenset()
        old = versions.listed - {target}
        share = self.target_share(rollout, route, now)
        if step is Step.COMPLETED:
            return old
        if step is Step.ALL:
            # A target without a live engine: the result is still open.
            return old if target in versions.live else earlier | {target}
        usable_old = (versions.usable & old) - earlier
        if share <= 0.0 or not (draw < share or not usable_old):
            return earlier | {target}
        return old if target in versions.usable else earlier | {target}

    def spared_engines(
        self, service: str, upstreams: Mapping[str, UpstreamInstance]
    ) -> frozenset[str]:
        """Return the target's engines that get nothing yet.

        With a small share for few of them, these have as much to do as old ones, and a
        version that is bad under load shows it early.
        """
        rollout = self.services.get(service)
        if rollout is None or rollout.step not in SPARING_SHARES:
            return frozenset()
        share = SPARING_SHARES[rollout.step]
        known = rollout.spared
        if known is not None and known[0] is upstreams and known[1] is rollout.step:
            return known[2]
        live = [
            each
            for each in upstreams.values()
            if each.service == service and each.lifecycle is Lifecycle.LIVE
        ]
        target, order = rollout.order.target, rollout.order.identity
        names = sorted(
            (each.name for each in live if each.version == target),
            key=lambda name: rendezvous_weight(order, name),
        )
        old = len(live) - len(names)
        used = max(1, math.ceil(share / (1 - share) * old)) if old else len(names)
        spared = frozenset(names[used:])
        rollout.spared = (upstreams, rollout.step, spared)
        return spared

    def is_ended(self, service: str, version: str) -> bool:
        """Whether not even streams that have begun go on at a version.

        Its engines have stopped, or do so at any moment.
        """
        rollout = self.services.get(service)
        if rollout is None or rollout.step is not Step.COMPLETED:
            return False
        return version != rollout.order.target

    def has_order(self, service: str) -> bool:
        """Whether there is an order for a service."""
        return service in self.services

    def record_request(self, service: str) -> None:
        """Count a request that has reached its service here."""
        rollout = self.services.get(service)
        if rollout is not None:
            rollout.requests += 1

    def record_start(self, upstream: UpstreamInstance, may_repeat: bool) -> None:
        """Count an attempt that begins."""
        key = (upstream.service, upstream.version)
        self.runs[key] += 1
        self.unrepeatable[key] += not may_repeat
        rollout = self.services.get(upstream.service)
        if rollout is not None:
            rollout.target_sends += upstream.version == rollout.order.target

    def record_end(self, upstream: UpstreamInstance, may_repeat: bool) -> None:
        """Count an attempt that has ended, however it ended."""
        key = (upstream.service, upstream.version)
        for counter, count in ((self.runs, 1), (self.unrepeatable, not may_repeat)):
            counter[key] -= count
            if counter[key] <= 0:
                del counter[key]

    # Evidence

    def record_answer(
        self, upstream: UpstreamInstance, route: str, is_failure: bool, now: float
    ) -> None:
        """Count an answer of an engine, or its own failure."""
        rollout = self.services.get(upstream.service)
        if rollout is not None and not rollout.is_over:
            rollout.evidence.record_answer(upstream, route, is_failure, now)
            self.test_target(rollout, upstream)

    def record_time(
        self,
        upstream: UpstreamInstance,
        route: str,
        measure: str,
        load: float,
        seconds: float,
    ) -> None:
        """Count a time of an engine, also before any order, for comparison."""
        if self.bounds is None:
            return
        rollout = self.services.get(upstream.service)
        if rollout is None:
            key = (upstream.service, upstream.version)
            if key in self.baseline or len(self.baseline) < MAX_BASELINES:
                known = self.baseline.setdefault(key, Evidence(""))
                known.record_time(upstream, route, measure, load, seconds)
        if rollout is not None and not rollout.is_over:
            rollout.evidence.record_time(upstream, route, measure, load, seconds)
            self.test_target(rollout, upstream)

    def record_silence(
        self,
        upstream: UpstreamInstance,
        route: str,
        measure: str,
        load: float,
        silent_s: float,
        now: float,
    ) -> None:
        """Remember an attempt that was given up without an answer, or an event."""
        rollout = self.services.get(upstream.service)
        if rollout is not None and not rollout.is_over:
            rollout.evidence.record_silence(
                upstream, route, measure, load, silent_s, now
            )

    def record_alive(self, upstream: UpstreamInstance, now: float) -> None:
        """Record that an engine has sent something."""
        rollout = self.services.get(upstream.service)
        if rollout is not None:
            rollout.evidence.record_alive(upstream, now)

    def renew_baseline(self, now: float) -> None:
        """Forget old times of versions without an order."""
        if now - self.baseline_since >= BASELINE_S:
            self.baseline_since = now
            self.baseline, self.earlier_baseline = {}, self.baseline

    def test_target(self, rollout: ServiceRollout, upstream: UpstreamInstance) -> None:
        """Test this instance's evidence after an answer of the target."""
        if upstream.version == rollout.order.target:
            rollout.update_tests()

    def report(
        self, rollout: ServiceRollout, instance: str, old_streams: int
    ) -> InstanceReport:
        """Return what this instance tells of an order.

        `old_streams` are those at old versions that may go on after an attempt.
        """
        service, target = rollout.order.service, rollout.order.target
        runs, unrepeatable = (
            sum(
                count
                for (name, version), count in counter.items()
                if name == service and version != target
            )
            for counter in (self.runs, self.unrepeatable)
        )
        return InstanceReport(
            instance,
            service,
            rollout.order.identity,
            rollout.step,
            max(runs, old_streams),
            unrepeatable,
            rollout.evidence.counts.copy(),
        )

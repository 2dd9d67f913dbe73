"""Decides on one roll-out, at the instance that holds the lease of the decision.

Every instance has one of these for each order, since any may have to take over. What is
decided is one record in the store, which is written on condition that nobody else has
written it. The result goes into that record first, and into the status for the operator
only when the record is known to have it: there are never two results.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from turmericusher.decisions.rollouts.gate import ServiceRollout
from turmericusher.decisions.rollouts.orders import (
    Counts,
    InstanceReport,
    RolloutBounds,
    RolloutState,
    Status,
    Step,
    monotonic_start,
)
from turmericusher.decisions.rollouts.steps import (
    MIN_ROUTE_ANSWERS,
    TRIAL_MAX_PART,
    RolloutView,
    answers_by_route,
    is_each_tested,
    next_step,
    trial_shares,
)
from turmericusher.decisions.rollouts.verdict import VersionTests, routes_in_use
from turmericusher.decisions.subsets import rendezvous_weight

REFRESH_S = 2.0
"""Seconds between two writes of the state while no step is due: a successor knows the
counts of instances that have ended up to then."""

TURN_S = 0.4
"""Seconds for which an instance leaves the decision to each one that ranks before it:
some calls of the store."""


def wanted_status(state: RolloutState) -> Status:
    """Return the status that belongs to a state."""
    name = state.step.name.lower() if state.step.is_final else "running"
    return Status(name, state.target)


@dataclass(slots=True)
class Deciding:
    """The decision on one order, seen from one instance; times are monotonic seconds.

    `stored` is the state in the store at `stored_revision`, of whatever order, and
    `status` the status there at `status_revision`. `holder` is the instance that has
    the lease, by the key at `holder_revision`, absent since `vacant_since`. `reports`
    are the last ones of instances of this order, with their times in `received_at`, and
    `departed` the counts of those that are gone. `target_live_since` is when the target
    got its first live engine, and `term` this instance's own, 0 while it does not
    decide.
    """

    own: str
    bounds: RolloutBounds
    stored: RolloutState | None = None
    stored_revision: int = 0
    status: Status | None = None
    status_revision: int = 0
    holder: str | None = None
    holder_revision: int = 0
    vacant_since: float = -math.inf
    reports: dict[str, InstanceReport] = field(default_factory=dict)
    received_at: dict[str, float] = field(default_factory=dict)
    departed: Counts = field(default_factory=Counter)
    tests: VersionTests = field(default_factory=VersionTests)
    target_live_since: float | None = None
    term: int = 0
    written_at: float = -math.inf

    # What the store has

    def begin_order(self) -> None:
        """Forget what belongs to an earlier order."""
        self.reports.clear()
        self.received_at.clear()
        self.departed.clear()
        self.tests = VersionTests()
        self.term = 0

    def record_state(self, state: RolloutState | None, revision: int) -> None:
        """Record what the store has; another instance's term ends this one's."""
        self.stored, self.stored_revision = state, revision
        if state is not None and state.decider != self.own and state.term >= self.term:
            self.term = 0

    def record_holder(self, holder: str | None, revision: int, now: float) -> None:
        """Record which instance has the lease of the decision, if any."""
        self.holder_revision = revision
        if holder is None and self.holder is not None:
            self.vacant_since = now
        self.holder = holder

    def record_report(self, report: InstanceReport, now: float) -> None:
        """Record what an instance tells; one that has started again counts anew."""
        known = self.reports.get(report.instance)
        if known is not None and any(
            report.counts[key] < count for key, count in known.counts.items()
        ):
            self.departed.update(known.counts)
        self.reports[report.instance] = report
        self.received_at[report.instance] = now

    def record_live(self, is_target_live: bool, now: float) -> None:
        """Record whether the target has live engines."""
        if not is_target_live:
            self.target_live_since = None
        elif self.target_live_since is None:
            self.target_live_since = now

    # Who decides

    def is_needed(self, rollout: ServiceRollout) -> bool:
        """Whether the store lacks the result, or what is known of it."""
        known = rollout.state
        if known is None or not known.step.is_final or self.stored is None:
            return True
        if self.stored.order != known.order or not self.stored.is_at_least(known):
            return True
        return self.status != wanted_status(known)

    def may_take_over(
        self, rollout: ServiceRollout, instances: Iterable[str], now: float
    ) -> bool:
        """Whether it is this instance's turn to ask for the lease."""
        if not self.is_needed(rollout):
            return False
        if self.holder is not None:
            # An earlier incarnation has left it, or the reply to its write was lost.
            return self.holder == self.own and now >= self.vacant_since
        key = rollout.order.identity
        own_weight = rendezvous_weight(key, self.own)
        rank = sum(rendezvous_weight(key, name) > own_weight for name in instances)
        return now - max(self.vacant_since, rollout.seen_at) >= rank * TURN_S

    # The decision

    def counts(self) -> Counts:
        """Return what all instances have counted since the order."""
        total = self.departed.copy()
        for report in self.reports.values():
            total.update(report.counts)
        return total

    def due_state(
        self,
        rollout: ServiceRollout,
        instances: Iterable[str],
        now: float,
        clock_offset: float,
    ) -> RolloutState | None:
        """Return the state to be written now, None if nothing is due.

        The first one of a term only names the new deciding instance: nothing is decided
        before the store has taken that.
        """
        order = rollout.order
        if self.stored is not None and order_revision(self.stored) > order.revision:
            return None
        known = self.newest_state(rollout)
        if known is None:
            return self.first_state(rollout, now, clock_offset)
        if self.term == 0:
            # Counts of instances that have ended are known from the state only.
            self.departed = known.counts - self.counts()
            return replace(known, term=known.term + 1, decider=self.own)
        if known.step.is_final:
            is_stored = self.stored is not None and self.stored.order == known.order
            return None if is_stored and self.stored == known else known
        start = monotonic_start(
            known.began_at, clock_offset, rollout.seen_at, rollout.was_seen
        )
        # Unix seconds by the clock of the instance that saw the order first.
        now_at = known.began_at + (now - start)
        counts = self.counts()
        self.tests.update(counts)
        step = max(known.step, self.reported_step(order.identity))
        if not step.is_final:
            view = self.view(rollout, replace(known, step=step), instances, counts, now)
            step = next_step(replace(known, step=step), view, order.duration_s, now_at)
        if step is known.step and now - self.written_at < REFRESH_S:
            return None
        shares = known.shares
        if step is Step.TRIAL:
            elapsed_s = now_at - known.began_at
            left_s = TRIAL_MAX_PART * order.duration_s - elapsed_s
            accepted = self.tests.accepted_routes()
            shares = (
                trial_shares(counts, accepted, elapsed_s, left_s, self.bounds) or shares
            )
        return replace(
            known,
            step=step,
            step_at=known.step_at if step is known.step else now_at,
            shares=shares,
            counts=counts,
        )

    def newest_state(self, rollout: ServiceRollout) -> RolloutState | None:
        """Return the newest state of the order, by the store or known here.

        The store may have come back from an older copy.
        """
        known, stored = rollout.state, self.stored
        if stored is None or stored.order != rollout.order.identity:
            return known
        return stored if known is None or stored.is_at_least(known) else known

    def first_state(
        self, rollout: ServiceRollout, now: float, clock_offset: float
    ) -> RolloutState:
        """Return the state with which the decision on an order begins.

        The target of an earlier order that was not completed stays closed.
        """
        order, before = rollout.order, self.stored
        closed: frozenset[str] = frozenset()
        if before is not None:
            closed = before.closed
            if before.step is not Step.COMPLETED:
                closed |= {before.target}
        began_at = clock_offset + (rollout.seen_at if rollout.was_seen else now)
        return RolloutState(
            order.service,
            order.identity,
            order.target,
            Step.TRIAL,
            began_at,
            began_at,
            term=1,
            decider=self.own,
            closed=closed - {order.target},
        )

    def reported_step(self, identity: str) -> Step:
        """Return the latest step that an instance tells of.

        The store may have come back from a copy without it. A result stays.
        """
        steps = [
            report.step
            for report in self.reports.values()
            if report.order == identity and report.step is not None
        ]
        return max(steps, default=Step.TRIAL)

    def view(
        self,
        rollout: ServiceRollout,
        state: RolloutState,
        instances: Iterable[str],
        counts: Counts,
        now: float,
    ) -> RolloutView:
        """Return what the next step depends on."""
        listed = frozenset(instances) | {self.own}
        present = [each for name, each in self.reports.items() if name in listed]
        live_s = 0.0
        if self.target_live_since is not None:
            # A moment ago is live too.
            live_s = max(now - self.target_live_since, 1e-3)
        routes = routes_in_use(counts, MIN_ROUTE_ANSWERS)
        answers = answers_by_route(counts, is_target=True)
        return RolloutView(
            verdict=self.tests.verdict(routes),
            leans_to_bad=self.tests.leans_to_bad(),
            target_answers=answers.total(),
            is_tested=is_each_tested(counts, routes),
            target_live_s=live_s,
            is_kept_by_all=all(self.keeps(name, state) for name in listed),
            is_kept_by_absent=all(
                report.step == state.step and report.old_runs == 0
                for name, report in self.reports.items()
                if name not in listed
            ),
            old_runs=sum(each.old_runs for each in present),
            old_unrepeatable=sum(each.old_unrepeatable for each in present),
        )

    def keeps(self, instance: str, state: RolloutState) -> bool:
        """Whether an instance has told that it keeps a step."""
        report = self.reports.get(instance)
        return report is not None and report.step == state.step

    def record_written(self, state: RolloutState, revision: int, now: float) -> None:
        """Record that the store has taken a state."""
        self.stored, self.stored_revision = state, revision
        self.term, self.written_at = state.term, now

    def due_status(self) -> Status | None:
        """Return the status to be written now, None if it is there."""
        if self.stored is None or self.stored.term != self.term:
            return None
        status = wanted_status(self.stored)
        return status if status != self.status else None

    def oldest_report_s(self, now: float) -> float:
        """Return the age in seconds of the oldest report that is counted."""
        return max((now - at for at in self.received_at.values()), default=0.0)


def order_revision(state: RolloutState) -> int:
    """Return the revision of the order that a state belongs to."""
    return int(state.order.partition(":")[0])

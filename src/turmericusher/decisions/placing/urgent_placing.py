"""Placement by urgency: the wait of a stream, and how much of it is still in time.

Load: a few urgent streams with a short target among many others, at full engines. The
engines admit the more urgent first and preempt the newest of the least urgent. Where
the routes of a service have different urgencies, an urgent stream therefore waits only
for work that is at least as urgent, and the others are admitted up to a wait at which
urgent ones are still in time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from turmericusher.decisions.placing.free_capacity import (
    ExpectedWait,
    UrgencyView,
    WaitInputs,
    expected_wait,
    urgent_wait,
)
from turmericusher.decisions.placing.urgency_mix import URGENT_RETENTION_S
from turmericusher.decisions.relay_messages import UpstreamReport
from turmericusher.decisions.relay_starting import RelayStarting
from turmericusher.profiles import LEAST_URGENT, MOST_URGENT

TARGET_SHARE = 0.6
"""Share of the target latency that the wait at an engine may take. A caller that
retries has used the rest, and reports do not include what other instances place
meanwhile. In benchmarks.policies, 0.5 to 0.7 differ by 0.1 at three times the
capacity."""

URGENT_SHARE = 0.7
"""The same for the most urgent streams of a service whose engines take the more urgent
first. What others place meanwhile hardly delays them, and the wait is overestimated by
what the engines preempt. From 0.75 on, more of them are late than refused in the model
of engines that admit them first but preempt nothing."""

LESS_URGENT_SHARE = 0.45
"""The same for streams that are less urgent than others of their service. Engines admit
the urgent ones first, so this does not keep their queue short any more, but a run that
is preempted comes back into it. In benchmarks.policies, 0.35 to 0.5 differ by 0.02."""

MIN_OVERTAKEN_SHARE = 0.5
"""Smallest part of `TARGET_SHARE` that less urgent streams keep, however many urgent
ones overtake them, so that they are not all refused."""


@dataclass(slots=True)
class UrgentPlacing(RelayStarting):
    """Estimates the wait of a stream by its urgency, and the time that it may take."""

    def estimate_shares(
        self, reports: Mapping[str, UpstreamReport], now: float
    ) -> None:
        """Estimate for each urgency the share of streams at least as urgent."""
        mix = self.shared.urgency_mix(self.routed.service.name)
        mix.record_runs(reports.values(), now)
        self.shares = {
            urgency: mix.share_as_urgent(urgency, reports, now)
            for urgency in range(MOST_URGENT, LEAST_URGENT + 1)
        }

    def expected_wait_at(
        self, name: str, report: UpstreamReport, size: float, now: float
    ) -> ExpectedWait:
        """Return the expected wait at an upstream for a stream of this urgency."""
        if self.shares:
            urgency, target_s = self.routed.urgency, self.routed.route.target_latency_s
            return self.urgent_wait_at(name, report, size, urgency, target_s, now)
        return expected_wait(
            report,
            self.shared.placements.count(name, now),
            size,
            self.prefill_time(),
            self.shared.stream_duration.mean_s,
        )

    def urgent_wait_at(
        self,
        name: str,
        report: UpstreamReport,
        size: float,
        urgency: int,
        target_s: float,
        now: float,
    ) -> ExpectedWait:
        """Return the same for any urgency, in a service whose routes differ in it."""
        placements = self.shared.placements
        return urgent_wait(
            report,
            placements.count(name, now),
            size,
            self.prefill_time_of(urgency, target_s),
            self.shared.stream_duration.mean_s,
            UrgencyView(
                urgency, self.shares[urgency], placements.count(name, now, urgency)
            ),
        )

    @property
    def must_be_placed(self) -> bool:
        """Whether the request is never refused for the load of upstreams.

        It may have run, itself or as the earlier one that it resumes.
        """
        hop = self.request.hop
        has_run = self.may_have_run or (hop is not None and hop.may_have_run)
        return has_run or self.request.resume_after is not None

    def must_leave_room(self, name: str, report: UpstreamReport, now: float) -> bool:
        """Whether a more urgent stream would already be late at the best candidate.

        Engines take the more urgent streams first, so a less urgent one delays them
        by little. But it must not be taken where they would be refused, or else the
        less urgent kind would be served more often, and late.
        """
        if not self.shares or self.must_be_placed:
            return False
        mix = self.shared.urgency_mix(self.routed.service.name)
        size = self.shared.typical_size(self.routed.service.name).mean
        for urgency, target_s in self.routed.service.urgency_targets:
            if urgency >= self.routed.urgency or not mix.has_lately(urgency, now):
                continue
            wait = self.urgent_wait_at(name, report, size, urgency, target_s, now)
            is_late = wait.first_event_s > TARGET_SHARE * target_s
            if is_late and wait.has_urgent_ahead:
                return True
        return False

    def target_time_left_s(self, now: float) -> float:
        """Return the seconds within which the first event would still be in time."""
        waited_s = now - self.request.arrived_at
        if self.shares:
            share = self.overtaken_share(now)
        else:
            share = TARGET_SHARE if self.is_most_urgent(now) else LESS_URGENT_SHARE
        return share * self.routed.route.target_latency_s - waited_s

    def overtaken_share(self, now: float) -> float:
        """Return the share of the target that the wait of this stream may take.

        While it waits, more urgent streams come and overtake it. If they have a share s
        of the engines' work, a wait grows by 1 / (1 - s) (Cobham, 1954).
        """
        mix = self.shared.urgency_mix(self.routed.service.name)
        more_urgent = [
            each
            for each in mix.seen_at
            if each < self.routed.urgency and mix.has_lately(each, now)
        ]
        if not more_urgent:
            return URGENT_SHARE
        kept = max(MIN_OVERTAKEN_SHARE, 1 - self.shares[max(more_urgent)])
        return min(LESS_URGENT_SHARE, TARGET_SHARE * kept)

    def is_most_urgent(self, now: float) -> bool:
        """Whether no more urgent stream of this service had a first event lately."""
        service, urgency = self.prefill_key()
        return not any(
            other_service == service
            and other_urgency < urgency
            and now - prefill.updated_at < URGENT_RETENTION_S
            for (
                other_service,
                other_urgency,
            ), prefill in self.shared.prefill_times.items()
        )

    def wait_inputs(
        self, name: str, wait: ExpectedWait, keeps_room: bool, now: float
    ) -> WaitInputs:
        """Return what a refusal for the wait at the best candidate is decided by."""
        prefill = self.prefill_time()
        is_measured = self.prefill_key() in self.shared.prefill_times
        return WaitInputs(
            upstream=name,
            wait=wait,
            left_s=self.target_time_left_s(now),
            urgent_share=self.shares.get(self.routed.urgency, 1.0),
            prefill_s=prefill.mean_s,
            prefill_age_s=now - prefill.updated_at if is_measured else None,
            query_s=now - self.queried_at,
            keeps_room=keeps_room,
        )

"""Placement of a relayed request's attempts: on which upstream, or why on none.

Load: streams with long prompts, on engines whose memory holds few of them. Some
candidates are queried for their load, because what an instance knows by itself is
seconds old. With more prompts than the engines can prefill, all streams would be late.
A stream that would miss its target is therefore refused at once with a Retry-After, so
that the accepted ones are in time.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.placing.free_capacity import (
    ExpectedWait,
    is_live,
    rank_by_wait,
)
from turmericusher.decisions.placing.selection import PickRequest
from turmericusher.decisions.placing.standby_choice import StandbyChoice
from turmericusher.decisions.placing.urgent_placing import UrgentPlacing
from turmericusher.decisions.prompts.relay_prompts import (
    known_parts,
    rank_candidates,
    take_completion,
    with_holder,
)
from turmericusher.decisions.relay_messages import (
    ClaimTrial,
    FindVersion,
    LoadsReported,
    MemoryCopy,
    QueryLoads,
    RelayAction,
    TrialClaimed,
    UpstreamReport,
    VersionFound,
)
from turmericusher.decisions.relay_starting import NO_UPSTREAM_RETRY_S
from turmericusher.decisions.relay_state import UPSTREAM_POLL_INTERVAL_S, RelayAttempt
from turmericusher.decisions.retrying.pooled_retries import RetryLevel
from turmericusher.errors import ErrorCode

FULL_RETRY_S = 0.15
"""Retry-After in seconds when upstreams refused the request: a full service has usually
completed several of its calls by then."""

MAX_CLOSED_RETRY_S = 1.0
"""Longest Retry-After in seconds while upstreams name limits or ask for pauses: another
instance may have its turn sooner, or may not have been asked."""

COPY_WAIT_S = 1.0
"""Longest wait in seconds for a holder that names a limit: about what a prefill takes,
which the copy saves."""

CANDIDATE_COUNT = 5
"""Upstreams that are queried for their load before a stream is placed: the best of a
few random choices is nearly the best of all (Mitzenmacher, 2001), and one is left as
standby."""

MIN_REPORT_SHARE = 0.5
"""Share of the candidates that must report, or else a stream is not refused for what
the others report: this instance may not reach most upstreams."""

MIN_RETRY_S = 0.3
"""Minimum Retry-After in seconds: about a third of the prefill time of a prompt."""


MAX_ROUND_PAUSE_S = 1.0
"""Longest pause in seconds until all upstreams are tried again, so that output goes on
within 2 s after one is back."""


def round_pause_s(rounds: int) -> float:
    """Return the pause after all upstreams were tried in vain so many times before."""
    return min(MAX_ROUND_PAUSE_S, UPSTREAM_POLL_INTERVAL_S * 2.0 ** min(rounds, 8))


@dataclass(slots=True)
class RelayPlacing(UrgentPlacing, StandbyChoice):
    """Starts attempts, and refuses requests for which none can be started."""

    def start_next(self, now: float) -> list[RelayAction]:
        """Start the next attempt, query candidates for their load, wait or refuse.

        A usable copy of the stream's KV cache decides the upstream, if that one takes
        the request soon.
        """
        trait = self.blocked_trait()
        if trait is not None:
            return self.claim_trial(trait, now)
        if self.shared.reach.is_unreachable(self.routed.service.name):
            return self.forward(now)
        if self.is_version_elsewhere:
            return self.find_own_version(now)
        copy = self.usable_copy()
        wait_s = 0.0
        if copy is not None:
            wait_s = self.shared.gate.wait_s(copy.holder.name, now)
        if 0.0 < wait_s <= COPY_WAIT_S:
            self.retry_at = now + wait_s
            return []
        if copy is not None and wait_s == 0.0:
            self.shared.totals.copies_used += 1
            return self.start_on(copy.holder, now, copy=copy)
        if self.kind.is_stream and self.routed.service.reports_load:
            return self.query_loads(now)
        upstream = self.pick_upstream(now)
        if upstream is None:
            return self.wait_or_refuse(now)
        return self.start_on(upstream, now)

    def query_loads(self, now: float) -> list[RelayAction]:
        """Query some candidates for their load; their reports place the attempt."""
        wanted = self.pick_request(self.excluded, self.recently_lost_domains(now), now)
        candidates = self.shared.selector.sample(wanted, CANDIDATE_COUNT)
        if not candidates:
            return self.wait_or_refuse(now)
        candidates = with_holder(self, candidates, wanted, now)
        self.is_querying_loads, self.queried = True, len(candidates)
        self.queried_at = now
        if self.routed.service.urgency_targets:
            mix = self.shared.urgency_mix(self.routed.service.name)
            mix.record_seen(self.routed.urgency, now)
        self.shared.totals.load_questions += len(candidates)
        return [QueryLoads(candidates)]

    def handle_loads(self, event: LoadsReported, now: float) -> list[RelayAction]:
        """Start the attempt on the candidate with the shortest expected wait.

        A new stream is refused if it would miss its target even there. The next best
        candidate in another failure domain becomes the standby.
        """
        if self.is_over or not self.is_querying_loads:
            return []
        self.is_querying_loads = False
        selector = self.shared.selector
        reports = self.current_reports(event.reports)
        typical = self.shared.typical_size(self.routed.service.name)
        # What a caller states is no size of a request unless an upstream can run it.
        totals = [each.memory_total for each in reports.values()]
        if any(not total or self.request.size <= total for total in totals):
            typical.record_size(self.request.size)
        size = self.request.size or typical.mean
        if self.routed.service.urgency_targets:
            self.estimate_shares(reports, now)
        waits = {
            name: self.expected_wait_at(name, report, size, now)
            for name, report in reports.items()
        }
        in_time_s = self.target_time_left_s(now) if self.shares else math.inf
        closed = self.shared.gate.closed(now)
        usable = [
            selector.upstreams[name]
            for name in self.rank_candidates(
                reports, waits, typical.mean, in_time_s, now
            )
            if is_live(selector.upstreams[name])
            and name not in closed
            and not self.is_version_closed(selector.upstreams[name].version, now)
        ]
        if not usable:
            upstream = self.pick_upstream(now)
            if upstream is None:
                return self.wait_or_refuse(now)
            return self.start_on(upstream, now)
        upstream = usable[0]
        # Decided by the wait of a request of typical size, so that long prompts are not
        # refused sooner than others.
        report = reports[upstream.name]
        wait = self.expected_wait_at(upstream.name, report, typical.mean, now)
        leaves_room = not wait.is_zero and self.must_leave_room(
            upstream.name, report, now
        )
        if leaves_room or self.would_miss_target(wait, now):
            if len(event.reports) <= MIN_REPORT_SHARE * self.queried:
                return self.forward_or_refuse_late(wait, now)
            self.shared.totals.room_refusals += leaves_room
            self.refused_wait = self.wait_inputs(upstream.name, wait, leaves_room, now)
            return self.refuse_late(wait, now)
        avoided = self.recently_lost_domains(now) | {upstream.failure_domain}
        standbys = [
            other
            for other in usable[1:]
            if other.failure_domain not in avoided and other.version == upstream.version
        ]
        standby = self.roomiest(standbys, now)
        self.shared.totals.preemptions_expected += waits[upstream.name].needs_preemption
        return self.start_on(
            upstream, now, standby=standby, prompts_ahead=wait.prompts_ahead
        )

    def rank_candidates(
        self,
        reports: Mapping[str, UpstreamReport],
        waits: Mapping[str, ExpectedWait],
        typical_size: float,
        in_time_s: float,
        now: float,
    ) -> list[str]:
        """Return the candidates, the best first, by wait and by what they hold.

        Those where a request of typical size would be late come last.
        """
        ranked = rank_by_wait(reports, waits, in_time_s)
        if not known_parts(self):
            return ranked
        late = {
            name
            for name, report in reports.items()
            if self.would_miss_target(
                self.expected_wait_at(name, report, typical_size, now), now
            )
        }
        return rank_candidates(self, ranked, waits, reports, late, now)

    def would_miss_target(self, wait: ExpectedWait, now: float) -> bool:
        """Whether a new stream would miss its target even at the best candidate.

        A request that must be placed is not refused for this reason. Neither is one for
        which only less urgent work is ahead, as engines take it first.
        """
        if self.must_be_placed or wait.is_zero or not wait.has_urgent_ahead:
            return False
        return wait.first_event_s > self.target_time_left_s(now)

    def refuse_late(self, wait: ExpectedWait, now: float) -> list[RelayAction]:
        """Refuse a stream that would be late and would delay the others.

        The Retry-After is the time until the wait is short enough, but at least two
        prefill times are left after it, so that the retry can still be served in time.
        Its minimum, before the jitter, is `MIN_RETRY_S`.
        """
        self.shared.totals.late_refusals += 1
        left_s = self.target_time_left_s(now)
        late_s = wait.first_event_s - left_s
        useful_s = max(MIN_RETRY_S, left_s - 2 * self.prefill_time().mean_s)
        return self.fail(
            ErrorCode.OVERLOADED,
            f"service={self.routed.service.name!r} would begin after "
            f"{wait.first_event_s:.2f} s: {wait.prompts_ahead:.3g} prompts are ahead "
            f"of it, and {wait.streams_to_end} streams must end to free memory for it",
            self.jittered(min(max(late_s, MIN_RETRY_S), useful_s)),
        )

    def forward_or_refuse_late(
        self, wait: ExpectedWait, now: float
    ) -> list[RelayAction]:
        """Forward a stream that would be late at the few candidates that are reached.

        An instance that reaches more of them may find a better one.
        """
        instance = self.pick_instance(now)
        if instance is not None:
            return self.start_forward(instance, now)
        if self.request.hop is None:
            return self.refuse_late(wait, now)
        return self.fail(
            ErrorCode.NO_UPSTREAM,
            f"service={self.routed.service.name!r} has {self.queried} candidates, of "
            "which most do not answer this instance",
            self.jittered(NO_UPSTREAM_RETRY_S),
        )

    def current_reports(
        self, reports: Mapping[str, UpstreamReport]
    ) -> dict[str, UpstreamReport]:
        """Drop reports from incarnations that now have another upstream's address."""
        selector, current = self.shared.selector, {}
        for name, report in reports.items():
            upstream = selector.upstreams.get(name)
            if upstream is not None and self.confirm_incarnation(report, upstream):
                current[name] = report
        return current

    def pick_upstream(self, now: float) -> UpstreamInstance | None:
        """Return an upstream that has not failed this request, or None."""
        wanted = self.pick_request(self.excluded, self.recently_lost_domains(now), now)
        return self.shared.selector.pick(wanted)

    def pick_any(self, now: float) -> UpstreamInstance | None:
        """Return an upstream that takes requests, also one that has failed this one."""
        return self.shared.selector.pick(self.pick_request(set(), set(), now))

    def start_on(
        self,
        upstream: UpstreamInstance,
        now: float,
        copy: MemoryCopy | None = None,
        standby: UpstreamInstance | None = None,
        prompts_ahead: float | None = None,
    ) -> list[RelayAction]:
        """Start an attempt on an upstream, with a standby if the stream can use one.

        With `copy` the attempt resumes from that copy. `RelayAttempt.copy` is another
        one: the copy that the upstream will keep on the standby. None starts at another
        version than the one that began the stream, or at an upstream that takes nothing
        now.
        """
        is_other_version = self.version and upstream.version != self.version
        if is_other_version or self.shared.gate.wait_s(upstream.name, now) > 0.0:
            return self.wait_or_refuse(now)
        standby = standby or self.choose_standby(upstream, now)
        attempt = RelayAttempt(
            self.last_number + 1,
            upstream,
            now,
            now,
            copy=self.standby_copy(standby),
            from_copy=copy is not None,
            prompts_ahead=prompts_ahead,
            known_suspicions=self.shared.crashes.known_suspicions(self.traits),
            completion=take_completion(self, upstream.name),
        )
        return self.begin_attempt(attempt, now, copy, standby)

    def find_own_version(self, now: float) -> list[RelayAction]:
        """Find the version of a stream that began by another instance."""
        self.is_finding_version = True
        return [FindVersion(self.request.stream_id, self.routed.service.name)]

    def claim_trial(self, trait: str, now: float) -> list[RelayAction]:
        """Ask for a trial of a blocked trait if one is due; else refuse the request."""
        upstream = self.pick_upstream(now)
        if upstream is None:
            return self.refuse_crashing(trait, now)
        self.shared.crashes.leave_trial(self.traits, now)
        if not self.shared.crashes.is_trial_due(self.traits, now):
            return self.refuse_crashing(trait, now)
        self.is_claiming_trial = True
        return [ClaimTrial(trait, upstream)]

    def handle_version(self, event: VersionFound, now: float) -> list[RelayAction]:
        """Go on with a stream of which the version is known, or refuse it."""
        if self.is_over or not self.is_finding_version:
            return []
        self.is_finding_version = self.is_version_elsewhere = False
        if not event.found.may_go_on:
            self.shared.totals.version_refusals += 1
            return self.fail(
                ErrorCode.ANSWER_INTERRUPTED,
                f"no instance knows which version of "
                f"service={self.routed.service.name!r} began "
                f"stream={self.request.stream_id!r}: it has "
                f"{len(event.found.versions_seen)} versions",
                self.jittered(NO_UPSTREAM_RETRY_S),
            )
        self.version = event.found.version or ""
        return self.start_next(now)

    def handle_trial(self, event: TrialClaimed, now: float) -> list[RelayAction]:
        """Send the request as a trial if it may be one; else refuse it."""
        if self.is_over or not self.is_claiming_trial:
            return []
        self.is_claiming_trial = False
        self.has_trial = event.is_granted
        trait = self.blocked_trait()
        if trait is not None:
            return self.refuse_crashing(trait, now)
        return self.start_next(now)

    def standby_copy(self, standby: UpstreamInstance | None) -> MemoryCopy | None:
        """Return the copy that the upstream keeps on a standby under the request id."""
        if standby is None:
            return None
        return MemoryCopy(standby, standby, self.request.request_id)

    def wait_or_refuse(self, now: float) -> list[RelayAction]:
        """Wait for an upstream if the request must go on, or else refuse it.

        It must go on if events were delivered. It also does if it may have run and may
        repeat, and upstreams were excluded after failures: these are then tried again,
        less often after each time.
        """
        is_any_left_out = self.excluded or self.open_upstreams()
        if is_any_left_out and self.kind.may_repeat and self.may_have_run:
            self.excluded.clear()
            self.retry_at = now + self.jittered(round_pause_s(self.rounds_in_a_row))
            self.rounds_in_a_row += 1
            return []
        if self.has_delivered:
            self.retry_at = now + UPSTREAM_POLL_INTERVAL_S
            return []
        closed = self.closed_upstreams(now)
        if closed:
            return self.refuse_closed(closed, now)
        if self.excluded:
            return self.refuse_overloaded()
        return self.fail(
            ErrorCode.NO_UPSTREAM,
            f"service={self.routed.service.name!r} has no live upstream",
            self.jittered(NO_UPSTREAM_RETRY_S),
        )

    def closed_upstreams(self, now: float) -> list[str]:
        """Return the upstreams that would be used, but take no request now.

        One that has refused this request and asked for a pause is one of them.
        """
        closed = self.shared.gate.closed(now)
        wanted = PickRequest(
            self.routed.service.name,
            version=self.version,
            excluded=frozenset(self.excluded) - closed,
        )
        candidates = self.shared.selector.candidates(wanted)
        return [each.name for each in candidates if each.name in closed]

    def refuse_closed(self, names: list[str], now: float) -> list[RelayAction]:
        """Refuse a request at once while all upstreams take no more than they get.

        Waiting here would only move the excess to later requests. The caller may return
        to any instance, so it is not told to wait for this one's turn if that is long.
        """
        gate, totals = self.shared.gate, self.shared.totals
        paused = sum(gate.is_paused(name, now) for name in names)
        totals.pause_refusals += paused > 0
        totals.limit_refusals += paused == 0
        soonest_s = min(gate.wait_s(name, now) for name in names)
        return self.fail(
            ErrorCode.UPSTREAM_FAILED if self.may_have_run else ErrorCode.OVERLOADED,
            f"service={self.routed.service.name!r}: {len(names)} upstreams name limits "
            f"or ask for pauses ({paused}) that allow the next request in "
            f"{soonest_s:.2f} s",
            self.jittered(min(max(soonest_s, FULL_RETRY_S), MAX_CLOSED_RETRY_S)),
        )

    def refuse_overloaded(self) -> list[RelayAction]:
        """Refuse a request that no upstream took, or fail it if it may have run."""
        closed = self.closed_upstreams(self.now)
        if closed and self.refusals and self.pick_any(self.now) is None:
            return self.refuse_closed(closed, self.now)
        # Without any refusal, no upstream accepted a connection.
        code = ErrorCode.OVERLOADED if self.refusals else ErrorCode.NO_UPSTREAM
        return self.fail(
            ErrorCode.UPSTREAM_FAILED if self.may_have_run else code,
            f"service={self.routed.service.name!r} took none of "
            f"{self.last_number} attempts and rejected {self.refusals}: "
            f"{self.last_message}",
            self.jittered(FULL_RETRY_S),
        )

    def hedge(self, now: float) -> list[RelayAction]:
        """Send a late idempotent call to a second upstream; the first answer wins."""
        self.was_hedged = True
        if self.shared.crashes.is_suspected(self.traits):
            return []
        if self.shared.reach.is_unreachable(self.routed.service.name):
            return []
        busy = {attempt.upstream.name for attempt in self.attempts.values()}
        wanted = self.pick_request(
            self.excluded | busy, self.recently_lost_domains(now), now
        )
        upstream = self.shared.selector.pick(wanted)
        if upstream is None or not self.spend_retry(now):
            return []
        self.shared.totals.hedges += 1
        return self.start_on(upstream, now)

    def has_retry(self, now: float) -> bool:
        """Whether a loan or the service's budget allows this request one more attempt.

        The loan is one that this request has borrowed.
        """
        budget = self.shared.budget_for(self.routed.service.name)
        return now < self.loan_until or budget.has_retry(now, self.retry_level())

    def spend_retry(self, now: float) -> bool:
        """Take one retry from the loan or the budget; return whether there was one."""
        budget = self.shared.budget_for(self.routed.service.name)
        if now < self.loan_until:
            self.loan_until = -math.inf
            budget.record_retry(now)
            return True
        return budget.spend(now, self.retry_level())

    @property
    def is_new_stream(self) -> bool:
        """Whether this is a stream that has not begun."""
        return self.kind.is_stream and not self.has_delivered

    def retry_level(self) -> RetryLevel:
        """Return how urgent a retry of this request is.

        The caller of a stream in progress would otherwise receive nothing for a while,
        or request all of it again. Without a copy its prompt is prefilled again, which
        others wait for.
        """
        if self.is_new_stream:
            return RetryLevel.NEW
        if self.usable_copy() is None:
            return RetryLevel.IN_PROGRESS
        lengths = self.shared.stream_lengths
        is_near = lengths.is_nearly_done(self.routed.service.name, self.position)
        return RetryLevel.NEARLY_DONE if is_near else RetryLevel.WITH_COPY

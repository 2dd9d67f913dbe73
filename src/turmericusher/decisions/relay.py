"""State machine of one relayed request: retries, their targets, and the answer.

A request that must not run twice is sent to a second upstream only if it has certainly
not run. An idempotent call is retried, and is also sent to a second upstream when the
first is late. A resumable stream continues after the last event delivered, if possible
on the upstream that holds a copy of its KV cache.

Load: each attempt after the first is taken from the service's retry budget, so that a
service that fails or is full gets at most a fixed share of extra requests. A stream in
progress waits for the budget. A stalled stream stays with its upstream meanwhile, since
a sound engine may send nothing for a second and then go on.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from turmericusher.decisions.crash_ledger import CLEAN_RUN_S
from turmericusher.decisions.crash_records import request_traits
from turmericusher.decisions.prompts.relay_prompts import record_first_event
from turmericusher.decisions.relay_left_runs import RelayLeftRuns
from turmericusher.decisions.relay_messages import (
    AnswerArrived,
    AttemptCause,
    AttemptConnected,
    AttemptFailed,
    BorrowRetry,
    DeliverAnswer,
    DeliverEvents,
    EndStream,
    EventArrived,
    FindVersion,
    HolderChecked,
    HopEnded,
    InstanceEnds,
    LoadsReported,
    MemoryCopied,
    ProbeUpstream,
    RelayAction,
    RelayedRequest,
    RelayEvent,
    ReleaseCopy,
    ReportState,
    RetryLent,
    RunStopped,
    StreamFinished,
    StreamOpened,
    StreamTakenUp,
    TraitBlocked,
    TrialClaimed,
    UpstreamProbed,
    VersionFound,
)
from turmericusher.decisions.relay_state import (
    MAX_MISSING_EVENTS,
    MIN_ATTEMPT_TIME_S,
    PROCESS_PAUSE_S,
    RETRY_POLL_INTERVAL_S,
    UPSTREAM_FAILURE_CAUSES,
    RelayAttempt,
    RelayShared,
)
from turmericusher.decisions.relay_stop import OTHER_INSTANCE_RETRY_S
from turmericusher.decisions.rollouts.evidence import FIRST, PACE
from turmericusher.decisions.routing import RequestKind, RoutedRequest
from turmericusher.decisions.run_ends import RunEnd
from turmericusher.errors import ErrorCode, Verdict

REPORT_VISIBLE_AFTER_S = 0.8
"""Seconds after which an attempt appears in its upstream's reports, with a margin."""

CRASH_CAUSES = frozenset({AttemptCause.LOST, AttemptCause.MALFORMED})
"""Causes that may mean that the upstream has crashed, and after which it is asked. A
stall rather means that it pauses."""

ANSWER_CAUSES = frozenset(
    {AttemptCause.OVERLOADED, AttemptCause.NO_COPY, AttemptCause.FAILED}
)
"""Causes that are answers of the upstream itself."""

VERSION_CAUSES = frozenset({AttemptCause.FAILED, AttemptCause.MALFORMED})
"""Failures that an upstream has answered with, which may be its version's."""

MIN_PACED_EVENTS = 5
"""Events of a stream from which their mean distance tells of its upstream."""

UNSENT_CAUSES = frozenset(
    {AttemptCause.UNREACHABLE, AttemptCause.REFUSED, AttemptCause.UNRECORDED}
)
"""Failures of attempts that no upstream has received."""

STALL_CAUSES = frozenset({AttemptCause.SILENT, AttemptCause.UNANSWERED})
"""Causes that are inferred from missing events while the connection is still open."""

FAST_FAILURE_CAUSES = frozenset(
    {
        AttemptCause.OVERLOADED,
        AttemptCause.LOST,
        AttemptCause.MALFORMED,
        AttemptCause.FAILED,
    }
)
"""Causes with which a service that is down ends attempts at once. A stall spaces the
retries by itself."""

IMMEDIATE_RETRIES = 2
"""Retries of a stream without a pause: on its standby first, then on any upstream."""

RETRY_PAUSE_S = 0.1
"""Pause in seconds before the next retry; it doubles with each further failure. Without
it, one stream would use up the retry budget within milliseconds."""

MAX_RETRY_PAUSE_S = 1.0
"""Longest pause in seconds between two retries of a stream, so that output goes on
within 2 s after the upstreams are back."""

MAX_REFUSALS = 3
"""Refusals by upstreams after which the caller is told to retry later."""


@dataclass(slots=True)
class Relay(RelayLeftRuns):
    """Decides on one relayed request; each event and tick returns the actions to take.

    All times are in monotonic seconds.
    """

    def start(self, now: float) -> list[RelayAction]:
        """Start the first attempt, or refuse the request if no time is left for one."""
        self.now = now
        self.position = self.request.resume_after
        service = self.routed.service.name
        # A request that is forwarded counts at the instance that sends it to upstreams.
        if not self.shared.reach.is_unreachable(service):
            budget = self.shared.budget_for(service)
            if self.kind.is_stream:
                budget = self.shared.stream_budget_for(service, now)
            budget.record_request(now)
            self.shared.rollouts.record_request(service)
        if self.deadline() - now < MIN_ATTEMPT_TIME_S:
            return self.fail(ErrorCode.WAIT_EXCEEDED, "no time was left on arrival")
        if self.kind is RequestKind.RESUMABLE_STREAM and self.position is not None:
            return self.find_version()
        return self.start_next(now)

    def find_version(self) -> list[RelayAction]:
        """Find the version of a stream that its caller takes up again."""
        self.is_finding_version = True
        return [FindVersion(self.request.resumes, self.routed.service.name)]

    def handle(self, event: RelayEvent, now: float) -> list[RelayAction]:
        """Return the actions for an event; drop it if its attempt is not live."""
        self.now = now
        if isinstance(event, LoadsReported):
            return self.handle_loads(event, now)
        if isinstance(event, TraitBlocked):
            return self.end_if_blocked(now)
        if isinstance(event, InstanceEnds):
            return self.end_with_instance()
        if isinstance(event, StreamTakenUp):
            return self.end_taken_up(event)
        if isinstance(event, TrialClaimed):
            return self.handle_trial(event, now)
        if isinstance(event, VersionFound):
            return self.handle_version(event, now)
        if isinstance(event, RetryLent):
            return self.handle_loan(event, now)
        if isinstance(event, HopEnded):
            return self.handle_hop_end(event, now)
        attempt = self.attempts.get(event.attempt)
        if self.is_over or attempt is None:
            copy = event.stopped.copy if isinstance(event, RunStopped) else None
            return [] if copy is None else [ReleaseCopy(copy)]
        return handle_event(event, self, attempt, now)

    def tick(self, now: float) -> list[RelayAction]:
        """Return the actions that are due by now: retries, hedges, probes, deadline."""
        self.now = now
        if self.is_over:
            return []
        if now >= self.deadline():
            return self.fail_on_timeout()
        if now - self.wake_at() > PROCESS_PAUSE_S:
            return self.discount_process_pause(now)
        if self.release_is_due(now):
            return self.go_on_released(now)
        if self.retry_at is not None and now >= self.retry_at:
            self.retry_at = None
            if self.unpaid_failure is not None:
                return self.retry_if_paid(self.unpaid_failure, now)
            return self.start_next(now)
        hedge_at = self.hedge_due_at()
        if hedge_at is not None and now >= hedge_at:
            return self.hedge(now)
        return self.handle_stalls(now) if self.kind.is_stream else []

    def wake_at(self) -> float:
        """Return the time at which `tick` must run next."""
        times = [self.deadline()]
        if self.retry_at is not None:
            times.append(self.retry_at)
        if self.release is not None:
            times.append(self.release.ends_by)
        hedge_at = self.hedge_due_at()
        if hedge_at is not None:
            times.append(hedge_at)
        if self.kind is RequestKind.RESUMABLE_STREAM:
            for attempt in self.attempts.values():
                times.append(self.stall_check_at(attempt))
        return min(times)

    def close(self, now: float) -> list[RelayAction]:
        """End the request because the caller is done or gone."""
        self.now, self.is_over = now, True
        self.shared.versions.record_end(self.request.stream_id)
        return [*self.release_copies(), *self.cancel_all()]

    # Time

    def fail_on_timeout(self) -> list[RelayAction]:
        """Fail the request because its deadline has passed."""
        self.may_have_run = self.may_have_run or bool(self.attempts)
        return self.fail(
            ErrorCode.WAIT_EXCEEDED,
            f"no complete answer in time after {self.sends} attempts; "
            f"{self.last_message}",
        )

    def discount_process_pause(self, now: float) -> list[RelayAction]:
        """Leave a pause of this process out of all stall times."""
        for attempt in self.attempts.values():
            attempt.last_active_at = now
            attempt.started_at = max(attempt.started_at, now)
        if self.retry_at is not None:
            self.retry_at = now
        return []

    def handle_stalls(self, now: float) -> list[RelayAction]:
        """Probe the upstreams of stalled attempts; abandon those past their limit.

        Nothing is done about an attempt that could not be replaced.
        """
        if not self.kind.may_repeat:
            return []
        actions: list[RelayAction] = []
        for attempt in list(self.attempts.values()):
            if now < self.stall_check_at(attempt):
                continue
            is_replaceable = self.may_replace(attempt, now)
            if not is_replaceable and not self.may_borrow(now):
                self.keep_attempt(attempt, now)
            elif now >= self.abandon_at(attempt):
                if not is_replaceable:
                    self.keep_attempt(attempt, now)
                    actions.extend(self.borrow_retry(now))
                    continue
                idle_s = now - attempt.last_active_at
                text = f"stalled for {idle_s:.2f} s"
                actions.extend(self.give_up(attempt, AttemptCause.SILENT, text, now))
            elif now >= self.probe_due_at(attempt):
                attempt.probed_at = now
                if self.shared.gate.is_paused(attempt.upstream.name, now):
                    continue
                self.shared.totals.probes += 1
                actions.append(ProbeUpstream(attempt.number, attempt.upstream))
        return actions

    def may_replace(self, attempt: RelayAttempt, now: float) -> bool:
        """Whether a stalled attempt may be abandoned for another one.

        An attempt whose upstream has ended is abandoned in any case.
        """
        is_current = self.shared.selector.is_current(attempt.upstream)
        if not is_current and not attempt.is_forward:
            return True
        return self.is_below_limits() and self.has_retry(now)

    def keep_attempt(self, attempt: RelayAttempt, now: float) -> None:
        """Keep a stalled attempt until the next check of the retry budget."""
        attempt.kept_until = now + RETRY_POLL_INTERVAL_S

    def give_up(
        self, attempt: RelayAttempt, cause: AttemptCause, message: str, now: float
    ) -> list[RelayAction]:
        """Have the run of a stalled attempt stopped, and go on after that.

        Its connection may be dead, so that closing it would not stop the run. An
        attempt that cannot be stopped is abandoned at once.
        """
        order = self.order_stop(attempt, cause, message, now)
        return order or self.abandon(attempt, cause, message, now)

    def abandon(
        self, attempt: RelayAttempt, cause: AttemptCause, message: str, now: float
    ) -> list[RelayAction]:
        """Cancel an attempt that makes no progress, and retry or fail."""
        event = AttemptFailed(attempt.number, now, cause, Verdict.MAY_HAVE_RUN, message)
        actions = self.cancel(attempt.number)
        return actions + self.retry_or_fail(attempt, event, now)

    # Ends of attempts

    def handle_attempt_failure(
        self, attempt: RelayAttempt, event: AttemptFailed, now: float
    ) -> list[RelayAction]:
        """Remove an attempt that has failed, and retry or fail.

        One that is being stopped may fail by that, so it is replaced when the outcome
        of the stop is known. One whose connection was lost is replaced when its
        upstream was asked and, if that is there, has stopped the run.
        """
        if attempt.is_stopping:
            attempt.loss = event
            return []
        if self.must_ask_about_loss(attempt, event, now):
            attempt.loss, attempt.probed_at = event, now
            return [ProbeUpstream(attempt.number, attempt.upstream)]
        self.remove_attempt(attempt.number)
        return self.retry_or_fail(attempt, event, now)

    def retry_or_fail(
        self, attempt: RelayAttempt, event: AttemptFailed, now: float
    ) -> list[RelayAction]:
        """Send the request again if that is allowed, or else fail.

        Nothing is done while another attempt is live, or another instance may run this
        one.
        """
        if self.must_be_released(attempt, event, now):
            return self.ask_for_release(attempt, event)
        actions = self.settle_run(attempt, event.cause, now)
        if attempt.is_forward:
            self.record_forward_failure(attempt, event, now)
        else:
            self.record_failure(attempt, event)
        if self.attempts:
            return actions
        return actions + self.replace_failed(attempt, event, now)

    def replace_failed(
        self, attempt: RelayAttempt, event: AttemptFailed, now: float
    ) -> list[RelayAction]:
        """Start the attempt that follows a failed one, or fail."""
        has_run = event.verdict is not Verdict.NOT_RUN
        if has_run and not self.kind.may_repeat:
            return self.fail_or_deliver(event)
        if self.deadline() - now < MIN_ATTEMPT_TIME_S:
            return self.fail_on_timeout()
        if attempt.is_forward and not self.kind.is_stream and has_run:
            # The other instance has repeated it as often as the route allows.
            return self.fail_or_deliver(event)
        if event.refusal is not None and not self.may_go_elsewhere(event.refusal):
            return self.pass_on_refusal(event.refusal)
        # An attempt that could not connect reached no upstream and costs nothing.
        if event.cause in UNSENT_CAUSES:
            return self.start_next(now)
        if not self.is_below_limits():
            return self.fail_or_deliver(event)
        pause_s = 0.0
        if self.kind.is_stream and event.cause in FAST_FAILURE_CAUSES:
            pause_s = retry_pause_s(self.failures_in_a_row)
            self.failures_in_a_row += 1
        if pause_s == 0.0:
            return self.retry_if_paid(event, now)
        self.unpaid_failure = event
        self.retry_at = now + self.jittered(pause_s)
        return []

    def handle_hop_end(self, event: HopEnded, now: float) -> list[RelayAction]:
        """Go on if another instance has let go of a stream that was forwarded to it."""
        release = self.release
        if self.is_over or release is None or release.attempt.number != event.attempt:
            return []
        return self.go_on_released(now) if event.is_certain else []

    def go_on_released(self, now: float) -> list[RelayAction]:
        """Go on after the failure of an attempt that another instance let go."""
        release = self.take_released()
        return self.retry_or_fail(release.attempt, release.failure, now)

    def retry_if_paid(self, event: AttemptFailed, now: float) -> list[RelayAction]:
        """Start the next attempt if the retry budget allows it.

        A stream waits for the budget if it may; any other request fails.
        """
        self.unpaid_failure = None
        if self.spend_retry(now):
            self.waits_since = None
            self.count_repeat(event)
            return self.start_next(now)
        if not self.may_wait_for_budget(now):
            self.shared.totals.denied_repeats += 1
            return self.fail_or_deliver(event)
        self.shared.totals.postponed_repeats += 1
        self.unpaid_failure = event
        self.waits_since = now if self.waits_since is None else self.waits_since
        self.retry_at = now + RETRY_POLL_INTERVAL_S
        return self.borrow_retry(now)

    def handle_loan(self, event: RetryLent, now: float) -> list[RelayAction]:
        """Make the retry that another instance has lent; else wait on."""
        self.is_borrowing = False
        loans, service = self.shared.loans, self.routed.service.name
        own_share, self.own_share = self.own_share, []
        if not event.is_lent:
            self.shared.totals.loan_refusals += 1
            if own_share:
                self.shared.budget_for(service).pooled.give_back(own_share)
            loans.record_refusal(event.lender, now, service, self.retry_level())
            if loans.pool is None or self.is_over or self.unpaid_failure is None:
                return []
            # A copy of the stream lasts for seconds, so the next one is asked at once.
            return self.borrow_retry(now)
        if self.is_over:
            return []
        self.shared.totals.retries_borrowed += 1
        if loans.pool is not None and event.lender in loans.pool.holders(service):
            self.shared.totals.holder_loans += 1
        self.loan_until = now + loans.validity_s
        if self.unpaid_failure is not None:
            self.retry_at = None
            return self.retry_if_paid(self.unpaid_failure, now)
        for attempt in self.attempts.values():
            attempt.kept_until = now
        return self.handle_stalls(now)

    def may_wait_for_budget(self, now: float) -> bool:
        """Whether a request may wait until the budget allows a retry.

        The caller of a stream in progress would request all of it again. One that may
        have begun waits as long as its first event could be in time.
        """
        if self.has_delivered:
            return True
        in_time_until = self.request.arrived_at + self.routed.route.target_latency_s
        return self.kind.is_stream and self.may_have_run and now < in_time_until

    def may_borrow(self, now: float) -> bool:
        """Whether another instance could be asked for a retry."""
        if not self.kind.is_stream or self.is_borrowing or not self.is_below_limits():
            return False
        service = self.routed.service.name
        if self.shared.budget_for(service).is_spaced(now):
            return False
        return self.shared.loans.has_lender(now, service, self.retry_level())

    def borrow_retry(self, now: float) -> list[RelayAction]:
        """Ask another instance for a retry, as there is none left here."""
        if not self.may_borrow(now):
            return []
        service, level = self.routed.service.name, self.retry_level()
        lender = self.shared.loans.pick_lender(now, service, level)
        self.shared.totals.loan_requests += 1
        self.is_borrowing = True
        budget = self.shared.budget_for(service)
        if budget.is_pooled:
            self.own_share = budget.pooled.take_own_share(now, level)
        paid = sum(amount for _, amount in self.own_share)
        return [BorrowRetry(lender, service, self.is_new_stream, int(level), paid)]

    def count_repeat(self, event: AttemptFailed) -> None:
        """Count why the next attempt is made."""
        totals = self.shared.totals
        totals.stalled_repeats += event.cause in STALL_CAUSES
        totals.refused_repeats += event.verdict is Verdict.NOT_RUN

    def record_failure(self, attempt: RelayAttempt, event: AttemptFailed) -> None:
        """Record what a failed attempt implies for the request and its upstream."""
        name = attempt.upstream.name
        # A trial that no upstream has run is still to be made.
        if attempt.is_trial and event.verdict is Verdict.NOT_RUN:
            self.has_trial = True
        if event.cause is AttemptCause.UNRECORDED:
            # It tells nothing of the upstream.
            self.sends -= 1
            self.excluded.add(name)
            self.last_message = f"{name}: {event.cause.value}"
            return
        self.record_connection(attempt, event)
        self.record_possible_crash(attempt, event)
        if event.cause in VERSION_CAUSES and not attempt.known_suspicions:
            self.record_version_answer(attempt, event.at, is_failure=True)
        # What a suspected request does to upstreams says nothing of the service, and an
        # upstream that asks for a pause is not down.
        is_paused = self.shared.gate.is_paused(name, event.at)
        is_excepted = is_paused or bool(attempt.known_suspicions)
        if event.cause in FAST_FAILURE_CAUSES and not is_excepted:
            budget = self.shared.budget_for(self.routed.service.name)
            budget.record_failure(attempt.upstream.failure_domain)
        self.last_message = f"{name}: {event.cause.value} {event.message}"
        if event.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True
            self.copy = attempt.copy if has_begun(attempt, event) else None
            self.sends -= self.has_upstream_ended(event)
            if event.cause is AttemptCause.SILENT:
                self.stalled_upstreams.append(attempt.upstream)
        else:
            self.sends -= 1
            self.refusals += event.cause is AttemptCause.OVERLOADED
        if event.cause is AttemptCause.NO_COPY:
            self.copy = None
            return
        self.excluded.add(name)
        if event.cause is AttemptCause.MISDIRECTED:
            self.shared.selector.mark_replaced(attempt.upstream)
        if event.cause in UPSTREAM_FAILURE_CAUSES:
            self.shared.selector.failed(name)
        if event.cause in (AttemptCause.LOST, AttemptCause.SILENT):
            self.lost_domains[attempt.upstream.failure_domain] = event.at

    def record_success(self, attempt: RelayAttempt, now: float) -> None:
        """Record that the upstream of an attempt serves, and so its failure domain."""
        # A forwarded attempt shows nothing of the domain of an upstream.
        domain = "" if attempt.is_forward else attempt.upstream.failure_domain
        service = self.routed.service.name
        self.shared.budget_for(service).record_success(domain, now)

    def record_connection(
        self, attempt: RelayAttempt, event: AttemptFailed | None = None
    ) -> None:
        """Record whether the upstream of an attempt accepted its connection.

        `event` is its failure, if it failed. A stall tells nothing of new connections.
        """
        reach = self.shared.reach
        if attempt.is_forward:
            reach.record_served_elsewhere(self.routed.service.name)
            return
        if event is not None and event.cause is AttemptCause.UNREACHABLE:
            reach.record_failure(attempt.upstream, attempt.started_at, event.at)
        elif event is None or event.cause not in STALL_CAUSES:
            reach.record_success(attempt.upstream.service, attempt.started_at)

    def record_possible_crash(
        self, attempt: RelayAttempt, event: AttemptFailed
    ) -> None:
        """Suspect the request of crashing its upstream if that had just begun it."""
        if event.cause in CRASH_CAUSES and event.at < self.deadline():
            self.suspect(attempt, event.at, is_stall=False)
        elif event.cause in CRASH_CAUSES:
            self.record_unanswered(attempt)
        elif event.cause in ANSWER_CAUSES:
            self.record_answer(attempt, event.at)

    def record_answer(self, attempt: RelayAttempt, now: float) -> None:
        """Record that the upstream of an attempt has answered, in whatever way."""
        if not attempt.is_forward:
            losses = self.shared.crashes.open_losses
            losses.record_answer(attempt.upstream, attempt.started_at, now)

    def record_version_answer(
        self, attempt: RelayAttempt, now: float, is_failure: bool
    ) -> None:
        """Record an answer of an upstream, for a roll-out of its version."""
        if not attempt.is_forward:
            self.shared.rollouts.record_answer(
                attempt.upstream, self.routed.route.name, is_failure, now
            )

    def record_version_time(
        self, attempt: RelayAttempt, measure: str, seconds: float
    ) -> None:
        """Record how long an upstream took, for a roll-out of its version.

        A stream that is resumed has a shorter way to its next event.
        """
        is_resumed = attempt.from_copy or attempt.events_before > 0
        if attempt.is_forward or (measure == FIRST and is_resumed):
            return
        self.shared.rollouts.record_time(
            attempt.upstream, self.routed.route.name, measure, attempt.load, seconds
        )

    def is_below_limits(self) -> bool:
        """Whether `max_attempts` and the limit on refusals allow one more attempt."""
        if self.counted_sends() >= self.routed.route.max_attempts:
            return False
        return self.has_delivered or self.refusals < MAX_REFUSALS

    def fail_or_deliver(self, event: AttemptFailed) -> list[RelayAction]:
        """Forward the upstream's own failure if there is one, or else fail."""
        if event.answer is not None and not self.has_delivered:
            self.is_over = True
            return [*self.cancel_all(), DeliverAnswer(event.answer)]
        if not self.may_have_run:
            return self.refuse_overloaded()
        return self.fail(ErrorCode.UPSTREAM_FAILED, self.last_message)

    # Events of attempts

    def deliver_event(
        self, attempt: RelayAttempt, event: EventArrived, now: float
    ) -> list[RelayAction]:
        """Deliver an event if it is the next one; abandon the attempt after a gap.

        Events that the caller already has are dropped. The copy of the stream's KV
        cache is checked and renewed when that is due.
        """
        if attempt.first_event_at is None:
            attempt.first_event_at = event.at
            record_first_event(self, attempt, now)
            self.record_version_time(attempt, FIRST, event.at - attempt.started_at)
            if attempt.prompts_ahead is not None:
                wait_s = event.at - attempt.started_at
                self.record_prefill(wait_s, attempt.prompts_ahead, now)
        attempt.last_active_at = max(attempt.last_active_at, event.at)
        attempt.is_upstream_silent = False
        attempt.events += 1
        if event.at - attempt.first_event_at >= CLEAN_RUN_S:
            self.record_clean_run(attempt, now)
        self.record_success(attempt, event.at)
        self.shared.stall_detector.record_activity(attempt.upstream.name, event.at)
        self.shared.rollouts.record_alive(attempt.upstream, event.at)
        if self.position is not None and event.event_id <= self.position:
            return []
        if self.position is not None and event.event_id != self.position + 1:
            reason = f"event {event.event_id} came after event {self.position}"
            return self.abandon(attempt, AttemptCause.MALFORMED, reason, now)
        headers = None if self.has_delivered else attempt.headers
        if not self.has_delivered:
            self.record_version(attempt, now)
        self.has_delivered = True
        self.may_have_run = True
        self.failures_in_a_row = self.rounds_in_a_row = 0
        self.position = event.event_id
        return [
            DeliverEvents(event.payload, headers),
            *self.check_holder(attempt, now),
            *self.renew_copy(attempt, now),
        ]

    def record_clean_run(self, attempt: RelayAttempt, now: float) -> None:
        """Record, once for each attempt, that the request is sound."""
        if not attempt.is_proven:
            attempt.is_proven = True
            self.shared.crashes.record_clean_run(self.traits, now)

    def end_is_due(self) -> bool:
        """Whether a stream runs and is now known to crash upstreams.

        An attempt that has an event is left alone: it has not crashed its upstream, or
        is about to. A trial is left alone too, and so is a call, which may have done
        its work by now.
        """
        if self.is_over or not self.attempts or not self.kind.is_stream:
            return False
        if self.blocked_trait() is None:
            return False
        return not any(
            each.has_event or each.is_trial for each in self.attempts.values()
        )

    def end_if_blocked(self, now: float) -> list[RelayAction]:
        """End the request if it is now known to crash upstreams."""
        trait = self.blocked_trait()
        if trait is None or not self.end_is_due():
            return []
        return self.refuse_crashing(trait, now)

    def end_with_instance(self) -> list[RelayAction]:
        """End the request because this instance ends."""
        if self.is_over:
            return []
        self.may_have_run = self.may_have_run or bool(self.attempts)
        return self.fail(
            ErrorCode.INSTANCE_STOPPING,
            "this instance stopped before the request had ended; use another one",
            OTHER_INSTANCE_RETRY_S,
        )

    def end_taken_up(self, event: StreamTakenUp) -> list[RelayAction]:
        """End the request, of which nothing runs any more, for its former caller."""
        self.may_have_run = True
        text = f"the caller goes on by request={event.by!r}"
        return self.fail(ErrorCode.ANSWER_INTERRUPTED, text)

    def record_version(self, attempt: RelayAttempt, now: float) -> None:
        """Have the stream go on at the version that began it, here and elsewhere."""
        if attempt.is_forward:
            self.is_version_elsewhere = True
            return
        self.version = attempt.upstream.version
        if self.kind is RequestKind.RESUMABLE_STREAM:
            self.shared.versions.record_begin(
                self.request.stream_id, self.routed.service.name, self.version, now
            )

    def finish(
        self, attempt: RelayAttempt, now: float, is_whole: bool = True
    ) -> list[RelayAction]:
        """End the request after an attempt that completed, and cancel the others.

        `is_whole` is False if the answer may have been cut off between two events.
        """
        self.is_over = True
        if self.kind.is_stream and attempt.first_event_at is not None:
            self.shared.stream_duration.record_duration(now - attempt.first_event_at)
            if self.position is not None:
                lengths = self.shared.stream_lengths
                lengths.record_length(self.routed.service.name, self.position)
            self.record_version_answer(attempt, now, is_failure=False)
            if attempt.events >= MIN_PACED_EVENTS:
                lasted_s = attempt.last_active_at - attempt.first_event_at
                pace_s = lasted_s / (attempt.events - 1)
                self.record_version_time(attempt, PACE, pace_s)
        if is_whole:
            self.record_clean_run(attempt, now)
        actions = self.release_copies()
        self.remove_attempt(attempt.number)
        self.shared.selector.succeeded(attempt.upstream.name)
        return [*actions, *self.cancel_all()]


@singledispatch
def handle_event(
    event: RelayEvent, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Return the actions that follow from an event of a live attempt."""
    raise NotImplementedError(f"event={event!r} is not a relay event")


@handle_event.register
def handle_connected(
    event: AttemptConnected, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Record that the upstream of an attempt may run the request."""
    attempt.is_connected = True
    return []


@handle_event.register
def handle_answer(
    event: AnswerArrived, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Deliver a complete answer and cancel the other attempts.

    One that comes while a stream is in progress is no part of it.
    """
    if relay.has_delivered:
        text = f"status={event.answer.status} in the middle of a stream"
        return relay.abandon(attempt, AttemptCause.FAILED, text, now)
    # An instance may itself give another answer to what was forwarded to it.
    if event.answer.status < 300 or not attempt.is_forward:
        relay.record_connection(attempt)
    relay.record_answer(attempt, event.at)
    relay.record_version_answer(attempt, event.at, is_failure=False)
    relay.record_version_time(attempt, FIRST, event.at - attempt.started_at)
    relay.record_success(attempt, event.at)
    if event.answer.status < 300 and not attempt.is_forward:
        duration_s = event.at - attempt.started_at
        relay.shared.selector.record_duration(attempt.upstream.name, duration_s)
    return [*relay.finish(attempt, now), DeliverAnswer(event.answer)]


@handle_event.register
def handle_stream_opened(
    event: StreamOpened, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Keep the headers, which are delivered with the first event."""
    relay.record_connection(attempt)
    relay.record_answer(attempt, event.at)
    attempt.headers = event.headers
    attempt.last_active_at = max(attempt.last_active_at, event.at)
    return []


@handle_event.register
def handle_stream_event(
    event: EventArrived, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Deliver an event of the stream."""
    return relay.deliver_event(attempt, event, now)


@handle_event.register
def handle_stream_finished(
    event: StreamFinished, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """End the caller's stream; an upstream stream without any event has failed.

    One that is stopped may look ended if its end is that of its connection.
    """
    if attempt.is_stopping and not event.has_own_end:
        return []
    if not relay.has_delivered:
        text = "the stream ended without an event"
        return relay.abandon(attempt, AttemptCause.MALFORMED, text, now)
    is_whole = event.has_own_end and not attempt.is_forward
    return [*relay.finish(attempt, now, is_whole), EndStream()]


@handle_event.register
def handle_failure(
    event: AttemptFailed, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Remove the failed attempt, and retry or fail."""
    return relay.handle_attempt_failure(attempt, event, now)


@handle_event.register
def handle_memory_copied(
    event: MemoryCopied, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Record a copy that was requested; an attempt without one keeps the former.

    One that was refused is requested elsewhere.
    """
    attempt.is_copy_pending = False
    if event.copy is None:
        return relay.repeat_copy(attempt, now)
    return relay.record_copy(attempt, event.copy, event.at)


@handle_event.register
def handle_holder_checked(
    event: HolderChecked, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Record whether the holder is current, and request a new copy if it is lost."""
    relay.record_holder_check(event)
    return relay.renew_copy(attempt, now)


@handle_event.register
def handle_probe(
    event: UpstreamProbed, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Abandon the attempt if its upstream is gone or no longer sends its events.

    The upstream is left if it cannot be reached, has restarted, has made more events
    than can still be in transit, or does not have the request. If it was active after
    the probe was sent, no answer to the probe is no reason to leave it, and neither is
    a report on a stream that has had an event. Waiting requests explain a late start.

    One that accepts the connection and does not answer may stand still. New requests
    avoid it, and this one waits until `gone_at`.
    """
    report = event.report
    if attempt.is_stopping:
        return []
    if attempt.loss is not None:
        return go_on_after_loss(relay, attempt, attempt.loss, event.state, now)
    has_been_active = relay.upstream_active_at(attempt) > (attempt.probed_at or 0.0)
    was_silent = attempt.is_upstream_silent
    attempt.is_upstream_silent = event.state is ReportState.SILENT
    if report is not None:
        attempt.reported_at = event.at
    if has_been_active and (report is None or attempt.has_event):
        attempt.is_upstream_silent = False
        return []
    if report is not None and not relay.confirm_incarnation(report, attempt.upstream):
        text = "has restarted"
        return relay.abandon(attempt, AttemptCause.SILENT, text, now)
    if attempt.is_upstream_silent and now < relay.gone_at(attempt):
        if not was_silent:
            relay.shared.selector.failed(attempt.upstream.name)
        return []
    if report is None:
        if not relay.may_replace(attempt, now):
            relay.keep_attempt(attempt, now)
            return relay.borrow_retry(now)
        text = "does not answer"
        return relay.abandon(attempt, AttemptCause.SILENT, text, now)
    # Engines count the events of a resumed stream from its beginning.
    event_count = report.events_made.get(relay.request.request_id)
    held = attempt.events_before + attempt.events
    missing_limit = MAX_MISSING_EVENTS if attempt.has_event else 1
    if (
        event_count is not None
        and event_count >= held + missing_limit
        and not attempt.from_copy
    ):
        text = f"has made {event_count} events, of which {held} arrived"
        return relay.give_up(attempt, AttemptCause.UNANSWERED, text, now)
    should_be_visible = now - (attempt.first_event_at or now) >= REPORT_VISIBLE_AFTER_S
    if event_count is None and should_be_visible and not report.waiting:
        text = "no longer runs the request"
        return relay.abandon(attempt, AttemptCause.UNANSWERED, text, now)
    is_busy = report.waiting > 0 or report.prefilling() > 0
    if (
        event_count is None
        and not is_busy
        and now - attempt.started_at >= REPORT_VISIBLE_AFTER_S
    ):
        text = "does not know the request"
        return relay.abandon(attempt, AttemptCause.UNANSWERED, text, now)
    attempt.is_upstream_busy = is_busy
    return []


@handle_event.register
def handle_run_stopped(
    event: RunStopped, relay: Relay, attempt: RelayAttempt, now: float
) -> list[RelayAction]:
    """Go on from the last copy of a run that was stopped, or else as is possible.

    An upstream that has not answered the order in time is probed, as it may stand
    still. A run whose end is not known is found out about beside the request.
    """
    stopped = event.stopped
    end, copy = stopped.end, stopped.copy
    attempt.is_stopping = False
    attempt.is_stopped = is_known_end(end, attempt.has_event)
    cause = attempt.stop_cause or AttemptCause.SILENT
    if end is RunEnd.UNKNOWN and not stopped.has_answered:
        attempt.probed_at = now
        return [ProbeUpstream(attempt.number, attempt.upstream)]
    actions: list[RelayAction] = []
    if copy is not None and copy.holder.name != attempt.upstream.name:
        actions = relay.record_copy(attempt, copy, event.at)
    elif copy is not None and copy != attempt.copy:
        actions = [ReleaseCopy(copy)]
    if attempt.loss is not None:
        relay.remove_attempt(attempt.number)
        return actions + relay.retry_or_fail(attempt, attempt.loss, now)
    return actions + relay.abandon(attempt, cause, attempt.stop_reason, now)


def is_known_end(end: RunEnd, has_event: bool) -> bool:
    """Whether an answer to an order to stop shows that the run has ended for good.

    An upstream that does not know a request may still have it in a queue.
    """
    if end is RunEnd.ABSENT:
        return has_event
    return end is not RunEnd.UNKNOWN


def go_on_after_loss(
    relay: Relay,
    attempt: RelayAttempt,
    loss: AttemptFailed,
    state: ReportState,
    now: float,
) -> list[RelayAction]:
    """Go on after a lost connection when its upstream does not work on.

    One that is silent may go on as well, and one that answers has the run stopped.
    """
    was_silent = attempt.is_upstream_silent
    attempt.is_upstream_silent = state is ReportState.SILENT
    if now < relay.gone_at(attempt):
        if not was_silent:
            relay.shared.selector.failed(attempt.upstream.name)
        return []
    if state is ReportState.ANSWERED:
        order = relay.order_stop(attempt, loss.cause, loss.message, now)
        if order:
            return order
    attempt.is_stopped = state is ReportState.REFUSED
    relay.remove_attempt(attempt.number)
    return relay.retry_or_fail(attempt, loss, now)


def has_begun(attempt: RelayAttempt, failure: AttemptFailed) -> bool:
    """Whether the upstream had begun to answer, so that its standby may hold a copy.

    A run begins with its first event, which may not have arrived. One that goes on from
    a copy begins with that.
    """
    if attempt.has_event or attempt.from_copy or attempt.copied_at is not None:
        return True
    return failure.cause is AttemptCause.UNANSWERED


def retry_pause_s(failures: int) -> float:
    """Return the pause before a retry after so many failures without an event."""
    if failures < IMMEDIATE_RETRIES:
        return 0.0
    doublings = min(failures - IMMEDIATE_RETRIES, 8)
    return min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2.0**doublings)


def make_relay(
    request: RelayedRequest, routed: RoutedRequest, shared: RelayShared
) -> Relay:
    """Return the state machine of one relayed request."""
    return Relay(request, routed, shared, request_traits(request))

"""Starts of a relayed request's attempts: at an upstream, or by another instance.

An instance that reaches no upstream of a service forwards its requests to one that may
(see `forwarding`). What comes of that tells nothing of the upstreams themselves.
"""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.fleet import EntryInstance, UpstreamInstance
from turmericusher.decisions.forwarding import (
    MAX_REFUSALS_ELSEWHERE,
    Hop,
    Refusal,
    forward_target,
)
from turmericusher.decisions.hop_release import HopReleasing
from turmericusher.decisions.relay_messages import (
    AttemptFailed,
    MemoryCopy,
    RelayAction,
    StartRelay,
)
from turmericusher.decisions.relay_state import (
    UPSTREAM_POLL_INTERVAL_S,
    RelayAttempt,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import ErrorCode, Verdict

NO_UPSTREAM_RETRY_S = 0.5
"""Retry-After in seconds when no upstream is live: engines that crashed together are
usually listed again by then."""

RETRY_JITTER = 0.3
"""Share by which a Retry-After varies, so that refused callers return spread out."""


@dataclass(slots=True)
class RelayStarting(HopReleasing):
    """Begins attempts, and forwards requests that cannot be placed here."""

    def begin_attempt(
        self,
        attempt: RelayAttempt,
        now: float,
        copy: MemoryCopy | None = None,
        standby: UpstreamInstance | None = None,
        hop: Hop | None = None,
    ) -> list[RelayAction]:
        """Begin an attempt, at an upstream or, with `hop`, by another instance.

        Every attempt begins here, whatever its reason. None does for a request that is
        known to crash upstreams, which is refused or ended.
        """
        trait = self.blocked_trait()
        if trait is not None:
            return self.refuse_crashing(trait, now)
        # A trial is for one attempt.
        is_trial, self.has_trial = self.has_trial, False
        upstream, totals = attempt.upstream, self.shared.totals
        attempt.events_before = self.position or 0
        self.last_number = attempt.number
        self.last_upstream = upstream.name
        self.list_revision = self.shared.applied.revision
        self.list_age_s = self.shared.applied.age_s(now)
        self.sends += 1
        self.attempts[attempt.number] = attempt
        totals.attempts += 1
        totals.repeats += self.last_number > 1
        totals.resumes += self.last_number > 1 and self.has_delivered
        if hop is not None:
            totals.forwards += 1
        else:
            if self.shared.rollouts.bounds is not None:
                selector = self.shared.selector
                attempt.load = selector.load.estimate(upstream.name, selector.now)
            attempt.is_trial = is_trial
            totals.crash_trials += is_trial
            self.record_placement(upstream, standby, now)
        return [
            StartRelay(
                attempt=attempt.number,
                upstream=upstream,
                deadline=self.deadline(),
                resume_after=self.position,
                copy=copy,
                standby=standby,
                must_record=hop is None and self.must_record_version(upstream, now),
                hop=hop,
                fetch_from=self.fetch_source(attempt),
            )
        ]

    def fetch_source(self, attempt: RelayAttempt) -> UpstreamInstance | None:
        """Return the upstream from which an attempt's prompt is fetched, or None."""
        if attempt.completion is None or attempt.from_copy:
            return None
        source = attempt.completion.fetch_from
        self.shared.totals.prefix_fetches += source is not None
        return source

    def record_placement(
        self, upstream: UpstreamInstance, standby: UpstreamInstance | None, now: float
    ) -> None:
        """Record what an attempt means for its upstream and its standby."""
        totals, limits = self.shared.totals, self.shared.send_limits
        self.shared.rooms.take(upstream.name, self.copy_size())
        if standby is not None:
            self.shared.holders.record_seen(standby, now)
            self.shared.rooms.take(standby.name, self.copy_size())
        self.shared.selector.attempt_started(upstream.name)
        self.shared.rollouts.record_start(upstream, self.kind.may_repeat)
        limits.record_send(upstream.name, now)
        urgency, service = self.routed.urgency, self.routed.service
        self.shared.placements.record_placement(upstream.name, now, urgency)
        if service.urgency_targets:
            self.shared.urgency_mix(service.name).record_placement(urgency, now)
        if upstream.name in limits.limits:
            totals.limited_sends += 1
            totals.limited_repeats += self.last_number > 1

    def blocked_trait(self) -> str | None:
        """Return a trait for which the request must not be sent now, or None."""
        if self.has_trial:
            return None
        return self.shared.crashes.blocked_trait(self.traits)

    def refuse_crashing(self, trait: str, now: float) -> list[RelayAction]:
        """Refuse a request that would crash an upstream, or end it if it has run."""
        self.shared.totals.crash_refusals += 1
        self.shared.crashes.record_refusal(trait, now)
        self.may_have_run = self.may_have_run or bool(self.attempts)
        return self.fail(
            ErrorCode.REQUEST_KILLS_UPSTREAMS,
            f"{len(self.shared.crashes.suspicions[trait])} upstreams crashed under "
            f"requests with trait={trait!r}",
            self.jittered(self.shared.crashes.retry_after_s(trait, now)),
        )

    def jittered(self, seconds: float) -> float:
        """Return a randomly varied time, so that refused callers return spread out."""
        spread = self.shared.random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return seconds * spread

    # Forwarding

    def forward(self, now: float) -> list[RelayAction]:
        """Forward the request to an instance that may reach its service.

        One that was forwarded already is not forwarded again. Without such an instance
        a request that must go on waits for its upstreams or for other instances, and
        any other one is refused at once.
        """
        instance = self.pick_instance(now)
        if instance is not None:
            return self.start_forward(instance, now)
        if self.has_delivered or (self.kind.may_repeat and self.may_have_run):
            self.refused_by.clear()
            self.retry_at = now + UPSTREAM_POLL_INTERVAL_S
            return []
        return self.fail(
            ErrorCode.UPSTREAM_FAILED if self.may_have_run else ErrorCode.NO_UPSTREAM,
            f"service={self.routed.service.name!r} has no upstream that accepts "
            f"connections of this instance, and {len(self.refused_by)} other instances "
            f"did not take the request: {self.last_message}",
            self.jittered(NO_UPSTREAM_RETRY_S),
        )

    def pick_instance(self, now: float) -> EntryInstance | None:
        """Return an instance to forward the request to, if it may be forwarded."""
        is_refused = len(self.refused_by) >= MAX_REFUSALS_ELSEWHERE
        if self.request.hop is not None or is_refused:
            return None
        service = self.routed.service.name
        return self.shared.forwarding.pick(service, self.refused_by, now)

    def start_forward(self, instance: EntryInstance, now: float) -> list[RelayAction]:
        """Start an attempt that goes by another instance."""
        target = forward_target(instance, self.routed.service.name, self.version)
        attempt = RelayAttempt(
            self.last_number + 1, target, now, now, copy=None, is_forward=True
        )
        is_resume = self.kind.is_stream and self.position is not None
        hop = Hop(
            self.shared.forwarding.own,
            self.routed.version,
            self.may_have_run,
            instance.incarnation,
            self.request.stream_id if is_resume else None,
        )
        actions = self.begin_attempt(attempt, now, hop=hop)
        # Only such a request goes on after it may have run elsewhere.
        if (
            attempt.number in self.attempts
            and self.kind is RequestKind.RESUMABLE_STREAM
        ):
            hops, request_id = self.shared.forwarded, self.request.request_id
            attempt.forwarded = hops.begin(instance, request_id, now)
        return actions

    def record_forward_failure(
        self, attempt: RelayAttempt, event: AttemptFailed, now: float
    ) -> None:
        """Record what the failure of a forwarded attempt implies for the request.

        It tells nothing of the upstreams.
        """
        name = attempt.upstream.name
        self.last_message = f"instance {name}: {event.cause.value} {event.message}"
        if event.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True
            self.copy = None
            self.sends -= self.has_upstream_ended(event)
            return
        self.sends -= 1
        self.shared.totals.forward_refusals += 1
        self.refused_by.add(name)
        if event.refusal is None or self.may_go_elsewhere(event.refusal):
            service = self.routed.service.name
            self.shared.forwarding.record_refusal(name, service, now)

    def may_go_elsewhere(self, refusal: Refusal) -> bool:
        """Whether another instance is tried after one has refused the request.

        A stream in progress must go on, whatever the reason.
        """
        return refusal.is_local or self.has_delivered

    def pass_on_refusal(self, refusal: Refusal) -> list[RelayAction]:
        """Refuse the request as another instance did, for a reason that holds here."""
        code = ErrorCode.UPSTREAM_FAILED if self.may_have_run else refusal.code
        return self.fail(code, refusal.message, refusal.retry_after_s)

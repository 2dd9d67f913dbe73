"""State of one relayed request, and the state that all of them share."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.applied_changes import AppliedChanges
from turmericusher.decisions.crash_ledger import CLEAN_RUN_S, CrashLedger
from turmericusher.decisions.crash_records import Suspicion
from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.forwarding import Forwarding
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.holder_room import HolderRooms
from turmericusher.decisions.holders import HolderChecks
from turmericusher.decisions.hop_leases import ForwardedHop, ForwardedHops
from turmericusher.decisions.patience import StallDetector
from turmericusher.decisions.placing.free_capacity import (
    PrefillTime,
    RecentPlacements,
    TypicalSize,
    WaitInputs,
    initial_prefill_time,
)
from turmericusher.decisions.placing.selection import PickRequest, Selector
from turmericusher.decisions.placing.urgency_mix import UrgencyMix
from turmericusher.decisions.prompts.completion import Completion
from turmericusher.decisions.prompts.held_parts import HeldParts
from turmericusher.decisions.prompts.relay_prompts import record_end
from turmericusher.decisions.reachability import Reachability
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptFailed,
    BreakStream,
    MemoryCopy,
    RelayAction,
    RelayedRequest,
    UpstreamReport,
)
from turmericusher.decisions.relay_stop import DurationEstimate
from turmericusher.decisions.retrying.pooled_retries import RetryLevel
from turmericusher.decisions.retrying.retries import RetryBudget
from turmericusher.decisions.retrying.retry_loans import RetryLoans
from turmericusher.decisions.retrying.retry_pool import RetryPool
from turmericusher.decisions.retrying.stream_lengths import StreamLengths
from turmericusher.decisions.rollouts.evidence import FIRST, PACE
from turmericusher.decisions.rollouts.gate import Rollouts, served_versions
from turmericusher.decisions.routing import RequestKind, RoutedRequest
from turmericusher.decisions.run_ends import LeftRelayRun, RunEnds
from turmericusher.decisions.send_gate import SendGate
from turmericusher.decisions.send_limits import SendLimits
from turmericusher.decisions.send_pauses import SendPauses
from turmericusher.decisions.stream_versions import StreamVersions
from turmericusher.decisions.upstream_marks import LeavingMarks, leaving_mark
from turmericusher.errors import ErrorCode, Verdict

RUNNING_PROBE_SHARE = 0.3
"""Share of the pause that callers accept after which the upstream of a stalled stream
is probed: the answer and a resume from a copy fit into the rest."""

RUNNING_LIMIT_SHARE = 0.8
"""Share of the same pause after which a stalled stream is abandoned although its
upstream still answers."""

MIN_RUNNING_LIMIT_S = 0.3
"""Minimum seconds before a stalled stream is abandoned, however short the pause, so
that a probe fits before."""

STARTING_PROBE_AFTER_S = 0.6
"""Seconds without a first event after which the upstream is probed, and between probes:
about half the prefill time of a long prompt."""

STARTING_LIMIT_SHARE = 0.75
"""Share of the target latency after which an attempt without a first event is abandoned
although its upstream is reachable. Prefills of long prompts take seconds, and all but
what the standby has of them is lost; a resume from there needs the rest of the time."""

MIN_STARTING_LIMIT_S = 1.0
"""Minimum seconds before an attempt without a first event is abandoned, whatever the
target."""

BUSY_LIMIT_S = 6.0
"""Minimum seconds without a first event after which an attempt is abandoned while its
upstream reports that it prefills or that requests wait there: another upstream would
have to prefill the prompt from its beginning."""

BUSY_LIMIT_SHARE = 4 / 3
"""The same as a share of the target latency, for routes whose callers accept a longer
wait: abandoned before their target, such streams began anew at the end of another queue
and half of them were late."""

SILENT_LIMIT_S = 1.5
"""Seconds without a sign of an upstream that accepts connections after which its
streams go on elsewhere. Its process may stand still until then and work on after."""

MAX_MISSING_EVENTS = 3
"""Events that an upstream reports beyond those received, from which on they count as
lost: a report is older than any event in transit, so fewer can still arrive."""

FORWARD_STALL_S = 3.0
"""Seconds without an event after which a stream that another instance forwards is
abandoned: that one needs most of it to resume the stream elsewhere itself."""

HEDGE_SHARE = 0.6
"""Share of the target latency after which an idempotent call is also sent to a second
upstream; the rest is what that one needs to answer in time."""

PROCESS_PAUSE_S = 0.5
"""A tick this many seconds late means that this process itself was paused."""

UPSTREAM_POLL_INTERVAL_S = 0.1
"""Seconds between attempts to find an upstream while a stream has none to resume on."""

RETRY_POLL_INTERVAL_S = 0.1
"""Seconds between two checks of the retry budget by a stream that waits for it."""

MIN_ATTEMPT_TIME_S = 0.01
"""Minimum seconds before a request's deadline for an attempt to be started."""

MIN_SILENCE_S = 0.5
"""Seconds without an event or answer after which an attempt whose upstream is no longer
listed may have been lost with it: an upstream may also serve on for a while."""

LOST_DOMAIN_AVOIDANCE_S = 3.0
"""Seconds for which a failure domain is avoided after it lost an attempt: about what
engines that crashed together take to return."""

UPSTREAM_FAILURE_CAUSES = frozenset(
    {
        AttemptCause.UNREACHABLE,
        AttemptCause.LOST,
        AttemptCause.SILENT,
        AttemptCause.MALFORMED,
        AttemptCause.FAILED,
    }
)
"""Causes after which other requests avoid the upstream for a while."""


@dataclass(slots=True)
class RelayTotals:
    """Counters over all relayed requests of an instance.

    `repeats` counts attempts after the first of their request: `stalled_repeats` after
    an upstream that sent nothing, `refused_repeats` after one that did not run the
    request, and the rest after one that failed. `denied_repeats` were not made for lack
    of retry budget, and `postponed_repeats` counts how often a stream in progress
    found none and waited. `limited_sends` are the attempts, and `limited_repeats` of
    them those after the first of their request, to an upstream that names a limit;
    `limit_refusals` are the requests refused because all upstreams named limits, and
    `pause_refusals` those refused because some had asked for a pause and no other one
    took requests.
    `preemptions_expected` are the attempts on upstreams that must preempt a less urgent
    run for them, and `room_refusals` those of the `late_refusals` that keep room for
    more urgent streams. `standbys_by_report` are the holders of copies that were chosen
    for the room in their reports, `copies_repeated` the copies asked for elsewhere at
    once after one was refused, and `copies_deferred` those not asked for as memory was
    short everywhere and more urgent streams need it.
    `crash_refusals` are those refused or ended because one of their traits crashes
    upstreams, and `crash_trials` the attempts that tried such a trait again.
    `version_refusals` are the streams that no instance knew the version of.
    `forwards` are the attempts that went by another instance, and `forward_refusals`
    those that it did not take. `hop_releases` are those that may have run on there when
    they were taken back, and `hops_let_go` the runs for others that were ended here.
    `loan_requests` counts the requests to other instances for a retry,
    `retries_borrowed` those that they lent, and `retries_lent` those that
    this one lent. `holder_loans` are those that budget holders lent to this instance,
    and `loan_refusals` the requests that were refused or not answered.
    `prefix_choices` were placed otherwise than by the wait alone, for what upstreams
    hold of their prompts, and `prefix_fetches` had the rest fetched.
    """

    attempts: int = 0
    repeats: int = 0
    stalled_repeats: int = 0
    refused_repeats: int = 0
    denied_repeats: int = 0
    postponed_repeats: int = 0
    resumes: int = 0
    copies_used: int = 0
    copies_renewed: int = 0
    hedges: int = 0
    probes: int = 0
    load_questions: int = 0
    late_refusals: int = 0
    preemptions_expected: int = 0
    room_refusals: int = 0
    standbys_by_report: int = 0
    copies_repeated: int = 0
    copies_deferred: int = 0
    limited_sends: int = 0
    limited_repeats: int = 0
    limit_refusals: int = 0
    pause_refusals: int = 0
    crash_refusals: int = 0
    crash_trials: int = 0
    version_refusals: int = 0
    forwards: int = 0
    forward_refusals: int = 0
    hop_releases: int = 0
    hops_let_go: int = 0
    loan_requests: int = 0
    retries_borrowed: int = 0
    retries_lent: int = 0
    holder_loans: int = 0
    loan_refusals: int = 0
    prefix_choices: int = 0
    prefix_fetches: int = 0


@dataclass(slots=True)
class RelayShared:
    """State that all relayed requests of an instance share.

    `prefill_times` has the prefill time of one prompt by service and urgency: engines
    take urgent prompts first, so the others wait longer. `budgets` has the retry budget
    of each service; `budget_template` is copied for those of new services.
    `stream_duration` estimates how long streams last after their first event,
    `typical_sizes` the request size of each service, and `urgency_mixes` the mix of
    urgencies of each service whose routes differ in it. `holders` tracks which holders
    of copies are lost, `rooms` which upstreams have room for one, `send_limits` the
    limits that upstreams name, `pauses` those that they ask for, `gate` what follows
    from both for each send, `crashes` which requests crash upstreams, and
    `versions` at which version each stream began.
    `leaving` has the upstreams that leave, by their own answers or by the list, and
    `reach` the services whose upstreams accept no connections of this instance,
    for which `forwarding` has the other instances, and `forwarded` the streams that
    these serve. `loans` says which of them is asked for a retry, and `pool` who holds
    the slack of the limit in a large fleet.
    `stream_lengths` has how many events streams have, and `run_ends` the runs that were
    left and may go on.
    `held_parts` has what upstreams hold of prompts, and `prefilled_sizes` the tokens of
    each service's prompts that they did not hold. `rollouts` are orders to move
    services to another version. `applied` tells up to where the store's changes are
    known here.
    """

    selector: Selector
    random: random.Random
    stall_detector: StallDetector = field(default_factory=StallDetector)
    placements: RecentPlacements = field(default_factory=RecentPlacements)
    prefill_times: dict[tuple[str, int], PrefillTime] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    budget_template: RetryBudget = field(default_factory=RetryBudget)
    totals: RelayTotals = field(default_factory=RelayTotals)
    stream_duration: DurationEstimate = field(default_factory=DurationEstimate)
    holders: HolderChecks = field(default_factory=HolderChecks)
    rooms: HolderRooms = field(default_factory=HolderRooms)
    typical_sizes: dict[str, TypicalSize] = field(default_factory=dict)
    urgency_mixes: dict[str, UrgencyMix] = field(default_factory=dict)
    prefilled_sizes: dict[str, TypicalSize] = field(default_factory=dict)
    held_parts: HeldParts = field(default_factory=HeldParts)
    crashes: CrashLedger = field(default_factory=CrashLedger)
    versions: StreamVersions = field(default_factory=StreamVersions)
    pauses: SendPauses = field(default_factory=SendPauses)
    rollouts: Rollouts = field(default_factory=Rollouts)
    applied: AppliedChanges = field(default_factory=AppliedChanges)
    send_limits: SendLimits = field(init=False)
    gate: SendGate = field(init=False)
    leaving: LeavingMarks = field(init=False)
    reach: Reachability = field(init=False)
    forwarding: Forwarding = field(init=False)
    loans: RetryLoans = field(init=False)
    pool: RetryPool | None = None
    stream_lengths: StreamLengths = field(default_factory=StreamLengths)
    run_ends: RunEnds[LeftRelayRun] = field(default_factory=RunEnds)
    forwarded: ForwardedHops = field(default_factory=ForwardedHops)

    def __post_init__(self) -> None:
        """Start without any limit, mark or failed connection."""
        self.send_limits = SendLimits(self.random)
        self.gate = SendGate(self.send_limits, self.pauses)
        self.leaving = LeavingMarks(self.random)
        self.reach = Reachability(self.selector)
        self.forwarding = Forwarding(self.random)
        self.loans = RetryLoans(self.random)

    def record_leaving(self, upstream: UpstreamInstance, now: float) -> bool:
        """Use an upstream no more that said that it leaves; return whether it is new.

        The list may show the same seconds later, or not at all.
        """
        if not self.leaving.add((leaving_mark(upstream),), now):
            return False
        self.update_upstreams(self.selector.upstreams.values(), now)
        return True

    def has_crashed(self, upstream: UpstreamInstance) -> bool:
        """Whether an upstream has ended and did not say before that it leaves."""
        if self.selector.is_current(upstream):
            return False
        return leaving_mark(upstream) not in self.leaving.marks

    def update_upstreams(
        self, upstreams: Iterable[UpstreamInstance], now: float
    ) -> None:
        """Replace the upstreams that are listed; those that leave stay marked."""
        self.selector.advance_clock(now)
        self.selector.update(self.leaving.apply(upstreams, now))
        self.held_parts.retain(self.selector.upstreams)

    def budget_for(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, which may be new."""
        budget = self.budgets.get(service)
        if budget is None:
            template = self.budget_template
            budget = RetryBudget(
                template.ratio,
                template.reserve,
                template.window_s,
                template.started_at,
            )
            self.budgets[service] = budget
        return budget

    def stream_budget_for(self, service: str, now: float) -> RetryBudget:
        """Return the retry budget of a service that streams use, by the pool if any."""
        budget = self.budget_for(service)
        if not budget.is_for_streams:
            budget.is_for_streams = True
            self.apply_pool(service, budget, now)
        return budget

    def lending_budget(self, service: str, now: float) -> RetryBudget | None:
        """Return the budget from which a retry of a service is lent; None if unknown.

        Only streams borrow. A budget holder may not have had any of them so far.
        """
        if self.pool is not None and service in self.selector.live:
            return self.stream_budget_for(service, now)
        return self.budgets.get(service)

    def budget_facts(self, service: str, now: float) -> dict[str, float]:
        """Return what is known of a service's retries, for a line of the log."""
        budget, loans = self.budget_for(service), self.loans
        holders = self.pool.holders(service) if self.pool is not None else ()
        refused = [
            name
            for name in holders
            if loans.has_refused(name, service, RetryLevel.NEW, now)
        ]
        return {
            "balance": round(budget.allowance(now), 2),
            "part": round(budget.pooled.part if budget.is_pooled else 0.0, 2),
            "holders": len(holders),
            "holders_refused": len(refused),
            "lenders_asked": loans.requests.count(now),
            "instances": len(loans.instances) + 1,
            "failures_in_a_row": budget.failures_in_a_row,
        }

    def set_pool(self, pool: RetryPool | None, now: float) -> None:
        """Set who holds the slack, as when the list of instances changes."""
        self.pool = self.loans.pool = pool
        for service, budget in self.budgets.items():
            self.apply_pool(service, budget, now)

    def apply_pool(self, service: str, budget: RetryBudget, now: float) -> None:
        """Set what a budget has of the pool; plain calls have their own reserve."""
        if self.pool is None or not budget.is_for_streams:
            budget.leave_pool(now)
            return
        budget.join_pool(self.pool.ratio, self.pool.own_part(service), now)

    def typical_size(self, service: str) -> TypicalSize:
        """Return the size estimate for the requests of a service."""
        return self.typical_sizes.setdefault(service, TypicalSize())

    def urgency_mix(self, service: str) -> UrgencyMix:
        """Return the mix of urgencies of a service."""
        return self.urgency_mixes.setdefault(service, UrgencyMix())

    def prefilled_size(self, service: str) -> TypicalSize:
        """Return the estimate of the tokens that a service's prompts have prefilled."""
        return self.prefilled_sizes.setdefault(service, TypicalSize())

    def set_budgets(self, ratio: float, reserve: float) -> None:
        """Set ratio and reserve of all budgets, as when the fleet grows or shrinks."""
        for budget in (self.budget_template, *self.budgets.values()):
            budget.ratio, budget.reserve = ratio, reserve


@dataclass(slots=True)
class RelayAttempt:
    """One attempt to send the request; times are monotonic seconds.

    `is_upstream_busy`: the last probe reported that its upstream prefills or has
    requests waiting. `is_upstream_silent`: it accepted the connection of the last probe
    and did not answer. `reported_at` is when it answered a probe last.
    `prompts_ahead` counts the prompts that the upstream had to prefill first, None
    where that is not known. `copy` is kept up to date by the
    upstream itself, unless `copied_at` has the time at which it was made on request.
    `copy_target` is the upstream that a copy was last asked for at, and
    `copy_refused_by` those that made none since the last pause.
    A stall is not acted on before `kept_until`. `known_suspicions` are those of the
    request's traits when it was sent; `is_trial`: one was blocked. `events_before` are
    those that the caller held when it was sent.
    `is_proven`: the attempt has run for long enough to show that the request is sound.
    `is_connected`: its upstream may have the request. `is_suspected`: the request was
    recorded as one that may have ended its upstream.
    `is_stopping`: it is being given up for `stop_cause` and `stop_reason`, and its
    upstream has the order to stop. `loss` is its failure since then, and `stops` counts
    the orders. `is_stopped`: the upstream has confirmed the end.
    `is_forward`: it goes by another instance, for which `upstream` stands; with
    `forwarded`, that one may still run it after a failure.
    `completion` is the estimate that took account of what its upstream holds.
    `load` is that of the upstream when it got the request, where versions are rolled
    out.
    """

    number: int
    upstream: UpstreamInstance
    started_at: float
    last_active_at: float
    copy: MemoryCopy | None
    events: int = 0
    events_before: int = 0
    from_copy: bool = False
    headers: tuple[tuple[str, str], ...] = ()
    probed_at: float | None = None
    is_upstream_busy: bool = False
    is_upstream_silent: bool = False
    reported_at: float = -math.inf
    prompts_ahead: float | None = None
    first_event_at: float | None = None
    is_copy_pending: bool = False
    copy_requested_at: float | None = None
    copied_at: float | None = None
    copy_target: str = ""
    copy_refused_by: set[str] = field(default_factory=set)
    kept_until: float = 0.0
    known_suspicions: dict[str, Suspicion] = field(default_factory=dict)
    is_trial: bool = False
    is_proven: bool = False
    is_connected: bool = False
    is_suspected: bool = False
    is_forward: bool = False
    is_stopping: bool = False
    stop_cause: AttemptCause | None = None
    stop_reason: str = ""
    is_stopped: bool = False
    stops: int = 0
    loss: AttemptFailed | None = None
    forwarded: ForwardedHop | None = None
    completion: Completion | None = None
    load: float = 0.0

    @property
    def has_event(self) -> bool:
        """Whether the attempt has received an event."""
        return self.events > 0


@dataclass(slots=True)
class RelayState:
    """Events delivered of one relayed request, its live attempts and its failures.

    `position` is the id of the last event that the caller holds. `lost_domains` has the
    time at which each failure domain last lost an attempt. `sends` counts the attempts
    that an upstream may have run, those in flight included, and `refusals` those that
    one had no free capacity for. `stalled_upstreams` are those that were left because
    they sent nothing. Since the last event, `rounds_in_a_row` counts how often all
    upstreams were tried in vain, and `failures_in_a_row` the failures that came at
    once. `copy` is that of the last attempt that may have run.
    `version` is that of the upstreams at which the stream goes on, empty until it has
    begun or if there is only one; `is_finding_version`: other instances were asked.
    `is_version_elsewhere`: it began at an upstream of another instance, which knows its
    version. `refused_by` are the instances that did not take the request.
    `last_upstream` is the name of that of the last attempt, empty before any, and
    `list_revision` and `list_age_s` are those of the list that it was picked from.
    `traits` are what the request shares with others that may crash upstreams.
    `now` is the time of the last event. `is_querying_loads`: `queried` candidates were
    queried for their load at `queried_at`, and no attempt runs yet. `shares` has the
    share of the service's streams that are at least as urgent, by urgency; it is empty
    before the reports are known, and where all routes have one urgency. `refused_wait`
    is what a refusal for a long wait was decided by. `is_claiming_trial`: a trial of a
    blocked trait was asked for, and `has_trial`: the next attempt is one.
    `unpaid_failure` is that for which a retry is due at `retry_at` if the budget allows
    it. `is_borrowing`: another instance was asked for a retry. One that it has lent may
    be made until `loan_until`. `own_share` is what was earned here and is offered as a
    part of the payment. `completions` has the estimates for the candidates that
    were queried, and `foreseen` that of the last attempt with an event, which came
    `foreseen_error_s` later. The stream waits for the budget since
    `waits_since`. `draw` is the random number of the first attempt in a roll-out.
    """

    request: RelayedRequest
    routed: RoutedRequest
    shared: RelayShared
    traits: tuple[str, ...] = ()
    now: float = 0.0
    version: str = ""
    is_finding_version: bool = False
    is_borrowing: bool = False
    loan_until: float = -math.inf
    own_share: list[list[float]] = field(default_factory=list)
    waits_since: float | None = None
    is_version_elsewhere: bool = False
    refused_by: set[str] = field(default_factory=set)
    position: int | None = None
    attempts: dict[int, RelayAttempt] = field(default_factory=dict)
    excluded: set[str] = field(default_factory=set)
    lost_domains: dict[str, float] = field(default_factory=dict)
    copy: MemoryCopy | None = None
    last_number: int = 0
    last_upstream: str = ""
    list_revision: int | None = None
    list_age_s: float | None = None
    sends: int = 0
    refusals: int = 0
    stalled_upstreams: list[UpstreamInstance] = field(default_factory=list)
    rounds_in_a_row: int = 0
    failures_in_a_row: int = 0
    has_delivered: bool = False
    may_have_run: bool = False
    was_hedged: bool = False
    is_querying_loads: bool = False
    queried: int = 0
    queried_at: float = 0.0
    shares: dict[int, float] = field(default_factory=dict)
    refused_wait: WaitInputs | None = None
    is_claiming_trial: bool = False
    has_trial: bool = False
    unpaid_failure: AttemptFailed | None = None
    retry_at: float | None = None
    last_message: str = ""
    completions: dict[str, Completion] = field(default_factory=dict)
    foreseen: Completion | None = None
    foreseen_error_s: float = 0.0
    is_over: bool = False
    draw: float | None = None

    # Queries

    @property
    def kind(self) -> RequestKind:
        """The kind of the request, by which it may be repeated or not."""
        return self.routed.route.kind

    def deadline(self) -> float:
        """Return when the request times out for its caller or its route."""
        by_route = self.request.arrived_at + self.routed.route.timeout_s
        return min(self.request.deadline, by_route)

    def upstream_active_at(self, attempt: RelayAttempt) -> float:
        """Return when any stream of the attempt's upstream was last active."""
        any_stream_at = self.shared.stall_detector.last_active_at(attempt.upstream.name)
        return max(attempt.last_active_at, any_stream_at)

    def probe_due_at(self, attempt: RelayAttempt) -> float:
        """Return when the upstream of an attempt is to be probed next.

        An instance to which the request was forwarded probes upstreams itself.
        """
        if attempt.is_forward:
            return math.inf
        probed_at = attempt.probed_at or 0.0
        if attempt.has_event:
            wait_s = RUNNING_PROBE_SHARE * self.routed.route.longest_gap_s
            return max(self.upstream_active_at(attempt), probed_at) + wait_s
        # Events of other streams show that the upstream is alive, not that it has this
        # request.
        return max(attempt.last_active_at, probed_at) + STARTING_PROBE_AFTER_S

    def abandon_at(self, attempt: RelayAttempt) -> float:
        """Return when an attempt is abandoned even if its upstream is reachable."""
        if attempt.is_forward:
            limit_s = FORWARD_STALL_S if attempt.has_event else math.inf
            return attempt.last_active_at + limit_s
        return max(self.stalled_at(attempt), self.gone_at(attempt))

    def is_silent(self, attempt: RelayAttempt) -> bool:
        """Whether an upstream has said nothing at all since it accepted a probe."""
        heard_at = self.upstream_active_at(attempt)
        return attempt.is_upstream_silent and heard_at <= (attempt.probed_at or 0.0)

    def gone_at(self, attempt: RelayAttempt) -> float:
        """Return when a silent upstream is taken for gone; in the past for others."""
        if not self.is_silent(attempt):
            return -math.inf
        heard_at = max(self.upstream_active_at(attempt), attempt.reported_at)
        return heard_at + SILENT_LIMIT_S

    def stalled_at(self, attempt: RelayAttempt) -> float:
        """Return when an attempt at an upstream that answers counts as stalled."""
        if attempt.has_event or attempt.from_copy:
            limit_s = RUNNING_LIMIT_SHARE * self.routed.route.longest_gap_s
            return attempt.last_active_at + max(limit_s, MIN_RUNNING_LIMIT_S)
        target_s = self.routed.route.target_latency_s
        if attempt.is_upstream_busy:
            limit_s = max(BUSY_LIMIT_S, BUSY_LIMIT_SHARE * target_s)
            return attempt.last_active_at + limit_s
        share_s = STARTING_LIMIT_SHARE * target_s
        return attempt.last_active_at + max(MIN_STARTING_LIMIT_S, share_s)

    def stall_check_at(self, attempt: RelayAttempt) -> float:
        """Return when an attempt is to be probed or abandoned if it stays inactive.

        One that is being stopped is not: the outcome of that comes in time.
        """
        if attempt.is_stopping:
            return math.inf
        due_at = min(self.probe_due_at(attempt), self.abandon_at(attempt))
        return max(due_at, attempt.kept_until)

    def counted_sends(self) -> int:
        """Return the sends that count towards the request's `max_attempts`.

        An upstream that sends nothing may still run the request. It no longer counts
        once it is known to have ended.
        """
        is_current = self.shared.selector.is_current
        return self.sends - sum(not is_current(u) for u in self.stalled_upstreams)

    def has_upstream_ended(self, event: AttemptFailed) -> bool:
        """Whether the upstream itself is assumed to have stopped with the attempt.

        Such an attempt does not count towards the request's `max_attempts`. A stream
        breaks with its engine, whereas the answer to a call may be lost on its own.
        """
        return self.kind.is_stream and event.cause is AttemptCause.LOST

    def hedge_due_at(self) -> float | None:
        """Return when an idempotent call is sent to a second upstream, or None."""
        if self.kind is not RequestKind.IDEMPOTENT or self.was_hedged:
            return None
        if len(self.attempts) != 1 or self.sends >= self.routed.route.max_attempts:
            return None
        (attempt,) = self.attempts.values()
        return attempt.started_at + HEDGE_SHARE * self.routed.route.target_latency_s

    def recently_lost_domains(self, now: float) -> set[str]:
        """Return the failure domains that have lost an attempt recently."""
        return {
            domain
            for domain, lost_at in self.lost_domains.items()
            if now - lost_at < LOST_DOMAIN_AVOIDANCE_S
        }

    def pick_request(
        self, excluded: set[str], avoided_domains: set[str], now: float
    ) -> PickRequest:
        """Return the selector's request for the upstream of the next attempt.

        Upstreams that take no request now, by what they have asked for, are excluded.
        """
        service, closed_versions = self.routed.service.name, frozenset[str]()
        if self.kind is RequestKind.RESUMABLE_STREAM and not self.version:
            closed_versions = self.shared.versions.closed_versions(service, now)
        rollouts = self.shared.rollouts
        if rollouts.has_order(service):
            if not self.version:
                upstreams = self.shared.selector.upstreams
                excluded = excluded | rollouts.spared_engines(service, upstreams)
            closed_versions |= self.versions_not_drawn(excluded, closed_versions, now)
        return PickRequest(
            service=service,
            version=self.version,
            closed_versions=closed_versions,
            excluded=frozenset(excluded)
            | self.shared.gate.closed(now)
            | self.open_upstreams(),
            avoided_domains=frozenset(avoided_domains),
        )

    def open_upstreams(self) -> frozenset[str]:
        """Return the upstreams that may still run an attempt that was left."""
        return self.shared.run_ends.open_upstreams(self.request.request_id)

    def versions_not_drawn(
        self, excluded: set[str], closed: frozenset[str], now: float
    ) -> frozenset[str]:
        """Return the versions that a roll-out keeps the next attempt from.

        A stream that has begun goes on at its version. Any attempt but the first goes
        to the version in force as long as that is used. At `closed` versions no stream
        begins now.
        """
        service, shared = self.routed.service.name, self.shared
        if self.version:
            is_ended = shared.rollouts.is_ended(service, self.version)
            return frozenset({self.version} if is_ended else ())
        if self.draw is None:
            self.draw = shared.random.random()
        versions = served_versions(
            shared.selector.upstreams.values(),
            service,
            excluded | shared.gate.closed(now) | shared.selector.replaced.keys(),
            closed,
        )
        draw = self.draw if self.last_number == 0 else 1.0
        return shared.rollouts.closed_versions(
            service, self.routed.route.name, draw, versions, now
        )

    def is_version_closed(self, version: str, now: float) -> bool:
        """Whether a roll-out keeps the next attempt from a version."""
        if not self.shared.rollouts.has_order(self.routed.service.name):
            return False
        return version in self.versions_not_drawn(self.excluded, frozenset(), now)

    def must_record_version(self, upstream: UpstreamInstance, now: float) -> bool:
        """Whether the store must have an upstream's version before an attempt there.

        It need not if the stream has begun, or does not go on after a failure.
        """
        if self.kind is not RequestKind.RESUMABLE_STREAM or self.version:
            return False
        return self.shared.versions.must_record(
            self.request.stream_id, self.routed.service.name, upstream.version, now
        )

    def is_holder_current(self, holder: UpstreamInstance) -> bool:
        """Whether the holder of a copy is live and still the same incarnation."""
        selector = self.shared.selector
        if not selector.is_current(holder) or self.shared.holders.is_lost(holder):
            return False
        return selector.upstreams[holder.name].lifecycle is Lifecycle.LIVE

    def usable_copy(self) -> MemoryCopy | None:
        """Return the copy that an attempt can resume from, or None."""
        copy = self.copy
        if copy is None or copy.holder.name in self.excluded | self.open_upstreams():
            return None
        if self.version and copy.holder.version != self.version:
            return None
        if self.is_version_closed(copy.holder.version, self.now):
            return None
        return copy if self.is_holder_current(copy.holder) else None

    def verdict(self) -> Verdict:
        """Return the verdict on whether any attempt may have run."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    def copy_size(self) -> float:
        """Return the memory that the whole stream needs, in tokens; 0 if unknown."""
        typical = self.shared.typical_sizes.get(self.routed.service.name)
        return self.request.size or (typical.mean if typical else 0.0)

    def prefill_time(self) -> PrefillTime:
        """Return how long a request of this urgency waits for each prompt ahead of it.

        Without samples this is a guess from the route's target, which differs between
        routes, so the guess is not stored.
        """
        target_s = self.routed.route.target_latency_s
        return self.prefill_time_of(self.routed.urgency, target_s)

    def prefill_time_of(self, urgency: int, target_s: float) -> PrefillTime:
        """Return the same for requests of this service and another urgency."""
        known = self.shared.prefill_times.get((self.routed.service.name, urgency))
        return known or initial_prefill_time(target_s)

    def prefill_key(self) -> tuple[str, int]:
        """Return the key of requests that share a prefill time: service and urgency."""
        return self.routed.service.name, self.routed.urgency

    # Commands

    def confirm_incarnation(
        self, report: UpstreamReport, upstream: UpstreamInstance
    ) -> bool:
        """Whether a report is of this incarnation; if not, mark it as replaced.

        A different incarnation at the address means that this one has ended, even if
        the instance list still has it.
        """
        if report.incarnation == upstream.incarnation:
            self.shared.rooms.record_report(upstream.name, report, self.now)
            return True
        self.shared.selector.mark_replaced(upstream)
        return False

    def record_prefill(
        self, first_event_s: float, prompts_ahead: float, now: float
    ) -> None:
        """Record the wait for a first event with so many prompts ahead of it."""
        prefill = self.prefill_time()
        prefill.record_sample(first_event_s, prompts_ahead, now)
        self.shared.prefill_times[self.prefill_key()] = prefill

    def cancel_all(self) -> list[RelayAction]:
        """Cancel every live attempt."""
        actions: list[RelayAction] = []
        for number in list(self.attempts):
            actions.extend(self.cancel(number))
        return actions

    def cancel(self, number: int) -> list[RelayAction]:
        """Cancel one attempt."""
        self.record_unanswered(self.attempts[number])
        self.record_silence(self.attempts[number])
        self.remove_attempt(number)
        return [CancelAttempt(number)]

    def record_silence(self, attempt: RelayAttempt) -> None:
        """Count an attempt that is given up as slow, if its upstream lives."""
        route, idle_s = self.routed.route, self.now - attempt.last_active_at
        if attempt.has_event:
            measure, least_s = PACE, RUNNING_PROBE_SHARE * route.longest_gap_s
        else:
            measure, least_s = FIRST, HEDGE_SHARE * route.target_latency_s
        if attempt.is_connected and not attempt.is_forward and idle_s >= least_s:
            self.shared.rollouts.record_silence(
                attempt.upstream, route.name, measure, attempt.load, idle_s, self.now
            )

    def record_unanswered(self, attempt: RelayAttempt) -> None:
        """Suspect the request of the end of an upstream that has not answered it.

        Nothing shows yet whether the upstream has ended.
        """
        if attempt.is_connected and not attempt.is_forward:
            self.suspect(attempt, self.now, is_stall=True)

    def record_ended_upstreams(self, now: float) -> None:
        """Suspect the request of the ends of upstreams that it still waits for."""
        for attempt in self.attempts.values():
            is_silent = now - attempt.last_active_at >= MIN_SILENCE_S
            if not attempt.is_connected or attempt.is_suspected or not is_silent:
                continue
            if not attempt.is_forward and self.shared.has_crashed(attempt.upstream):
                self.suspect(attempt, now, is_stall=True)

    def suspect(self, attempt: RelayAttempt, now: float, is_stall: bool) -> None:
        """Suspect the request of a possible crash if its answer had just begun."""
        begun_at = attempt.first_event_at
        if begun_at is not None and now - begun_at >= CLEAN_RUN_S:
            return
        attempt.is_suspected = True
        self.shared.crashes.record_loss(
            attempt.upstream,
            self.traits,
            attempt.known_suspicions,
            now,
            attempt.is_trial,
            is_stall,
            attempt.started_at,
        )

    def remove_attempt(self, number: int) -> None:
        """Remove an attempt, so that its upstream no longer counts it as in flight."""
        attempt = self.attempts.pop(number)
        if attempt.forwarded is not None:
            self.shared.forwarded.end(attempt.forwarded)
        if attempt.is_forward:
            return
        record_end(self, attempt, self.now)
        self.shared.selector.attempt_finished(attempt.upstream.name)
        self.shared.rollouts.record_end(attempt.upstream, self.kind.may_repeat)

    def fail(
        self, code: ErrorCode, message: str, retry_after_s: float | None = None
    ) -> list[RelayAction]:
        """End with an error, or break off the stream if events were delivered."""
        actions = self.cancel_all()
        self.is_over = True
        if self.has_delivered:
            return [*actions, BreakStream(message)]
        return [*actions, Fail(code, self.verdict(), message, retry_after_s)]

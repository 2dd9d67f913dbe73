"""What is known of one relayed request, and what all of them decide with."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.holders import HolderChecks
from turmericusher.decisions.patience import Patience
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    BreakStream,
    MemoryCopy,
    RelayAction,
    RelayedRequest,
    UpstreamReport,
)
from turmericusher.decisions.relay_stop import DurationEstimate
from turmericusher.decisions.retries import RetryBudget
from turmericusher.decisions.room import (
    ReadingTime,
    RecentPlacements,
    TypicalSize,
    guessed_reading,
)
from turmericusher.decisions.routing import RequestKind, RoutedRequest
from turmericusher.decisions.selection import PickRequest, Selector
from turmericusher.errors import ErrorCode, Verdict

RUNNING_PROBE_SHARE = 0.3
"""Part of the pause that callers accept after which the upstream of a silent stream is
asked: the answer and a resume from a copy fit into the rest."""

RUNNING_LIMIT_SHARE = 0.8
"""Part of that pause for which a silent stream is waited for on an upstream that still
answers."""

SHORTEST_LIMIT_S = 0.3
"""No stream is given up sooner, however short the pause: a probe must fit before."""

STARTING_PROBE_AFTER_S = 0.6
"""Wait for a first event after which the upstream is probed, and between probes: about
half of what a long prompt takes to read."""

STARTING_SHARE = 0.75
"""Part of the target latency for which a first event is waited for on a reachable
upstream. Long prompts take seconds to read, and giving up wastes what was read but for
what the standby has of it; the rest of the time is what going on from there needs."""

SHORTEST_START_S = 1.0
"""No upstream is given up sooner before its first event, whatever the target."""

HELD_UP_LIMIT_S = 6.0
"""Wait for a first event while the upstream tells that it is at work on the request or
has others before it: elsewhere the prompt would be read from its beginning."""

UNSEEN_EVENTS = 3
"""Events that an upstream has made beyond those that came, above which its answer is
lost: a report is older than any event on its way."""

HEDGE_SHARE = 0.6
"""Part of the target latency after which an idempotent call goes to a second
upstream; the rest is what that one needs to answer in time."""

OWN_PAUSE_S = 0.5
"""A wake-up this late means that this process was paused: the silence was its own."""

WAIT_FOR_UPSTREAM_S = 0.1
"""Seconds between looks for an upstream while a stream has none to go on at."""

SHORTEST_ATTEMPT_S = 0.01
"""No attempt is started with less time than this left of its request."""

LOST_DOMAIN_S = 3.0
"""Time for which a failure domain is avoided after it lost an attempt: about what
engines that crashed together take to come back."""

LOSS_CAUSES = frozenset(
    {
        AttemptCause.UNREACHABLE,
        AttemptCause.LOST,
        AttemptCause.SILENT,
        AttemptCause.MALFORMED,
        AttemptCause.FAILED,
    }
)
"""Ends of an attempt after which others should avoid the upstream for a while."""


@dataclass(slots=True)
class RelayTotals:
    """Counts over all relayed requests, by what happened."""

    attempts: int = 0
    repeats: int = 0
    resumes: int = 0
    copies_used: int = 0
    copies_renewed: int = 0
    hedges: int = 0
    probes: int = 0
    load_questions: int = 0
    late_refusals: int = 0


@dataclass(slots=True)
class RelayShared:
    """What all relayed requests of an instance decide with.

    `readings` holds the time to read one prompt, by service and urgency: engines take
    the urgent ones first, so the others wait longer. `budgets` holds the retries that
    each service still allows; `budget_ratio` and `budget_reserve` make the budget of a
    service seen for the first time. `durations` tells how long streams last behind
    their first event, `sizes` the typical request of each service, and `holders` which
    copies of streams are lost.
    """

    selector: Selector
    random: random.Random
    patience: Patience = field(default_factory=Patience)
    placements: RecentPlacements = field(default_factory=RecentPlacements)
    readings: dict[tuple[str, int], ReadingTime] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    budget_ratio: float = 0.2
    budget_reserve: float = 10.0
    totals: RelayTotals = field(default_factory=RelayTotals)
    durations: DurationEstimate = field(default_factory=DurationEstimate)
    holders: HolderChecks = field(default_factory=HolderChecks)
    sizes: dict[str, TypicalSize] = field(default_factory=dict)

    def budget_of(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            reserve = self.budget_reserve
            budget = RetryBudget(self.budget_ratio, reserve, reserve)
            self.budgets[service] = budget
        return budget

    def typical_size(self, service: str) -> TypicalSize:
        """Return the size of the requests of a service."""
        return self.sizes.setdefault(service, TypicalSize())

    def set_budgets(self, ratio: float, reserve: float) -> None:
        """Change what every budget allows, as when the fleet grows or shrinks."""
        self.budget_ratio, self.budget_reserve = ratio, reserve
        for budget in self.budgets.values():
            budget.ratio, budget.reserve = ratio, reserve
            budget.balance = min(budget.balance, reserve)


@dataclass(slots=True)
class RelayAttempt:
    """One sending of the request; times are monotonic seconds.

    `is_held_up`: its upstream has told that it is at work on the request, or that
    requests wait there. `prompts_before` counts those that the upstream had to read
    first, None where that is not known. `copy` is kept up by the upstream itself,
    unless `copied_at` tells when it was made on request.
    """

    number: int
    upstream: UpstreamInstance
    started_at: float
    heard_at: float
    copy: MemoryCopy | None
    events: int = 0
    from_copy: bool = False
    headers: tuple[tuple[str, str], ...] = ()
    probed_at: float | None = None
    is_held_up: bool = False
    prompts_before: int | None = None
    first_event_at: float | None = None
    is_copying: bool = False
    copy_asked_at: float | None = None
    copied_at: float | None = None

    @property
    def has_event(self) -> bool:
        """Whether the attempt has brought an event."""
        return self.events > 0


@dataclass(slots=True)
class RelayState:
    """One relayed request: what was delivered, what runs and what failed.

    `position` is the id of the last event that the caller holds. `lost_domains` gives
    the time at which a failure domain last lost an attempt. `sends` counts the attempts
    that an upstream may have run, those in flight included, and `refusals` those that
    one had no room for. `copy` is of the last attempt that may have run.
    `is_asking`: candidates were asked for their load, and no attempt runs yet.
    """

    request: RelayedRequest
    routed: RoutedRequest
    shared: RelayShared
    position: int | None = None
    attempts: dict[int, RelayAttempt] = field(default_factory=dict)
    excluded: set[str] = field(default_factory=set)
    lost_domains: dict[str, float] = field(default_factory=dict)
    copy: MemoryCopy | None = None
    numbers: int = 0
    sends: int = 0
    refusals: int = 0
    has_delivered: bool = False
    may_have_run: bool = False
    was_hedged: bool = False
    is_asking: bool = False
    retry_at: float | None = None
    last_message: str = ""
    is_over: bool = False

    # Queries.

    @property
    def kind(self) -> RequestKind:
        """What may be done with the request."""
        return self.routed.route.kind

    def deadline(self) -> float:
        """Return when the caller or the route gives up, whichever is first."""
        by_route = self.request.arrived_at + self.routed.route.timeout_s
        return min(self.request.deadline, by_route)

    def silent_since(self, attempt: RelayAttempt) -> float:
        """Return when the attempt's upstream last showed that it works.

        Any stream of the upstream counts.
        """
        heard_at = self.shared.patience.heard_at(attempt.upstream.name)
        return max(attempt.heard_at, heard_at)

    def probe_due_at(self, attempt: RelayAttempt) -> float:
        """Return when the upstream of a silent attempt is probed next."""
        probed_at = attempt.probed_at or 0.0
        if attempt.has_event:
            wait_s = RUNNING_PROBE_SHARE * self.routed.route.longest_gap_s
            return max(self.silent_since(attempt), probed_at) + wait_s
        # Events of others show that the upstream lives, not that it knows this request.
        return max(attempt.heard_at, probed_at) + STARTING_PROBE_AFTER_S

    def given_up_at(self, attempt: RelayAttempt) -> float:
        """Return when an attempt is given up though its upstream is reachable."""
        if attempt.has_event or attempt.from_copy:
            limit_s = RUNNING_LIMIT_SHARE * self.routed.route.longest_gap_s
            return attempt.heard_at + max(limit_s, SHORTEST_LIMIT_S)
        if attempt.is_held_up:
            return attempt.heard_at + HELD_UP_LIMIT_S
        share_s = STARTING_SHARE * self.routed.route.target_latency_s
        return attempt.heard_at + max(SHORTEST_START_S, share_s)

    def hedge_due_at(self) -> float | None:
        """Return when an idempotent call goes to a second upstream, if it still may."""
        if self.kind is not RequestKind.IDEMPOTENT or self.was_hedged:
            return None
        if len(self.attempts) != 1 or self.sends >= self.routed.route.max_attempts:
            return None
        (attempt,) = self.attempts.values()
        return attempt.started_at + HEDGE_SHARE * self.routed.route.target_latency_s

    def recently_lost(self, now: float) -> set[str]:
        """Return the failure domains that have just lost an attempt."""
        return {
            domain
            for domain, lost_at in self.lost_domains.items()
            if now - lost_at < LOST_DOMAIN_S
        }

    def pick_request(self, excluded: set[str], domains: set[str]) -> PickRequest:
        """Return what the next attempt needs of its upstream."""
        return PickRequest(
            service=self.routed.service.name,
            excluded=frozenset(excluded),
            avoided_domains=frozenset(domains),
        )

    def is_there(self, holder: UpstreamInstance) -> bool:
        """Whether the holder of a copy is still the one that got it."""
        selector = self.shared.selector
        listed = selector.upstreams.get(holder.name)
        if listed is None or listed.incarnation != holder.incarnation:
            return False
        if holder.name in selector.replaced or self.shared.holders.is_lost(holder):
            return False
        return listed.lifecycle is Lifecycle.LIVE

    def usable_copy(self) -> MemoryCopy | None:
        """Return the copy that an attempt can go on from, or None."""
        copy = self.copy
        if copy is None or copy.holder.name in self.excluded:
            return None
        return copy if self.is_there(copy.holder) else None

    def verdict(self) -> Verdict:
        """Return whether any attempt may have run."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    def reading(self) -> ReadingTime:
        """Return how long a request of this urgency waits for each prompt before it.

        Routes differ in their targets, so a guess is made anew for each request.
        """
        known = self.shared.readings.get(self.reading_key())
        return known or guessed_reading(self.routed.route.target_latency_s)

    def reading_key(self) -> tuple[str, int]:
        """Return what requests share their reading time: service and urgency."""
        return self.routed.service.name, self.routed.urgency

    # Commands.

    def confirm_life(self, report: UpstreamReport, upstream: UpstreamInstance) -> bool:
        """Return whether a report is of that life of an upstream; note where it is not.

        Another life at the address ends this one, whatever the list says.
        """
        if report.incarnation == upstream.incarnation:
            return True
        self.shared.selector.note_replaced(upstream)
        return False

    def learn_reading(self, first_event_s: float, before: int, now: float) -> None:
        """Note how long a first event took behind so many prompts."""
        reading = self.reading()
        reading.learn(first_event_s, before, now)
        self.shared.readings[self.reading_key()] = reading

    def cancel_all(self) -> list[RelayAction]:
        """Cancel every attempt that still runs."""
        actions: list[RelayAction] = []
        for number in list(self.attempts):
            actions.extend(self.cancel(number))
        return actions

    def cancel(self, number: int) -> list[RelayAction]:
        """Cancel one attempt."""
        self.forget(number)
        return [CancelAttempt(number)]

    def forget(self, number: int) -> None:
        """Take out an attempt that has ended, and free its place."""
        attempt = self.attempts.pop(number)
        self.shared.selector.finished(attempt.upstream.name)

    def fail(
        self, code: ErrorCode, message: str, retry_after_s: float | None = None
    ) -> list[RelayAction]:
        """End without a whole answer: refuse it, or break off what was begun."""
        actions = self.cancel_all()
        self.is_over = True
        if self.has_delivered:
            return [*actions, BreakStream(message)]
        return [*actions, Fail(code, self.verdict(), message, retry_after_s)]

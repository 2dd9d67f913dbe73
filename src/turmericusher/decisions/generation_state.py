"""State of one generation, and the bookkeeping of its attempts."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field, fields

from turmericusher.decisions.attempts import Attempt, Release
from turmericusher.decisions.extra_work import (
    SECOND_ATTEMPT_TOKENS,
    ExtraWorkBudget,
    ResumeLimiter,
)
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation_messages import (
    AttemptDied,
    CancelAttempt,
    ChunkArrived,
    FailureScope,
    GenerationAction,
    GenerationEvent,
    StartAttempt,
)
from turmericusher.decisions.patience import StallDetector
from turmericusher.decisions.placement import confirm_stalled_deaths, place_attempt
from turmericusher.decisions.placing.selection import PickRequest, Selector
from turmericusher.decisions.requests import GenerationRequest, Usage
from turmericusher.decisions.suspicion import DeathKey, SuspicionLedger

INITIAL_BACKOFF_S = 0.02
"""First pause in seconds while no upstream takes the request; doubled each time."""

LOSS_COOLDOWN_S = 2.0
"""Seconds for which a generation avoids an upstream that was lost or overdue."""

REFUSAL_COOLDOWN_S = 0.25
"""The same after a refusal without Retry-After; doubled with each refusal in a row."""

MAX_COOLDOWN_DOUBLINGS = 4

MIN_RESUME_WAIT_S = 30.0
"""Minimum wait in seconds for the next token of an answer that has begun."""

PREFIX_CHARACTERS = 1024
"""Leading characters of a prompt by which requests share a prefix cache entry."""

PREFIX_HASH_BYTES = 16


@dataclass(slots=True)
class GenerationCounts:
    """Counters of one generation, or their sums over all that have ended.

    `dropped_pieces` and `dropped_tokens` came from attempts that were no longer live or
    had been overtaken; `lost_tokens` were held back when their attempt ended.
    """

    attempts: int = 0
    deaths: int = 0
    second_attempts: int = 0
    dropped_pieces: int = 0
    dropped_tokens: int = 0
    lost_tokens: int = 0

    def add(self, other: GenerationCounts) -> None:
        """Add the counters of another generation to these."""
        for entry in fields(GenerationCounts):
            total = getattr(self, entry.name) + getattr(other, entry.name)
            setattr(self, entry.name, total)


@dataclass(slots=True)
class SharedState:
    """State that all generations of an instance share."""

    selector: Selector
    stall_detector: StallDetector
    suspicion: SuspicionLedger
    extra_work: ExtraWorkBudget
    resumes: ResumeLimiter
    random: random.Random
    totals: GenerationCounts = field(default_factory=GenerationCounts)


@dataclass(slots=True)
class GenerationState:
    """The answer so far of one generation, its live attempts and its failures.

    `delivered` holds all tokens of the answer that the caller has. `cooldowns` gives
    the time until which an upstream is not tried again. `runs` counts the attempts
    that an engine may have run, `consecutive_refusals` those in a row that no engine
    accepted. `has_untracked_text`: text without token ids was delivered, so the answer
    cannot be resumed. Times are monotonic seconds.
    """

    request: GenerationRequest
    shared: SharedState
    started_at: float
    delivered: list[int] = field(default_factory=list)
    prompt_token_ids: tuple[int, ...] | None = None
    version: str = ""
    attempts: dict[int, Attempt] = field(default_factory=dict)
    cooldowns: dict[str, float] = field(default_factory=dict)
    lost_domains: set[str] = field(default_factory=set)
    counts: GenerationCounts = field(default_factory=GenerationCounts)
    last_progress_at: float = 0.0
    retry_at: float | None = None
    backoff_s: float = INITIAL_BACKOFF_S
    has_delivered: bool = False
    has_untracked_text: bool = False
    may_have_run: bool = False
    runs: int = 0
    consecutive_refusals: int = 0
    last_message: str = ""
    is_over: bool = False

    # Queries

    def is_resume(self) -> bool:
        """Whether an attempt started now would continue a partial answer."""
        return bool(self.delivered)

    def can_resume(self) -> bool:
        """Whether the tokens of the prompt and of the answer so far are known."""
        return self.prompt_token_ids is not None and not self.has_untracked_text

    def remaining_tokens(self) -> int | None:
        """Return how many tokens may still be generated, or None without a limit."""
        if self.request.max_tokens is None:
            return None
        return max(0, self.request.max_tokens - len(self.delivered))

    def usage(self) -> Usage:
        """Return the token counts that an uninterrupted answer would report."""
        return Usage(
            prompt_tokens=len(self.prompt_token_ids or ()),
            completion_tokens=len(self.delivered),
        )

    def deadline(self) -> float:
        """Return the time at which the wait for the next token ends."""
        profile = self.request.profile
        max_wait_s = profile.max_wait_s
        if self.delivered and profile.idempotent:
            max_wait_s = max(max_wait_s, MIN_RESUME_WAIT_S)
        return self.last_progress_at + max_wait_s

    def stall_deadlines(self, attempt: Attempt) -> list[float]:
        """Return the times at which an attempt will become suspected and overdue."""
        times = []
        if not attempt.is_suspected:
            times.append(attempt.last_active_at + self.suspect_after_s(attempt))
        if not attempt.is_overdue:
            times.append(attempt.last_active_at + self.overdue_after_s(attempt))
        return times

    def suspect_after_s(self, attempt: Attempt) -> float:
        """Return the seconds without a chunk after which an attempt is suspected.

        This adapts to what is usual for the upstream.
        """
        detector, profile = self.shared.stall_detector, self.request.profile
        if attempt.has_chunk:
            return detector.stall_timeout_s(attempt.upstream.name, profile)
        return detector.first_chunk_timeout_s(attempt.upstream.name, profile)

    def overdue_after_s(self, attempt: Attempt) -> float:
        """Return the seconds without a chunk after which an attempt is overdue.

        An overdue attempt is replaced whatever the profile says on second attempts.
        """
        detector, profile = self.shared.stall_detector, self.request.profile
        if attempt.has_chunk:
            return profile.stall_cap_s
        return detector.first_chunk_overdue_s(attempt.upstream.name, profile)

    def can_start_concurrent_attempt(self) -> bool:
        """Whether another attempt may start while one is still live."""
        if self.runs >= self.request.profile.max_attempts:
            return False
        if not self.is_resume():
            return True
        return self.can_resume() and self.shared.resumes.has_free_slot()

    def is_refused(self, now: float) -> bool:
        """Whether the request is refused because too many upstreams crashed on it."""
        return self.shared.suspicion.is_refused(self.request.fingerprint, now)

    def is_at_crash_limit(self, now: float) -> bool:
        """Whether one more upstream at risk could exceed the request's crash limit."""
        return self.shared.suspicion.is_at_crash_limit(self.request.fingerprint, now)

    # Commands

    def record_chunk_timing(self, attempt: Attempt, chunk: ChunkArrived) -> None:
        """Record the time that a chunk took, and that its upstream is alive."""
        shared, upstream = self.shared, attempt.upstream
        idle_s = max(0.0, chunk.at - attempt.last_active_at)
        if attempt.has_chunk:
            shared.stall_detector.record_gap(upstream.name, idle_s)
        elif chunk.token_ids:
            shared.stall_detector.record_first_chunk(upstream.name, idle_s)
        shared.stall_detector.record_activity(upstream.name, chunk.at)
        if attempt.is_overdue:
            shared.selector.succeeded(upstream.name)
        key = DeathKey(upstream.name, upstream.incarnation)
        if key in shared.suspicion.deaths:
            shared.suspicion.clear_if_alive(key, attempt.started_at, chunk.at)
        if not attempt.has_chunk and chunk.token_ids:
            self.release_resume_slot(attempt)

    def append_to_answer(self, attempt: Attempt, release: Release, now: float) -> None:
        """Append the released tokens to the answer and reset the backoff."""
        self.delivered.extend(release.token_ids)
        self.prompt_token_ids = self.prompt_token_ids or attempt.prompt_token_ids
        self.version = self.version or attempt.version
        self.has_untracked_text |= bool(release.text and not release.token_ids)
        self.has_delivered = True
        self.backoff_s = INITIAL_BACKOFF_S
        self.consecutive_refusals = 0
        self.last_progress_at = now
        self.shared.extra_work.earn(len(release.token_ids), self.request.profile)

    def cool_down(
        self, upstream: UpstreamInstance, death: AttemptDied, now: float
    ) -> None:
        """Avoid an upstream for a while; after a loss, its failure domain as well."""
        default_s = REFUSAL_COOLDOWN_S * 2 ** min(
            self.consecutive_refusals, MAX_COOLDOWN_DOUBLINGS
        )
        if death.scope is FailureScope.UPSTREAM:
            default_s = LOSS_COOLDOWN_S
            self.lost_domains.add(upstream.failure_domain)
        cooldown_s = default_s if death.retry_after_s is None else death.retry_after_s
        self.cooldowns[upstream.name] = now + cooldown_s
        if death.scope is FailureScope.UPSTREAM:
            self.shared.selector.failed(upstream.name)

    def report_crash(self, attempt: Attempt, now: float, is_stall: bool) -> None:
        """Record a crash report for the attempt's upstream against this request."""
        upstream = attempt.upstream
        domain_size = sum(
            other.failure_domain == upstream.failure_domain
            and other.service == upstream.service
            for other in self.shared.selector.upstreams.values()
        )
        self.shared.suspicion.report_crash(
            self.request.fingerprint, upstream, domain_size, now, is_stall
        )

    def pick_upstream(self, now: float) -> UpstreamInstance | None:
        """Return the upstream for the next attempt, or None if none is usable."""
        self.shared.selector.advance_clock(now)
        confirm_stalled_deaths(
            self.shared.selector, self.shared.suspicion, self.request.fingerprint
        )
        running = {a.upstream.name for a in self.attempts.values()}
        own = frozenset(running | upstreams_cooling_down(self.cooldowns, now))
        stalled = {a.upstream.failure_domain for a in self.attempts.values()}
        wanted = PickRequest(
            service=self.request.service,
            model=self.request.model,
            version=self.version,
            excluded=own,
            avoided_domains=frozenset(self.lost_domains | stalled),
            prefix=prompt_prefix_hash(self.request),
            is_resume=self.is_resume(),
        )
        shared, fingerprint = self.shared, self.request.fingerprint
        return place_attempt(
            shared.selector, shared.suspicion, wanted, fingerprint, now
        )

    def start_attempt(
        self, upstream: UpstreamInstance, now: float
    ) -> list[GenerationAction]:
        """Start an attempt on an upstream; a resume sends all tokens so far."""
        self.runs += 1
        self.counts.attempts += 1
        number = self.counts.attempts
        attempt = Attempt(number, upstream, len(self.delivered), now, now)
        attempt.prompt_token_ids = self.prompt_token_ids
        self.attempts[number] = attempt
        self.retry_at = None
        self.shared.selector.attempt_started(
            upstream.name, prompt_prefix_hash(self.request)
        )
        self.shared.suspicion.record_start(self.request.fingerprint, upstream.name, now)
        prompt = None
        if self.is_resume():
            attempt.holds_resume_slot = True
            self.shared.resumes.acquire()
            prompt = (*(self.prompt_token_ids or ()), *self.delivered)
        return [StartAttempt(number, upstream, prompt, self.remaining_tokens())]

    def release_resume_slot(self, attempt: Attempt) -> None:
        """Free the resume slot that an attempt holds, if any."""
        if attempt.holds_resume_slot:
            attempt.holds_resume_slot = False
            self.shared.resumes.free()

    def remove_attempt(self, attempt: Attempt, has_run: bool) -> None:
        """Remove an attempt and free its resources; its held tokens are lost."""
        del self.attempts[attempt.number]
        self.may_have_run |= has_run
        self.runs -= not has_run
        self.counts.lost_tokens += sum(len(s.token_ids) for s in attempt.held)
        self.release_resume_slot(attempt)
        self.shared.selector.attempt_finished(attempt.upstream.name)
        self.shared.suspicion.record_end(
            self.request.fingerprint, attempt.upstream.name
        )

    def cancel(
        self, attempt: Attempt, now: float, may_work_on: bool = True
    ) -> list[GenerationAction]:
        """Cancel a live attempt; if it was suspected, record its idle time as a gap."""
        self.remove_attempt(attempt, has_run=True)
        if attempt.is_second:
            excess_tokens = attempt.token_count - SECOND_ATTEMPT_TOKENS
            self.shared.extra_work.spend(max(0.0, excess_tokens))
        idle_s = max(0.0, now - attempt.last_active_at)
        if attempt.has_chunk and attempt.is_suspected:
            self.shared.stall_detector.record_gap(attempt.upstream.name, idle_s)
        elif attempt.is_suspected:
            self.shared.stall_detector.record_first_chunk(attempt.upstream.name, idle_s)
        return [CancelAttempt(attempt.number, may_work_on)]

    def cancel_all(self, now: float) -> list[GenerationAction]:
        """Cancel every live attempt."""
        actions: list[GenerationAction] = []
        for attempt in list(self.attempts.values()):
            actions += self.cancel(attempt, now)
        return actions

    def count_dropped(self, event: GenerationEvent) -> None:
        """Count the tokens of an event that are not delivered."""
        if isinstance(event, ChunkArrived):
            self.counts.dropped_pieces += 1
            self.counts.dropped_tokens += len(event.token_ids)


def upstreams_cooling_down(cooldowns: dict[str, float], now: float) -> set[str]:
    """Return the upstreams whose cooldown has not ended."""
    return {name for name, until in cooldowns.items() if until > now}


def prompt_prefix_hash(request: GenerationRequest) -> bytes:
    """Return a hash of the prompt's beginning, the key of the prefix directory."""
    prompt = request.prompt or repr(request.prompt_token_ids or request.messages)
    beginning = prompt[:PREFIX_CHARACTERS].encode()
    return hashlib.blake2b(beginning, digest_size=PREFIX_HASH_BYTES).digest()

"""State machine of one generation: which tokens are delivered, when to try again.

Attempts are numbered. Each starts at an offset of the answer, after the tokens that
were already delivered, and its tokens are delivered only as long as no other attempt
has delivered tokens at the same offset. The first attempt to bring the next token wins
and the others are cancelled. Each token of an answer was therefore computed from
exactly the tokens before it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from turmericusher.decisions.attempts import Attempt, Release, release_held
from turmericusher.decisions.extra_work import SECOND_ATTEMPT_TOKENS
from turmericusher.decisions.generation_messages import (
    AttemptDied,
    CancelAttempt,
    ChunkArrived,
    Deliver,
    Fail,
    FailureScope,
    GenerationAction,
    GenerationEvent,
    death_from_chunk,
)
from turmericusher.decisions.generation_state import (
    LOSS_COOLDOWN_S,
    GenerationState,
    SharedState,
)
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest
from turmericusher.errors import ErrorCode, Verdict
from turmericusher.profiles import SecondAttempt

MAX_BACKOFF_S = 0.5
"""Upper bound in seconds of the pause between attempts to find an upstream."""

RESUME_SLOT_RETRY_S = 0.02
"""Seconds until the next check for a free resume slot."""

RETRY_AFTER_S = 1.0
"""Default Retry-After in seconds of a failed request."""

STALL_RETRY_S = 0.1
"""Seconds between checks while stalled attempts cannot be replaced."""

PROCESS_PAUSE_S = 0.5
"""A tick this many seconds late means that this process itself was paused."""

MAX_LIVE_ATTEMPTS = 2
"""Attempts of one generation that may run at the same time."""

BACKOFF_AFTER_REFUSALS = 3
"""Refusals in a row from which on the next attempt waits for a backoff."""

ABORT_FINISH_REASONS = frozenset({"abort", "aborted", "cancelled", "error"})
"""Finish reasons by which an engine reports an answer that it did not complete."""


@dataclass(slots=True)
class Generation(GenerationState):
    """Decides on one generation; each event and each tick returns the actions to take.

    All times are in monotonic seconds.
    """

    # Events

    def start(self, now: float) -> list[GenerationAction]:
        """Start the first attempt, or fail if the profile does not allow a resume."""
        self.last_progress_at = self.started_at
        if self.request.received is not None and not self.request.profile.idempotent:
            return self.fail(
                ErrorCode.UPSTREAM_FAILED,
                "the answer cannot go on elsewhere because "
                f"profile={self.request.profile.name!r} is not idempotent",
                now,
            )
        return self.start_next(now)

    def handle(self, event: GenerationEvent, now: float) -> list[GenerationAction]:
        """Return the actions for an event; drop it if its attempt is not live."""
        attempt = self.attempts.get(event.attempt)
        if self.is_over or attempt is None:
            self.count_dropped(event)
            return []
        return handle_event(event, self, attempt, now)

    def tick(self, now: float) -> list[GenerationAction]:
        """Return the actions that are due by now: retries, stalls and the deadline."""
        if self.is_over:
            return []
        if now - self.wake_at() > PROCESS_PAUSE_S:
            return self.discount_process_pause(now)
        if now >= self.deadline():
            return self.fail_on_timeout(now)
        if self.retry_at is not None and now >= self.retry_at:
            self.retry_at = None
        if self.attempts:
            return self.handle_stalls(now)
        return self.start_next(now) if self.retry_at is None else []

    def discount_process_pause(self, now: float) -> list[GenerationAction]:
        """Leave a pause of this process out of all stall times and the deadline.

        What the engines sent meanwhile waits in the sockets and is read next.
        """
        pause_s = now - self.wake_at()
        self.last_progress_at += pause_s
        for attempt in self.attempts.values():
            attempt.last_active_at = max(attempt.last_active_at, now)
        self.retry_at = now + STALL_RETRY_S
        return []

    def wake_at(self) -> float:
        """Return the time at which `tick` must run next."""
        times = [self.deadline()]
        if self.retry_at is not None:
            times.append(self.retry_at)
        if self.request.profile.idempotent:
            for attempt in self.attempts.values():
                times.extend(self.stall_deadlines(attempt))
        return min(times)

    def close(self, now: float) -> list[GenerationAction]:
        """End the generation and cancel its attempts: the caller is done or gone.

        A close ends what works on at an engine whose stream is not in doubt.
        """
        self.is_over = True
        actions: list[GenerationAction] = []
        for attempt in list(self.attempts.values()):
            actions += self.cancel(attempt, now, may_work_on=attempt.is_suspected)
        return actions

    # Chunks

    def handle_chunk(
        self, event: ChunkArrived, attempt: Attempt, now: float
    ) -> list[GenerationAction]:
        """Add a chunk to its attempt and deliver the output that is now complete.

        An attempt whose engine aborted, or whose model version differs from that of
        the answer so far, counts as dead. An attempt that another one has overtaken is
        cancelled.
        """
        if event.finish_reason in ABORT_FINISH_REASONS or self.has_version_mismatch(
            event
        ):
            self.count_dropped(event)
            return self.handle_attempt_death(attempt, death_from_chunk(event), now)
        self.record_chunk_timing(attempt, event)
        attempt.add_chunk(event)
        if attempt.next_offset != len(self.delivered):
            self.count_dropped(event)
            return self.cancel(attempt, now)
        release = release_held(attempt, self.request.stop, event.finish_reason)
        if release is None:
            return []
        return self.deliver(attempt, release, now)

    def has_version_mismatch(self, chunk: ChunkArrived) -> bool:
        """Whether a chunk has another model version than the answer so far."""
        return bool(chunk.version and self.version and chunk.version != self.version)

    def deliver(
        self, attempt: Attempt, release: Release, now: float
    ) -> list[GenerationAction]:
        """Deliver an attempt's released output and cancel all other attempts.

        With a finish reason, also end the generation.
        """
        actions: list[GenerationAction] = []
        for other in list(self.attempts.values()):
            if other is not attempt:
                actions += self.cancel(other, now)
        is_first = not self.has_delivered
        self.append_to_answer(attempt, release, now)
        finish = release.finish_reason
        chunk = AnswerChunk(
            token_ids=release.token_ids,
            text=release.text,
            finish_reason=finish,
            prompt_token_ids=self.prompt_token_ids if is_first else None,
            version=self.version if is_first else "",
            usage=self.usage() if finish else None,
        )
        actions.append(Deliver(chunk))
        if finish:
            self.shared.selector.succeeded(attempt.upstream.name)
            self.shared.suspicion.record_success(self.request.fingerprint)
            actions += self.close(now)
        return actions

    # Deaths of attempts

    def handle_attempt_death(
        self, attempt: Attempt, death: AttemptDied, now: float
    ) -> list[GenerationAction]:
        """Close a dead attempt and retry, or fail if the request must not run again."""
        # The stream of one that ended by a chunk is still open.
        has_run = death.verdict is not Verdict.NOT_RUN or attempt.has_chunk
        closed = CancelAttempt(attempt.number, may_work_on=has_run)
        return [closed, *self.go_on_after_death(attempt, death, now)]

    def go_on_after_death(
        self, attempt: Attempt, death: AttemptDied, now: float
    ) -> list[GenerationAction]:
        """Record a death and return what follows.

        While another attempt is still live, only that one is checked for a stall.
        """
        self.counts.deaths += 1
        self.last_message = death.message
        has_run = death.verdict is not Verdict.NOT_RUN or attempt.has_chunk
        self.remove_attempt(attempt, has_run)
        self.cool_down(attempt.upstream, death, now)
        if death.scope is FailureScope.UPSTREAM and has_run:
            self.report_crash(attempt, now, is_stall=False)
        if self.attempts:
            return self.handle_stalls(now)
        if death.scope is FailureScope.REQUEST:
            return self.fail(ErrorCode.UPSTREAM_REJECTED, death.message, now)
        if self.may_have_run and not self.request.profile.idempotent:
            return self.fail(ErrorCode.UPSTREAM_FAILED, death.message, now)
        if not has_run:
            return self.retry_after_refusal(now)
        return self.start_next(now)

    def retry_after_refusal(self, now: float) -> list[GenerationAction]:
        """Try another upstream after a refusal, with a backoff from the third on.

        Trying all upstreams at once would add load while they may be overloaded.
        """
        self.consecutive_refusals += 1
        if self.consecutive_refusals < BACKOFF_AFTER_REFUSALS:
            return self.start_next(now)
        return self.back_off(now)

    # Attempts

    def start_next(self, now: float) -> list[GenerationAction]:
        """Start the next attempt, wait until one can start, or fail."""
        max_attempts = self.request.profile.max_attempts
        if self.remaining_tokens() == 0:
            return self.finish_at_length()
        if self.delivered and not self.can_resume():
            return self.fail(
                ErrorCode.ANSWER_INTERRUPTED,
                f"the engine gave no token ids to resume from ({self.last_message})",
                now,
            )
        if self.is_refused(now):
            return self.refuse_crashing_request(now)
        if self.runs >= max_attempts:
            return self.fail(
                ErrorCode.UPSTREAM_FAILED,
                f"max_attempts={max_attempts!r} attempts failed, the last "
                f"with: {self.last_message}",
                now,
            )
        if self.is_resume() and not self.shared.resumes.has_free_slot():
            return self.schedule_retry(RESUME_SLOT_RETRY_S, now)
        upstream = self.pick_upstream(now)
        if upstream is None:
            return self.back_off(now)
        return self.start_attempt(upstream, now)

    # Time

    def handle_stalls(self, now: float) -> list[GenerationAction]:
        """Start another attempt if all live attempts have stalled.

        A suspected stall gets one if the profile asks for early second attempts; an
        overdue one always does.
        """
        if not self.request.profile.idempotent:
            return []
        for attempt in self.attempts.values():
            self.check_stall(attempt, now)
        live = list(self.attempts.values())
        is_overdue = all(attempt.is_overdue for attempt in live)
        is_early = self.request.profile.second_attempt is SecondAttempt.EARLY
        is_suspected = len(live) < MAX_LIVE_ATTEMPTS and live[0].is_suspected
        if self.remaining_tokens() == 0 and (is_overdue or (is_early and is_suspected)):
            return [*self.cancel_all(now), *self.finish_at_length()]
        if is_overdue:
            return self.replace_overdue(live, now)
        if is_early and is_suspected:
            return self.start_second_attempt(now)
        return []

    def check_stall(self, attempt: Attempt, now: float) -> None:
        """Mark an attempt as suspected or overdue by the time since its last chunk.

        An overdue attempt is reported as a possible crash only if no other stream of
        its upstream was active since.
        """
        if now >= attempt.last_active_at + self.suspect_after_s(attempt):
            attempt.is_suspected = True
        if attempt.is_overdue or now < attempt.last_active_at + self.overdue_after_s(
            attempt
        ):
            return
        attempt.is_suspected = True
        attempt.is_overdue = True
        upstream_active_at = self.shared.stall_detector.last_active_at(
            attempt.upstream.name
        )
        if upstream_active_at <= attempt.last_active_at:
            self.shared.selector.failed(attempt.upstream.name)
            self.report_crash(attempt, now, is_stall=True)

    def replace_overdue(
        self, live: Sequence[Attempt], now: float
    ) -> list[GenerationAction]:
        """Start another attempt while all live ones are overdue.

        The oldest one is cancelled first if no more may run at the same time.
        """
        if self.is_refused(now):
            return self.refuse_crashing_request(now)
        if not self.can_start_concurrent_attempt():
            return self.recheck_later(now)
        actions: list[GenerationAction] = []
        if len(live) >= MAX_LIVE_ATTEMPTS or self.is_at_crash_limit(now):
            self.cooldowns[live[0].upstream.name] = now + LOSS_COOLDOWN_S
            actions += self.cancel(live[0], now)
        upstream = self.pick_upstream(now)
        if upstream is not None:
            return actions + self.start_attempt(upstream, now)
        return actions + (
            self.recheck_later(now) if self.attempts else self.back_off(now)
        )

    def recheck_later(self, now: float) -> list[GenerationAction]:
        """Schedule another check: nothing can start beside the stalled attempts now."""
        self.retry_at = now + STALL_RETRY_S
        return []

    def start_second_attempt(self, now: float) -> list[GenerationAction]:
        """Start a second attempt for a suspected stall if the budget allows it."""
        is_allowed = self.shared.extra_work.can_start_second_attempt()
        upstream = (
            self.pick_upstream(now)
            if is_allowed and self.can_start_concurrent_attempt()
            else None
        )
        if upstream is None:
            return self.recheck_later(now)
        self.counts.second_attempts += 1
        self.shared.extra_work.spend(SECOND_ATTEMPT_TOKENS)
        actions = self.start_attempt(upstream, now)
        self.attempts[self.counts.attempts].is_second = True
        return actions

    def back_off(self, now: float) -> list[GenerationAction]:
        """Wait for an upstream, with exponential backoff and jitter."""
        pause_s = self.backoff_s * self.shared.random.uniform(0.5, 1.0)
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)
        return self.schedule_retry(pause_s, now)

    def schedule_retry(self, pause_s: float, now: float) -> list[GenerationAction]:
        """Schedule the next attempt, or fail if it would start after the deadline."""
        if now + pause_s >= self.deadline():
            return self.fail_on_timeout(now)
        self.retry_at = now + pause_s
        return []

    # Ends of the generation

    def fail_on_timeout(self, now: float) -> list[GenerationAction]:
        """Fail because no token came within the profile's `max_wait_s`."""
        max_wait_s = self.request.profile.max_wait_s
        if self.has_delivered:
            code = ErrorCode.ANSWER_INTERRUPTED
            message = f"no further token came within max_wait_s={max_wait_s!r}"
        elif self.attempts:
            code = ErrorCode.WAIT_EXCEEDED
            message = f"no first token came within max_wait_s={max_wait_s!r}"
        else:
            code = ErrorCode.NO_UPSTREAM
            message = (
                f"no upstream of service={self.request.service!r} took the request "
                f"for model={self.request.model!r} within max_wait_s={max_wait_s!r}; "
                "repeat it later"
            )
        return self.fail(code, message, now)

    def refuse_crashing_request(self, now: float) -> list[GenerationAction]:
        """Refuse a request that has reached the limit of upstream crashes."""
        fingerprint = self.request.fingerprint
        retry_after_s = self.shared.suspicion.retry_after_s(fingerprint, now)
        message = (
            f"several upstreams crashed while running the request {fingerprint!r}; "
            "change it before sending it again"
        )
        return self.fail(ErrorCode.REQUEST_KILLS_UPSTREAMS, message, now, retry_after_s)

    def finish_at_length(self) -> list[GenerationAction]:
        """Finish with reason "length", as only the finish reason itself was lost."""
        self.is_over = True
        chunk = AnswerChunk(
            finish_reason="length",
            prompt_token_ids=None if self.has_delivered else self.prompt_token_ids,
            version="" if self.has_delivered else self.version,
            usage=self.usage(),
        )
        return [Deliver(chunk)]

    def fail(
        self,
        code: ErrorCode,
        message: str,
        now: float,
        retry_after_s: float | None = None,
    ) -> list[GenerationAction]:
        """End with an error whose verdict states whether the request may have run."""
        actions = self.close(now)
        if retry_after_s is None and code is not ErrorCode.UPSTREAM_REJECTED:
            retry_after_s = RETRY_AFTER_S
        verdict = Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN
        return [*actions, Fail(code, verdict, message, retry_after_s)]


@singledispatch
def handle_event(
    event: object, generation: Generation, attempt: Attempt, now: float
) -> list[GenerationAction]:
    """Return the actions that follow from an event of a live attempt."""
    raise TypeError(f"event={event!r} is not a generation event")


@handle_event.register
def handle_chunk(
    event: ChunkArrived, generation: Generation, attempt: Attempt, now: float
) -> list[GenerationAction]:
    """Add a chunk to its attempt and deliver what it completes."""
    return generation.handle_chunk(event, attempt, now)


@handle_event.register
def handle_death(
    event: AttemptDied, generation: Generation, attempt: Attempt, now: float
) -> list[GenerationAction]:
    """Retry after the death of an attempt, unless the request must not run again."""
    return generation.handle_attempt_death(attempt, event, now)


def make_generation(
    request: GenerationRequest, shared: SharedState, now: float
) -> Generation:
    """Return a generation, which goes on from what its caller received, if anything."""
    generation = Generation(request, shared, now, last_progress_at=now)
    generation.prompt_token_ids = request.prompt_token_ids
    received = request.received
    if received is not None:
        generation.delivered = list(received.token_ids)
        generation.prompt_token_ids = received.prompt_token_ids
        generation.version = received.version
        generation.may_have_run = True
    return generation

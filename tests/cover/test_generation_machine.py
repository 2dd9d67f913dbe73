"""A generation under any interleaving of faults, driven without tasks or a clock.

Each attempt computes different tokens, as sampling engines do. The test records every
sequence of tokens that some attempt computed. An answer that mixes two attempts fails
the test, because it contains a token that no attempt computed after the tokens before.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.common.engines import (
    EURO_TOKEN,
    HALF_TOKEN,
    PROMPT,
    VOCABULARY,
    decode_tokens,
    make_engines,
    make_request,
)
from turmericusher.decisions.extra_work import ExtraWorkBudget, ResumeLimiter
from turmericusher.decisions.generation import Generation, make_generation
from turmericusher.decisions.generation_messages import (
    AttemptDied,
    CancelAttempt,
    ChunkArrived,
    Deliver,
    Fail,
    FailureScope,
    GenerationAction,
    StartAttempt,
)
from turmericusher.decisions.generation_state import SharedState
from turmericusher.decisions.patience import StallDetector
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.requests import AnswerChunk, ReceivedAnswer
from turmericusher.decisions.stop_strings import find_stop_string
from turmericusher.decisions.suspicion import MAX_CRASHES, SuspicionLedger
from turmericusher.errors import ErrorCode, Verdict
from turmericusher.profiles import Profile, SecondAttempt

MAX_LIVE_ATTEMPTS = 2
FINISH_EARLY_CHOICE = 0
LOSE_FINISH_CHOICES = range(1, 7)
ATTEMPT_DEATHS = st.sampled_from(
    [
        (FailureScope.UPSTREAM, Verdict.MAY_HAVE_RUN),
        (FailureScope.ATTEMPT, Verdict.NOT_RUN),
        (FailureScope.ATTEMPT, Verdict.MAY_HAVE_RUN),
    ]
)
PROFILES = st.builds(
    Profile,
    name=st.just("profile"),
    idempotent=st.sampled_from([True, True, True, False]),
    max_wait_s=st.sampled_from([1.0, 30.0]),
    second_attempt=st.sampled_from(SecondAttempt),
    stall_floor_s=st.just(0.1),
    stall_cap_s=st.just(1.0),
    max_attempts=st.sampled_from([2, 8, 32]),
)
STOPS = st.sampled_from(
    [(), ("stop",), ("€a",), ("ab", "bc", "ca", "éa", "stst"), ("aa", "bcb", "é€")]
)


@dataclass(slots=True)
class SimulatedStream:
    """The stream of one attempt: the prompt and all tokens the engine has computed.

    `start` is the number of answer tokens that the attempt got with its prompt.
    """

    number: int
    tokens: list[int]
    start: int
    max_tokens: int | None
    is_first_chunk: bool = True
    is_ended: bool = False


@dataclass(slots=True)
class Caller:
    """What the caller has received over all its connections."""

    token_ids: list[int] = field(default_factory=list)
    text: str = ""
    prompt_token_ids: tuple[int, ...] = ()
    version: str = ""
    last: AnswerChunk | None = None
    failure: Fail | None = None


def sampled_token(tokens: Sequence[int], number: int) -> int:
    """Return the next token of an attempt; other attempts sample other tokens.

    `HALF_TOKEN` is followed by `EURO_TOKEN`, which completes its character.
    """
    if tokens[-1] == HALF_TOKEN:
        return EURO_TOKEN
    token = zlib.crc32(repr((tuple(tokens), number)).encode()) % len(VOCABULARY)
    return HALF_TOKEN if token == EURO_TOKEN else token


class GenerationMachine(RuleBasedStateMachine):
    """One caller, its connections one after another, and engines that fail."""

    @initialize(
        profile=PROFILES,
        stop=STOPS,
        max_tokens=st.sampled_from([None, 1, 6, 40]),
        engines=st.sampled_from([1, 3, 6]),
        seed=st.integers(0, 99),
    )
    def begin(
        self,
        profile: Profile,
        stop: tuple[str, ...],
        max_tokens: int | None,
        engines: int,
        seed: int,
    ) -> None:
        self.now = 100.0
        self.request = make_request(profile, stop=stop, max_tokens=max_tokens)
        selector = Selector(random.Random(seed))
        selector.update(make_engines(engines))
        self.shared = SharedState(
            selector=selector,
            stall_detector=StallDetector(),
            suspicion=SuspicionLedger(),
            extra_work=ExtraWorkBudget(),
            resumes=ResumeLimiter(limit=1),
            random=random.Random(seed),
        )
        self.caller = Caller()
        self.streams: list[SimulatedStream] = []
        self.computed: set[tuple[int, ...]] = set()
        self.ran = 0
        self.crashed_upstreams: set[str] = set()
        self.connect(make_generation(self.request, self.shared, self.now))

    def connect(self, generation: Generation) -> None:
        """Start a generation on a new connection of the caller."""
        self.generation = generation
        self.live: dict[int, SimulatedStream] = {}
        self.is_over = False
        self.perform(generation.start(self.now))

    def perform(self, actions: list[GenerationAction]) -> None:
        """Carry out the actions of the generation, and check that each is allowed."""
        for action in actions:
            assert not self.is_over or isinstance(action, CancelAttempt | Fail)
            if isinstance(action, StartAttempt):
                self.open_stream(action)
            elif isinstance(action, CancelAttempt):
                del self.live[action.attempt]
            elif isinstance(action, Deliver):
                self.receive(action.chunk)
                assert len(self.live) <= 1, "a losing attempt still runs"
            else:
                self.caller.failure = action
                self.is_over = True

    def open_stream(self, action: StartAttempt) -> None:
        """Start an attempt, which must go on exactly where the caller's answer ends."""
        prompt = action.prompt_token_ids or PROMPT
        if self.caller.token_ids:
            assert list(prompt) == [*PROMPT, *self.caller.token_ids]
        start = len(prompt) - len(PROMPT)
        if self.request.max_tokens is not None:
            assert action.max_tokens == self.request.max_tokens - start > 0
        stream = SimulatedStream(action.attempt, list(prompt), start, action.max_tokens)
        self.streams.append(stream)
        self.live[action.attempt] = stream
        self.ran += 1

    def receive(self, chunk: AnswerChunk) -> None:
        """Add a chunk to the caller's answer; some attempt must have computed it so."""
        for token in chunk.token_ids:
            self.caller.token_ids.append(token)
            sequence = (*PROMPT, *self.caller.token_ids)
            assert sequence in self.computed, "no attempt computed this sequence"
        self.caller.text += chunk.text
        if chunk.prompt_token_ids is not None:
            self.caller.prompt_token_ids = chunk.prompt_token_ids
            self.caller.version = chunk.version
        if chunk.finish_reason is not None:
            self.caller.last = chunk
            self.is_over = True

    @rule(data=st.data(), count=st.integers(1, 3), finish=st.integers(0, 12))
    def a_stream_sends_tokens(
        self, data: st.DataObject, count: int, finish: int
    ) -> None:
        """Let any stream ever opened send a chunk, even after its cancellation."""
        open_streams = [s for s in self.streams if not s.is_ended]
        if not open_streams:
            return
        stream = data.draw(st.sampled_from(open_streams[-4:]))
        self.handle_event(self.next_chunk(stream, count, finish), stream)

    def next_chunk(
        self, stream: SimulatedStream, count: int, finish_choice: int
    ) -> ChunkArrived:
        """Return the next chunk of a stream, of up to `count` tokens.

        `finish_choice` selects whether the stream ends early or loses its finish
        reason. A chunk of several tokens ends in a whole character, as the engine port
        requires.
        """
        new_tokens: list[int] = []
        text = ""
        token_count = len(stream.tokens) - stream.start - len(PROMPT)
        while len(new_tokens) < count or (count > 1 and new_tokens[-1] == HALF_TOKEN):
            if stream.max_tokens is not None and token_count >= stream.max_tokens:
                break
            token = sampled_token(stream.tokens, len(self.streams) + stream.number)
            stream.tokens.append(token)
            self.computed.add(tuple(stream.tokens))
            new_tokens.append(token)
            text += VOCABULARY[token]
            token_count += 1
        is_full = stream.max_tokens is not None and token_count >= stream.max_tokens
        ends_in_whole_character = stream.tokens[-1] != HALF_TOKEN
        finish = None
        is_finish_lost = finish_choice in LOSE_FINISH_CHOICES and (
            ends_in_whole_character or len(new_tokens) == 1
        )
        if is_full and not is_finish_lost:
            finish = "length"
        elif (
            finish_choice == FINISH_EARLY_CHOICE
            and ends_in_whole_character
            and not is_full
        ):
            finish = "stop"
        prompt = tuple(stream.tokens[: len(stream.tokens) - len(new_tokens)])
        chunk = ChunkArrived(
            attempt=stream.number,
            at=self.now,
            token_ids=tuple(new_tokens),
            text=text,
            finish_reason=finish,
            prompt_token_ids=prompt if stream.is_first_chunk else None,
            version="v1",
        )
        stream.is_first_chunk = False
        stream.is_ended = finish is not None
        return chunk

    def handle_event(
        self, event: ChunkArrived | AttemptDied, stream: SimulatedStream
    ) -> None:
        """Pass an event to the generation, unless another live attempt has its number.

        Events of cancelled attempts and of past connections are passed on as well; the
        generation must ignore them.
        """
        is_current = self.live.get(stream.number) is stream
        if not is_current and event.attempt in self.live:
            return
        self.perform(self.generation.handle(event, self.now))

    @rule(data=st.data(), loss=ATTEMPT_DEATHS)
    def a_stream_dies(
        self, data: st.DataObject, loss: tuple[FailureScope, Verdict]
    ) -> None:
        open_streams = [s for s in self.streams if not s.is_ended]
        if not open_streams:
            return
        stream = data.draw(st.sampled_from(open_streams[-4:]))
        stream.is_ended = True
        is_live = self.live.get(stream.number) is stream
        if is_live and loss[0] is FailureScope.UPSTREAM:
            self.crashed_upstreams.add(
                self.generation.attempts[stream.number].upstream.name
            )
        if is_live and loss[1] is Verdict.NOT_RUN and stream.is_first_chunk:
            self.ran -= 1
        self.handle_event(
            AttemptDied(stream.number, self.now, loss[0], loss[1]), stream
        )

    @precondition(lambda self: not self.is_over)
    @rule()
    def time_passes_to_the_next_wake(self) -> None:
        self.now = max(self.now, self.generation.wake_at())
        self.perform(self.generation.tick(self.now))
        assert self.is_over or self.generation.wake_at() > self.now, "a busy loop"

    @rule(seconds=st.floats(0.0, 2.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.perform(self.generation.tick(self.now))

    @precondition(
        lambda self: (
            self.caller.last is None
            and (self.request.profile.idempotent or self.caller.token_ids)
        )
    )
    @rule()
    def the_caller_reconnects(self) -> None:
        """Reconnect to another instance, with what was received so far."""
        cancelled = self.generation.close(self.now)
        self.perform([a for a in cancelled if a.attempt in self.live])
        caller = self.caller
        received = ReceivedAnswer(
            caller.prompt_token_ids, tuple(caller.token_ids), caller.text, "v1"
        )
        request = make_request(
            self.request.profile,
            stop=self.request.stop,
            max_tokens=self.request.max_tokens,
            received=received if caller.token_ids else None,
        )
        for stream in self.streams:
            stream.number += 1000
        caller.failure = None
        self.connect(make_generation(request, self.shared, self.now))

    @invariant()
    def the_records_match_the_live_attempts(self) -> None:
        live = self.generation.attempts
        assert set(live) == set(self.live)
        assert len(live) <= MAX_LIVE_ATTEMPTS
        names = sorted(attempt.upstream.name for attempt in live.values())
        assert sorted(self.shared.selector.in_flight) == names
        running = self.shared.suspicion.all_running_upstreams()
        assert sorted(running) == names
        assert self.shared.resumes.waiting == sum(
            a.holds_resume_slot for a in live.values()
        )
        assert not (self.is_over and live)

    @invariant()
    def the_text_matches_the_tokens(self) -> None:
        text = decode_tokens(self.caller.token_ids)
        stop_at = find_stop_string(text, self.request.stop)
        is_finished = self.caller.last is not None
        if is_finished and stop_at is not None:
            assert self.caller.text == text[:stop_at]
            assert self.caller.last.finish_reason == "stop"
            return
        assert stop_at is None, "a stop string was delivered"
        assert self.caller.text == text
        assert (
            not self.caller.token_ids
            or self.caller.token_ids[-1] != HALF_TOKEN
            or (is_finished)
        )

    @invariant()
    def a_whole_answer_counts_all_its_tokens(self) -> None:
        last = self.caller.last
        if last is None:
            return
        assert last.usage is not None
        assert last.usage.completion_tokens == len(self.caller.token_ids)
        assert last.usage.prompt_tokens == len(PROMPT)
        if last.finish_reason == "length":
            assert len(self.caller.token_ids) == self.request.max_tokens

    @invariant()
    def a_request_that_may_not_repeat_runs_at_most_once(self) -> None:
        if not self.request.profile.idempotent:
            assert self.ran <= 1

    @invariant()
    def a_request_crashes_at_most_three_engines(self) -> None:
        assert len(self.crashed_upstreams) <= MAX_CRASHES

    @invariant()
    def a_failure_after_tokens_is_not_reported_as_not_run(self) -> None:
        failure = self.caller.failure
        if failure is not None and failure.verdict is Verdict.NOT_RUN:
            assert not self.caller.token_ids
            assert failure.code is not ErrorCode.ANSWER_INTERRUPTED


GenerationMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=40,
)
GenerationMachineTest = GenerationMachine.TestCase

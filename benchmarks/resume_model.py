"""A simulation of callers, entry instances and engines on a virtual clock.

Engines are modelled by their timing only: a first token after the prefill, then one
token after each gap. All decisions are made by the production code.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from tests.common.engines import make_engines
from turmericusher.decisions.extra_work import ExtraWorkBudget, ResumeLimiter
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation import Generation, make_generation
from turmericusher.decisions.generation_messages import (
    AttemptDied,
    CancelAttempt,
    ChunkArrived,
    Deliver,
    Fail,
    FailureScope,
    GenerationAction,
    GenerationEvent,
    StartAttempt,
)
from turmericusher.decisions.generation_state import SharedState
from turmericusher.decisions.patience import StallDetector
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.requests import GenerationRequest, ReceivedAnswer
from turmericusher.decisions.suspicion import SuspicionLedger
from turmericusher.errors import Verdict
from turmericusher.profiles import Profile

NETWORK_S = 0.001
"""One-way network latency."""
FIRST_TOKEN_S = 0.03
"""Time to the first token, without the prefill of the prompt."""
PREFILL_S_PER_TOKEN = 0.00002
TOKEN_GAP_S = 0.02
GAP_SPREAD = 0.2
"""Each gap is drawn uniformly from `TOKEN_GAP_S` plus or minus this share of it."""
STUTTER_S = 0.3
"""Duration of a gap in which an engine pauses."""
PROMPT = tuple(range(1000, 1500))
"""Token IDs of the prompt, which all requests have in common."""
CLIENT_PAUSE_S = 0.05
"""Time from noticing a lost connection to reconnecting."""
CLIENT_HEARTBEAT_TIMEOUT_S = 1.5
"""Time without a heartbeat after which a caller counts its connection as lost."""


@dataclass(slots=True)
class Engine:
    """One engine and its current faults.

    Until `stalled_until` what it sends is held back; if `is_frozen`, it computes
    nothing either. A share `stutter_share` of its gaps lasts `STUTTER_S`.
    """

    upstream: UpstreamInstance
    is_dead: bool = False
    stalled_until: float = 0.0
    is_frozen: bool = False
    slow_factor: float = 1.0
    stutter_share: float = 0.0
    streams: dict[Stream, None] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Stream:
    """One attempt on an engine; `token_hash` is the hash of all its tokens so far.

    `salt` differs per attempt and is part of what its tokens are computed from: two
    attempts continue the same answer with different tokens, as with sampling.
    """

    number: int
    caller: Caller
    generation: Generation
    engine: Engine
    token_hash: int
    remaining: int
    salt: int
    is_first: bool = True
    is_cancelled: bool = False


@dataclass(slots=True)
class Totals:
    """Totals of one run.

    `latencies` are the times in seconds from a loss to the caller's next new token.
    """

    computed_tokens: int = 0
    prompt_tokens: int = 0
    delivered_tokens: int = 0
    wrong_tokens: int = 0
    lost_tokens: int = 0
    repeated_tokens: int = 0
    failures: int = 0
    second_attempts: int = 0
    latencies: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Caller:
    """One caller and the answer that it has received.

    `wanted` is the number of tokens that it requested.

    With `is_restarting` it is the baseline that starts a lost answer again from
    nothing: `shown_tokens` is the number of tokens that it had before the loss, and
    the pause ends only with a token beyond them.
    """

    request: GenerationRequest
    entry: int
    is_restarting: bool
    wanted: int
    tokens: list[int] = field(default_factory=list)
    token_hash: int = 0
    shown_tokens: int = 0
    lost_at: float | None = None
    generation: Generation | None = None
    streams: dict[int, Stream] = field(default_factory=dict)
    is_done: bool = False
    next_wake_at: float = float("inf")


@dataclass(slots=True)
class Simulation:
    """The virtual clock, its events, and all callers, entry instances and engines.

    `computed_hashes` holds the hash of every token sequence that an engine has
    computed; a received sequence with another hash is wrong.
    """

    rng: random.Random
    engines: dict[str, Engine]
    entries: list[SharedState]
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    event_numbers: itertools.count[int] = field(default_factory=itertools.count)
    callers: list[Caller] = field(default_factory=list)
    totals: Totals = field(default_factory=Totals)
    computed_hashes: set[int] = field(default_factory=set)

    def call_at(self, time: float, event: Callable[[], None]) -> None:
        """Schedule an event at a virtual time, but not before the present."""
        heapq.heappush(
            self.events, (max(time, self.now), next(self.event_numbers), event)
        )

    def run(self, until: float) -> None:
        """Run until every caller is done, or up to a virtual time."""
        while self.events and not all(caller.is_done for caller in self.callers):
            time, _, event = heapq.heappop(self.events)
            if time > until:
                return
            self.now = time
            event()

    # Callers.

    def connect(self, caller: Caller) -> None:
        """Start a generation at the caller's entry instance, or resume it there."""
        request = caller.request
        if caller.tokens:
            received = ReceivedAnswer(PROMPT, tuple(caller.tokens), "", "v1")
            request = replace(request, received=received)
        shared = self.entries[caller.entry]
        caller.generation = make_generation(request, shared, self.now)
        self.apply_actions(caller, caller.generation.start(self.now))

    def disconnect(self, caller: Caller) -> None:
        """Close the caller's generation and all its streams."""
        assert caller.generation is not None
        self.apply_actions(caller, caller.generation.close(self.now))
        caller.streams.clear()

    def deliver_event(self, stream: Stream, event: GenerationEvent) -> None:
        """Pass an event to the stream's generation if it is still the caller's."""
        caller = stream.caller
        if caller.generation is stream.generation and not caller.is_done:
            self.apply_actions(caller, stream.generation.handle(event, self.now))

    def apply_actions(self, caller: Caller, actions: list[GenerationAction]) -> None:
        """Carry out a generation's actions and schedule its next tick."""
        for action in actions:
            match action:
                case StartAttempt():
                    self.open_stream(caller, action)
                case CancelAttempt(attempt=number):
                    self.cancel(caller.streams.pop(number, None))
                case Deliver(chunk=chunk):
                    self.receive_tokens(caller, chunk.token_ids)
                    caller.is_done = chunk.finish_reason is not None
                case Fail():
                    self.totals.failures += 1
                    caller.is_done = True
        self.schedule_tick(caller)

    def schedule_tick(self, caller: Caller) -> None:
        """Schedule the generation's next tick, unless one is due before it anyway."""
        generation = caller.generation
        if generation is None or generation.is_over or caller.is_done:
            return
        wake_at = generation.wake_at()
        if self.now < caller.next_wake_at <= wake_at:
            return
        caller.next_wake_at = wake_at
        self.call_at(wake_at, lambda: self.tick(caller, generation))

    def tick(self, caller: Caller, generation: Generation) -> None:
        """Tick a generation if it is still the caller's and is due."""
        if caller.generation is not generation or caller.is_done:
            return
        caller.next_wake_at = float("inf")
        if self.now >= generation.wake_at():
            self.apply_actions(caller, generation.tick(self.now))
        else:
            self.schedule_tick(caller)

    def receive_tokens(self, caller: Caller, tokens: tuple[int, ...]) -> None:
        """Check received tokens against the computed ones, and time ended pauses."""
        for token in tokens:
            caller.token_hash = hash((caller.token_hash, token))
            self.totals.wrong_tokens += caller.token_hash not in self.computed_hashes
            caller.tokens.append(token)
        has_progress = bool(tokens) and len(caller.tokens) > caller.shown_tokens
        if has_progress and caller.lost_at is not None:
            self.totals.latencies.append(self.now - caller.lost_at)
            caller.lost_at = None

    def restart(self, caller: Caller) -> None:
        """Discard the answer and request it again, as a caller without resume does."""
        for stream in caller.streams.values():
            self.entries[caller.entry].selector.failed(stream.engine.upstream.name)
        self.disconnect(caller)
        caller.shown_tokens = max(caller.shown_tokens, len(caller.tokens))
        caller.tokens.clear()
        caller.token_hash = 0
        self.connect(caller)

    def move_caller(
        self, caller: Caller, entry: int, detection_s: float, close_delay_s: float
    ) -> None:
        """Move a caller from its failed entry instance to another one.

        The caller notices the loss after `detection_s`; the engines see the instance's
        connections close after `close_delay_s`.
        """
        caller.lost_at = self.now
        streams = list(caller.streams.values())
        generation = caller.generation
        assert generation is not None
        caller.generation = None

        def close() -> None:
            generation.close(self.now)
            for stream in streams:
                self.cancel(stream)

        def reconnect() -> None:
            caller.streams.clear()
            caller.entry = entry
            self.connect(caller)

        self.call_at(self.now + close_delay_s, close)
        self.call_at(self.now + detection_s, reconnect)

    # Engines.

    def open_stream(self, caller: Caller, action: StartAttempt) -> None:
        """Start an attempt on its engine, or have a dead engine refuse it."""
        assert caller.generation is not None and action.max_tokens is not None
        engine = self.engines[action.upstream.name]
        salt = next(self.event_numbers)
        stream = Stream(
            action.attempt,
            caller,
            caller.generation,
            engine,
            caller.token_hash,
            action.max_tokens,
            salt,
        )
        caller.streams[action.attempt] = stream
        if engine.is_dead:
            self.call_at(self.now + NETWORK_S, lambda: self.refuse_connection(stream))
            return
        engine.streams[stream] = None
        prompt_length = len(action.prompt_token_ids or PROMPT)
        self.totals.prompt_tokens += prompt_length
        first_s = FIRST_TOKEN_S + prompt_length * PREFILL_S_PER_TOKEN
        self.call_at(
            self.now + first_s * engine.slow_factor, lambda: self.next_token(stream)
        )

    def cancel(self, stream: Stream | None) -> None:
        """Cancel a stream; a stalled engine learns of it when it is reachable again."""
        if stream is None:
            return
        reachable_at = max(self.now, stream.engine.stalled_until) + NETWORK_S

        def apply_cancel() -> None:
            stream.is_cancelled = True
            stream.engine.streams.pop(stream, None)

        self.call_at(reachable_at, apply_cancel)

    def next_token(self, stream: Stream) -> None:
        """Compute a stream's next token, send it and schedule the one after it."""
        engine = stream.engine
        if stream.is_cancelled or engine.is_dead:
            return
        if engine.is_frozen and self.now < engine.stalled_until:
            self.call_at(engine.stalled_until, lambda: self.next_token(stream))
            return
        token = hash((stream.token_hash, stream.salt)) % 50_000
        stream.token_hash = hash((stream.token_hash, token))
        self.computed_hashes.add(stream.token_hash)
        self.totals.computed_tokens += 1
        stream.remaining -= 1
        is_last = stream.remaining == 0
        is_first, stream.is_first = stream.is_first, False
        arrives_at = max(self.now, engine.stalled_until) + NETWORK_S

        def arrive() -> None:
            chunk = ChunkArrived(
                stream.number,
                self.now,
                (token,),
                "x",
                "length" if is_last else None,
                PROMPT if is_first else None,
                "v1",
            )
            self.deliver_event(stream, chunk)

        self.call_at(arrives_at, arrive)
        if is_last:
            engine.streams.pop(stream, None)
            return
        gap_s = TOKEN_GAP_S * self.rng.uniform(1 - GAP_SPREAD, 1 + GAP_SPREAD)
        if self.rng.random() < engine.stutter_share:
            gap_s = STUTTER_S
        self.call_at(
            self.now + gap_s * engine.slow_factor, lambda: self.next_token(stream)
        )

    def refuse_connection(self, stream: Stream) -> None:
        """Report a refused connection as the death of an attempt that has not run."""
        death = AttemptDied(
            stream.number, self.now, FailureScope.UPSTREAM, Verdict.NOT_RUN
        )
        self.deliver_event(stream, death)

    def reset(self, stream: Stream) -> None:
        """Break a stream's connection; a baseline caller then restarts its answer."""
        if (
            stream.caller.is_restarting
            and stream.caller.generation is stream.generation
        ):
            if not stream.caller.is_done:
                self.restart(stream.caller)
            return
        death = AttemptDied(
            stream.number, self.now, FailureScope.UPSTREAM, Verdict.MAY_HAVE_RUN
        )
        self.deliver_event(stream, death)

    def record_loss(self, streams: list[Stream]) -> None:
        """Record the time of loss for every caller that uses one of the streams."""
        for stream in streams:
            caller = stream.caller
            if caller.generation is stream.generation and not caller.is_done:
                caller.lost_at = self.now

    def kill(self, engines: list[Engine]) -> None:
        """Kill engines: reset their streams and refuse new connections."""
        for engine in engines:
            streams = list(engine.streams)
            self.record_loss(streams)
            engine.is_dead = True
            for stream in streams:
                self.call_at(
                    self.now + NETWORK_S, lambda stream=stream: self.reset(stream)
                )

    def stall_engines(
        self, engines: list[Engine], seconds: float, is_frozen: bool
    ) -> None:
        """Stall engines for a time: freeze them, or only hold back what they send."""
        for engine in engines:
            self.record_loss(list(engine.streams))
            engine.stalled_until = self.now + seconds
            engine.is_frozen = is_frozen


def make_request(profile: Profile, fingerprint: str, wanted: int) -> GenerationRequest:
    """Return a caller's request for `wanted` tokens."""
    return GenerationRequest(
        request_id=fingerprint,
        team="team",
        profile=profile,
        service="drafts",
        model="model",
        fingerprint=fingerprint,
        prompt=fingerprint,
        max_tokens=wanted,
    )


def make_simulation(seed: int, engines: int, domains: int, entries: int) -> Simulation:
    """Return an idle fleet of engines and entry instances."""
    upstreams = make_engines(engines, domains)
    shared = [make_shared_state(seed + number, upstreams) for number in range(entries)]
    fleet = {upstream.name: Engine(upstream) for upstream in upstreams}
    return Simulation(random.Random(seed), fleet, shared)


def make_shared_state(seed: int, upstreams: list[UpstreamInstance]) -> SharedState:
    """Return the shared decision state of one entry instance."""
    selector = Selector(random.Random(seed))
    selector.update(upstreams)
    return SharedState(
        selector=selector,
        stall_detector=StallDetector(),
        suspicion=SuspicionLedger(),
        extra_work=ExtraWorkBudget(),
        resumes=ResumeLimiter(),
        random=random.Random(seed),
    )

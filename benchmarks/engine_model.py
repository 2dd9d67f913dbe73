"""A model of an engine: batching, decode steps, chunked prefill, memory, preemption.

The constants come from operators' data sheets. Times are in seconds, memory in tokens.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericusher.decisions.relay_messages import RunTotals, UpstreamReport

MAX_RUNNING = 64
MEMORY_TOKENS = 88_000
"""KV cache of one engine, in tokens."""
STEP_BASE_S = 0.00655
STEP_PER_RUNNING_S = 0.000165
"""Added to the base duration of a decode step for each running stream."""
PREFILL_TOKENS_PER_S = 8_000.0
PREFILL_CHUNK_TOKENS = 200
"""Prompt tokens that are prefilled along with one decode step, at most."""
TOKENS_PER_EVENT = 4
REPORT_AGE_S = 0.2


@dataclass(slots=True)
class ModelStream:
    """One stream: its prompt and the tokens generated for it.

    `prefilled` counts the tokens of the prompt, and of the output generated before a
    preemption, that the engine has in memory; `recomputed` those that a preemption
    discarded, so that they had to be prefilled again.
    """

    urgency: int
    prompt: int
    output: int
    team: str
    order: int
    arrived_at: float
    prefilled: int = 0
    generated: int = 0
    recomputed: int = 0
    placed_at: float = 0.0
    first_event_at: float | None = None
    ended_at: float | None = None
    max_gap_s: float = 0.0
    last_event_at: float = 0.0
    target_s: float = 4.5

    def pending_prefill(self) -> int:
        """Return the tokens left to prefill before the next token is generated."""
        return (
            self.prompt + self.generated - self.prefilled
            if self.prefilled < self.prompt
            else 0
        )


@dataclass(slots=True)
class EngineModel:
    """One engine; `now` is the time up to which it has been simulated.

    `preempts_to_admit`: a waiting stream preempts runs that are less urgent.
    `copies` are streams of other engines whose KV cache is replicated here as it
    grows. A stream keeps running without its copy when there is no memory for it.
    """

    now: float = 0.0
    waiting: list[ModelStream] = field(default_factory=list)
    running: list[ModelStream] = field(default_factory=list)
    copies: list[ModelStream] = field(default_factory=list)
    reports: list[tuple[float, UpstreamReport]] = field(default_factory=list)
    preempts_to_admit: bool = False
    preemptions: int = 0

    def enqueue(self, stream: ModelStream) -> None:
        """Append a stream to the waiting queue."""
        self.waiting.append(stream)

    def used_tokens(self) -> int:
        """Return the tokens in memory, of running streams and of copies."""
        self.copies = [copy for copy in self.copies if copy.ended_at is None]
        held = (*self.running, *self.copies)
        return sum(stream.prefilled + stream.generated for stream in held)

    def run_until(self, until: float) -> None:
        """Run steps up to a time; the last step may end after it."""
        while self.now < until:
            self.admit()
            if not self.running:
                self.now = until
                return
            self.now += self.step()

    def admit(self) -> None:
        """Admit waiting streams by urgency and age while slots and memory last."""
        self.waiting.sort(key=lambda stream: (stream.urgency, stream.order))
        committed = sum(stream.prompt + stream.generated for stream in self.running)
        committed += sum(copy.prefilled + copy.generated for copy in self.copies)
        while self.waiting and len(self.running) < MAX_RUNNING:
            stream = self.waiting[0]
            committed += stream.prompt + stream.generated
            while committed > MEMORY_TOKENS and self.preempts_to_admit:
                last = self.last_in_order(stream.urgency)
                if last is None:
                    break
                committed -= last.prompt + last.generated
                self.preempt_stream(last)
            if committed > MEMORY_TOKENS:
                return
            self.running.append(self.waiting.pop(0))

    def step(self) -> float:
        """Prefill one chunk, decode one token per ready stream; return the duration."""
        took_s = STEP_BASE_S + STEP_PER_RUNNING_S * len(self.running)
        prefilling = next(
            (candidate for candidate in self.running if candidate.pending_prefill()),
            None,
        )
        if prefilling is not None:
            chunk = min(PREFILL_CHUNK_TOKENS, prefilling.pending_prefill())
            prefilling.prefilled += chunk
            took_s += chunk / PREFILL_TOKENS_PER_S
        for stream in list(self.running):
            if not stream.pending_prefill():
                self.generate_token(stream, self.now + took_s)
        self.preempt()
        return took_s

    def generate_token(self, stream: ModelStream, at: float) -> None:
        """Generate one token, and emit an event every `TOKENS_PER_EVENT` tokens."""
        stream.generated += 1
        if (
            stream.generated % TOKENS_PER_EVENT == 0
            or stream.generated == stream.output
        ):
            if stream.first_event_at is None:
                stream.first_event_at = at
            else:
                stream.max_gap_s = max(stream.max_gap_s, at - stream.last_event_at)
            stream.last_event_at = at
        if stream.generated >= stream.output:
            stream.ended_at = at
            self.running.remove(stream)

    def preempt(self) -> None:
        """Free memory: drop copies, then preempt the least urgent, newest streams."""
        while self.copies and self.used_tokens() > MEMORY_TOKENS:
            self.copies.pop()
        while len(self.running) > 1 and self.used_tokens() > MEMORY_TOKENS:
            last = self.last_in_order()
            assert last is not None
            self.preempt_stream(last)

    def last_in_order(self, urgency: int = -1) -> ModelStream | None:
        """Return the newest of the least urgent runs, if less urgent than `urgency`."""
        return max(
            (stream for stream in self.running if stream.urgency > urgency),
            key=lambda candidate: (candidate.urgency, candidate.order),
            default=None,
        )

    def preempt_stream(self, stream: ModelStream) -> None:
        """Put a run back into the queue; its prompt is prefilled again."""
        self.preemptions += 1
        self.running.remove(stream)
        stream.recomputed += stream.prefilled
        stream.prefilled = 0
        self.waiting.append(stream)

    def report(self) -> UpstreamReport:
        """Record a load report; return the newest one at least `REPORT_AGE_S` old."""
        events = {
            str(id(s)): s.generated // TOKENS_PER_EVENT
            for s in self.running
            if s.generated
        }
        count, queued = len(self.running), len(self.waiting)
        runs: dict[int, RunTotals] = {}
        for stream in self.running:
            if stream.generated:
                known = runs.get(stream.urgency, RunTotals())
                tokens = known.tokens + stream.prefilled + stream.generated
                runs[stream.urgency] = RunTotals(known.count + 1, tokens)
        latest = UpstreamReport(
            "1", count, queued, self.used_tokens(), MEMORY_TOKENS, events, runs
        )
        self.reports.append((self.now, latest))
        while len(self.reports) > 1 and self.reports[1][0] <= self.now - REPORT_AGE_S:
            self.reports.pop(0)
        return self.reports[0][1]

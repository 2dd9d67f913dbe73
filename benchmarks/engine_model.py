"""A model of an engine: batching, decode steps, chunked prefill, memory, preemption.

The constants come from operators' data sheets. Times are in seconds, memory in tokens.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericusher.decisions.relay_messages import UpstreamReport

SLOTS = 64
MEMORY_TOKENS = 88_000
"""KV cache of one engine, in tokens."""
STEP_S = 0.00655
STEP_PER_RUNNING_S = 0.000165
"""Added to the base duration of a decode step for each running stream."""
READ_TOKENS_PER_S = 8_000.0
CHUNK_TOKENS = 200
"""Prompt tokens that are prefilled along with one decode step, at most."""
EVENT_TOKENS = 4
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
    first_at: float
    read: int = 0
    made: int = 0
    wasted: int = 0
    placed_at: float = 0.0
    event_at: float | None = None
    ended_at: float | None = None
    last_gap_s: float = 0.0
    heard_at: float = 0.0

    def to_read(self) -> int:
        """Return the tokens left to prefill before the next token is generated."""
        return self.prompt + self.made - self.read if self.read < self.prompt else 0


@dataclass(slots=True)
class EngineModel:
    """One engine; `now` is the time up to which it has been simulated.

    `copies` are streams of other engines whose KV cache is replicated here as it
    grows. A stream keeps running without its copy when there is no memory for it.
    """

    now: float = 0.0
    waiting: list[ModelStream] = field(default_factory=list)
    running: list[ModelStream] = field(default_factory=list)
    copies: list[ModelStream] = field(default_factory=list)
    reports: list[tuple[float, UpstreamReport]] = field(default_factory=list)

    def place(self, stream: ModelStream) -> None:
        """Append a stream to the waiting queue."""
        self.waiting.append(stream)

    def used(self) -> int:
        """Return the tokens in memory, of running streams and of copies."""
        self.copies = [copy for copy in self.copies if copy.ended_at is None]
        held = (*self.running, *self.copies)
        return sum(stream.read + stream.made for stream in held)

    def work_until(self, until: float) -> None:
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
        committed = sum(stream.prompt + stream.made for stream in self.running)
        committed += sum(copy.read + copy.made for copy in self.copies)
        while self.waiting and len(self.running) < SLOTS:
            stream = self.waiting[0]
            committed += stream.prompt + stream.made
            if committed > MEMORY_TOKENS:
                return
            self.running.append(self.waiting.pop(0))

    def step(self) -> float:
        """Prefill one chunk, decode one token per ready stream; return the duration."""
        took_s = STEP_S + STEP_PER_RUNNING_S * len(self.running)
        reading = next((one for one in self.running if one.to_read()), None)
        if reading is not None:
            chunk = min(CHUNK_TOKENS, reading.to_read())
            reading.read += chunk
            took_s += chunk / READ_TOKENS_PER_S
        for stream in list(self.running):
            if not stream.to_read():
                self.make_token(stream, self.now + took_s)
        self.preempt()
        return took_s

    def make_token(self, stream: ModelStream, at: float) -> None:
        """Generate one token, and emit an event every `TOKENS_PER_EVENT` tokens."""
        stream.made += 1
        if stream.made % EVENT_TOKENS == 0 or stream.made == stream.output:
            if stream.event_at is None:
                stream.event_at = at
            else:
                stream.last_gap_s = max(stream.last_gap_s, at - stream.heard_at)
            stream.heard_at = at
        if stream.made >= stream.output:
            stream.ended_at = at
            self.running.remove(stream)

    def preempt(self) -> None:
        """Free memory: drop copies, then preempt the least urgent, newest streams."""
        while self.copies and self.used() > MEMORY_TOKENS:
            self.copies.pop()
        while len(self.running) > 1 and self.used() > MEMORY_TOKENS:
            stream = max(self.running, key=lambda one: (one.urgency, one.order))
            self.running.remove(stream)
            stream.wasted += stream.read
            stream.read = 0
            self.waiting.append(stream)

    def report(self) -> UpstreamReport:
        """Record a load report; return the newest one at least `REPORT_AGE_S` old."""
        made = {str(id(s)): s.made // EVENT_TOKENS for s in self.running if s.made}
        count, queued = len(self.running), len(self.waiting)
        told = UpstreamReport("1", count, queued, self.used(), MEMORY_TOKENS, made)
        self.reports.append((self.now, told))
        while len(self.reports) > 1 and self.reports[1][0] <= self.now - REPORT_AGE_S:
            self.reports.pop(0)
        return self.reports[0][1]

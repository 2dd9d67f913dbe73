"""A model of running streams whose engines fail or pause, behind production decisions.

Several entry instances relay streams over one set of engines on a virtual clock. A
fault covers all engines of some failure domains for a time. Counted are the attempts
that reach an engine beyond the first of their request, and what the callers get.
"""

from __future__ import annotations

import enum
import random
from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from benchmarks.load_model import EventScheduler
from tests.common.relay_fixtures import (
    DOMAINS,
    make_relay_shared,
    make_test_relay,
)
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptFailed,
    BreakStream,
    DeliverEvents,
    EndStream,
    EventArrived,
    ProbeUpstream,
    RelayAction,
    RelayEvent,
    StartRelay,
    StreamFinished,
    StreamOpened,
    UpstreamProbed,
    UpstreamReport,
)
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.retrying.retries import RetryBounds
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import Verdict

BOUNDS = RetryBounds(0.8, 150.0)
"""The limit on all instances' retries in both users' deployments."""

BUDGET_WINDOW_S = 10.0
"""Length of every span in which the retries must keep within their limit."""

NETWORK_S = 0.002
PREFILL_S = 1.0
RESUME_FROM_COPY_S = 0.05
EVENT_GAP_S = 0.028
EVENTS = 140
TARGET_S = 4.5
LONGEST_GAP_S = 0.7
TIMEOUT_S = 25.0
PROBE_TIMEOUT_S = 0.15
MAX_ATTEMPTS = 5


class EngineFault(enum.StrEnum):
    """What an engine does during a fault.

    `SILENT`: it sends nothing and answers no probe, and sends all of it afterwards.
    `SHEDS`: it refuses requests and ends those it runs. `RESETS`: it resets the
    connection of every request. `DARK`: it has gone without closing its connections.
    """

    SILENT = "silent"
    SHEDS = "sheds"
    RESETS = "resets"
    DARK = "dark"


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """A fault of all engines of some failure domains; times are in seconds."""

    fault: EngineFault
    begins_at: float
    ends_at: float
    domains: tuple[str, ...] = DOMAINS

    def covers(self, upstream: UpstreamInstance, now: float) -> bool:
        """Whether the engine has this fault now."""
        is_during = self.begins_at <= now < self.ends_at
        return is_during and upstream.failure_domain in self.domains


@dataclass(frozen=True, slots=True)
class Deployment:
    """The size of a deployment, and its streams per second."""

    instances: int
    engines: int
    streams_per_s: float


SMALL = Deployment(7, 12, 3.1)
GROWN = Deployment(86, 60, 18.0)


@dataclass(slots=True)
class StreamRecord:
    """What the caller of one stream got; times are in seconds."""

    sent_at: float
    arrivals: list[float] = field(default_factory=list)
    events: int = 0
    last_event_at: float | None = None
    longest_gap_s: float = 0.0
    is_complete: bool = False
    is_broken: bool = False


@dataclass(slots=True)
class StreamOwner:
    """One stream: its state machine, and its attempts that were not cancelled."""

    relay: Relay
    record: StreamRecord
    live: set[int] = field(default_factory=set)


@dataclass(slots=True)
class StreamSimulation:
    """Engines, instances and streams on a virtual clock."""

    deployment: Deployment
    faults: tuple[FaultSpan, ...]
    shared_states: list[RelayShared]
    random: random.Random
    scheduler: EventScheduler = field(default_factory=EventScheduler)
    records: list[StreamRecord] = field(default_factory=list)

    def at(self, when: float, call: Callable[[float], None]) -> None:
        """Run `call` with the time when the virtual clock reaches it."""
        scheduler = self.scheduler
        scheduler.call_after(when - scheduler.now, lambda: call(scheduler.now))

    def fault_of(self, upstream: UpstreamInstance, now: float) -> FaultSpan | None:
        """Return the fault that an engine has now."""
        return next((span for span in self.faults if span.covers(upstream, now)), None)

    def begin_stream(self, now: float) -> None:
        """Let a new stream arrive at one of the instances."""
        shared = self.random.choice(self.shared_states)
        shared.selector.advance_clock(now)
        relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            deadline=now + TIMEOUT_S,
            arrived_at=now,
            timeout_s=TIMEOUT_S,
            target_latency_s=TARGET_S,
            longest_gap_s=LONGEST_GAP_S,
            max_attempts=MAX_ATTEMPTS,
        )
        relay.request = replace(relay.request, request_id=f"q{len(self.records)}")
        owner = StreamOwner(relay, StreamRecord(now))
        self.records.append(owner.record)
        self.carry_out(owner, relay.start(now), now)

    def carry_out(
        self, owner: StreamOwner, actions: Iterable[RelayAction], now: float
    ) -> None:
        """Carry out a stream's actions, and wake it when it asks for that."""
        record = owner.record
        for action in actions:
            match action:
                case StartRelay():
                    owner.live.add(action.attempt)
                    self.at(
                        now + NETWORK_S,
                        lambda at, start=action: self.arrive(owner, start, at),
                    )
                case CancelAttempt(attempt):
                    owner.live.discard(attempt)
                case ProbeUpstream():
                    self.probe(owner, action, now)
                case DeliverEvents():
                    if record.last_event_at is not None:
                        gap_s = now - record.last_event_at
                        record.longest_gap_s = max(record.longest_gap_s, gap_s)
                    record.events += 1
                    record.last_event_at = now
                case EndStream():
                    record.is_complete = True
                case BreakStream() | Fail():
                    record.is_broken = True
        if not owner.relay.is_over:
            wake_at = max(owner.relay.wake_at(), now + 0.001)
            self.at(wake_at, lambda at: self.wake(owner, at))

    def wake(self, owner: StreamOwner, now: float) -> None:
        """Tick a stream if it is due; an earlier event may have moved its wake time."""
        if owner.relay.is_over or now < owner.relay.wake_at():
            return
        owner.relay.shared.selector.advance_clock(now)
        self.carry_out(owner, owner.relay.tick(now), now)

    def deliver(self, owner: StreamOwner, event: RelayEvent, now: float) -> None:
        """Pass an attempt's event to its stream."""
        if event.attempt in owner.live and not owner.relay.is_over:
            owner.relay.shared.selector.advance_clock(now)
            self.carry_out(owner, owner.relay.handle(event, now), now)

    def arrive(self, owner: StreamOwner, start: StartRelay, now: float) -> None:
        """Let an attempt reach its engine."""
        if start.attempt not in owner.live:
            return
        owner.record.arrivals.append(now)
        span = self.fault_of(start.upstream, now)
        if span is not None and span.fault in (EngineFault.SHEDS, EngineFault.RESETS):
            self.end_attempt(owner, start, span.fault, has_run=False, now=now)
            return
        wait_s = RESUME_FROM_COPY_S if start.from_copy else PREFILL_S
        self.at(now + wait_s, lambda at: self.open_stream(owner, start, at))

    def open_stream(self, owner: StreamOwner, start: StartRelay, now: float) -> None:
        """Begin to send events once the prompt was read."""
        opened = StreamOpened(start.attempt, now, ())
        self.deliver(owner, opened, now)
        self.send_event(owner, start, (start.resume_after or 0) + 1, now)

    def send_event(
        self, owner: StreamOwner, start: StartRelay, number: int, now: float
    ) -> None:
        """Send the next event of an attempt, or do what its engine's fault says."""
        if start.attempt not in owner.live or owner.relay.is_over:
            return
        span = self.fault_of(start.upstream, now)
        if span is not None and span.fault is EngineFault.SILENT:
            self.at(span.ends_at, lambda at: self.send_event(owner, start, number, at))
            return
        if span is not None and span.fault is EngineFault.DARK:
            return
        if span is not None:
            self.end_attempt(owner, start, span.fault, has_run=True, now=now)
            return
        if number > EVENTS:
            self.deliver(owner, StreamFinished(start.attempt, now), now)
            return
        payload = str(number).encode()
        self.deliver(owner, EventArrived(start.attempt, now, payload, number), now)
        self.at(
            now + EVENT_GAP_S,
            lambda at: self.send_event(owner, start, number + 1, at),
        )

    def end_attempt(
        self,
        owner: StreamOwner,
        start: StartRelay,
        fault: EngineFault,
        has_run: bool,
        now: float,
    ) -> None:
        """Report the end of an attempt by its engine's fault."""
        cause, verdict = AttemptCause.LOST, Verdict.MAY_HAVE_RUN
        if fault is EngineFault.SHEDS and not has_run:
            cause = AttemptCause.NO_COPY if start.from_copy else AttemptCause.OVERLOADED
            verdict = Verdict.NOT_RUN
        at = now + NETWORK_S
        event = AttemptFailed(start.attempt, at, cause, verdict)
        self.at(at, lambda then: self.deliver(owner, event, then))

    def probe(self, owner: StreamOwner, action: ProbeUpstream, now: float) -> None:
        """Answer a probe, or let it time out."""
        number = action.attempt
        if self.fault_of(action.upstream, now) is not None:
            at = now + PROBE_TIMEOUT_S
            probed = UpstreamProbed(number, at, None)
        else:
            at = now + 2 * NETWORK_S
            attempt = owner.relay.attempts[number]
            made = {owner.relay.request.request_id: attempt.events}
            running = {} if not attempt.has_event else made
            report = UpstreamReport("1", 1, 0, 0, 88_000, running)
            probed = UpstreamProbed(number, at, report)
        self.at(at, lambda then: self.deliver(owner, probed, then))


def make_simulation(
    deployment: Deployment,
    faults: tuple[FaultSpan, ...],
    until: float,
    seed: int = 1,
    bounds: RetryBounds = BOUNDS,
) -> StreamSimulation:
    """Return a simulation in which streams arrive at random until `until`."""
    shared_states = []
    for number in range(deployment.instances):
        shared = make_relay_shared(deployment.engines)
        shared.random.seed(seed * 1000 + number)
        shared.selector.random.seed(seed * 2000 + number)
        shared.set_budgets(
            bounds.instance_ratio(), bounds.reserve(deployment.instances)
        )
        shared_states.append(shared)
    simulation = StreamSimulation(
        deployment, faults, shared_states, random.Random(seed)
    )
    now = 0.0
    while now < until:
        simulation.at(now, simulation.begin_stream)
        now += simulation.random.expovariate(deployment.streams_per_s)
    return simulation


def worst_excess(
    records: Iterable[StreamRecord], bounds: RetryBounds = BOUNDS
) -> float:
    """Return the most that any window's repeats exceed their limit; at most 0 is good.

    A repeat is each arrival beyond the first of its request. The requests counted are
    those of the window, of the one before it, or of the one half a window before it,
    whichever are most.
    """
    records = list(records)
    sent = sorted(record.sent_at for record in records)
    repeats = sorted(at for record in records for at in record.arrivals[1:])

    def requests(begins_at: float) -> int:
        ends_at = begins_at + BUDGET_WINDOW_S
        return bisect_left(sent, ends_at) - bisect_left(sent, begins_at)

    worst = -bounds.slack
    for first, begins_at in enumerate(repeats):
        count = bisect_left(repeats, begins_at + BUDGET_WINDOW_S) - first
        most = max(
            requests(begins_at - shift * BUDGET_WINDOW_S) for shift in (0.0, 0.5, 1.0)
        )
        worst = max(worst, count - bounds.ratio * most - bounds.slack)
    return worst

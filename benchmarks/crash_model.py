"""A model of requests that crash engines, behind production decisions.

Several entry instances relay streams over one set of engines on a virtual clock. An
engine that begins to write an answer on a bad part ends, with all that it runs, and is
back under another name some seconds later. Counted are the crashes, the sends of
requests with the part, and how many sound streams begin at their first attempt.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from benchmarks.load_model import EventScheduler
from benchmarks.stream_faults import (
    BOUNDS,
    EVENT_GAP_S,
    EVENTS,
    LONGEST_GAP_S,
    MAX_ATTEMPTS,
    NETWORK_S,
    PREFILL_S,
    RESUME_FROM_COPY_S,
    TARGET_S,
    TIMEOUT_S,
    Deployment,
)
from tests.common.relay_fixtures import (
    DOMAINS,
    SERVICE,
    make_relay_shared,
    make_test_relay,
)
from turmericusher.decisions.crash_records import (
    CrashRecord,
    LedgerRecord,
    SoundRecord,
    TrialRecord,
    request_traits,
)
from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.reachability import RECHECK_INTERVAL_S
from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptFailed,
    BreakStream,
    ClaimTrial,
    DeliverEvents,
    EndStream,
    EventArrived,
    ProbeUpstream,
    RelayAction,
    RelayEvent,
    StartRelay,
    StreamFinished,
    StreamOpened,
    TraitBlocked,
    TrialClaimed,
    UpstreamProbed,
    UpstreamReport,
)
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import Verdict

RESTART_S = 1.5
"""Seconds from the end of an engine until another one runs in its place."""

LISTED_S = 0.5
"""Seconds after which all instances see a change of the list of engines."""

CRASH_AFTER_S = 0.06
"""Seconds from the beginning of the answer to the end of the engine."""

CHECK_S = 0.004
"""Seconds that a check of an engine takes."""

PUBLISH_S = 0.1
STORE_DELAY_S = 0.55
"""Seconds between two writes of an instance, and until all others have seen one."""

SHARED_FIRST_PARTS = 4
SUBJECTS = 30
"""Parts that sound requests share: one of the first, and then perhaps a subject."""


@dataclass(frozen=True, slots=True)
class CrashTraffic:
    """What is played; times are in seconds.

    `bad_per_s` requests with the bad part arrive between `bad_from` and `ends_at`. The
    part crashes engines until `bad_until`. `domain_crashes` are times at which all
    engines of a domain crash, `resets` those at which each connection is reset with
    probability a half, `restarts` those at which some instances start again.
    """

    deployment: Deployment
    bad_per_s: float = 1.0
    bad_from: float = 6.0
    bad_until: float = 1e9
    ends_at: float = 30.0
    bad_subjects: bool = False
    is_bad_part_first: bool = False
    domain_crashes: tuple[float, ...] = ()
    resets: tuple[float, ...] = ()
    restarts: tuple[float, ...] = ()
    store_cuts: tuple[tuple[float, float], ...] = ()


BAD = "bad0"


@dataclass(slots=True)
class CrashStream:
    """One stream and what became of it."""

    relay: Relay
    instance: int
    sent_at: float
    is_bad: bool
    live: dict[int, StartRelay] = field(default_factory=dict)
    sends: list[float] = field(default_factory=list)
    has_begun: bool = False
    is_complete: bool = False
    failure: Fail | None = None


@dataclass(slots=True)
class CrashSimulation:
    """Engines, instances and streams on a virtual clock.

    `engines` maps the names of the engines that run to them, `listed` is the list that
    all instances see. `ended_at` has when an engine ended. `checking` are the numbers
    of the instances that try connections to engines.
    """

    traffic: CrashTraffic
    random: random.Random
    shared_states: list[RelayShared] = field(default_factory=list)
    scheduler: EventScheduler = field(default_factory=EventScheduler)
    engines: dict[str, UpstreamInstance] = field(default_factory=dict)
    listed: dict[str, UpstreamInstance] = field(default_factory=dict)
    streams: list[CrashStream] = field(default_factory=list)
    open_streams: list[CrashStream] = field(default_factory=list)
    store: dict[str, CrashRecord | SoundRecord] = field(default_factory=dict)
    trials: dict[str, TrialRecord] = field(default_factory=dict)
    bad_crashes: list[float] = field(default_factory=list)
    checking: set[int] = field(default_factory=set)
    store_writes: int = 0
    engine_count: int = 0

    def at(self, when: float, call: Callable[[float], None]) -> None:
        """Run `call` with the time when the virtual clock reaches it."""
        scheduler = self.scheduler
        scheduler.call_after(when - scheduler.now, lambda: call(scheduler.now))

    # Engines

    def start_engine(self, place: int, now: float) -> None:
        """Start an engine and list it a little later."""
        self.engine_count += 1
        engine = UpstreamInstance(
            name=f"u{place}-{self.engine_count}",
            service=SERVICE,
            kind=UpstreamKind.SERVICE,
            address=f"127.0.0.1:{place + 1}",
            failure_domain=DOMAINS[place % len(DOMAINS)],
            incarnation=str(self.engine_count),
        )
        self.engines[engine.name] = engine
        self.at(now + LISTED_S, lambda at: self.list_engine(engine.name, engine, at))

    def list_engine(
        self, name: str, engine: UpstreamInstance | None, now: float
    ) -> None:
        """Let all instances see an engine, or that it is gone."""
        if engine is None:
            self.listed.pop(name, None)
        else:
            self.listed[name] = engine
        for shared in self.shared_states:
            shared.selector.advance_clock(now)
            shared.selector.update(self.listed.values())

    def crash(self, name: str, now: float, by_bad_part: bool = False) -> None:
        """End an engine with all that it runs; another one starts later."""
        engine = self.engines.pop(name, None)
        if engine is None:
            return
        if by_bad_part:
            self.bad_crashes.append(now)
        for stream in list(self.open_streams):
            for start in list(stream.live.values()):
                if start.upstream.name == name:
                    self.lose(stream, start, now)
        place = int(name[1:].partition("-")[0])
        self.at(now + 3 * LISTED_S, lambda at: self.list_engine(name, None, at))
        self.at(now + RESTART_S, lambda at: self.start_engine(place, at))

    def crash_domain(self, now: float) -> None:
        """End all engines of one failure domain."""
        domain = self.random.choice(DOMAINS)
        for engine in list(self.engines.values()):
            if engine.failure_domain == domain:
                self.crash(engine.name, now)

    def reset_connections(self, now: float) -> None:
        """Break about half of the connections; the engines go on."""
        for stream in list(self.open_streams):
            for start in list(stream.live.values()):
                if self.random.random() < 0.5:
                    self.lose(stream, start, now)

    def lose(self, stream: CrashStream, start: StartRelay, now: float) -> None:
        """Report that an attempt's connection was closed."""
        stream.live.pop(start.attempt, None)
        event = AttemptFailed(
            start.attempt, now, AttemptCause.LOST, Verdict.MAY_HAVE_RUN
        )
        self.deliver(stream, event, now)

    # Instances

    def add_instance(self, number: int, now: float) -> None:
        """Start an instance, or start one again, which knows what the store has."""
        names = [f"e{each}" for each in range(self.traffic.deployment.instances)]
        shared = make_relay_shared(0)
        shared.selector.own = names[number]
        shared.random.seed(number + round(now))
        shared.selector.random.seed(number + 1 + round(now))
        shared.selector.advance_clock(now)
        shared.selector.update(self.listed.values())
        shared.set_budgets(BOUNDS.instance_ratio(), BOUNDS.reserve(len(names)))
        shared.crashes.update_instances(names[number], names)
        if number < len(self.shared_states):
            self.shared_states[number] = shared
            for stream in [s for s in self.open_streams if s.instance == number]:
                self.open_streams.remove(stream)
        else:
            self.shared_states.append(shared)
        for record in [*self.store.values(), *self.trials.values()]:
            merge(shared, record, now)

    def restart_instances(self, now: float) -> None:
        """Kill a third of the instances, which start again at once."""
        count = len(self.shared_states)
        for number in self.random.sample(range(count), max(1, count // 3)):
            self.add_instance(number, now)

    def has_store(self, number: int, now: float) -> bool:
        """Whether an instance reaches the store; the first one may be cut off."""
        return self.has_had_store(number, now, 0.0)

    def has_had_store(self, number: int, now: float, for_s: float) -> bool:
        """Whether an instance has reached the store for some seconds."""
        cuts = self.traffic.store_cuts if number == 0 else ()
        return not any(begins <= now < ends + for_s for begins, ends in cuts)

    def publish(self, now: float) -> None:
        """Write what the instances have for the store, and show it to the others."""
        for number, shared in enumerate(self.shared_states):
            if not self.has_store(number, now):
                continue
            for record in shared.crashes.unpublished(now):
                self.store_writes += 1
                self.write(record)
                shared.crashes.mark_published(record)
        self.at(now + PUBLISH_S, self.publish)

    def write(self, record: CrashRecord | SoundRecord) -> None:
        """Merge a record into the store and show the result to all instances later."""
        key = record.trait if isinstance(record, SoundRecord) else record.death
        known = self.store.get(key)
        if isinstance(record, CrashRecord) and isinstance(known, CrashRecord):
            record = replace(record, chains=record.chains | known.chains)
        if isinstance(record, SoundRecord) and isinstance(known, SoundRecord):
            record = replace(record, deaths=record.deaths | known.deaths)
        self.store[key] = record
        written = record
        self.at(self.scheduler.now + STORE_DELAY_S, lambda at: self.show(written, at))

    def show(self, record: LedgerRecord, now: float) -> None:
        """Let all instances that reach the store see a record."""
        for number, shared in enumerate(self.shared_states):
            if not self.has_store(number, now):
                self.at(now + 1.0, lambda at: self.show(record, at))
                continue
            merge(shared, record, now)
            self.apply_blocks(number, now)

    def apply_blocks(self, number: int, now: float) -> None:
        """End the running requests that are now known to crash engines."""
        for stream in list(self.open_streams):
            if stream.instance == number and stream.relay.end_is_due():
                self.carry_out(stream, stream.relay.handle(TraitBlocked(), now), now)

    def check_losses(self, number: int, now: float) -> None:
        """Check the engines that may have ended."""
        ledger = self.shared_states[number].crashes
        for engine in ledger.unchecked_losses():
            ledger.begin_check(engine)

            def record(at: float, engine: UpstreamInstance = engine) -> None:
                is_running = engine.name in self.engines
                state = EndState.RUNNING if is_running else EndState.ENDED
                if ledger.record_check(engine, state, at) is not None:
                    self.apply_blocks(number, at)

            self.at(now + CHECK_S, record)

    def check_reach(self, number: int, now: float) -> None:
        """Try connections to engines if attempts could not connect, until one can."""
        reach = self.shared_states[number].reach

        def record(engine: UpstreamInstance, began_at: float, at: float) -> None:
            if engine.name in self.engines:
                reach.record_success(engine.service, began_at)
            else:
                reach.record_failure(engine, began_at, at)

        def check_again(at: float) -> None:
            self.checking.discard(number)
            self.check_reach(number, at)

        for engine in reach.due_checks(now):
            self.at(now + CHECK_S, partial(record, engine, now))
        if reach.has_doubts() and number not in self.checking:
            self.checking.add(number)
            self.at(now + RECHECK_INTERVAL_S, check_again)

    def claim_trial(self, stream: CrashStream, trait: str, now: float) -> bool:
        """Write a trial to the store unless it has one that is not known here."""
        if not self.has_store(stream.instance, now):
            return False
        ledger = stream.relay.shared.crashes
        record, known = ledger.next_trial(trait, now), self.trials.get(trait)
        if known is not None and known.number >= record.number:
            ledger.merge_trial(known, now)
            return False
        self.trials[trait] = record
        ledger.merge_trial(record, now)
        self.at(now + STORE_DELAY_S, lambda at: self.show(record, at))
        return True

    # Streams

    def begin_stream(self, is_bad: bool, now: float) -> None:
        """Let a new stream arrive at one of the instances."""
        number = self.random.randrange(len(self.shared_states))
        shared = self.shared_states[number]
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
        relay.request = replace(
            relay.request,
            request_id=f"q{len(self.streams)}",
            body=f"{len(self.streams)}".encode(),
            prompt_parts=self.draw_parts(is_bad),
        )
        relay.traits = request_traits(relay.request)
        stream = CrashStream(relay, number, now, is_bad)
        self.streams.append(stream)
        self.open_streams.append(stream)
        self.carry_out(stream, relay.start(now), now)

    def draw_parts(self, is_bad: bool) -> tuple[str, ...]:
        """Return the parts of a request's prompt, of which the last is its own."""
        first = f"first{self.random.randrange(SHARED_FIRST_PARTS)}"
        subject = f"subject{self.random.randrange(SUBJECTS)}"
        parts = [first]
        if self.random.random() < 0.5:
            parts.append(subject)
        if is_bad and self.traffic.is_bad_part_first:
            parts = [BAD, *parts[1:]]
        elif is_bad:
            parts.append(BAD)
        return (*parts, f"own{len(self.streams)}")

    def carry_out(
        self, stream: CrashStream, actions: list[RelayAction], now: float
    ) -> None:
        """Carry out a stream's actions, and wake it when it asks for that."""
        for action in actions:
            match action:
                case StartRelay():
                    stream.live[action.attempt] = action
                    self.at(
                        now + NETWORK_S,
                        lambda at, start=action: self.arrive(stream, start, at),
                    )
                case CancelAttempt(attempt):
                    stream.live.pop(attempt, None)
                case ProbeUpstream():
                    self.probe(stream, action, now)
                case ClaimTrial(trait):
                    is_granted = self.claim_trial(stream, trait, now)
                    self.at(
                        now + CHECK_S,
                        lambda at, granted=is_granted: self.deliver(
                            stream, TrialClaimed(granted), at
                        ),
                    )
                case DeliverEvents():
                    stream.has_begun = True
                case EndStream():
                    stream.is_complete = True
                case BreakStream():
                    pass
                case Fail():
                    stream.failure = action
        if stream.relay.is_over:
            if stream in self.open_streams:
                self.open_streams.remove(stream)
            return
        wake_at = max(stream.relay.wake_at(), now + 0.001)
        self.at(wake_at, lambda at: self.wake(stream, at))

    def wake(self, stream: CrashStream, now: float) -> None:
        """Tick a stream if it is due; an earlier event may have moved its wake time."""
        is_open = stream in self.open_streams
        if is_open and now >= stream.relay.wake_at():
            stream.relay.shared.selector.advance_clock(now)
            self.carry_out(stream, stream.relay.tick(now), now)

    def deliver(self, stream: CrashStream, event: RelayEvent, now: float) -> None:
        """Pass an attempt's event to its stream."""
        if stream not in self.open_streams:
            return
        stream.relay.shared.selector.advance_clock(now)
        actions = stream.relay.handle(event, now)
        self.check_losses(stream.instance, now)
        self.check_reach(stream.instance, now)
        self.carry_out(stream, actions, now)

    def arrive(self, stream: CrashStream, start: StartRelay, now: float) -> None:
        """Let an attempt reach its engine, or find that it has ended."""
        if start.attempt not in stream.live or stream not in self.open_streams:
            return
        if start.upstream.name not in self.engines:
            stream.live.pop(start.attempt)
            event = AttemptFailed(
                start.attempt, now, AttemptCause.UNREACHABLE, Verdict.NOT_RUN
            )
            self.deliver(stream, event, now)
            return
        stream.sends.append(now)
        wait_s = RESUME_FROM_COPY_S if start.from_copy else PREFILL_S
        self.at(now + wait_s, lambda at: self.open_stream(stream, start, at))

    def open_stream(self, stream: CrashStream, start: StartRelay, now: float) -> None:
        """Begin to send events once the prompt was read, or crash the engine."""
        if start.attempt not in stream.live or stream not in self.open_streams:
            return
        if stream.is_bad and now < self.traffic.bad_until:
            name = start.upstream.name
            self.at(now + CRASH_AFTER_S, lambda at: self.crash(name, at, True))
            return
        self.deliver(stream, StreamOpened(start.attempt, now, ()), now)
        self.send_event(stream, start, (start.resume_after or 0) + 1, now)

    def send_event(
        self, stream: CrashStream, start: StartRelay, number: int, now: float
    ) -> None:
        """Send the next event of an attempt."""
        if start.attempt not in stream.live or stream not in self.open_streams:
            return
        if number > EVENTS:
            self.deliver(stream, StreamFinished(start.attempt, now), now)
            return
        payload = str(number).encode()
        self.deliver(stream, EventArrived(start.attempt, now, payload, number), now)
        self.at(
            now + EVENT_GAP_S,
            lambda at: self.send_event(stream, start, number + 1, at),
        )

    def probe(self, stream: CrashStream, action: ProbeUpstream, now: float) -> None:
        """Answer a probe; an engine that has ended does not."""
        attempt = stream.relay.attempts[action.attempt]
        report = None
        if action.upstream.name in self.engines:
            made = {stream.relay.request.request_id: attempt.events}
            running = {} if not attempt.has_event else made
            incarnation = action.upstream.incarnation
            report = UpstreamReport(incarnation, 1, 0, 0, 88_000, running)
        probed = UpstreamProbed(action.attempt, now + CHECK_S, report)
        self.at(now + CHECK_S, lambda at: self.deliver(stream, probed, at))

    # Results

    def late_bad_sends(self, after_crash: int, settle_s: float) -> int:
        """Return the sends of requests with the part that came too late.

        Those of an instance that did not have the store all that time do not count: it
        cannot know what the others have seen.
        """
        if len(self.bad_crashes) < after_crash:
            return 0
        from_s = sorted(self.bad_crashes)[after_crash - 1] + settle_s
        return sum(
            at > from_s and self.has_had_store(s.instance, at, settle_s)
            for s in self.streams
            if s.is_bad
            for at in s.sends
        )

    def share_begun(self, from_s: float, until_s: float) -> float:
        """Return the share of sound streams sent in a span that have begun."""
        sound = [s for s in self.streams if not s.is_bad]
        sent = [s.has_begun for s in sound if from_s <= s.sent_at < until_s]
        return sum(sent) / max(1, len(sent))


def merge(shared: RelayShared, record: LedgerRecord, now: float) -> None:
    """Let an instance see a record of the store."""
    match record:
        case SoundRecord():
            shared.crashes.merge_sound(record, now)
        case TrialRecord():
            shared.crashes.merge_trial(record, now)
        case CrashRecord():
            shared.crashes.merge_crash(record, now)


def simulate_crashes(traffic: CrashTraffic, seed: int = 1) -> CrashSimulation:
    """Play some traffic and return the simulation at its end."""
    simulation = CrashSimulation(traffic, random.Random(seed))
    for place in range(traffic.deployment.engines):
        simulation.start_engine(place, 0.0)
    simulation.scheduler.run(LISTED_S)
    for number in range(traffic.deployment.instances):
        simulation.add_instance(number, LISTED_S)
    simulation.at(LISTED_S, simulation.publish)
    for at in traffic.domain_crashes:
        simulation.at(at, simulation.crash_domain)
    for at in traffic.resets:
        simulation.at(at, simulation.reset_connections)
    for at in traffic.restarts:
        simulation.at(at, simulation.restart_instances)
    now = LISTED_S
    while now < traffic.ends_at:
        simulation.at(now, lambda at: simulation.begin_stream(False, at))
        now += simulation.random.expovariate(traffic.deployment.streams_per_s)
    now = traffic.bad_from
    while now < traffic.ends_at:
        simulation.at(now, lambda at: simulation.begin_stream(True, at))
        now += simulation.random.expovariate(traffic.bad_per_s)
    simulation.scheduler.run(traffic.ends_at + 5.0)
    return simulation

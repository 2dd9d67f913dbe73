"""Test that no stream runs at two engines, under any order of troubles at engines.

The decisions of a relayed stream and of the runs that it left are played against a
model of engines that work on whether or not their connections last.
"""

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

from tests.common.relay_fixtures import make_relay_shared, make_test_relay
from turmericusher.decisions.generation_messages import CancelAttempt
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptConnected,
    AttemptFailed,
    EventArrived,
    LoadsReported,
    MemoryCopied,
    MemoryCopy,
    ProbeUpstream,
    QueryLoads,
    ReportState,
    RunStopped,
    SettleRun,
    StartRelay,
    StoppedRun,
    StopRun,
    UpstreamProbed,
    UpstreamReport,
)
from turmericusher.decisions.relay_messages import CopyMemory as CopyMemoryAction
from turmericusher.decisions.routing import RequestKind
from turmericusher.decisions.run_ends import RunEnd, is_final
from turmericusher.errors import Verdict
from turmericusher.standins.working_upstream import HANDOVER_LIMIT_S

UPSTREAMS = 4
STEP_S = 0.05
LONGEST_PAUSE_S = 1.2
REPORT_TIMEOUT_S = 0.15
STOP_TIMEOUT_S = 0.25
EVENT_GAP_S = 0.1
GO_ON_LIMIT_S = 2.0
"""Seconds within which output goes on after a loss; a pause may lie before."""


@dataclass(eq=False)
class ModelRun:
    """A run of the stream: its engine's name, its attempt, and its times in seconds."""

    engine: str
    attempt: int
    began_at: float
    position: int
    next_event_at: float
    is_heard: bool = True
    is_left: bool = False
    ended_at: float | None = None


@dataclass(eq=False)
class ModelEngine:
    """An engine, which stands still until `paused_until` and may be `crashed`."""

    paused_until: float = 0.0
    crashed: bool = False
    runs: list[ModelRun] = field(default_factory=list)


def unanswered_stop(is_gone):
    """Return what is known of a run when its engine does not answer the order."""
    end = RunEnd.UPSTREAM_ENDED if is_gone else RunEnd.UNKNOWN
    return StoppedRun(end, has_answered=False)


class TwoEnginesMachine(RuleBasedStateMachine):
    """Play one stream in steps of time; calls to engines are answered in later ones."""

    @initialize()
    def begin(self):
        self.now = 0.0
        self.shared = make_relay_shared(UPSTREAMS)
        self.relay = make_test_relay(
            RequestKind.RESUMABLE_STREAM,
            self.shared,
            deadline=60.0,
            reports_load=True,
            max_attempts=8,
            timeout_s=60.0,
            target_latency_s=2.0,
            longest_gap_s=0.7,
        )
        self.engines = {f"u{index}": ModelEngine() for index in range(UPSTREAMS)}
        self.runs = []
        self.due = []
        self.position, self.trouble_at, self.heard_at = 0, 0.0, 0.0
        self.execute(self.relay.start(self.now))

    def later(self, delay_s, answer):
        self.due.append((self.now + delay_s, answer))

    def execute(self, actions):
        for action in actions:
            match action:
                case StartRelay():
                    self.start_run(action)
                case CancelAttempt(attempt):
                    for run in self.runs:
                        run.is_left = run.is_left or run.attempt == attempt
                case QueryLoads(candidates):
                    self.later(0.0, lambda names=candidates: self.report_loads(names))
                case ProbeUpstream():
                    self.call(
                        action.upstream.name,
                        lambda probe=action: self.report_to(probe),
                        REPORT_TIMEOUT_S,
                        lambda is_gone, probe=action: UpstreamProbed(
                            probe.attempt,
                            self.now,
                            None,
                            ReportState.REFUSED if is_gone else ReportState.SILENT,
                        ),
                    )
                case StopRun():
                    self.call(
                        action.upstream.name,
                        lambda stop=action: self.confirm_stop(stop),
                        STOP_TIMEOUT_S,
                        lambda is_gone, stop=action: RunStopped(
                            stop.attempt, self.now, unanswered_stop(is_gone)
                        ),
                    )
                case SettleRun(run):
                    self.shared.run_ends.add(run)
                case CopyMemoryAction():
                    self.later(
                        0.0,
                        lambda copy=action: MemoryCopied(copy.attempt, self.now, None),
                    )

    def call(self, name, answer, timeout_s, failure):
        """Have an engine answer a call now, or fail it: at once if it is gone."""
        engine = self.engines[name]
        if engine.crashed:
            self.later(0.0, lambda: failure(True))
        elif self.now < engine.paused_until:
            self.later(timeout_s, lambda: failure(False))
        else:
            self.later(0.0, answer)

    def start_run(self, start):
        name, engine = start.upstream.name, self.engines[start.upstream.name]
        if engine.crashed:
            self.later(0.0, lambda: self.failed(start.attempt, connected=False))
            return
        self.relay.handle(AttemptConnected(start.attempt, self.now), self.now)
        position = start.resume_after or 0
        run = ModelRun(name, start.attempt, self.now, position, self.now + EVENT_GAP_S)
        engine.runs.append(run)
        self.runs.append(run)

    def failed(self, attempt, connected=True):
        cause = AttemptCause.LOST if connected else AttemptCause.UNREACHABLE
        verdict = Verdict.MAY_HAVE_RUN if connected else Verdict.NOT_RUN
        return AttemptFailed(attempt, self.now, cause, verdict)

    def report(self, name):
        made = {run.attempt: run.position for run in self.engines[name].runs}
        events = {"q1": max(made.values())} if made else {}
        return UpstreamReport("1", len(made), 0, 0, 88_000, events)

    def report_loads(self, candidates):
        reports = {
            each.name: self.report(each.name)
            for each in candidates
            if not self.engines[each.name].crashed
            and self.now >= self.engines[each.name].paused_until
        }
        return LoadsReported(self.now, reports)

    def report_to(self, probe):
        report = self.report(probe.upstream.name)
        return UpstreamProbed(probe.attempt, self.now, report, ReportState.ANSWERED)

    def stop(self, upstream, target):
        engine = self.engines[upstream.name]
        if not engine.runs:
            return StoppedRun(RunEnd.ABSENT)
        for run in list(engine.runs):
            self.end(run)
        return StoppedRun(RunEnd.STOPPED, MemoryCopy(target, upstream, "h"))

    def confirm_stop(self, stop):
        stopped = self.stop(stop.upstream, stop.target)
        return RunStopped(stop.attempt, self.now, stopped)

    def end(self, run):
        if run.ended_at is None:
            run.ended_at = self.now
            self.engines[run.engine].runs.remove(run)

    @rule(steps=st.integers(1, 6))
    def time_passes(self, steps):
        for _ in range(steps):
            self.now += STEP_S
            self.work()
            self.settle()
            answers = [answer for at, answer in self.due if at <= self.now]
            self.due = [each for each in self.due if each[0] > self.now]
            for answer in answers:
                self.execute(self.relay.handle(answer(), self.now))
            if self.relay.wake_at() <= self.now:
                self.execute(self.relay.tick(self.now))

    def work(self):
        """Have the engines notice closed connections and make their next events."""
        for engine in self.engines.values():
            if engine.crashed or self.now < engine.paused_until:
                continue
            for run in list(engine.runs):
                if run.is_left and run.is_heard:
                    self.end(run)
                elif self.now >= run.next_event_at:
                    run.position += 1
                    run.next_event_at = self.now + EVENT_GAP_S
                    if run.is_heard:
                        event = EventArrived(run.attempt, self.now, b"", run.position)
                        self.execute(self.relay.handle(event, self.now))

    def settle(self):
        """Ask about the runs that were left, as the task for that does."""
        for left in list(self.shared.run_ends.by_upstream.values()):
            engine = self.engines[left.upstream.name]
            for run in list(left.runs.values()):
                if engine.crashed:
                    self.shared.run_ends.record_end(run, RunEnd.UPSTREAM_ENDED)
                elif self.now >= engine.paused_until:
                    end = self.stop(left.upstream, run.target).end
                    if is_final(run, end, self.now):
                        self.shared.run_ends.record_end(run, end)

    def working(self):
        return [run for run in self.runs if run.ended_at is None]

    def strike(self):
        """Return the run that trouble comes to now."""
        self.trouble_at = self.now
        return self.working()[-1]

    has_run = precondition(lambda self: self.working())

    @has_run
    @rule()
    def the_open_connection_falls_silent(self):
        self.strike().is_heard = False

    @has_run
    @rule()
    def the_connection_is_reset_at_this_end_only(self):
        run = self.strike()
        if run.is_heard:
            run.is_heard = False
            failure = self.failed(run.attempt)
            self.execute(self.relay.handle(failure, self.now))

    @has_run
    @rule(steps=st.integers(1, round(LONGEST_PAUSE_S / STEP_S)))
    def the_engine_stands_still(self, steps):
        engine = self.engines[self.strike().engine]
        if self.now >= engine.paused_until + LONGEST_PAUSE_S:
            engine.paused_until = self.now + steps * STEP_S

    @has_run
    @rule()
    def the_engine_crashes(self):
        run = self.strike()
        if sum(engine.crashed for engine in self.engines.values()) >= UPSTREAMS - 2:
            return
        self.engines[run.engine].crashed = True
        for each in list(self.engines[run.engine].runs):
            self.end(each)
        if run.is_heard:
            self.execute(self.relay.handle(self.failed(run.attempt), self.now))

    @invariant()
    def no_run_goes_on_beside_a_later_one(self):
        for index, run in enumerate(getattr(self, "runs", [])):
            ended_at = self.now if run.ended_at is None else run.ended_at
            for later in self.runs[index + 1 :]:
                both_s = ended_at - later.began_at
                if later.engine != run.engine:
                    assert round(both_s, 3) <= HANDOVER_LIMIT_S, (run, later, both_s)

    @invariant()
    def a_stream_goes_on_in_time_after_the_last_trouble(self):
        if not hasattr(self, "relay"):
            return
        assert not self.relay.is_over
        if self.relay.position != self.position:
            self.position, self.heard_at = self.relay.position, self.now
        since = max(self.heard_at, self.trouble_at)
        assert self.now - since <= LONGEST_PAUSE_S + GO_ON_LIMIT_S, since


TestTwoEngines = TwoEnginesMachine.TestCase
TestTwoEngines.settings = settings(max_examples=150, stateful_step_count=40)

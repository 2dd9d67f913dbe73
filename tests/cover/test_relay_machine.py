"""Test a relayed request under any order of answers, deaths, stalls and changes."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.common.relay_parts import make_shared, make_upstream, started_relay
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.relay_messages import (
    AnswerArrived,
    AttemptCause,
    AttemptFailed,
    BreakStream,
    CheckHolder,
    CopyMemory,
    DeliverAnswer,
    DeliverEvents,
    EndStream,
    EventArrived,
    LoadsReported,
    MemoryCopied,
    MemoryCopy,
    ProbeUpstream,
    QueryLoads,
    RelayAnswer,
    StartRelay,
    StreamFinished,
    StreamOpened,
    UpstreamProbed,
    UpstreamReport,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import Verdict

UPSTREAMS = 6
LAST_EVENT = 6
MAX_ATTEMPTS = 4
NOT_RUN_CAUSES = (
    AttemptCause.OVERLOADED,
    AttemptCause.MISDIRECTED,
    AttemptCause.UNREACHABLE,
)
RUN_CAUSES = (AttemptCause.LOST, AttemptCause.MALFORMED, AttemptCause.FAILED)
LAST = (DeliverAnswer, EndStream, BreakStream, Fail)


class RelayMachine(RuleBasedStateMachine):
    """Track what really ran, and check what the caller is told against it."""

    @initialize(
        kind=st.sampled_from(list(RequestKind)),
        reports_load=st.booleans(),
        resume_after=st.sampled_from([None, None, 2]),
    )
    def begin(self, kind, reports_load, resume_after):
        self.now = 0.0
        self.shared = make_shared(UPSTREAMS)
        self.incarnations = dict.fromkeys(range(UPSTREAMS), 1)
        self.lives = dict.fromkeys(range(UPSTREAMS), Lifecycle.LIVE)
        if not kind.is_stream:
            resume_after = None
        self.relay = started_relay(
            kind,
            self.shared,
            resume_after,
            deadline=30.0,
            reports_load=reports_load,
            max_attempts=MAX_ATTEMPTS,
            target_latency_s=2.0,
        )
        self.kind = kind
        self.running = {}
        self.sent_to = {}
        self.next_event = {}
        self.asked = None
        self.truly_ran = 0
        self.received = list(range(1, (resume_after or 0) + 1))
        self.last = None
        self.carry_out(self.relay.start(self.now))

    def carry_out(self, actions):
        for action in actions:
            assert self.last is None, (action, self.last)
            match action:
                case StartRelay():
                    self.start(action)
                case CancelAttempt(attempt):
                    del self.running[attempt]
                case QueryLoads():
                    self.asked = action
                case DeliverEvents(payload):
                    self.received.append(int(payload))
                case ProbeUpstream() | CopyMemory() | CheckHolder():
                    assert action.attempt in self.running
                case _ if isinstance(action, LAST):
                    self.last = action
                    self.judge(action)

    def start(self, action):
        known = self.shared.selector.upstreams[action.upstream.name]
        assert known.lifecycle is Lifecycle.LIVE
        assert action.upstream.name not in self.shared.selector.replaced
        if action.standby is not None:
            assert action.standby.name != action.upstream.name
        self.running[action.attempt] = action
        self.next_event[action.attempt] = (action.resume_after or 0) + 1

    def judge(self, action):
        if isinstance(action, Fail) and action.verdict is Verdict.NOT_RUN:
            assert not self.truly_ran, "reported as not run, although an attempt ran"
        if isinstance(action, EndStream):
            assert self.received == list(range(1, LAST_EVENT + 1))

    def attempt(self, data):
        return data.draw(st.sampled_from(sorted(self.running)))

    def ran(self, attempt):
        """Count an attempt as run, once, as its upstream has begun to work on it."""
        key = (attempt, "ran")
        if key not in self.sent_to:
            self.sent_to[key] = True
            self.truly_ran += 1

    is_open = precondition(lambda self: self.last is None)
    has_attempt = precondition(lambda self: self.last is None and self.running)
    is_asking = precondition(lambda self: self.last is None and self.asked is not None)
    streams = precondition(
        lambda self: self.last is None and self.running and self.kind.is_stream
    )

    @is_asking
    @rule(names=st.sets(st.integers(0, UPSTREAMS - 1)), stale=st.booleans())
    def loads_come(self, names, stale):
        asked, self.asked = self.asked, None
        reports = {}
        for upstream in asked.candidates:
            index = int(upstream.name[1:])
            if index in names:
                incarnation = "old" if stale else str(self.incarnations[index])
                reports[upstream.name] = UpstreamReport(
                    incarnation, index, 0, 0, 88_000, {}
                )
        self.carry_out(self.relay.handle(LoadsReported(self.now, reports), self.now))

    @streams
    @rule(data=st.data())
    def an_event_comes(self, data):
        attempt = self.attempt(data)
        number = self.next_event[attempt]
        if number > LAST_EVENT:
            return
        self.ran(attempt)
        if number == (self.running[attempt].resume_after or 0) + 1:
            opened = StreamOpened(attempt, self.now, ())
            self.carry_out(self.relay.handle(opened, self.now))
        self.next_event[attempt] += 1
        event = EventArrived(attempt, self.now, str(number).encode(), number)
        self.carry_out(self.relay.handle(event, self.now))

    @streams
    @rule(data=st.data(), number=st.integers(1, LAST_EVENT))
    def a_wrong_event_comes(self, data, number):
        attempt = self.attempt(data)
        self.ran(attempt)
        event = EventArrived(attempt, self.now, str(number).encode(), number)
        if self.relay.position is None and number != 1:
            return
        self.next_event[attempt] = max(self.next_event[attempt], number + 1)
        self.carry_out(self.relay.handle(event, self.now))

    @streams
    @rule(data=st.data())
    def a_stream_ends(self, data):
        attempt = self.attempt(data)
        if self.next_event[attempt] <= LAST_EVENT:
            return
        if len(self.received) < LAST_EVENT:
            return
        finished = StreamFinished(attempt, self.now)
        self.carry_out(self.relay.handle(finished, self.now))

    @has_attempt
    @rule(data=st.data())
    def an_answer_comes(self, data):
        if self.kind.is_stream:
            return
        attempt = self.attempt(data)
        self.ran(attempt)
        answer = RelayAnswer(200, (), b"whole")
        arrived = AnswerArrived(attempt, self.now, answer)
        self.carry_out(self.relay.handle(arrived, self.now))

    @has_attempt
    @rule(data=st.data(), cause=st.sampled_from(NOT_RUN_CAUSES + RUN_CAUSES))
    def an_attempt_fails(self, data, cause):
        attempt = self.attempt(data)
        verdict = Verdict.MAY_HAVE_RUN
        if cause in NOT_RUN_CAUSES:
            if (attempt, "ran") in self.sent_to:
                return
            verdict = Verdict.NOT_RUN
            is_refusal = cause is AttemptCause.OVERLOADED
            if is_refusal and self.running[attempt].from_copy:
                cause = AttemptCause.NO_COPY
        else:
            self.ran(attempt)
        del self.running[attempt]
        failed = AttemptFailed(attempt, self.now, cause, verdict)
        self.carry_out(self.relay.handle(failed, self.now))

    @streams
    @rule(data=st.data(), index=st.integers(0, UPSTREAMS - 1), is_made=st.booleans())
    def a_copy_is_made(self, data, index, is_made):
        attempt = self.attempt(data)
        source = self.running[attempt].upstream
        holder = self.shared.selector.upstreams[f"u{index}"]
        if (
            holder.name == source.name
            or not self.relay.attempts[attempt].is_copy_pending
        ):
            return
        copy = MemoryCopy(holder, source.address, "h") if is_made else None
        copied = MemoryCopied(attempt, self.now, copy)
        self.carry_out(self.relay.handle(copied, self.now))

    @has_attempt
    @rule(
        data=st.data(),
        answers=st.booleans(),
        made=st.none() | st.integers(0, 9),
        waiting=st.integers(0, 1),
    )
    def a_probe_is_answered(self, data, answers, made, waiting):
        attempt = self.attempt(data)
        self.ran(attempt)
        upstream = self.running[attempt].upstream
        runs = {} if made is None else {"q1": made}
        report = UpstreamReport(upstream.incarnation, 1, waiting, 0, 88_000, runs)
        probed = UpstreamProbed(attempt, self.now, report if answers else None)
        self.carry_out(self.relay.handle(probed, self.now))

    @is_open
    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 4.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self.shared.selector.advance_clock(self.now)
        for attempt in self.running:
            self.ran(attempt)
        self.carry_out(self.relay.tick(self.now))

    @is_open
    @rule(index=st.integers(0, UPSTREAMS - 1), change=st.integers(0, 2))
    def an_upstream_changes(self, index, change):
        if change == 0:
            self.lives[index] = Lifecycle.LEAVING
        else:
            self.lives[index] = Lifecycle.LIVE
            self.incarnations[index] += 1
        self.shared.selector.update(
            make_upstream(number, self.lives[number], str(self.incarnations[number]))
            for number in range(UPSTREAMS)
        )

    @precondition(lambda self: self.last is not None)
    @rule(seconds=st.sampled_from([0.1, 40.0]))
    def nothing_follows_the_end(self, seconds):
        self.now += seconds
        assert self.relay.tick(self.now) == []
        assert self.relay.close() == []

    @invariant()
    def the_caller_holds_an_unbroken_beginning(self):
        if hasattr(self, "received"):
            assert self.received == list(range(1, len(self.received) + 1))

    @invariant()
    def what_must_not_repeat_runs_once(self):
        if hasattr(self, "kind") and not self.kind.may_repeat:
            assert self.truly_ran <= 1
            assert len(self.running) <= 1

    @invariant()
    def attempts_and_places_agree(self):
        if not hasattr(self, "relay"):
            return
        assert set(self.running) == set(self.relay.attempts) or self.last is not None
        placed = sum(self.shared.selector.in_flight.values())
        assert placed == len(self.relay.attempts)
        assert len(self.running) <= 2

    @invariant()
    def an_open_request_always_has_something_to_wait_for(self):
        if hasattr(self, "relay") and self.last is None:
            assert self.relay.wake_at() <= 30.0


TestRelay = RelayMachine.TestCase
TestRelay.settings = settings(max_examples=150, stateful_step_count=40)

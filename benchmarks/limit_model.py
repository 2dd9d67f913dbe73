"""A model of calls to upstreams that name a limit, behind production decisions.

Several entry instances send calls to one service on a virtual clock. An upstream that
names a limit does so in each answer. Counted are the sends that reach it from instances
that had such an answer half a second before, and what the callers get.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.load_model import EventScheduler
from tests.common.relay_fixtures import make_relay_shared, make_test_relay
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import (
    AnswerArrived,
    RelayAnswer,
    StartRelay,
)
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import Verdict

TELL_S = 0.5
"""Seconds after an answer with a limit from which on the instance must know it."""

SETTLE_S = 3.0
"""Seconds after an upstream first names a limit from which on it must be kept."""

WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
"""In each window an upstream may get its limit times the factor, plus the slack."""

RECORD_DELAY_S = 1.0
"""Seconds after which all instances have seen a change of another one's record."""

WORK_S = 0.045
CALL_DEADLINE_S = 2.5
TARGET_S = 0.2


@dataclass(frozen=True, slots=True)
class LimitSpan:
    """A limit in requests per second that some upstreams name for a time."""

    per_s: float
    begins_at: float
    ends_at: float
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Traffic:
    """Calls per second to a service, and how they are spread over its instances.

    `busy_share` of the calls go to the first instance, the rest evenly to all.
    `starts_at` is when the last instance begins to receive calls. From `burst_at` on
    there are `burst_factor` times as many.
    """

    instances: int
    upstreams: int
    calls_per_s: float
    busy_share: float = 0.0
    starts_at: float = 0.0
    burst_at: float = math.inf
    burst_factor: float = 1.0


@dataclass(slots=True)
class CallCounts:
    """What callers got; a refused caller that returns counts once."""

    served: int = 0
    refused: int = 0
    refusals: int = 0
    held_s: float = 0.0
    retry_times_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class LimitSimulation:
    """Instances and upstreams on a virtual clock."""

    traffic: Traffic
    spans: tuple[LimitSpan, ...]
    shared_states: list[RelayShared]
    random: random.Random
    scheduler: EventScheduler = field(default_factory=EventScheduler)
    told_at: dict[tuple[int, str], float] = field(default_factory=dict)
    told_sends: dict[str, list[float]] = field(default_factory=dict)
    sends: dict[str, list[float]] = field(default_factory=dict)
    counts: CallCounts = field(default_factory=CallCounts)

    def at(self, when: float, call: Callable[[float], None]) -> None:
        """Run `call` with the time when the virtual clock reaches it."""
        scheduler = self.scheduler
        scheduler.call_after(when - scheduler.now, lambda: call(scheduler.now))

    def limit_of(self, upstream: str, now: float) -> float | None:
        """Return the limit that an upstream names now."""
        for span in self.spans:
            if upstream in span.upstreams and span.begins_at <= now < span.ends_at:
                return span.per_s
        return None

    def exchange_claims(self, now: float) -> None:
        """Let every instance see in the store which limits the others share."""
        claims = {
            f"e{number}": shared.send_limits.claims()
            for number, shared in enumerate(self.shared_states)
        }
        for number, shared in enumerate(self.shared_states):
            shared.send_limits.update_instances(f"e{number}", claims)
            shared.send_limits.drop_lifted(now)

    def choose_instance(self, now: float) -> int:
        """Return the instance that a call goes to."""
        if self.random.random() < self.traffic.busy_share:
            return 0
        count = self.traffic.instances - (now < self.traffic.starts_at)
        return self.random.randrange(count)

    def begin_call(self, now: float, deadline: float, can_return: bool) -> None:
        """Let a call arrive at an instance."""
        index = self.choose_instance(now)
        shared = self.shared_states[index]
        shared.selector.advance_clock(now)
        relay = make_test_relay(
            RequestKind.NON_IDEMPOTENT,
            shared,
            deadline=deadline,
            arrived_at=now,
            target_latency_s=TARGET_S,
            timeout_s=CALL_DEADLINE_S,
        )
        actions = relay.start(now)
        if not actions:
            self.counts.held_s += deadline - now
            return
        (action,) = actions
        if isinstance(action, StartRelay):
            self.send(index, action, now)
            answer = AnswerArrived(action.attempt, now, RelayAnswer(200, (), b""))
            self.at(
                now + WORK_S, lambda at: self.answer(index, action, relay, answer, at)
            )
            return
        assert isinstance(action, Fail), action
        assert action.verdict is Verdict.NOT_RUN, action
        self.counts.refusals += 1
        retry_after_s = action.retry_after_s or 0.0
        self.counts.retry_times_s.append(retry_after_s)
        if can_return and retry_after_s <= (deadline - now) / 3:
            self.at(
                now + retry_after_s,
                lambda at: self.begin_call(at, deadline, can_return=False),
            )
        else:
            self.counts.refused += 1

    def send(self, index: int, start: StartRelay, now: float) -> None:
        """Count a send, and whether its instance had been told of a limit."""
        name = start.upstream.name
        self.sends.setdefault(name, []).append(now)
        if now - self.told_at.get((index, name), now) >= TELL_S:
            self.told_sends.setdefault(name, []).append(now)

    def answer(
        self,
        index: int,
        start: StartRelay,
        relay: Relay,
        answer: AnswerArrived,
        now: float,
    ) -> None:
        """Answer a call, with the limit that the upstream names."""
        name = start.upstream.name
        limit = self.limit_of(name, now)
        if limit is not None:
            self.told_at.setdefault((index, name), now)
        self.shared_states[index].send_limits.record_answer(start.upstream, limit, now)
        relay.handle(answer, now)
        self.counts.served += 1

    def worst_excess(self, span: LimitSpan) -> float:
        """Return by how much the worst window exceeds what the limit allows."""
        allowed = LIMIT_FACTOR * span.per_s * WINDOW_S + LIMIT_SLACK
        worst = -allowed
        for name in span.upstreams:
            sends = self.told_sends.get(name, [])
            for first, begins_at in enumerate(sends):
                ends_at = begins_at + WINDOW_S
                if begins_at < span.begins_at + SETTLE_S or ends_at > span.ends_at:
                    continue
                count = bisect_left(sends, ends_at) - first
                worst = max(worst, count - allowed)
        return worst

    def mean_rate(self, name: str, begins_at: float, ends_at: float) -> float:
        """Return the sends per second that an upstream got in a span."""
        sends = self.sends.get(name, [])
        count = bisect_left(sends, ends_at) - bisect_left(sends, begins_at)
        return count / (ends_at - begins_at)


def simulate_limits(
    traffic: Traffic, spans: tuple[LimitSpan, ...], until: float = 30.0, seed: int = 1
) -> LimitSimulation:
    """Simulate calls that arrive at random until `until`, and run it to its end."""
    shared_states = []
    names = [f"e{number}" for number in range(traffic.instances)]
    for number in range(traffic.instances):
        shared = make_relay_shared(traffic.upstreams)
        shared.selector.own = names[number]
        shared.selector.update_instances(names)
        shared.send_limits.update_instances(
            names[number], dict.fromkeys(names, frozenset())
        )
        shared.selector.random.seed(seed * 2000 + number)
        shared.random.seed(seed * 1000 + number)
        shared_states.append(shared)
    simulation = LimitSimulation(traffic, spans, shared_states, random.Random(seed))
    for number in range(round(until / RECORD_DELAY_S)):
        simulation.at(number * RECORD_DELAY_S, simulation.exchange_claims)
    now = 0.0
    while now < until:
        simulation.at(
            now, lambda at: simulation.begin_call(at, at + CALL_DEADLINE_S, True)
        )
        factor = traffic.burst_factor if now >= traffic.burst_at else 1.0
        now += simulation.random.expovariate(factor * traffic.calls_per_s)
    simulation.scheduler.run(until + CALL_DEADLINE_S)
    return simulation

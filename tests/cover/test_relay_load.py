"""What callers get while more long prompts come than the engines can read."""

import random
from dataclasses import dataclass, field

from parameterized import parameterized
from testtools import TestCase

from tests.common.relay_parts import make_shared, started_relay
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.relay_messages import (
    EventsArrived,
    LoadsReported,
    StartRelay,
    StreamOpened,
    UpstreamReport,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import Verdict

READ_S = 1.0
REPORT_AGE_S = 0.25
TARGET_S = 4.5
ENGINES = 3
DURATION_S = 120.0
INSTANCES = 4


@dataclass
class EngineModel:
    """Reads prompts one after another; `ends` are the times at which it is done."""

    ends: list[float] = field(default_factory=list)

    def take(self, now: float) -> float:
        begun = max(now, self.ends[-1] if self.ends else now)
        self.ends.append(begun + READ_S)
        return begun + READ_S

    def report(self, now: float) -> UpstreamReport:
        seen = [end for end in self.ends if end - READ_S <= now - REPORT_AGE_S < end]
        begun = [end for end in self.ends if end > now - REPORT_AGE_S]
        waiting = max(0, len(begun) - len(seen))
        return UpstreamReport("1", len(seen), waiting, 0, 88_000, {})


@dataclass
class Played:
    """What the callers got; a caller that was refused comes back once."""

    in_time: int = 0
    late: int = 0
    refused: int = 0


def play(load: float, target_s: float, seed: int = 3) -> Played:
    """Play arrivals at `load` times what the engines can read."""
    rng = random.Random(seed)
    engines = {f"u{index}": EngineModel() for index in range(ENGINES)}
    shares = [make_shared(ENGINES) for _ in range(INSTANCES)]
    arrivals, now = [], 0.0
    while now < DURATION_S:
        now += rng.expovariate(load * ENGINES / READ_S)
        arrivals.append((now, now, True))
    played, pending = Played(), []
    while arrivals:
        arrivals.sort()
        now, first_at, may_return = arrivals.pop(0)
        for done in [entry for entry in pending if entry[0] <= now]:
            pending.remove(done)
            done[1].handle(EventsArrived(1, done[0], b"", 1, 1), done[0])
        relay = started_relay(
            RequestKind.RESUMABLE_STREAM,
            rng.choice(shares),
            deadline=now + 25.0,
            arrived_at=now,
            reports_load=True,
            target_latency_s=target_s,
            timeout_s=25.0,
        )
        relay.start(now)
        reports = {name: engine.report(now) for name, engine in engines.items()}
        (action,) = relay.handle(LoadsReported(now, reports), now)
        if isinstance(action, StartRelay):
            at = engines[action.upstream.name].take(now)
            relay.handle(StreamOpened(1, at, ()), now)
            pending.append((at, relay))
            played.in_time += at - first_at <= TARGET_S
            played.late += at - first_at > TARGET_S
            continue
        assert isinstance(action, Fail)
        assert action.verdict is Verdict.NOT_RUN
        if may_return:
            arrivals.append((now + action.retry_after_s, first_at, False))
        else:
            played.refused += 1
    return played


class OverloadTest(TestCase):
    @parameterized.expand([("half", 0.5), ("three quarters", 0.75)])
    def test_below_the_capacity_nearly_all_come_in_time(self, _, load):
        played = play(load, TARGET_S)
        total = played.in_time + played.late + played.refused
        self.assertTrue(played.in_time >= 0.97 * total, played)

    @parameterized.expand([("one and a half", 1.5), ("two", 2.0), ("three", 3.0)])
    def test_above_the_capacity_the_engines_serve_in_time_what_they_can(self, _, load):
        capacity = ENGINES * DURATION_S / READ_S
        played = play(load, TARGET_S)
        self.assertTrue(played.in_time >= 0.85 * capacity, (played, capacity))

    def test_without_refusals_nearly_all_would_come_late(self):
        played = play(1.5, target_s=1e9)
        self.assertTrue(played.in_time <= 0.2 * played.late, played)

    def test_the_time_to_come_back_leaves_time_to_be_served(self):
        shared = make_shared(1)
        relay = started_relay(
            RequestKind.RESUMABLE_STREAM,
            shared,
            reports_load=True,
            target_latency_s=TARGET_S,
        )
        relay.start(0.0)
        reports = {"u0": UpstreamReport("1", 1, 9, 0, 88_000, {})}
        (refusal,) = relay.handle(LoadsReported(0.0, reports), 0.0)
        self.assertTrue(0.2 < refusal.retry_after_s < TARGET_S - READ_S, refusal)

"""Compares policies of placing and refusing streams on a model of engines.

Usage: python -m benchmarks.policies --seed N [--json] [--policy NAME]
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.engine_model import (
    READ_TOKENS_PER_S,
    EngineModel,
    ModelStream,
)
from benchmarks.harness import parse_arguments, percentile, print_result
from tests.common.relay_parts import make_shared, started_relay
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import (
    EventArrived,
    LoadsReported,
    StartRelay,
    StreamFinished,
    StreamOpened,
)
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import RequestKind

ENGINES = 6
INSTANCES = 4
DURATION_S = 60.0
TARGET_S = 4.5
DEADLINE_S = 25.0
MEAN_PROMPT = 8_200
MEAN_OUTPUT = 560
LOADS = (0.5, 0.75, 1.0, 1.5, 2.0, 3.0)
URGENT, NORMAL = 1, 5
URGENT_SHARE = 0.3
SMALL_TEAM_SHARE = 0.04
LONGEST_SHARE = 0.1
LEARN_S = 0.1
"""Interval at which entry instances are notified of the engines' events."""


@dataclass(slots=True)
class Attempted:
    """A placed stream, and the relay that is notified of its events, if any."""

    stream: ModelStream
    relay: Relay | None
    heard: bool = False


@dataclass(slots=True)
class PolicyWorld:
    """Engines, entry instances with their own views, and the unfinished streams."""

    rng: random.Random
    engines: list[EngineModel]
    shares: list[RelayShared]
    turns: list[int]
    placed: list[Attempted] = field(default_factory=list)

    def place(
        self,
        index: int,
        stream: ModelStream,
        relay: Relay | None,
        standby: int | None = None,
    ) -> None:
        """Place a stream on an engine, and its KV cache copy on another one.

        The copy goes to a random other engine when `standby` is None.
        """
        self.engines[index].place(stream)
        if standby is None:
            standby = (index + self.rng.randrange(1, ENGINES)) % ENGINES
        self.engines[standby].copies.append(stream)
        self.placed.append(Attempted(stream, relay))

    def tell_instances(self, now: float) -> None:
        """Notify the relays of first events and of the ends of streams."""
        left = []
        for one in self.placed:
            at, ended_at = one.stream.event_at, one.stream.ended_at
            if one.relay is not None and at is not None and not one.heard:
                one.heard = True
                one.relay.handle(StreamOpened(1, at, ()), now)
                one.relay.handle(EventArrived(1, at, b"", 1), now)
            if ended_at is None:
                left.append(one)
            elif one.relay is not None:
                one.relay.handle(StreamFinished(1, ended_at), ended_at)
        self.placed = left


Policy = Callable[[PolicyWorld, int, ModelStream, float], float | None]
"""Places a stream and returns None, or refuses it and returns the retry delay in s."""


def at_random(
    world: PolicyWorld, instance: int, stream: ModelStream, now: float
) -> float | None:
    """Place a stream on a random engine."""
    world.place(world.rng.randrange(len(world.engines)), stream, None)
    return None


def in_turn(
    world: PolicyWorld, instance: int, stream: ModelStream, now: float
) -> float | None:
    """Place a stream by round robin, which each entry instance runs on its own."""
    world.turns[instance] = (world.turns[instance] + 1) % len(world.engines)
    world.place(world.turns[instance], stream, None)
    return None


def shipped(
    world: PolicyWorld,
    instance: int,
    stream: ModelStream,
    now: float,
    target_s: float = TARGET_S,
) -> float | None:
    """Query some engines for their load, then place or refuse as in production."""
    relay = started_relay(
        RequestKind.RESUMABLE_STREAM,
        world.shares[instance],
        deadline=stream.first_at + DEADLINE_S,
        arrived_at=now,
        reports_load=True,
        urgency=stream.urgency,
        target_latency_s=target_s,
        size=stream.prompt + stream.output,
        timeout_s=DEADLINE_S,
    )
    (asked,) = relay.start(now)
    reports = {}
    for upstream in asked.candidates:
        engine = world.engines[index_of(upstream)]
        engine.work_until(now)
        reports[upstream.name] = engine.report()
    (action,) = relay.handle(LoadsReported(now, reports), now)
    if isinstance(action, StartRelay):
        standby = None if action.standby is None else index_of(action.standby)
        world.place(index_of(action.upstream), stream, relay, standby)
        return None
    assert isinstance(action, Fail)
    return action.retry_after_s


def index_of(upstream: UpstreamInstance) -> int:
    """Return the index of the engine that an upstream stands for."""
    return int(upstream.name.removeprefix("u"))


def shipped_without_refusal(
    world: PolicyWorld, instance: int, stream: ModelStream, now: float
) -> float | None:
    """Place a stream as in production, but never refuse it."""
    return shipped(world, instance, stream, now, target_s=1e9)


def shipped_without_urgency(
    world: PolicyWorld, instance: int, stream: ModelStream, now: float
) -> float | None:
    """Place a stream as in production, but treat it as one of normal urgency."""
    stream.urgency = NORMAL
    return shipped(world, instance, stream, now)


POLICIES: dict[str, Policy] = {
    "random": at_random,
    "in turn": in_turn,
    "without refusal": shipped_without_refusal,
    "without urgency": shipped_without_urgency,
    "shipped": shipped,
}


@dataclass(slots=True)
class Arrival:
    """A stream's arrival; a refused caller may return `returns_left` times."""

    at: float
    stream: ModelStream
    is_urgent: bool
    returns: int = 1


@dataclass(slots=True)
class Result:
    """All arrivals of a run, and those that were finally refused."""

    arrivals: list[Arrival]
    refused: list[Arrival]

    def in_time(self, wanted: Callable[[Arrival], bool] = lambda _: True) -> float:
        """Return the share of wanted arrivals whose first event came in time."""
        found = [one for one in self.arrivals if wanted(one)]
        good = sum(is_in_time(one.stream) for one in found)
        return good / len(found) if found else 0.0


def is_in_time(stream: ModelStream) -> bool:
    """Whether the first event came within `TARGET_S` of the caller's first arrival."""
    return stream.event_at is not None and stream.event_at - stream.first_at <= TARGET_S


def capacity_per_s() -> float:
    """Return the streams per second that the prefill rate of all engines allows."""
    return ENGINES * READ_TOKENS_PER_S / MEAN_PROMPT


def draw_arrivals(load: float, rng: random.Random) -> list[Arrival]:
    """Draw the arrivals of a run at `load` times the prefill capacity."""
    arrivals, now = [], 0.0
    while True:
        now += rng.expovariate(load * capacity_per_s())
        if now >= DURATION_S:
            return arrivals
        is_urgent = rng.random() < URGENT_SHARE
        stream = ModelStream(
            urgency=URGENT if is_urgent else NORMAL,
            prompt=max(500, min(14_400, round(rng.gauss(MEAN_PROMPT, 2_400)))),
            output=max(4, min(800, round(rng.gauss(MEAN_OUTPUT, 112)))),
            team="small" if rng.random() < SMALL_TEAM_SHARE else "large",
            order=len(arrivals),
            first_at=now,
        )
        arrivals.append(Arrival(now, stream, is_urgent))


def play(policy: Policy, load: float, seed: int) -> Result:
    """Simulate one policy at one load; a refused caller returns once."""
    rng = random.Random(f"policies/{seed}/{load}")
    arrivals = draw_arrivals(load, rng)
    world = PolicyWorld(
        rng,
        [EngineModel() for _ in range(ENGINES)],
        [make_shared(ENGINES) for _ in range(INSTANCES)],
        [rng.randrange(ENGINES) for _ in range(INSTANCES)],
    )
    result = Result(list(arrivals), [])
    pending, told_at = list(arrivals), 0.0
    while pending:
        pending.sort(key=lambda one: one.at)
        arrival = pending.pop(0)
        while told_at + LEARN_S <= arrival.at:
            told_at += LEARN_S
            for engine in world.engines:
                engine.work_until(told_at)
            world.tell_instances(told_at)
        instance = rng.randrange(INSTANCES)
        retry_s = policy(world, instance, arrival.stream, arrival.at)
        if retry_s is None:
            continue
        if arrival.returns:
            arrival.returns -= 1
            arrival.at += retry_s
            pending.append(arrival)
        else:
            result.refused.append(arrival)
    for engine in world.engines:
        engine.work_until(DURATION_S + DEADLINE_S)
    return result


def row_of(name: str, load: float, result: Result) -> dict[str, object]:
    """Return the figures of one policy at one load."""
    sizes = sorted(one.stream.prompt for one in result.arrivals)
    longest = percentile(sizes, 1 - LONGEST_SHARE)
    first = [
        one.stream.event_at - one.stream.first_at
        for one in result.arrivals
        if one.stream.event_at is not None
    ]
    in_time = result.in_time() * len(result.arrivals)
    wasted = sum(one.stream.wasted for one in result.arrivals)
    return {
        "policy": name,
        "load": load,
        "in_time_of_capacity": round(in_time / (capacity_per_s() * DURATION_S), 2),
        "in_time": round(result.in_time(), 3),
        "refused": round(len(result.refused) / len(result.arrivals), 3),
        "first_event_p50_s": round(percentile(first, 0.5), 2),
        "first_event_p95_s": round(percentile(first, 0.95), 2),
        "urgent": round(result.in_time(lambda one: one.is_urgent), 3),
        "others": round(result.in_time(lambda one: not one.is_urgent), 3),
        "small_team": round(result.in_time(lambda one: one.stream.team == "small"), 3),
        "longest_tenth": round(
            result.in_time(lambda one: one.stream.prompt >= longest), 3
        ),
        "tokens_read_in_vain": wasted,
    }


def main() -> None:
    """Simulate every policy, or the one given, at every load and print the figures."""
    arguments = parse_arguments("Policies of placing and refusing streams.")
    rows = [
        row_of(name, load, play(policy, load, arguments.seed))
        for load in LOADS
        for name, policy in POLICIES.items()
        if arguments.policy in ("", name)
    ]
    print_result("policies", arguments, {"runs": rows})


if __name__ == "__main__":
    main()

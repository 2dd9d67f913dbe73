"""Compares policies of placing and refusing streams on a model of engines.

Usage: python -m benchmarks.policies --seed N [--json] [--policy NAME]
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.engine_model import (
    PREFILL_TOKENS_PER_S,
    EngineModel,
    ModelStream,
)
from benchmarks.harness import parse_arguments, percentile, print_result
from tests.common.relay_fixtures import make_relay_shared, make_test_relay
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
"""Target time to a stream's first event."""
DEADLINE_S = 25.0
"""Time limit for a stream's complete answer."""
MEAN_PROMPT = 8_200
"""Mean length of the prompts, in tokens."""
MEAN_OUTPUT = 560
"""Mean length of the answers, in tokens."""
LOADS = (0.5, 0.75, 1.0, 1.5, 2.0, 3.0)
"""Offered loads, as multiples of the prefill capacity of all engines."""
URGENT, NORMAL = 1, 5
"""Urgency levels, of which the lower number is the more urgent."""
URGENT_SHARE = 0.3
SMALL_TEAM_SHARE = 0.04
"""Share of the streams that belong to the team "small"; all others are "large"."""
LONGEST_PROMPTS_SHARE = 0.1
NOTIFY_INTERVAL_S = 0.1
"""Interval at which entry instances are notified of the engines' events."""


@dataclass(frozen=True, slots=True)
class StreamMix:
    """Two kinds of streams, and the engines and instances that serve them.

    `urgency_targets` has the target of each urgency in seconds, the urgent kind first.
    `has_urgent_routes`: the kinds are routes of their own, so that instances know their
    urgencies and targets from the configuration. `preempts_to_admit` is that of the
    engines.
    """

    urgency_targets: tuple[tuple[int, float], ...] = (
        (URGENT, TARGET_S),
        (NORMAL, TARGET_S),
    )
    urgent_share: float = URGENT_SHARE
    has_urgent_routes: bool = False
    preempts_to_admit: bool = False
    engines: int = ENGINES
    instances: int = INSTANCES


@dataclass(slots=True)
class PlacedStream:
    """A placed stream, and the relay that is notified of its events, if any."""

    stream: ModelStream
    relay: Relay | None
    has_first_event: bool = False


@dataclass(slots=True)
class PolicySimulation:
    """Engines, entry instances with their own views, and the unfinished streams."""

    rng: random.Random
    engines: list[EngineModel]
    shared_states: list[RelayShared]
    round_robin_indexes: list[int]
    placed: list[PlacedStream] = field(default_factory=list)
    mix: StreamMix = field(default_factory=StreamMix)

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
        self.engines[index].enqueue(stream)
        if standby is None:
            count = len(self.engines)
            standby = (index + self.rng.randrange(1, count)) % count
        self.engines[standby].copies.append(stream)
        self.placed.append(PlacedStream(stream, relay))

    def notify_instances(self, now: float) -> None:
        """Notify the relays of first events and of the ends of streams."""
        unfinished = []
        for placed in self.placed:
            at, ended_at = placed.stream.first_event_at, placed.stream.ended_at
            if (
                placed.relay is not None
                and at is not None
                and not placed.has_first_event
            ):
                placed.has_first_event = True
                placed.relay.handle(StreamOpened(1, at, ()), now)
                placed.relay.handle(EventArrived(1, at, b"", 1), now)
            if ended_at is None:
                unfinished.append(placed)
            elif placed.relay is not None:
                placed.relay.handle(StreamFinished(1, ended_at), ended_at)
        self.placed = unfinished


Policy = Callable[[PolicySimulation, int, ModelStream, float], float | None]
"""Places a stream and returns None, or refuses it and returns the retry delay in s."""


def place_at_random(
    simulation: PolicySimulation, instance: int, stream: ModelStream, now: float
) -> float | None:
    """Place a stream on a random engine."""
    simulation.place(simulation.rng.randrange(len(simulation.engines)), stream, None)
    return None


def place_round_robin(
    simulation: PolicySimulation, instance: int, stream: ModelStream, now: float
) -> float | None:
    """Place a stream by round robin, which each entry instance runs on its own."""
    simulation.round_robin_indexes[instance] = (
        simulation.round_robin_indexes[instance] + 1
    ) % len(simulation.engines)
    simulation.place(simulation.round_robin_indexes[instance], stream, None)
    return None


def place_as_shipped(
    simulation: PolicySimulation,
    instance: int,
    stream: ModelStream,
    now: float,
    target_s: float | None = None,
) -> float | None:
    """Query some engines for their load, then place or refuse as in production."""
    relay = make_test_relay(
        RequestKind.RESUMABLE_STREAM,
        simulation.shared_states[instance],
        deadline=stream.arrived_at + DEADLINE_S,
        arrived_at=now,
        reports_load=True,
        urgency=stream.urgency,
        target_latency_s=target_s or stream.target_s,
        size=stream.prompt + stream.output,
        urgency_targets=(
            simulation.mix.urgency_targets if simulation.mix.has_urgent_routes else ()
        ),
        timeout_s=DEADLINE_S,
    )
    (query,) = relay.start(now)
    reports = {}
    for upstream in query.candidates:
        engine = simulation.engines[engine_index(upstream)]
        engine.run_until(now)
        reports[upstream.name] = engine.report()
    (action,) = relay.handle(LoadsReported(now, reports), now)
    if isinstance(action, StartRelay):
        standby = None if action.standby is None else engine_index(action.standby)
        simulation.place(engine_index(action.upstream), stream, relay, standby)
        return None
    assert isinstance(action, Fail)
    return action.retry_after_s


def engine_index(upstream: UpstreamInstance) -> int:
    """Return the index of the engine that an upstream stands for."""
    return int(upstream.name.removeprefix("u"))


def place_without_refusal(
    simulation: PolicySimulation, instance: int, stream: ModelStream, now: float
) -> float | None:
    """Place a stream as in production, but do not refuse it for missing its target.

    A target of 1e9 s is never missed.
    """
    return place_as_shipped(simulation, instance, stream, now, target_s=1e9)


def place_without_urgency(
    simulation: PolicySimulation, instance: int, stream: ModelStream, now: float
) -> float | None:
    """Place a stream as in production, but treat it as one of normal urgency."""
    stream.urgency = NORMAL
    return place_as_shipped(simulation, instance, stream, now)


POLICIES: dict[str, Policy] = {
    "random": place_at_random,
    "in turn": place_round_robin,
    "without refusal": place_without_refusal,
    "without urgency": place_without_urgency,
    "shipped": place_as_shipped,
}


@dataclass(slots=True)
class Arrival:
    """A stream's arrival; a refused caller may return `returns_left` times."""

    at: float
    stream: ModelStream
    is_urgent: bool
    returns_left: int = 1


@dataclass(slots=True)
class PolicyResult:
    """All arrivals of a run, and those that were finally refused."""

    arrivals: list[Arrival]
    refused: list[Arrival]

    def share_in_time(
        self, wanted: Callable[[Arrival], bool] = lambda _: True
    ) -> float:
        """Return the share in time of the arrivals that `wanted` selects."""
        selected = [arrival for arrival in self.arrivals if wanted(arrival)]
        in_time = sum(is_in_time(arrival.stream) for arrival in selected)
        return in_time / len(selected) if selected else 0.0


def is_in_time(stream: ModelStream) -> bool:
    """Whether the first event came within the target of the first arrival."""
    return (
        stream.first_event_at is not None
        and stream.first_event_at - stream.arrived_at <= stream.target_s
    )


def prefill_capacity_per_s(engines: int = ENGINES) -> float:
    """Return the streams per second that the prefill rate of all engines allows."""
    return engines * PREFILL_TOKENS_PER_S / MEAN_PROMPT


def draw_arrivals(load: float, rng: random.Random, mix: StreamMix) -> list[Arrival]:
    """Draw the arrivals of a run at `load` times the prefill capacity."""
    arrivals, now = [], 0.0
    while True:
        now += rng.expovariate(load * prefill_capacity_per_s(mix.engines))
        if now >= DURATION_S:
            return arrivals
        is_urgent = rng.random() < mix.urgent_share
        urgency, target_s = mix.urgency_targets[not is_urgent]
        stream = ModelStream(
            urgency=urgency,
            prompt=max(500, min(14_400, round(rng.gauss(MEAN_PROMPT, 2_400)))),
            output=max(4, min(800, round(rng.gauss(MEAN_OUTPUT, 112)))),
            team="small" if rng.random() < SMALL_TEAM_SHARE else "large",
            order=len(arrivals),
            arrived_at=now,
            target_s=target_s,
        )
        arrivals.append(Arrival(now, stream, is_urgent))


def simulate(
    policy: Policy, load: float, seed: int, mix: StreamMix | None = None
) -> PolicyResult:
    """Simulate one policy at one load; a refused caller returns once."""
    rng = random.Random(f"policies/{seed}/{load}")
    mix = mix or StreamMix()
    arrivals = draw_arrivals(load, rng, mix)
    simulation = PolicySimulation(
        rng,
        [
            EngineModel(preempts_to_admit=mix.preempts_to_admit)
            for _ in range(mix.engines)
        ],
        [make_relay_shared(mix.engines) for _ in range(mix.instances)],
        [rng.randrange(mix.engines) for _ in range(mix.instances)],
        mix=mix,
    )
    result = PolicyResult(list(arrivals), [])
    pending, notified_at = list(arrivals), 0.0
    while pending:
        pending.sort(key=lambda waiting_arrival: waiting_arrival.at)
        arrival = pending.pop(0)
        while notified_at + NOTIFY_INTERVAL_S <= arrival.at:
            notified_at += NOTIFY_INTERVAL_S
            for engine in simulation.engines:
                engine.run_until(notified_at)
            simulation.notify_instances(notified_at)
        instance = rng.randrange(mix.instances)
        retry_s = policy(simulation, instance, arrival.stream, arrival.at)
        if retry_s is None:
            continue
        if arrival.returns_left:
            arrival.returns_left -= 1
            arrival.at += retry_s
            pending.append(arrival)
        else:
            result.refused.append(arrival)
    for engine in simulation.engines:
        engine.run_until(DURATION_S + DEADLINE_S)
    return result


def result_row(name: str, load: float, result: PolicyResult) -> dict[str, object]:
    """Return the figures of one policy at one load.

    `in_time_of_capacity` is the number of streams in time, relative to the number that
    the engines' prefill capacity allows in the run.
    """
    prompt_sizes = sorted(arrival.stream.prompt for arrival in result.arrivals)
    longest = percentile(prompt_sizes, 1 - LONGEST_PROMPTS_SHARE)
    first_events_s = [
        arrival.stream.first_event_at - arrival.stream.arrived_at
        for arrival in result.arrivals
        if arrival.stream.first_event_at is not None
    ]
    in_time = result.share_in_time() * len(result.arrivals)
    recomputed = sum(arrival.stream.recomputed for arrival in result.arrivals)
    return {
        "policy": name,
        "load": load,
        "in_time_of_capacity": round(
            in_time / (prefill_capacity_per_s() * DURATION_S), 2
        ),
        "in_time": round(result.share_in_time(), 3),
        "refused": round(len(result.refused) / len(result.arrivals), 3),
        "first_event_p50_s": round(percentile(first_events_s, 0.5), 2),
        "first_event_p95_s": round(percentile(first_events_s, 0.95), 2),
        "urgent": round(result.share_in_time(lambda arrival: arrival.is_urgent), 3),
        "others": round(result.share_in_time(lambda arrival: not arrival.is_urgent), 3),
        "small_team": round(
            result.share_in_time(lambda arrival: arrival.stream.team == "small"), 3
        ),
        "longest_tenth": round(
            result.share_in_time(lambda arrival: arrival.stream.prompt >= longest), 3
        ),
        "tokens_read_in_vain": recomputed,
    }


def main() -> None:
    """Simulate every policy, or the one given, at every load and print the figures."""
    arguments = parse_arguments("Policies of placing and refusing streams.")
    rows = [
        result_row(name, load, simulate(policy, load, arguments.seed))
        for load in LOADS
        for name, policy in POLICIES.items()
        if arguments.policy in ("", name)
    ]
    print_result("policies", arguments, {"runs": rows})


if __name__ == "__main__":
    main()

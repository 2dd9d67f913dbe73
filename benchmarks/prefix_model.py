"""Compares policies of placing prompts that share their beginning, on a model.

Engines keep shared parts until their memory is needed, the least recently used first,
and own parts while their request runs.

Usage: python -m benchmarks.prefix_model --seed N [--json]
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from unittest.mock import patch

from benchmarks.engine_model import (
    MEMORY_TOKENS,
    EngineModel,
    ModelStream,
)
from benchmarks.harness import parse_arguments, percentile, print_result
from benchmarks.policies import (
    DEADLINE_S,
    NOTIFY_INTERVAL_S,
    TARGET_S,
    PolicySimulation,
    StreamMix,
    draw_arrivals,
    engine_index,
    is_in_time,
)
from tests.common.relay_fixtures import make_relay_shared, make_test_relay
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.prompts import relay_prompts
from turmericusher.decisions.prompts.completion import Completion, rank_by_completion
from turmericusher.decisions.relay_messages import LoadsReported, StartRelay
from turmericusher.decisions.routing import RequestKind

ENGINES = 6
INSTANCES = 4
LOADS = (0.3, 0.5, 0.75, 1.0)
SHARES = (0.025, 0.5, 0.9)
"""Shares of the common parts in a prompt; 200 of 8,200 tokens are 0.025."""
PARTS = 12
HOT_SHARE = 0.28
"""Share of the traffic that has the hot part."""
POLICIES = ("wait alone", "cache first", "completion")


@dataclass(slots=True)
class PrefixStream(ModelStream):
    """A stream whose prompt begins with a common part; `saved` was not prefilled."""

    part: str = ""
    common: int = 0
    saved: int = 0


@dataclass(slots=True)
class PrefixEngine(EngineModel):
    """An engine that keeps common parts; `kept` has the most recently used last."""

    kept: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def admit(self) -> None:
        """Admit streams as before, without prefilling a common part that is kept."""
        before = {id(stream) for stream in self.running}
        EngineModel.admit(self)
        for stream in self.running:
            assert isinstance(stream, PrefixStream)
            if id(stream) not in before and stream.part in self.kept:
                stream.prefilled = max(stream.prefilled, stream.common)
                stream.saved += stream.common
                self.kept.move_to_end(stream.part)

    def step(self) -> float:
        """Run a step; keep the parts that are whole, and drop what does not fit."""
        running = list(self.running)
        took_s = EngineModel.step(self)
        for stream in running:
            assert isinstance(stream, PrefixStream)
            if stream.part not in self.kept and stream.prefilled >= stream.common:
                self.kept[stream.part] = stream.common
        used = self.used_tokens()
        while self.kept and used + sum(self.kept.values()) > MEMORY_TOKENS:
            self.kept.popitem(last=False)
        return took_s


def cache_first(
    ranked: Sequence[str], completions: Mapping[str, Completion], late: Collection[str]
) -> list[str]:
    """Rank the candidates by what they hold, whatever the wait."""
    return sorted(ranked, key=lambda name: -completions[name].held_tokens)


def prefix_arrivals(
    load: float, share: float, rng: random.Random
) -> list[PrefixStream]:
    """Draw the streams of a run; the hot part has its share, the others the rest."""
    streams = []
    for arrival in draw_arrivals(load, rng, StreamMix()):
        plain = arrival.stream
        is_hot = rng.random() < HOT_SHARE
        number = 0 if is_hot else rng.randrange(1, PARTS)
        common = round(share * 8_200)
        own = max(200, round(plain.prompt * (1.0 - share)))
        streams.append(
            PrefixStream(
                plain.urgency,
                common + own,
                plain.output,
                plain.team,
                plain.order,
                plain.arrived_at,
                part=f"{number:02x}",
                common=common,
            )
        )
    return streams


def place(
    simulation: PolicySimulation, instance: int, stream: PrefixStream, policy: str
) -> bool:
    """Place a stream as in production, under a policy; return whether it was taken."""
    now = stream.arrived_at
    relay = make_test_relay(
        RequestKind.RESUMABLE_STREAM,
        simulation.shared_states[instance],
        deadline=now + DEADLINE_S,
        arrived_at=now,
        reports_load=True,
        urgency=stream.urgency,
        target_latency_s=TARGET_S,
        size=stream.prompt + stream.output,
        timeout_s=DEADLINE_S,
        session_affinity=policy != "wait alone",
    )
    relay.request = replace(
        relay.request,
        request_id=str(stream.order),
        prompt_parts=(stream.part, f"a{stream.order:x}"),
        part_tokens=(stream.common, stream.prompt - stream.common),
    )
    rank = cache_first if policy == "cache first" else rank_by_completion
    with patch.object(relay_prompts, "rank_by_completion", rank):
        (query,) = relay.start(now)
        reports = {}
        for upstream in query.candidates:
            engine = simulation.engines[engine_index(upstream)]
            engine.run_until(now)
            reports[upstream.name] = engine.report()
        (action,) = relay.handle(LoadsReported(now, reports), now)
    if isinstance(action, Fail):
        return False
    assert isinstance(action, StartRelay)
    standby = None if action.standby is None else engine_index(action.standby)
    simulation.place(engine_index(action.upstream), stream, relay, standby)
    return True


@dataclass(slots=True)
class PrefixResult:
    """All streams of a run, and how many were placed on each engine by part."""

    streams: list[PrefixStream]
    placed: Counter[tuple[str, int]] = field(default_factory=Counter)
    errors_s: list[float] = field(default_factory=list)

    def row(self) -> dict[str, float]:
        """Return the figures of the run."""
        firsts = [
            stream.first_event_at - stream.arrived_at
            for stream in self.streams
            if stream.first_event_at is not None
        ]
        hot = [count for (part, _), count in self.placed.items() if part == "00"]
        tokens = sum(stream.prompt for stream in self.streams if stream.first_event_at)
        saved = sum(stream.saved for stream in self.streams)
        return {
            "in_time": sum(map(is_in_time, self.streams)) / len(self.streams),
            "p50_s": percentile(firsts, 0.5),
            "p95_s": percentile(firsts, 0.95),
            "saved": saved / max(tokens, 1),
            "hot_share": max(hot, default=0) / max(sum(hot), 1),
            "error_p50_s": percentile(self.errors_s, 0.5) if self.errors_s else 0.0,
        }


def simulate(policy: str, load: float, share: float, seed: int) -> PrefixResult:
    """Simulate one policy; a refused caller does not return."""
    rng = random.Random(f"prefixes/{seed}/{load}/{share}")
    result = PrefixResult(prefix_arrivals(load, share, rng))
    simulation = PolicySimulation(
        rng,
        [PrefixEngine() for _ in range(ENGINES)],
        [make_relay_shared(ENGINES) for _ in range(INSTANCES)],
        [0] * INSTANCES,
    )
    notified_at = 0.0
    relays = []
    for stream in result.streams:
        while notified_at + NOTIFY_INTERVAL_S <= stream.arrived_at:
            notified_at += NOTIFY_INTERVAL_S
            for engine in simulation.engines:
                engine.run_until(notified_at)
            simulation.notify_instances(notified_at)
        if place(simulation, rng.randrange(INSTANCES), stream, policy):
            relay = simulation.placed[-1].relay
            assert relay is not None
            relays.append(relay)
            index = int(relay.last_upstream.removeprefix("u"))
            result.placed[stream.part, index] += 1
    for engine in simulation.engines:
        engine.run_until(notified_at + DEADLINE_S)
    simulation.notify_instances(notified_at + DEADLINE_S)
    result.errors_s = [
        abs(relay.foreseen_error_s) for relay in relays if relay.foreseen is not None
    ]
    return result


def mean_row(
    policy: str, load: float, share: float, seeds: Sequence[int]
) -> dict[str, float]:
    """Return the mean figures of a policy over some seeds."""
    rows = [simulate(policy, load, share, seed).row() for seed in seeds]
    return {name: sum(row[name] for row in rows) / len(rows) for name in rows[0]}


def main() -> None:
    """Simulate each policy at each load and share, and print the mean of five seeds."""
    arguments = parse_arguments("Placement of prompts that share their beginning.")
    seeds = range(arguments.seed, arguments.seed + 5)
    rows = [
        {"policy": policy, "load": load, "share": share}
        | {
            name: round(value, 3)
            for name, value in mean_row(policy, load, share, seeds).items()
        }
        for share in SHARES
        for load in LOADS
        for policy in POLICIES
    ]
    print_result("prefix_model", arguments, {"runs": rows})


if __name__ == "__main__":
    main()

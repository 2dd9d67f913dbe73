"""Goodput at 0.5 to 3 times the engines' capacity, with a failure domain lost midway.

A discrete-event simulation with a virtual clock runs the production admission,
selection and retry budgets of eight entry instances that receive uneven shares of the
callers. The baselines admit every request, pick upstreams by round robin or by the
least reported load, and resume without a budget.
"""

from __future__ import annotations

from benchmarks.harness import parse_arguments, percentile, print_result
from benchmarks.load_model import (
    DOMAINS,
    MEAN_WORK_S,
    RUN_OUT_S,
    RUN_S,
    SMALL_TEAM_SHARE,
    WINDOWS,
    Outcomes,
    jain_index,
)
from benchmarks.load_world import CAPACITY, TICK_S, World, make_world

LOADS = (0.5, 0.9, 1.2, 2.0, 3.0)
POLICIES = (
    "turmericusher",
    "admission_round_robin",
    "admission_least_reported",
    "round_robin",
    "least_reported",
)
"""The production policy, its admission with other selections, and two baselines."""


def run_world(world: World) -> dict[str, object]:
    """Run a simulation to its end and return its figures."""
    capacity_rate = CAPACITY / MEAN_WORK_S
    small = SMALL_TEAM_SHARE * capacity_rate
    world.arrive("small", small)
    world.arrive("large", world.offered * capacity_rate - small)
    world.simulation.run(RUN_S + RUN_OUT_S)
    return figures(world)


def figures(world: World) -> dict[str, object]:
    """Return one run's figures; goodput is a share of the engines' total capacity."""
    seen = world.outcomes
    peak = max(engine.peak for engine in world.engines.values())
    goodput = {
        window: round(
            seen.good_by_window.get(window, 0.0) / ((end_s - start_s) * CAPACITY), 3
        )
        for window, (start_s, end_s) in WINDOWS.items()
    }
    waited = [refusal_s for refusal_s in seen.refusal_s if refusal_s > TICK_S]
    return {
        "policy": world.policy,
        "offered_load": world.offered,
        "goodput": goodput,
        "served_share": {
            team: round(seen.good_work_s.get(team, 0.0) / offered_s, 3)
            for team, offered_s in sorted(seen.offered_work_s.items())
        },
        "fairness_jain": round(fairness(seen), 3),
        "requests": world.count,
        "refused": seen.refused,
        "refusal_p50_s": round(percentile(seen.refusal_s, 0.5), 3),
        "refusal_p95_s": round(percentile(seen.refusal_s, 0.95), 3),
        "refused_after_waiting": len(waited),
        "late_share_of_accepted": round(seen.late / max(1, seen.accepted), 4),
        "resumes": seen.resumes,
        "resumes_delayed": seen.resumes_delayed,
        "sends_to_dead": seen.repeats,
        "repeats_refused": seen.repeats_refused,
        "resumes_late": seen.resumes_late,
        "peak_in_flight_per_engine": peak,
        "p99_in_flight_per_engine": {
            window: percentile(seen.in_flight.get(window, []), 0.99)
            for window in WINDOWS
        },
    }


def fairness(seen: Outcomes) -> float:
    """Return Jain's index of each team's goodput relative to its max-min fair share."""
    left = {"lost": 1 - 1 / len(DOMAINS)}
    total = CAPACITY * sum(
        (end_s - start_s) * left.get(window, 1.0)
        for window, (start_s, end_s) in WINDOWS.items()
    )
    small = min(seen.offered_work_s["small"], total / 2)
    large = min(seen.offered_work_s["large"], total - small)
    got = seen.good_work_s
    return jain_index([got.get("small", 0) / small, got.get("large", 0) / large])


def main() -> None:
    """Run every policy, or the one given, at every load and print the figures."""
    arguments = parse_arguments(__doc__ or "")
    policies = (arguments.policy,) if arguments.policy else POLICIES
    runs = [
        run_world(make_world(policy, offered, arguments.seed))
        for policy in policies
        for offered in LOADS
    ]
    print_result("load", arguments, {"runs": runs})


if __name__ == "__main__":
    main()

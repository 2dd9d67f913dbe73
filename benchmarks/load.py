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
    DRAIN_S,
    MEAN_WORK_S,
    RUN_DURATION_S,
    SMALL_TEAM_SHARE,
    WINDOWS,
    Outcomes,
    jain_index,
)
from benchmarks.load_simulation import CAPACITY, TICK_S, LoadSimulation, make_simulation

LOADS = (0.5, 0.9, 1.2, 2.0, 3.0)
POLICIES = (
    "turmericusher",
    "admission_round_robin",
    "admission_least_reported",
    "round_robin",
    "least_reported",
)
"""The production policy, its admission with other selections, and two baselines."""


def run_simulation(simulation: LoadSimulation) -> dict[str, object]:
    """Run a simulation to its end and return its figures."""
    capacity_rate = CAPACITY / MEAN_WORK_S
    small_rate = SMALL_TEAM_SHARE * capacity_rate
    simulation.handle_arrival("small", small_rate)
    simulation.handle_arrival(
        "large", simulation.offered_load * capacity_rate - small_rate
    )
    simulation.scheduler.run(RUN_DURATION_S + DRAIN_S)
    return summarize(simulation)


def summarize(simulation: LoadSimulation) -> dict[str, object]:
    """Return one run's figures; goodput is a share of the engines' total capacity."""
    outcomes = simulation.outcomes
    peak = max(engine.peak_in_flight for engine in simulation.engines.values())
    goodput = {
        window: round(
            outcomes.good_work_by_window_s.get(window, 0.0)
            / ((end_s - start_s) * CAPACITY),
            3,
        )
        for window, (start_s, end_s) in WINDOWS.items()
    }
    waits_s = [
        refusal_s for refusal_s in outcomes.refusal_times_s if refusal_s > TICK_S
    ]
    return {
        "policy": simulation.policy,
        "offered_load": simulation.offered_load,
        "goodput": goodput,
        "served_share": {
            team: round(outcomes.good_work_s.get(team, 0.0) / offered_s, 3)
            for team, offered_s in sorted(outcomes.offered_work_s.items())
        },
        "fairness_jain": round(team_fairness(outcomes), 3),
        "requests": simulation.count,
        "refused": outcomes.refused,
        "refusal_p50_s": round(percentile(outcomes.refusal_times_s, 0.5), 3),
        "refusal_p95_s": round(percentile(outcomes.refusal_times_s, 0.95), 3),
        "refused_after_waiting": len(waits_s),
        "late_share_of_accepted": round(outcomes.late / max(1, outcomes.accepted), 4),
        "resumes": outcomes.resumes,
        "resumes_delayed": outcomes.resumes_delayed,
        "sends_to_dead": outcomes.repeats,
        "repeats_refused": outcomes.repeats_refused,
        "resumes_late": outcomes.resumes_late,
        "peak_in_flight_per_engine": peak,
        "p99_in_flight_per_engine": {
            window: percentile(outcomes.in_flight.get(window, []), 0.99)
            for window in WINDOWS
        },
    }


def team_fairness(outcomes: Outcomes) -> float:
    """Return Jain's index of each team's goodput relative to its max-min fair share."""
    capacity_shares = {"lost": 1 - 1 / len(DOMAINS)}
    total_work_s = CAPACITY * sum(
        (end_s - start_s) * capacity_shares.get(window, 1.0)
        for window, (start_s, end_s) in WINDOWS.items()
    )
    small = min(outcomes.offered_work_s["small"], total_work_s / 2)
    large = min(outcomes.offered_work_s["large"], total_work_s - small)
    served_s = outcomes.good_work_s
    return jain_index(
        [served_s.get("small", 0) / small, served_s.get("large", 0) / large]
    )


def main() -> None:
    """Run every policy, or the one given, at every load and print the figures."""
    arguments = parse_arguments(__doc__ or "")
    policies = (arguments.policy,) if arguments.policy else POLICIES
    runs = [
        run_simulation(make_simulation(policy, offered, arguments.seed))
        for policy in policies
        for offered in LOADS
    ]
    print_result("load", arguments, {"runs": runs})


if __name__ == "__main__":
    main()

"""Resume latency and extra work, by fault and policy, against two baselines.

The restart baseline starts a lost answer again from nothing; the fixed-timeout baseline
resumes it, but with a fixed stall timeout. All faults hit the same callers at the same
time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import yaml

from benchmarks.harness import parse_arguments, print_result, summary_ms
from benchmarks.resume_model import (
    CLIENT_HEARTBEAT_TIMEOUT_S,
    CLIENT_PAUSE_S,
    NETWORK_S,
    PROMPT,
    Caller,
    Engine,
    Simulation,
    make_request,
    make_simulation,
)
from turmericusher.profile_models import profile_from_mapping
from turmericusher.profiles import Profile, SecondAttempt

PROFILES = Path(__file__).parents[1] / "examples" / "profiles"
PROFILE_NAME = "drafts"
CALLERS = 48
TOKENS = 300
ENTRIES = 4
FAULT_AT_S = 3.0
START_SPREAD_S = 1.0
STALL_S = 15.0
SLOW_FACTOR = 8.0
STUTTER_SHARE = 0.05
END_AT_S = 120.0
FIXED_TIMEOUT_S = 5.0
NO_TIMEOUT_S = 600.0
"""A timeout longer than any run, so that it never expires."""
HARMLESS_FAULTS = ("engine_slow", "engine_stutters")
"""Faults that lose no stream: every further attempt is a false suspicion."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """The number of engines and failure domains of a deployment."""

    engines: int
    domains: int


FLEETS = {"kitamura": Fleet(12, 4), "leguevel": Fleet(10, 3)}


def kill_engine(simulation: Simulation) -> None:
    """Kill the engine with the most streams."""
    simulation.kill([busiest_engine(simulation)])


def kill_domain(simulation: Simulation) -> None:
    """Kill every engine of a failure domain."""
    simulation.kill(domain(simulation))


def freeze_engine(simulation: Simulation) -> None:
    """Freeze the engine with the most streams for `STALL_S`."""
    simulation.stall_engines([busiest_engine(simulation)], STALL_S, is_frozen=True)


def cut_off_domain(simulation: Simulation) -> None:
    """Hold back what the engines of a failure domain send for `STALL_S`."""
    simulation.stall_engines(domain(simulation), STALL_S, is_frozen=False)


def slow_engine(simulation: Simulation) -> None:
    """Slow the engine with the most streams down; no stream is lost."""
    busiest_engine(simulation).slow_factor = SLOW_FACTOR


def stutter_engine(simulation: Simulation) -> None:
    """Make the engine with the most streams pause at random; no stream is lost."""
    busiest_engine(simulation).stutter_share = STUTTER_SHARE


def kill_entry(simulation: Simulation) -> None:
    """Kill an entry instance; its callers see their connections break."""
    move_callers(simulation, NETWORK_S + CLIENT_PAUSE_S, is_frozen=False)


def freeze_entry(simulation: Simulation) -> None:
    """Freeze an entry instance; its callers notice missing heartbeats."""
    detection_s = CLIENT_HEARTBEAT_TIMEOUT_S + CLIENT_PAUSE_S
    move_callers(simulation, detection_s, is_frozen=True)


def move_callers(simulation: Simulation, detection_s: float, is_frozen: bool) -> None:
    """Move the callers of the first entry instance to the others.

    Their old connections close at once, or with `is_frozen` when they notice.
    """
    callers = [c for c in simulation.callers if c.entry == 0 and not c.is_done]
    close_delay_s = detection_s if is_frozen else 0.0
    for number, caller in enumerate(callers):
        entry = 1 + number % (ENTRIES - 1)
        simulation.move_caller(caller, entry, detection_s, close_delay_s)


FAULTS: dict[str, Callable[[Simulation], None]] = {
    "engine_killed": kill_engine,
    "engine_frozen": freeze_engine,
    "domain_cut_off": cut_off_domain,
    "domain_killed": kill_domain,
    "engine_slow": slow_engine,
    "engine_stutters": stutter_engine,
    "entry_killed": kill_entry,
    "entry_frozen": freeze_entry,
}
BASELINE_FAULTS = ("engine_killed", "engine_frozen", "domain_cut_off", "domain_killed")


def busiest_engine(simulation: Simulation) -> Engine:
    """Return the engine with the most streams."""
    return max(simulation.engines.values(), key=lambda engine: len(engine.streams))


def domain(simulation: Simulation) -> list[Engine]:
    """Return the engines of the first failure domain."""
    engines = simulation.engines.values()
    return [e for e in engines if e.upstream.failure_domain == "domain-0"]


def run_case(
    seed: int, fleet: Fleet, profile: Profile, fault: str, is_restarting: bool
) -> dict[str, object]:
    """Simulate one fault under one policy and return the figures."""
    simulation = make_simulation(seed, fleet.engines, fleet.domains, ENTRIES)
    rng = random.Random(seed)
    for number in range(CALLERS):
        wanted = rng.randint(TOKENS // 2, TOKENS)
        request = make_request(profile, f"caller-{number}", wanted)
        caller = Caller(request, number % ENTRIES, is_restarting, wanted)
        simulation.callers.append(caller)
        start_at = rng.uniform(0.0, START_SPREAD_S)
        simulation.call_at(start_at, lambda caller=caller: simulation.connect(caller))
    simulation.call_at(FAULT_AT_S, lambda: FAULTS[fault](simulation))
    if is_restarting:
        restart_stalled_callers(simulation)
    simulation.run(END_AT_S)
    result = summarize(simulation)
    if fault in HARMLESS_FAULTS:
        result["false_suspicions"] = sum_counts(simulation, "attempts") - CALLERS
    return result


def restart_stalled_callers(simulation: Simulation) -> None:
    """Make callers restart when a lost stream has stalled for `FIXED_TIMEOUT_S`."""

    def check() -> None:
        for caller in simulation.callers:
            lost_at = caller.lost_at
            is_due = lost_at is not None and simulation.now - lost_at >= FIXED_TIMEOUT_S
            if is_due and caller.shown_tokens == 0 and not caller.is_done:
                simulation.restart(caller)
        simulation.call_at(simulation.now + 0.1, check)

    simulation.call_at(FAULT_AT_S, check)


def summarize(simulation: Simulation) -> dict[str, object]:
    """Return the figures of a finished simulation."""
    totals = simulation.totals
    delivered = sum(len(caller.tokens) for caller in simulation.callers)
    lost = sum(
        max(0, caller.wanted - len(caller.tokens)) for caller in simulation.callers
    )
    repeated = sum(
        max(0, len(caller.tokens) - caller.wanted) for caller in simulation.callers
    )
    extra = totals.computed_tokens - delivered
    extra_prompt = totals.prompt_tokens - CALLERS * len(PROMPT)
    return {
        "resume_latency": summary_ms(totals.latencies),
        "extra_tokens_per_token": round(extra / max(1, delivered), 4),
        "extra_prompt_tokens_per_token": round(extra_prompt / max(1, delivered), 4),
        "attempts": sum_counts(simulation, "attempts"),
        "second_attempts": sum_counts(simulation, "second_attempts"),
        "wrong_tokens": totals.wrong_tokens,
        "lost_tokens": lost,
        "repeated_tokens": repeated,
        "failures": totals.failures,
    }


def sum_counts(simulation: Simulation, name: str) -> int:
    """Return the sum of one count over the callers' last generations."""
    generations = (caller.generation for caller in simulation.callers)
    return sum(getattr(g.counts, name) for g in generations if g is not None)


def load_profile(policy: str) -> Profile:
    """Load the drafting profile from the example settings of a deployment."""
    entries = yaml.safe_load((PROFILES / f"{policy}.yaml").read_text())
    mapping = next(entry for entry in entries if entry["name"] == PROFILE_NAME)
    return profile_from_mapping(mapping)


def fixed_timeout_profile(
    profile: Profile, stall_timeout_s: float = FIXED_TIMEOUT_S
) -> Profile:
    """Return a profile whose second attempt comes after a fixed stall timeout."""
    return replace(
        profile,
        second_attempt=SecondAttempt.WHEN_DEAD,
        max_wait_s=NO_TIMEOUT_S,
        stall_floor_s=stall_timeout_s,
        stall_cap_s=stall_timeout_s,
    )


def run_policy(seed: int, policy: str) -> dict[str, object]:
    """Run every fault under a deployment's profile and some under the baselines."""
    fleet, profile = FLEETS[policy], load_profile(policy)
    result: dict[str, object] = {
        fault: run_case(seed, fleet, profile, fault, False) for fault in FAULTS
    }
    result["baseline_fixed_timeout"] = {
        fault: run_case(seed, fleet, fixed_timeout_profile(profile), fault, False)
        for fault in BASELINE_FAULTS
    }
    result["baseline_restart"] = {
        fault: run_case(
            seed, fleet, fixed_timeout_profile(profile, NO_TIMEOUT_S), fault, True
        )
        for fault in BASELINE_FAULTS
    }
    return result


def main() -> None:
    """Measure one deployment's policy, or all of them, and print the figures."""
    arguments = parse_arguments(__doc__ or "")
    policies = [arguments.policy] if arguments.policy else list(FLEETS)
    result = {policy: run_policy(arguments.seed, policy) for policy in policies}
    print_result("resume", arguments, dict(result))


if __name__ == "__main__":
    main()

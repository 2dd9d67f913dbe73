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
    make_simulation,
    request_for,
)
from turmericusher.profiles import Profile, SecondAttempt, profile_from_mapping

PROFILES = Path(__file__).parents[1] / "examples" / "profiles"
PROFILE_NAME = "drafts"
CALLERS = 48
TOKENS = 300
ENTRIES = 4
FAULT_AT_S = 3.0
STARTS_WITHIN_S = 1.0
SILENCE_S = 15.0
SLOW_FACTOR = 8.0
STUTTER_SHARE = 0.05
END_S = 120.0
FIXED_TIMEOUT_S = 5.0
NEVER_S = 600.0
"""A timeout longer than any run, so that it never expires."""
NOTHING_LOST = ("engine_slow", "engine_stutters")
"""Faults that lose no stream: every further attempt is a false suspicion."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """The number of engines and failure domains of a deployment."""

    engines: int
    domains: int


FLEETS = {"kitamura": Fleet(12, 4), "leguevel": Fleet(10, 3)}


def kill_one(simulation: Simulation) -> None:
    """Kill the engine with the most streams."""
    simulation.kill([busiest(simulation)])


def kill_domain(simulation: Simulation) -> None:
    """Kill every engine of a failure domain."""
    simulation.kill(domain(simulation))


def freeze_one(simulation: Simulation) -> None:
    """Freeze the engine with the most streams for `STALL_S`."""
    simulation.silence([busiest(simulation)], SILENCE_S, freezes=True)


def cut_off_domain(simulation: Simulation) -> None:
    """Hold back what the engines of a failure domain send for `STALL_S`."""
    simulation.silence(domain(simulation), SILENCE_S, freezes=False)


def slow_one(simulation: Simulation) -> None:
    """Slow the engine with the most streams down; no stream is lost."""
    busiest(simulation).slow_factor = SLOW_FACTOR


def stutter_one(simulation: Simulation) -> None:
    """Make the engine with the most streams pause at random; no stream is lost."""
    busiest(simulation).stutter_share = STUTTER_SHARE


def kill_entry(simulation: Simulation) -> None:
    """Kill an entry instance; its callers see their connections break."""
    move_callers(simulation, NETWORK_S + CLIENT_PAUSE_S, is_silent=False)


def freeze_entry(simulation: Simulation) -> None:
    """Freeze an entry instance; its callers notice missing heartbeats."""
    noticed_s = CLIENT_HEARTBEAT_TIMEOUT_S + CLIENT_PAUSE_S
    move_callers(simulation, noticed_s, is_silent=True)


def move_callers(simulation: Simulation, noticed_s: float, is_silent: bool) -> None:
    """Move the callers of the first entry instance to the others.

    Their old connections close at once, or with `is_frozen` when they notice.
    """
    callers = [c for c in simulation.callers if c.entry == 0 and not c.is_done]
    closed_s = noticed_s if is_silent else 0.0
    for number, caller in enumerate(callers):
        entry = 1 + number % (ENTRIES - 1)
        simulation.move(caller, entry, noticed_s, closed_s)


FAULTS: dict[str, Callable[[Simulation], None]] = {
    "engine_killed": kill_one,
    "engine_frozen": freeze_one,
    "domain_cut_off": cut_off_domain,
    "domain_killed": kill_domain,
    "engine_slow": slow_one,
    "engine_stutters": stutter_one,
    "entry_killed": kill_entry,
    "entry_frozen": freeze_entry,
}
BASELINE_FAULTS = ("engine_killed", "engine_frozen", "domain_cut_off", "domain_killed")


def busiest(simulation: Simulation) -> Engine:
    """Return the engine with the most streams."""
    return max(simulation.engines.values(), key=lambda engine: len(engine.streams))


def domain(simulation: Simulation) -> list[Engine]:
    """Return the engines of the first failure domain."""
    engines = simulation.engines.values()
    return [e for e in engines if e.upstream.failure_domain == "domain-0"]


def run_case(
    seed: int, fleet: Fleet, profile: Profile, fault: str, restarts: bool
) -> dict[str, object]:
    """Simulate one fault under one policy and return the figures."""
    simulation = make_simulation(seed, fleet.engines, fleet.domains, ENTRIES)
    chance = random.Random(seed)
    for number in range(CALLERS):
        wanted = chance.randint(TOKENS // 2, TOKENS)
        request = request_for(profile, f"caller-{number}", wanted)
        caller = Caller(request, number % ENTRIES, restarts, wanted)
        simulation.callers.append(caller)
        start_at = chance.uniform(0.0, STARTS_WITHIN_S)
        simulation.at(start_at, lambda caller=caller: simulation.connect(caller))
    simulation.at(FAULT_AT_S, lambda: FAULTS[fault](simulation))
    if restarts:
        watch_silences(simulation)
    simulation.run(END_S)
    result = figures(simulation)
    if fault in NOTHING_LOST:
        result["false_suspicions"] = counted(simulation, "attempts") - CALLERS
    return result


def watch_silences(simulation: Simulation) -> None:
    """Make callers restart when a lost stream has stalled for `FIXED_TIMEOUT_S`."""

    def look() -> None:
        for caller in simulation.callers:
            lost_at = caller.lost_at
            is_due = lost_at is not None and simulation.now - lost_at >= FIXED_TIMEOUT_S
            if is_due and caller.shown == 0 and not caller.is_done:
                simulation.begin_again(caller)
        simulation.at(simulation.now + 0.1, look)

    simulation.at(FAULT_AT_S, look)


def figures(simulation: Simulation) -> dict[str, object]:
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
        "attempts": counted(simulation, "attempts"),
        "second_attempts": counted(simulation, "second_attempts"),
        "wrong_tokens": totals.wrong_tokens,
        "lost_tokens": lost,
        "repeated_tokens": repeated,
        "failures": totals.failures,
    }


def counted(simulation: Simulation, name: str) -> int:
    """Return the sum of one count over the callers' last generations."""
    generations = (caller.generation for caller in simulation.callers)
    return sum(getattr(g.counts, name) for g in generations if g is not None)


def profile_of(policy: str) -> Profile:
    """Load the drafting profile from the example settings of a deployment."""
    entries = yaml.safe_load((PROFILES / f"{policy}.yaml").read_text())
    mapping = next(entry for entry in entries if entry["name"] == PROFILE_NAME)
    return profile_from_mapping(mapping)


def fixed_timeout(profile: Profile, silence_s: float = FIXED_TIMEOUT_S) -> Profile:
    """Return a profile whose second attempt comes after a fixed stall timeout."""
    return replace(
        profile,
        second_attempt=SecondAttempt.WHEN_DEAD,
        max_wait_s=NEVER_S,
        stall_floor_s=silence_s,
        stall_cap_s=silence_s,
    )


def run_policy(seed: int, policy: str) -> dict[str, object]:
    """Run every fault under a deployment's profile and some under the baselines."""
    fleet, profile = FLEETS[policy], profile_of(policy)
    result: dict[str, object] = {
        fault: run_case(seed, fleet, profile, fault, False) for fault in FAULTS
    }
    result["baseline_fixed_timeout"] = {
        fault: run_case(seed, fleet, fixed_timeout(profile), fault, False)
        for fault in BASELINE_FAULTS
    }
    result["baseline_restart"] = {
        fault: run_case(seed, fleet, fixed_timeout(profile, NEVER_S), fault, True)
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

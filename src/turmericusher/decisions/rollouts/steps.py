"""The steps of a roll-out: the target's share, and when the next step is due.

In the trial the target gets less than the bound on its exposure. Then the share grows
in two steps, until all new requests go to the target; the old version has its runs end.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from turmericusher.decisions.rollouts.evidence import ANSWER, FAILURE
from turmericusher.decisions.rollouts.orders import (
    Counts,
    RolloutBounds,
    RolloutState,
    Step,
)
from turmericusher.decisions.rollouts.verdict import Verdict

SHARES = {Step.SOME: 0.25, Step.MOST: 0.55, Step.ALL: 1.0, Step.COMPLETED: 1.0}
"""The target's share of new requests; in the trial it depends on the route."""

TRIAL_SHARE = 0.5
TESTED_SHARE = 0.15
"""The target's share of a route in the trial, as a part of the bound: the rest is left
to routes with few requests. It is smaller where the tests have ended, so that a version
that becomes bad in a later step has the rest of the bound."""

USED_EXPOSURE = 0.8
USED_SLACK = 0.5
"""Parts of the bound on exposure that are used. An instance that starts again has
forgotten what it has sent: it gets its share, but no slack."""

LARGEST_TRIAL_SHARE = 0.7
"""The target's largest share of a route with few requests in the trial."""

WANTED_ANSWERS = 40
"""Answers of a route that the trial is to bring: tests of a good version end after some
25."""

TRIAL_MIN_PART = 0.5
TRIAL_MAX_PART = 0.58
"""Parts of the roll-out's time that the trial takes: versions may become bad later. At
its end the version goes on if no test points to a bad one."""

STEP_PART = 0.05
"""Part of the time that each further step takes at least."""

HURRY_PART = 0.7
"""Part of the time after which a trial with too few answers ends, and after which a
step is left out: the decision has been without an instance for a while."""

LAST_PART = 0.1
LAST_S = 2.0
"""Part of the time before the deadline, and seconds at most, from which the roll-out is
only rolled back: an order is seen up to 2 s after it was written. From twice that part
on, neither the ends of streams at old engines nor instances that are no longer listed
are awaited."""

MIN_ANSWERS = 10
"""Answers of the target without which no step follows the trial."""

MIN_ROUTE_ANSWERS = 5
"""Answers from which a route is in use."""

TESTED_ANSWERS = 12
TESTED_PART = 0.15
"""Answers of the target without which a route is not tested: half of what a test of a
good version takes, but not more than a part of a route with few requests."""

CONFIRMATION_S = 1.0
"""Seconds for which all requests go to live engines of the target before the result:
instances learn of an engine's end at different times."""


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What the deciding instance knows of a roll-out.

    `target_answers` counts the target's answers; `is_tested`: there are enough on each
    route, if not for an end of all tests. `target_live_s` are the seconds for
    which it has had live engines, 0 without any. `is_kept_by_all`: each listed instance
    keeps the current step. `is_kept_by_absent`: so does each one that is not listed any
    more and may be cut off, and it has no requests at old versions. `old_runs` and
    `old_unrepeatable` are the requests at old versions, at listed instances.
    """

    verdict: Verdict
    leans_to_bad: bool
    target_answers: int
    is_tested: bool
    target_live_s: float
    is_kept_by_all: bool
    is_kept_by_absent: bool
    old_runs: int
    old_unrepeatable: int


def next_step(
    state: RolloutState, view: RolloutView, duration_s: float, now: float
) -> Step:
    """Return the step that holds from now on; times are Unix seconds."""
    step, elapsed_s = state.step, now - state.began_at
    if step.is_final:
        return step
    is_too_late = elapsed_s >= duration_s - min(LAST_S, LAST_PART * duration_s)
    if view.verdict is Verdict.BAD or is_too_late:
        return Step.ROLLED_BACK
    if view.target_live_s <= 0.0:
        return step
    if step is Step.TRIAL:
        return Step.SOME if is_trial_over(view, elapsed_s / duration_s) else step
    since_s = now - state.step_at
    if view.leans_to_bad:
        return step
    if step is not Step.ALL:
        return step_on(step, view, since_s / duration_s, elapsed_s / duration_s)
    is_steady = min(since_s, view.target_live_s) >= min(
        CONFIRMATION_S, LAST_PART * duration_s
    )
    is_late = elapsed_s >= (1 - 2 * LAST_PART) * duration_s
    is_left = view.old_unrepeatable == 0 and (view.old_runs == 0 or is_late)
    is_kept = view.is_kept_by_all and (view.is_kept_by_absent or is_late)
    if is_steady and is_left and is_kept:
        return Step.COMPLETED
    return step


def is_trial_over(view: RolloutView, part: float) -> bool:
    """Whether the trial has shown a good version, or has taken its time."""
    if view.target_answers < MIN_ANSWERS or part < TRIAL_MIN_PART:
        return False
    if view.verdict is Verdict.GOOD:
        return True
    if part < TRIAL_MAX_PART or view.leans_to_bad:
        return False
    return view.is_tested or part >= HURRY_PART


def step_on(
    step: Step, view: RolloutView, since_part: float, elapsed_part: float
) -> Step:
    """Return the step after one with a part of the requests, if it is due.

    The parts of the time are since the step began and since the order.
    """
    if since_part < STEP_PART:
        return step
    if not view.is_tested and elapsed_part < HURRY_PART:
        return step
    return Step.ALL if elapsed_part >= HURRY_PART else Step(step + 1)


def answers_by_route(counts: Counts, is_target: bool | None = None) -> Counter[str]:
    """Return the answers of each route, of all versions or of one side."""
    answers: Counter[str] = Counter()
    for key, count in counts.items():
        is_wanted = is_target is None or key.is_target is is_target
        if is_wanted and key.measure in (ANSWER, FAILURE):
            answers[key.route] += count
    return answers


def is_each_tested(counts: Counts, routes: frozenset[str]) -> bool:
    """Whether the target has answered enough on each of the routes."""
    answers = answers_by_route(counts)
    tested = answers_by_route(counts, is_target=True)
    return all(
        tested[route] >= min(TESTED_ANSWERS, TESTED_PART * answers[route])
        for route in routes
    )


def trial_shares(
    counts: Counts,
    accepted: frozenset[str],
    elapsed_s: float,
    left_s: float,
    bounds: RolloutBounds,
) -> Mapping[str, float]:
    """Return the target's share of each route for the rest of the trial.

    Routes with few requests get a larger one, those with the fewest first, as far as
    the bound allows: without answers there the trial would show nothing of them. On the
    `accepted` routes the version has been found good.
    """
    if elapsed_s <= 0.0 or left_s <= 0.0:
        return {}
    rates = {r: n / elapsed_s for r, n in answers_by_route(counts).items()}
    tested = answers_by_route(counts, is_target=True)
    least = {
        route: bounds.exposure_share
        * (TESTED_SHARE if route in accepted else TRIAL_SHARE)
        for route in rates
    }
    wanted = {
        route: min(
            LARGEST_TRIAL_SHARE,
            max(least[route], (WANTED_ANSWERS - tested[route]) / (rate * left_s)),
        )
        if route not in accepted
        else least[route]
        for route, rate in rates.items()
    }
    allowed = USED_EXPOSURE * bounds.exposure_share * sum(rates.values())
    allowed += USED_SLACK * bounds.exposure_slack / (elapsed_s + left_s)
    free = allowed - sum(least[route] * rate for route, rate in rates.items())
    shares = {}
    for route, rate in sorted(rates.items(), key=lambda each: each[1]):
        extra = min(wanted[route] - least[route], max(0.0, free) / rate)
        free -= extra * rate
        shares[route] = round(least[route] + extra, 3)
    return shares


def exposure_limit(
    requests: int, instances: int, has_slack: bool, bounds: RolloutBounds
) -> float:
    """Return how many requests one instance may send to a version in its trial."""
    share = USED_EXPOSURE * bounds.exposure_share * requests
    slack = USED_SLACK * bounds.exposure_slack / max(1, instances)
    return share + (slack if has_slack else 0.0)

"""Profiles, in which operators state what a class of requests needs.

The models that validate them are in `profile_models`.
"""

from __future__ import annotations

import enum
from dataclasses import asdict, dataclass

PROFILE_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class SecondAttempt(enum.StrEnum):
    """When a second attempt at a stalled generation starts on another upstream.

    `EARLY` starts it as soon as a stall is suspected, which resumes sooner at the cost
    of extra work. `WHEN_DEAD` starts it once the upstream is known to be dead or
    the longest stall timeout has passed.
    """

    EARLY = "early"
    WHEN_DEAD = "when_dead"


MOST_URGENT = 0
NORMAL_URGENCY = 5
LEAST_URGENT = 9
"""The range of urgencies, which is that of the engines' priorities."""


@dataclass(frozen=True, slots=True)
class Profile:
    """What a class of requests needs.

    `idempotent`: whether a request may safely run more than once.
    `max_wait_s`: seconds that a request may wait for its first output or its answer.
    `urgency`: from 0, the most urgent, to 9; engines receive it as the priority.
    `second_attempt`: when a second attempt at a stalled generation starts.
    `stall_floor_s`: lower bound of the stall timeout between tokens, in seconds.
    `stall_cap_s`: upper bound of the stall timeout between tokens, in seconds.
    `extra_work_percent`: tokens that second attempts may compute, as a percentage of
    the tokens delivered.
    `max_attempts`: the number of attempts at one request, including the first.
    """

    name: str
    idempotent: bool = True
    max_wait_s: float = 30.0
    urgency: int = NORMAL_URGENCY
    second_attempt: SecondAttempt = SecondAttempt.WHEN_DEAD
    stall_floor_s: float = 0.25
    stall_cap_s: float = 1.5
    extra_work_percent: float = 10.0
    max_attempts: int = 8


def profile_to_mapping(profile: Profile) -> dict[str, object]:
    """Return a profile as a mapping of JSON values."""
    return asdict(profile)

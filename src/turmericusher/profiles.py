"""Profiles, in which operators state what a class of requests needs.

`ProfileModel` validates input; `Profile` is the immutable value used internally.
"""

from __future__ import annotations

import enum
from dataclasses import asdict, dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from turmericusher.errors import ErrorCode, RequestRefusedError

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


class ProfileModel(BaseModel):
    """A profile as written by operators; unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(pattern=PROFILE_NAME_PATTERN)
    idempotent: bool = True
    max_wait_s: float = Field(default=30.0, gt=0, le=3600)
    urgency: int = Field(default=5, ge=0, le=9)
    second_attempt: SecondAttempt = SecondAttempt.WHEN_DEAD
    stall_floor_s: float = Field(default=0.25, ge=0.01, le=60)
    stall_cap_s: float = Field(default=1.5, ge=0.01, le=600)
    extra_work_percent: float = Field(default=10.0, ge=0, le=1000)
    max_attempts: int = Field(default=8, ge=1, le=32)

    @model_validator(mode="after")
    def check_stall_range(self) -> ProfileModel:
        """Refuse a stall floor above the stall cap."""
        if self.stall_floor_s > self.stall_cap_s:
            raise ValueError(
                f"stall_floor_s={self.stall_floor_s!r} is above "
                f"stall_cap_s={self.stall_cap_s!r}; lower the floor or raise the cap"
            )
        return self


def profile_from_mapping(mapping: object) -> Profile:
    """Validate a mapping; raise `RequestRefusedError` that names the invalid field."""
    try:
        model = ProfileModel.model_validate(mapping)
    except ValidationError as error:
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST, describe_validation_error("profile", error)
        ) from error
    return Profile(**model.model_dump())


def profile_to_mapping(profile: Profile) -> dict[str, object]:
    """Return a profile as a mapping of JSON values."""
    return asdict(profile)


def describe_validation_error(subject: str, error: ValidationError) -> str:
    """Return one line with the first invalid field, its value and the reason."""
    first = error.errors()[0]
    where = ".".join(str(part) for part in first["loc"])
    value = first.get("input")
    name = f"{subject}.{where}" if where else subject
    return f"{name}={value!r}: {first['msg']}"

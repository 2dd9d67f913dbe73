"""Profiles: what a class of requests needs, stated by operators.

`ProfileModel` validates at the border; `Profile` is the immutable value used inside.
"""

from __future__ import annotations

import enum
from dataclasses import asdict, dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from turmericusher.errors import ErrorCode, RequestRefusedError

PROFILE_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class SecondAttempt(enum.StrEnum):
    """When a stalled generation is started on a second upstream.

    `EARLY` starts it on suspicion, and so buys resume latency with extra work.
    `WHEN_DEAD` waits until the death is certain or the longest patience has passed.
    """

    EARLY = "early"
    WHEN_DEAD = "when_dead"


MOST_URGENT = 0
NORMAL_URGENCY = 5
LEAST_URGENT = 9
"""The range of urgencies, which is that of engines' priorities."""


@dataclass(frozen=True, slots=True)
class Profile:
    """What a class of requests needs.

    `idempotent`: whether a request may safely run more than once.
    `max_wait_s`: seconds that a request may wait for its first output or its answer.
    `urgency`: 0 is the most urgent, 9 the least; engines get it as their priority.
    `second_attempt`: when a stalled generation is started on a second upstream.
    `stall_floor_s`: no gap between tokens shorter than this counts as a stall.
    `stall_cap_s`: every gap between tokens longer than this counts as a stall.
    `extra_work_percent`: tokens that second attempts may compute, as a percentage of
    the tokens delivered.
    `max_attempts`: attempts at one request, the first included.
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
    """A profile as operators write it; unknown fields are refused."""

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
        """Refuse a floor above the cap."""
        if self.stall_floor_s > self.stall_cap_s:
            raise ValueError(
                f"stall_floor_s={self.stall_floor_s!r} is above "
                f"stall_cap_s={self.stall_cap_s!r}; lower the floor or raise the cap"
            )
        return self


def profile_from_mapping(mapping: object) -> Profile:
    """Validate a mapping; raise `RequestRefusedError` naming the bad field."""
    try:
        model = ProfileModel.model_validate(mapping)
    except ValidationError as error:
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST, describe_validation_error("profile", error)
        ) from error
    return Profile(**model.model_dump())


def profile_to_mapping(profile: Profile) -> dict[str, object]:
    """Return the profile as plain JSON values."""
    return asdict(profile)


def describe_validation_error(subject: str, error: ValidationError) -> str:
    """Return one line that names the first bad field, its value and the reason."""
    first = error.errors()[0]
    where = ".".join(str(part) for part in first["loc"])
    value = first.get("input")
    name = f"{subject}.{where}" if where else subject
    return f"{name}={value!r}: {first['msg']}"

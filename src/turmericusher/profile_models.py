"""Validation of profiles as operators write them."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.profiles import (
    PROFILE_NAME_PATTERN,
    Profile,
    SecondAttempt,
)
from turmericusher.validation import describe_validation_error


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

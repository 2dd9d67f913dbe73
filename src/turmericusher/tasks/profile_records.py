"""Encoding of profile records, as the store and the peers receive them."""

from __future__ import annotations

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from turmericusher.decisions.rollout import AppliedChange, ProfileRecord
from turmericusher.errors import ErrorCode, TurmericusherError
from turmericusher.profile_models import ProfileModel
from turmericusher.profiles import Profile, profile_to_mapping


class UnreadableRecordError(TurmericusherError):
    """A stored profile record that this version of the program cannot decode."""

    def __init__(self, revision: int, reason: str) -> None:
        super().__init__(
            ErrorCode.INTERNAL,
            f"the profile record at revision={revision!r} cannot be read: {reason}; "
            "was it written by a newer version?",
        )


class ChangeMarkModel(BaseModel):
    """One of the changes that led to a record."""

    model_config = ConfigDict(frozen=True)

    change_id: str
    replaced_revision: int


class ProfileRecordModel(BaseModel):
    """A profile record as stored; its revision is that of the store's key."""

    model_config = ConfigDict(frozen=True)

    profile: ProfileModel
    retired: bool = False
    changes: tuple[ChangeMarkModel, ...] = ()


def encode_record(record: ProfileRecord) -> bytes:
    """Encode a profile record as JSON; its revision is left out."""
    return orjson.dumps(
        {
            "profile": profile_to_mapping(record.profile),
            "retired": record.retired,
            "changes": [
                {
                    "change_id": mark.change_id,
                    "replaced_revision": mark.replaced_revision,
                }
                for mark in record.changes
            ],
        }
    )


def decode_record(value: bytes, revision: int) -> ProfileRecord:
    """Decode a profile record; raise `UnreadableRecordError` when it is invalid."""
    try:
        model = ProfileRecordModel.model_validate_json(value)
    except ValidationError as error:
        raise UnreadableRecordError(revision, error.errors()[0]["msg"]) from error
    changes = tuple(
        AppliedChange(mark.change_id, mark.replaced_revision) for mark in model.changes
    )
    profile = Profile(**model.profile.model_dump())
    return ProfileRecord(profile, revision, model.retired, changes)

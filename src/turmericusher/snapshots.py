"""Snapshots: an operator's backup of the profiles in the key-value service.

A snapshot is one JSON file with a format version and a checksum. A restore writes only
the profiles that the service lacks: an existing profile, in force or retired, is never
replaced, so an old file cannot revert an accepted change.
"""

from __future__ import annotations

import asyncio
import enum
import hashlib
from dataclasses import asdict, dataclass
from pathlib import Path

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmericusher.errors import (
    ErrorCode,
    StoreOutcomeUnknownError,
    TurmericusherError,
)
from turmericusher.ports.keyvalue import ABSENT, KeyValueStore, StoredValue
from turmericusher.profiles import PROFILE_NAME_PATTERN
from turmericusher.tasks.profile_records import UnreadableRecordError, decode_record
from turmericusher.validation import describe_validation_error

FORMAT = 1
MAX_FILE_BYTES = 100_000_000
MAX_WRITE_ATTEMPTS = 5
RETRY_PAUSE_S = 0.2


class SnapshotError(TurmericusherError):
    """A snapshot file cannot be read, written or used."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.INVALID_REQUEST, message)


@dataclass(frozen=True, slots=True)
class SavedProfile:
    """The record of one profile as text, and the revision that it had."""

    name: str
    revision: int
    record: str


@dataclass(frozen=True, slots=True)
class ProfileSnapshot:
    """All profiles at one revision of the key-value service."""

    revision: int
    profiles: tuple[SavedProfile, ...]


class RestoreOutcome(enum.StrEnum):
    """The outcome for one profile of a restored snapshot."""

    WRITTEN = "written"
    KEPT = "kept"
    KEPT_RETIRED = "kept_retired"


class SavedProfileModel(BaseModel):
    """One profile in a snapshot file."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(pattern=PROFILE_NAME_PATTERN)
    revision: int = Field(gt=0)
    record: str


class SnapshotContentModel(BaseModel):
    """The content of a snapshot file, which the checksum covers."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    revision: int = Field(ge=0)
    profiles: tuple[SavedProfileModel, ...]


class SnapshotFileModel(BaseModel):
    """A snapshot file, whose content is validated once its format is known.

    Another format may have a different content.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    format: int
    checksum: str
    content: dict[str, object]


async def take_snapshot(store: KeyValueStore, profiles_prefix: str) -> ProfileSnapshot:
    """Read every profile under `profiles_prefix`, including retired ones."""
    result = await store.get_prefix(profiles_prefix)
    saved = [to_saved_profile(value, profiles_prefix) for value in result.values]
    return ProfileSnapshot(result.revision, tuple(saved))


def to_saved_profile(value: StoredValue, profiles_prefix: str) -> SavedProfile:
    """Return a stored profile as a file holds it; refuse an unreadable record."""
    decode_record(value.value, value.revision)
    name = value.key.removeprefix(profiles_prefix)
    return SavedProfile(name, value.revision, value.value.decode())


def encode_snapshot(snapshot: ProfileSnapshot) -> bytes:
    """Return a snapshot as the bytes of a file."""
    content = asdict(snapshot)
    body = {"format": FORMAT, "checksum": compute_checksum(content), "content": content}
    return orjson.dumps(body, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS)


def decode_snapshot(data: bytes) -> ProfileSnapshot:
    """Decode and check the bytes of a file; raise `SnapshotError` if invalid."""
    try:
        file = SnapshotFileModel.model_validate(orjson.loads(data))
        if file.format != FORMAT:
            raise SnapshotError(
                f"snapshot.format={file.format!r} is not {FORMAT}; use the version of "
                "turmericusher that saved it"
            )
        content = SnapshotContentModel.model_validate(file.content)
        checksum = compute_checksum(file.content)
    except (orjson.JSONDecodeError, orjson.JSONEncodeError) as error:
        raise SnapshotError(f"the snapshot is not whole JSON: {error}") from error
    except ValidationError as error:
        raise SnapshotError(describe_validation_error("snapshot", error)) from error
    if file.checksum != checksum:
        raise SnapshotError(
            f"snapshot.checksum={file.checksum!r} does not match its content; the file "
            "was changed or truncated"
        )
    profiles = tuple(SavedProfile(**saved.model_dump()) for saved in content.profiles)
    check_profiles(profiles)
    return ProfileSnapshot(content.revision, profiles)


def check_profiles(profiles: tuple[SavedProfile, ...]) -> None:
    """Refuse duplicate names, unreadable records and records of another profile."""
    names: set[str] = set()
    for saved in profiles:
        if saved.name in names:
            raise SnapshotError(f"snapshot.profiles: name={saved.name!r} stands twice")
        names.add(saved.name)
        try:
            record = decode_record(saved.record.encode(), saved.revision)
        except (UnreadableRecordError, UnicodeEncodeError) as error:
            raise SnapshotError(f"profile {saved.name!r}: {error}") from error
        if record.profile.name != saved.name:
            raise SnapshotError(
                f"snapshot.profiles: name={saved.name!r} holds the record of "
                f"{record.profile.name!r}"
            )


def compute_checksum(content: dict[str, object]) -> str:
    """Return the checksum of a file's content, independent of the JSON formatting."""
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return "sha256:" + hashlib.sha256(data).hexdigest()


async def restore_snapshot(
    store: KeyValueStore,
    profiles_prefix: str,
    snapshot: ProfileSnapshot,
    pause_s: float = RETRY_PAUSE_S,
) -> dict[str, RestoreOutcome]:
    """Write the profiles that the key-value service lacks; return each outcome.

    Raises the errors of the store. A restore that failed can be repeated; it continues
    with the profiles that are still missing.
    """
    outcomes: dict[str, RestoreOutcome] = {}
    for saved in snapshot.profiles:
        key = profiles_prefix + saved.name
        outcomes[saved.name] = await restore_profile(store, key, saved, pause_s)
    return outcomes


async def restore_profile(
    store: KeyValueStore, key: str, saved: SavedProfile, pause_s: float
) -> RestoreOutcome:
    """Write one profile if its key is absent.

    The write is conditional on an absent key, so it may be sent again after a lost
    reply: at most one of the attempts takes effect, and none replaces another change.
    """
    value = saved.record.encode()
    has_unknown_write = False
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            result = await store.compare_and_swap(key, ABSENT, value)
        except StoreOutcomeUnknownError:
            has_unknown_write = True
            await asyncio.sleep(pause_s)
            continue
        if result.succeeded:
            return RestoreOutcome.WRITTEN
        if result.current is not None:
            return existing_key_outcome(result.current, value, has_unknown_write)
    raise StoreOutcomeUnknownError(
        f"profile {saved.name!r} may have been written: {MAX_WRITE_ATTEMPTS} replies "
        "were lost; restore the snapshot again"
    )


def existing_key_outcome(
    current: StoredValue, value: bytes, has_unknown_write: bool
) -> RestoreOutcome:
    """Return the outcome of a conditional write that found its key present.

    The value may come from an earlier attempt at the same write, whose reply was lost.
    """
    if has_unknown_write and current.value == value:
        return RestoreOutcome.WRITTEN
    try:
        is_retired = decode_record(current.value, current.revision).retired
    except UnreadableRecordError:
        return RestoreOutcome.KEPT
    return RestoreOutcome.KEPT_RETIRED if is_retired else RestoreOutcome.KEPT


def write_snapshot_file(path: Path, snapshot: ProfileSnapshot) -> None:
    """Write a snapshot file atomically."""
    temporary = path.with_name(path.name + ".part")
    try:
        temporary.write_bytes(encode_snapshot(snapshot))
        temporary.replace(path)
    except OSError as error:
        raise SnapshotError(f"cannot write snapshot {str(path)!r}: {error}") from error


def read_snapshot_file(path: Path) -> ProfileSnapshot:
    """Read and check a snapshot file."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SnapshotError(
                f"snapshot {str(path)!r} is larger than {MAX_FILE_BYTES} bytes"
            )
        return decode_snapshot(path.read_bytes())
    except OSError as error:
        raise SnapshotError(f"cannot read snapshot {str(path)!r}: {error}") from error

"""Snapshots: an operator's backup of the profiles in the key-value service.

A snapshot is one JSON file with a format version and a checksum. Restoring it brings
back only what the service has lost: a profile that stands there, in force or retired,
is never replaced, so an old file cannot revert an accepted change.
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
from turmericusher.profiles import PROFILE_NAME_PATTERN, describe_validation_error
from turmericusher.tasks.profile_records import UnreadableRecordError, decode_record

FORMAT = 1
MAX_FILE_BYTES = 100_000_000
MAX_TRIES = 5
RETRY_PAUSE_S = 0.2


class SnapshotError(TurmericusherError):
    """A snapshot file that cannot be used."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.INVALID_REQUEST, message)


@dataclass(frozen=True, slots=True)
class SavedProfile:
    """One profile's record, as text, and the revision that it had."""

    name: str
    revision: int
    record: str


@dataclass(frozen=True, slots=True)
class ProfileSnapshot:
    """All profiles as they were at one revision of the service."""

    revision: int
    profiles: tuple[SavedProfile, ...]


class Restored(enum.StrEnum):
    """What became of one profile of a restored snapshot."""

    WRITTEN = "written"
    KEPT = "kept"
    KEPT_RETIRED = "kept_retired"


class SavedProfileModel(BaseModel):
    """One profile in a file."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(pattern=PROFILE_NAME_PATTERN)
    revision: int = Field(gt=0)
    record: str


class SnapshotModel(BaseModel):
    """The content that the checksum covers."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    revision: int = Field(ge=0)
    profiles: tuple[SavedProfileModel, ...]


class FileModel(BaseModel):
    """A whole file; its format is looked at before its content."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    format: int
    checksum: str
    content: dict[str, object]


async def take_snapshot(store: KeyValueStore, profiles_prefix: str) -> ProfileSnapshot:
    """Read every profile under `profiles_prefix`, retired ones included."""
    found = await store.get_prefix(profiles_prefix)
    saved = [saved_profile(value, profiles_prefix) for value in found.values]
    return ProfileSnapshot(found.revision, tuple(saved))


def saved_profile(value: StoredValue, profiles_prefix: str) -> SavedProfile:
    """Return a stored profile as a file holds it; refuse one that cannot be read."""
    decode_record(value.value, value.revision)
    name = value.key.removeprefix(profiles_prefix)
    return SavedProfile(name, value.revision, value.value.decode())


def encode_snapshot(snapshot: ProfileSnapshot) -> bytes:
    """Return the bytes of a file."""
    content = asdict(snapshot)
    body = {"format": FORMAT, "checksum": checksum_of(content), "content": content}
    return orjson.dumps(body, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS)


def decode_snapshot(data: bytes) -> ProfileSnapshot:
    """Check a file's bytes and return the snapshot; raise `SnapshotError`."""
    try:
        file = FileModel.model_validate(orjson.loads(data))
        if file.format != FORMAT:
            raise SnapshotError(
                f"snapshot.format={file.format!r} is not {FORMAT}; use the version of "
                "turmericusher that saved it"
            )
        content = SnapshotModel.model_validate(file.content)
        checksum = checksum_of(file.content)
    except (orjson.JSONDecodeError, orjson.JSONEncodeError) as error:
        raise SnapshotError(f"the snapshot is not whole JSON: {error}") from error
    except ValidationError as error:
        raise SnapshotError(describe_validation_error("snapshot", error)) from error
    if file.checksum != checksum:
        raise SnapshotError(
            f"snapshot.checksum={file.checksum!r} does not fit its content; the file "
            "was changed or cut"
        )
    profiles = tuple(SavedProfile(**saved.model_dump()) for saved in content.profiles)
    check_profiles(profiles)
    return ProfileSnapshot(content.revision, profiles)


def check_profiles(profiles: tuple[SavedProfile, ...]) -> None:
    """Refuse a name that stands twice and a record of another profile."""
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


def checksum_of(content: dict[str, object]) -> str:
    """Return the checksum of a file's content, whatever its layout."""
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return "sha256:" + hashlib.sha256(data).hexdigest()


async def restore_snapshot(
    store: KeyValueStore,
    profiles_prefix: str,
    snapshot: ProfileSnapshot,
    pause_s: float = RETRY_PAUSE_S,
) -> dict[str, Restored]:
    """Write the profiles that the service lacks; return what became of each.

    Raises what the store raises; a repeat goes on with what is still missing.
    """
    outcomes: dict[str, Restored] = {}
    for saved in snapshot.profiles:
        key = profiles_prefix + saved.name
        outcomes[saved.name] = await restore_profile(store, key, saved, pause_s)
    return outcomes


async def restore_profile(
    store: KeyValueStore, key: str, saved: SavedProfile, pause_s: float
) -> Restored:
    """Write one profile if its key is absent.

    The write expects an absent key, so it may be sent again after a lost reply: of
    all the tries at most one takes effect, and none after another's change.
    """
    value = saved.record.encode()
    has_unknown_write = False
    for _ in range(MAX_TRIES):
        try:
            result = await store.compare_and_swap(key, ABSENT, value)
        except StoreOutcomeUnknownError:
            has_unknown_write = True
            await asyncio.sleep(pause_s)
            continue
        if result.succeeded:
            return Restored.WRITTEN
        if result.current is not None:
            return what_stands(result.current, value, has_unknown_write)
    raise StoreOutcomeUnknownError(
        f"profile {saved.name!r} may have been written: {MAX_TRIES} replies were lost; "
        "restore the snapshot again"
    )


def what_stands(
    current: StoredValue, value: bytes, has_unknown_write: bool
) -> Restored:
    """Return what a write that found its key taken has come to."""
    if has_unknown_write and current.value == value:
        return Restored.WRITTEN
    try:
        is_retired = decode_record(current.value, current.revision).retired
    except UnreadableRecordError:
        return Restored.KEPT
    return Restored.KEPT_RETIRED if is_retired else Restored.KEPT


def write_file(path: Path, snapshot: ProfileSnapshot) -> None:
    """Write a file whole or not at all."""
    part = path.with_name(path.name + ".part")
    try:
        part.write_bytes(encode_snapshot(snapshot))
        part.replace(path)
    except OSError as error:
        raise SnapshotError(f"cannot write snapshot {str(path)!r}: {error}") from error


def read_file(path: Path) -> ProfileSnapshot:
    """Read and check a file."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SnapshotError(
                f"snapshot {str(path)!r} is larger than {MAX_FILE_BYTES} bytes"
            )
        return decode_snapshot(path.read_bytes())
    except OSError as error:
        raise SnapshotError(f"cannot read snapshot {str(path)!r}: {error}") from error

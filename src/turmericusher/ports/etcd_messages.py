"""The messages of etcd v3's published JSON mapping that the store adapter uses.

Keys and values are base64, 64-bit integers are strings and zero values are left out,
as the protobuf JSON mapping says.
"""

from __future__ import annotations

import base64
import binascii
from typing import Annotated, TypeVar

import orjson
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from turmericusher.ports.keyvalue import StoredValue, WatchEvent

LAST_BYTE = 0xFF
EVERYTHING_FROM_START = b"\x00"


class MalformedReplyError(Exception):
    """A reply that is not of the published form."""


def decode_base64(value: object) -> bytes:
    """Decode a bytes field; a missing one is empty."""
    if isinstance(value, bytes):
        return value
    if not isinstance(value, str):
        raise ValueError("a bytes field must be a base64 string")
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise ValueError(f"a bytes field is not base64: {error}") from error


Base64 = Annotated[bytes, BeforeValidator(decode_base64)]

# Zero stands for "absent" and "no lease", so a reply without the number must not pass.
Positive = Annotated[int, Field(gt=0)]


class Message(BaseModel):
    """A message of which only the fields named here matter."""

    model_config = ConfigDict(extra="ignore", frozen=True)


MessageT = TypeVar("MessageT", bound=Message)


class Header(Message):
    """The header of each reply."""

    revision: Positive


class KeyValue(Message):
    """One key with its value and the revision of its last write."""

    key: Base64 = b""
    value: Base64 = b""
    mod_revision: Positive
    lease: int = 0


class RangeReply(Message):
    """The reply of `/v3/kv/range`."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()


class RangePart(Message):
    """The reply of a read inside a transaction."""

    kvs: tuple[KeyValue, ...] = ()


class TransactionPart(Message):
    """One reply inside a transaction; only reads are looked at."""

    response_range: RangePart | None = None


class TransactionReply(Message):
    """The reply of `/v3/kv/txn`."""

    header: Header
    succeeded: bool = False
    responses: tuple[TransactionPart, ...] = ()


class LeaseReply(Message):
    """The reply of `/v3/lease/grant`, and the result of a keepalive."""

    ID: Positive
    TTL: int = 0


class KeepAliveReply(Message):
    """One line of `/v3/lease/keepalive`."""

    result: LeaseReply


class RevokeReply(Message):
    """The reply of `/v3/lease/revoke`."""

    header: Header


class Event(Message):
    """One change; a put leaves its type out."""

    type: str = "PUT"
    kv: KeyValue


class WatchResult(Message):
    """What one line of a watch tells."""

    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: tuple[Event, ...] = ()


class WatchReply(Message):
    """One line of `/v3/watch`; an error line has no result and is refused."""

    result: WatchResult


class ErrorReply(Message):
    """The body of an error status."""

    code: int = 0
    message: str = ""


def read_message(model: type[MessageT], body: bytes) -> MessageT:
    """Validate a reply; raise `MalformedReplyError` when it has another form."""
    try:
        return model.model_validate(orjson.loads(body))
    except (orjson.JSONDecodeError, ValidationError) as error:
        reason = str(error).splitlines()[0]
        raise MalformedReplyError(f"not a {model.__name__}: {reason}") from error


def stored_value(message: KeyValue) -> StoredValue:
    """Return the value inside a reply."""
    key = decode_key(message.key)
    return StoredValue(key, message.value, message.mod_revision, message.lease)


def watch_event(message: Event) -> WatchEvent:
    """Return the change inside a reply."""
    value = None if message.type == "DELETE" else message.kv.value
    return WatchEvent(decode_key(message.kv.key), value, message.kv.mod_revision)


def decode_key(key: bytes) -> str:
    """Return a key as text; raise `MalformedReplyError` when it is not UTF-8."""
    try:
        return key.decode()
    except UnicodeDecodeError as error:
        raise MalformedReplyError(f"key {key!r} is not UTF-8") from error


def encode_bytes(value: bytes) -> str:
    """Return a bytes field."""
    return base64.b64encode(value).decode("ascii")


def encode_key(key: str) -> str:
    """Return a key field."""
    return encode_bytes(key.encode())


def prefix_range(prefix: str) -> dict[str, object]:
    """Return the key fields that select every key starting with `prefix`."""
    start = prefix.encode() or EVERYTHING_FROM_START
    return {"key": encode_bytes(start), "range_end": encode_bytes(prefix_end(start))}


def prefix_end(start: bytes) -> bytes:
    """Return the first key after all that start with `start`."""
    if start == EVERYTHING_FROM_START:
        return EVERYTHING_FROM_START
    kept = start.rstrip(bytes([LAST_BYTE]))
    if not kept:
        return EVERYTHING_FROM_START
    return kept[:-1] + bytes([kept[-1] + 1])


def swap_request(
    key: str, expected_revision: int, value: bytes | None, lease: int
) -> dict[str, object]:
    """Return the transaction that compares one key's revision and writes it."""
    compare = {
        "key": encode_key(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expected_revision),
    }
    return {
        "compare": [compare],
        "success": [write_operation(key, value, lease)],
        "failure": [{"request_range": {"key": encode_key(key)}}],
    }


def write_operation(key: str, value: bytes | None, lease: int) -> dict[str, object]:
    """Return the put or the deletion of one key."""
    if value is None:
        return {"request_delete_range": {"key": encode_key(key)}}
    put = {
        "key": encode_key(key),
        "value": encode_bytes(value),
        "lease": str(lease),
    }
    return {"request_put": put}

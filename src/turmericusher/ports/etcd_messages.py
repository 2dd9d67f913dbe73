"""The messages of etcd v3's published JSON mapping that the store adapter uses.

Following the protobuf JSON mapping, keys and values are base64, 64-bit integers are
strings, and zero values are omitted.
"""

from __future__ import annotations

import base64
import binascii
from typing import Annotated, TypeVar

import orjson
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from turmericusher.ports.keyvalue import StoredValue, WatchEvent

LAST_BYTE = 0xFF
NULL_KEY = b"\x00"
"""As a key the smallest one; as the end of a range it means that there is no end."""


class MalformedReplyError(Exception):
    """A reply does not have the published form."""


def decode_base64(value: object) -> bytes:
    """Decode a base64 field; raise `ValueError` if it is anything else.

    Bytes are returned as they are; a missing field keeps its default, empty bytes.
    """
    if isinstance(value, bytes):
        return value
    if not isinstance(value, str):
        raise ValueError("a bytes field must be a base64 string")
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise ValueError(f"a bytes field is not base64: {error}") from error


Base64 = Annotated[bytes, BeforeValidator(decode_base64)]

# Zero means "absent" or "no lease", so a reply that omits the number is rejected.
Positive = Annotated[int, Field(gt=0)]


class Message(BaseModel):
    """Base of all messages; fields that are not declared are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


MessageT = TypeVar("MessageT", bound=Message)


class Header(Message):
    """The header of every reply, with the store's revision."""

    revision: Positive


class KeyValue(Message):
    """One key with its value, its lease and the revision of its last write."""

    key: Base64 = b""
    value: Base64 = b""
    mod_revision: Positive
    lease: int = 0


class RangeReply(Message):
    """The reply to `/v3/kv/range`."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()


class RangeResult(Message):
    """The result of a range read within a transaction."""

    kvs: tuple[KeyValue, ...] = ()


class OperationReply(Message):
    """The result of one operation of a transaction; only range reads are decoded."""

    response_range: RangeResult | None = None


class TransactionReply(Message):
    """The reply to `/v3/kv/txn`."""

    header: Header
    succeeded: bool = False
    responses: tuple[OperationReply, ...] = ()


class LeaseReply(Message):
    """The reply to `/v3/lease/grant`, and the result in a reply to a keepalive."""

    ID: Positive
    TTL: int = 0


class KeepAliveReply(Message):
    """One line of the reply to `/v3/lease/keepalive`."""

    result: LeaseReply


class RevokeReply(Message):
    """The reply to `/v3/lease/revoke`."""

    header: Header


class Event(Message):
    """One change; etcd omits the type of a put."""

    type: str = "PUT"
    kv: KeyValue


class WatchResult(Message):
    """The content of one line of a watch."""

    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: tuple[Event, ...] = ()


class WatchReply(Message):
    """One line of `/v3/watch`; an error line has no result and fails validation."""

    result: WatchResult


class ErrorReply(Message):
    """The body of a reply with an error status."""

    code: int = 0
    message: str = ""


def parse_message(model: type[MessageT], body: bytes) -> MessageT:
    """Parse a reply; raise `MalformedReplyError` if it does not match the model."""
    try:
        return model.model_validate(orjson.loads(body))
    except (orjson.JSONDecodeError, ValidationError) as error:
        reason = str(error).splitlines()[0]
        raise MalformedReplyError(f"not a {model.__name__}: {reason}") from error


def to_stored_value(message: KeyValue) -> StoredValue:
    """Convert a key-value message to a `StoredValue`."""
    key = decode_key(message.key)
    return StoredValue(key, message.value, message.mod_revision, message.lease)


def to_watch_event(message: Event) -> WatchEvent:
    """Convert an event message to a `WatchEvent`."""
    value = None if message.type == "DELETE" else message.kv.value
    return WatchEvent(decode_key(message.kv.key), value, message.kv.mod_revision)


def decode_key(key: bytes) -> str:
    """Decode a key to text; raise `MalformedReplyError` if it is not UTF-8."""
    try:
        return key.decode()
    except UnicodeDecodeError as error:
        raise MalformedReplyError(f"key {key!r} is not UTF-8") from error


def encode_bytes(value: bytes) -> str:
    """Encode a bytes field as base64."""
    return base64.b64encode(value).decode("ascii")


def encode_key(key: str) -> str:
    """Encode a key as a base64 field."""
    return encode_bytes(key.encode())


def prefix_range(prefix: str) -> dict[str, object]:
    """Return the key fields that select every key starting with `prefix`."""
    start = prefix.encode() or NULL_KEY
    return {"key": encode_bytes(start), "range_end": encode_bytes(prefix_end(start))}


def prefix_end(start: bytes) -> bytes:
    """Return the exclusive end of the range of keys that start with `start`."""
    if start == NULL_KEY:
        return NULL_KEY
    kept = start.rstrip(bytes([LAST_BYTE]))
    if not kept:
        return NULL_KEY
    return kept[:-1] + bytes([kept[-1] + 1])


def swap_request(
    key: str, expected_revision: int, value: bytes | None, lease: int
) -> dict[str, object]:
    """Return the transaction that writes a key if it has the expected revision.

    Otherwise the transaction returns the key's current value.
    """
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
    """Return the operation that puts a key, or deletes it if `value` is None."""
    if value is None:
        return {"request_delete_range": {"key": encode_key(key)}}
    put = {
        "key": encode_key(key),
        "value": encode_bytes(value),
        "lease": str(lease),
    }
    return {"request_put": put}

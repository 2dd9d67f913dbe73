"""Encodes and decodes the messages of the platform's key-value service."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any, TypeVar

from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import Snapshot, StoredValue, WatchEvent

READ_KEY = "kv-key"
READ_RANGE = "kv-range"
WATCH = "kv-watch"
SWAP = "kv-txn"
GRANT_LEASE = "kv-lease"
RENEW_LEASE = "kv-keep"
REVOKE_LEASE = "kv-lease-end"

KEY = "key"
PREFIX = "prefix"
WAIT_MS = "wait_ms"
AFTER = "after_revision"
"""For a watch, the last revision seen; for a range, the last key of the page before."""

EXPIRY_MS = "expiry_ms"
LEASE = "lease"
REVISION = "revision"

OK, FORBIDDEN, NOT_FOUND, GONE, PRECONDITION_FAILED = 200, 403, 404, 410, 412
BUSY_STATUSES = frozenset({429, 503})

MALFORMED_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
"""Errors of reading an answer that does not have what it must have."""

Json = dict[str, Any]
Item = TypeVar("Item")


def decode_value(item: Json) -> StoredValue:
    """Decode one key with its value, revision and lease."""
    value = base64.b64decode(item["value"])
    return StoredValue(item[KEY], value, int(item[REVISION]), int(item.get(LEASE, 0)))


def encode_value(value: StoredValue) -> Json:
    """Encode one key with its value, revision and lease, as the store sends it."""
    text = base64.b64encode(value.value).decode()
    return {
        KEY: value.key,
        "value": text,
        REVISION: value.revision,
        LEASE: value.lease,
    }


def decode_event(event: Json) -> WatchEvent:
    """Decode one change of a watch."""
    removed = event.get("removed", False)
    value = None if removed else base64.b64decode(event["value"])
    return WatchEvent(event[KEY], value, int(event[REVISION]))


def encode_event(event: WatchEvent) -> Json:
    """Encode one change of a watch, as the store sends it."""
    if event.value is None:
        return {KEY: event.key, REVISION: event.revision, "removed": True}
    return encode_value(StoredValue(event.key, event.value, event.revision))


def decode_each(decode: Callable[[Json], Item], items: list[Json]) -> list[Item]:
    """Return the decoded items; one that is malformed is logged and left out."""
    decoded = []
    for item in items:
        try:
            decoded.append(decode(item))
        except MALFORMED_ERRORS as error:
            log_event("store_item_malformed", error=repr(error))
    return decoded


def decode_page(body: Json) -> tuple[tuple[StoredValue, ...], int, bool]:
    """Return a page's values, the store's revision, and whether more pages follow."""
    items = decode_each(decode_value, body["items"])
    return tuple(items), int(body["as_of"]), bool(body["more_pages"])


def encode_page(snapshot: Snapshot, has_more: bool) -> Json:
    """Encode one page of a range, as the store sends it."""
    return {
        "items": [encode_value(value) for value in snapshot.values],
        "more_pages": has_more,
        "as_of": snapshot.revision,
    }


def decode_changes(body: Json) -> tuple[list[WatchEvent], int]:
    """Return the changes in a watch response, and the revision to continue after."""
    return decode_each(decode_event, body["events"]), int(body["as_of"])


def encode_changes(events: list[WatchEvent], revision: int) -> Json:
    """Encode the response to a watch, as the store sends it."""
    return {"events": [encode_event(event) for event in events], "as_of": revision}


def encode_swap(
    key: str, expected_revision: int, value: bytes | None, lease: int
) -> Json:
    """Encode a compare-and-swap of one key; a `value` of None removes the key."""
    puts, removals = [], []
    if value is None:
        removals.append(key)
    else:
        text = base64.b64encode(value).decode()
        puts.append({KEY: key, "value": text, LEASE: lease})
    compared = [{KEY: key, REVISION: expected_revision}]
    return {"expected_revision": compared, "puts": puts, "removals": removals}


def decode_swap(body: Json) -> tuple[str, int, bytes | None, int]:
    """Return the key, expected revision, value and lease of a compare-and-swap."""
    (compared,) = body["expected_revision"]
    key, revision = compared[KEY], int(compared[REVISION])
    if not body["puts"]:
        return key, revision, None, 0
    (put,) = body["puts"]
    return key, revision, base64.b64decode(put["value"]), int(put.get(LEASE, 0))

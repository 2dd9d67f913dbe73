"""Idempotency keys: UUIDs of version 7 (RFC 9562), whose time selects a claim page.

The time in a key comes from the caller's clock. It decides where the claim is stored
and for how long, never whether a call may run: a wrong clock causes refusals only.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass

from turmericusher.errors import ErrorCode, RequestRefusedError, Verdict

KEY_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A validated key; `created_at_ms` is Unix time in milliseconds."""

    text: str
    created_at_ms: int
    random_bits: int


@dataclass(frozen=True, slots=True)
class ClaimLayout:
    """How keys are distributed over pages; all instances sharing a store must agree.

    `window_ms` is the span of key creation times in one page; `shards` is the number of
    pages for each window.
    """

    window_ms: int = 1000
    shards: int = 16


@dataclass(frozen=True, slots=True, order=True)
class PageName:
    """Identifies one page by the number of its time window and its shard."""

    window: int
    shard: int


@dataclass(frozen=True, slots=True)
class KeyAgeLimits:
    """The retention of keys and the allowed clock skew, in seconds."""

    retention_s: float
    clock_skew_s: float


def parse_key(text: str | None) -> IdempotencyKey:
    """Return the key; raise `RequestRefusedError` when it is absent or malformed."""
    if text is None:
        raise RequestRefusedError(
            ErrorCode.INVALID_KEY,
            "Idempotency-Key is missing; a non-idempotent profile requires one, "
            "send a UUID of version 7",
        )
    try:
        value = uuid.UUID(text)
    except ValueError:
        raise malformed_key_error(text) from None
    if value.version != KEY_VERSION or str(value) != text.lower():
        raise malformed_key_error(text)
    return IdempotencyKey(
        text=str(value),
        created_at_ms=value.int >> TIMESTAMP_SHIFT_BITS,
        random_bits=value.int & ((1 << TIMESTAMP_SHIFT_BITS) - 1),
    )


def malformed_key_error(text: str) -> RequestRefusedError:
    """Return the error for a key that is not a UUID of version 7."""
    return RequestRefusedError(
        ErrorCode.INVALID_KEY,
        f"Idempotency-Key={text!r} is not a UUID of version 7 (RFC 9562); "
        "create one, for example with uuid6.uuid7()",
    )


def page_for_key(key: IdempotencyKey, layout: ClaimLayout) -> PageName:
    """Return the only page that may contain the key's claim."""
    window = key.created_at_ms // layout.window_ms
    return PageName(window, key.random_bits % layout.shards)


def check_age(
    key: IdempotencyKey, now_ms: int, age_limits: KeyAgeLimits, verdict: Verdict
) -> None:
    """Raise `RequestRefusedError` for a key that is too old or too far in the future.

    The span in which a key is accepted ends one clock skew before its page may be
    deleted. `verdict` is the verdict of the refusal: an expired key may have run
    earlier.
    """
    age_s = (now_ms - key.created_at_ms) / MS_PER_S
    if age_s > age_limits.retention_s - age_limits.clock_skew_s:
        raise RequestRefusedError(
            ErrorCode.KEY_EXPIRED,
            f"Idempotency-Key={key.text!r} was created {age_s:.0f} s ago, above the "
            f"limit of {age_limits.retention_s - age_limits.clock_skew_s:.0f} s; "
            "look up the outcome of the call, then use a new key",
            verdict=verdict,
        )
    if -age_s > age_limits.clock_skew_s:
        raise RequestRefusedError(
            ErrorCode.INVALID_KEY,
            f"Idempotency-Key={key.text!r} was created {-age_s:.1f} s in the future, "
            f"above the limit of {age_limits.clock_skew_s:.1f} s; "
            "set the caller's clock",
            verdict=verdict,
        )


def last_deletable_window(
    now_ms: int, age_limits: KeyAgeLimits, layout: ClaimLayout
) -> int:
    """Return the newest window whose pages may be deleted at `now_ms`.

    Two clock skews are added to the retention, one for the caller's clock and one for
    the clock of this instance.
    """
    kept_ms = int((age_limits.retention_s + 2 * age_limits.clock_skew_s) * MS_PER_S)
    return (now_ms - kept_ms) // layout.window_ms - 1

"""Claim pages: their records, their size limits and their encoding.

One page is one value in the store, of at most 1 MB. It is replaced as a whole by
compare-and-swap, so one write can carry many claims.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import orjson

from turmericusher.decisions.idempotency_keys import PageName

CLAIMS_PREFIX = "claims/"
FLOOR_KEY = CLAIMS_PREFIX + "floor"

RECORD_BYTES = 300
"""Upper bound of the encoded size of a record, without its outcome and released IDs."""
MAX_BYTES_WITH_NEW_CLAIMS = 500_000
"""Page size above which no new claims are added, so that outcomes still fit."""
MAX_BYTES_WITH_OUTCOMES = 900_000
"""Page size above which no outcomes are stored, below the store's limit of 1 MB."""
MAX_OUTCOME_BYTES = 16_000


class ClaimState(enum.StrEnum):
    """The state of a claim.

    `CLAIMED`: the call may have been sent, and its outcome is not known yet.
    `RELEASED`: no attempt has sent the call so far.
    `ANSWERED`: the call ran, and its outcome is stored.
    `RAN`: the call ran, and its outcome was too large to store.
    `UNKNOWN`: the call was sent, and its outcome will never be known.
    """

    CLAIMED = "c"
    RELEASED = "r"
    ANSWERED = "a"
    RAN = "x"
    UNKNOWN = "u"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The claim of one idempotency key.

    `released_ids` are attempts that must never be granted the claim again; `fence` is
    the highest number that a caller gave to one of them. `outcome` is set only in the
    state `ANSWERED`.
    """

    key: str
    state: ClaimState
    attempt_id: str
    body_hash: str
    deadline_ms: int
    outcome: str = ""
    released_ids: tuple[str, ...] = ()
    fence: int = 0


@dataclass(slots=True)
class ClaimPage:
    """The records of one page, by key.

    `is_confirmed` tells that the page is the first of its name and was not created
    again after a deletion; see `PageCommit`. `size` is an upper bound of the encoded
    size in bytes. `is_changed` tells that there are changes to write.
    """

    is_confirmed: bool = False
    records: dict[str, ClaimRecord] = field(default_factory=dict)
    size: int = 0
    is_changed: bool = False

    def put(self, record: ClaimRecord) -> None:
        """Insert or replace a record and update the page's size."""
        previous = self.records.get(record.key)
        if previous is not None:
            self.size -= record_size_bound(previous)
        self.records[record.key] = record
        self.size += record_size_bound(record)
        self.is_changed = True


@dataclass(frozen=True, slots=True)
class StoredPage:
    """A page as the store holds it; the revision of a missing page is 0."""

    page: ClaimPage
    revision: int


@dataclass(frozen=True, slots=True)
class ClaimFloor:
    """The deletion limits: pages of windows below `deleted_below` are already deleted.

    Windows below `floor` accept no more claims.
    """

    floor: int
    deleted_below: int


def record_size_bound(record: ClaimRecord) -> int:
    """Return an upper bound of a record's size in bytes in the encoded page."""
    escaped = len(record.outcome) + record.outcome.count('"')
    return RECORD_BYTES + escaped + 40 * len(record.released_ids)


def can_add_claim(page: ClaimPage) -> bool:
    """Whether one more claim fits into the page."""
    return page.size + RECORD_BYTES <= MAX_BYTES_WITH_NEW_CLAIMS


def can_add_outcome(page: ClaimPage, outcome: str) -> bool:
    """Whether an outcome is small enough to be stored in the page."""
    if len(outcome) > MAX_OUTCOME_BYTES:
        return False
    return page.size + len(outcome) + outcome.count('"') <= MAX_BYTES_WITH_OUTCOMES


def copy_page(page: ClaimPage) -> ClaimPage:
    """Return a copy of a page whose records can be changed independently."""
    return ClaimPage(page.is_confirmed, dict(page.records), page.size)


def page_key(name: PageName) -> str:
    """Return the key under which a page is stored."""
    return f"{window_prefix(name.window)}{name.shard}"


def window_prefix(window: int) -> str:
    """Return the key prefix of all pages of a time window."""
    return f"{CLAIMS_PREFIX}{window}/"


def encode_page(page: ClaimPage) -> bytes:
    """Return a page's JSON encoding, as stored."""
    rows = [
        [
            record.key,
            record.state.value,
            record.attempt_id,
            record.body_hash,
            record.deadline_ms,
            record.outcome,
            record.released_ids,
            record.fence,
        ]
        for record in page.records.values()
    ]
    return orjson.dumps([page.is_confirmed, rows])


def decode_page(value: bytes) -> ClaimPage:
    """Return the page for a stored JSON encoding."""
    is_confirmed, rows = orjson.loads(value)
    page = ClaimPage(is_confirmed)
    for key, state, attempt, body_hash, deadline, outcome, released, fence in rows:
        page.put(
            ClaimRecord(
                key=key,
                state=ClaimState(state),
                attempt_id=attempt,
                body_hash=body_hash,
                deadline_ms=deadline,
                outcome=outcome,
                released_ids=tuple(released),
                fence=fence,
            )
        )
    page.is_changed = False
    return page


def encode_floor(floor: ClaimFloor) -> bytes:
    """Return a floor's JSON encoding, as stored."""
    return orjson.dumps([floor.floor, floor.deleted_below])


def decode_floor(value: bytes) -> ClaimFloor:
    """Return the floor for a stored JSON encoding."""
    floor, deleted_below = orjson.loads(value)
    return ClaimFloor(floor, deleted_below)

"""Deletes expired claim pages: first the floor is raised, then pages below it go."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from turmericusher.decisions.claim_pages import (
    FLOOR_KEY,
    ClaimFloor,
    decode_floor,
    encode_floor,
    window_prefix,
)
from turmericusher.decisions.idempotency_keys import last_deletable_window
from turmericusher.errors import StoreError
from turmericusher.ports.keyvalue import ABSENT
from turmericusher.tasks.claims import Claims

SWEEP_INTERVAL_S = 10.0
MAX_WINDOWS_PER_SWEEP = 200


async def sweep_periodically(claims: Claims, is_sweeper: Callable[[], bool]) -> None:
    """Sweep expired pages forever, in the rounds in which `is_sweeper` returns True.

    Several instances may sweep at the same time without harm, because every write is a
    compare-and-swap.
    """
    while True:
        if is_sweeper():
            # After a failure the next round continues from the committed state.
            with suppress(StoreError):
                await sweep_once(claims)
        await asyncio.sleep(SWEEP_INTERVAL_S)


async def sweep_once(claims: Claims) -> None:
    """Raise the floor to the end of the retention, then delete the pages below it.

    Pages are deleted only below a floor that the store is known to hold, never below
    one whose write may not have taken effect.
    """
    key = claims.prefix + FLOOR_KEY
    target = 1 + last_deletable_window(claims.now_ms(), claims.ages, claims.layout)
    stored = await claims.store.get(key)
    if stored is None:
        first = encode_floor(ClaimFloor(target, target))
        await claims.store.compare_and_swap(key, ABSENT, first)
        return
    floor = decode_floor(stored.value)
    revision = stored.revision
    if floor.floor < target:
        floor = ClaimFloor(target, floor.deleted_below)
        result = await claims.store.compare_and_swap(key, revision, encode_floor(floor))
        if not result.succeeded:
            return
        revision = result.revision
    end = min(floor.floor, floor.deleted_below + MAX_WINDOWS_PER_SWEEP)
    for window in range(floor.deleted_below, end):
        await delete_window(claims, window)
    if end > floor.deleted_below:
        swept = encode_floor(ClaimFloor(floor.floor, end))
        await claims.store.compare_and_swap(key, revision, swept)


async def delete_window(claims: Claims, window: int) -> None:
    """Delete all pages of a window that have not changed since they were read."""
    snapshot = await claims.store.get_prefix(claims.prefix + window_prefix(window))
    for page in snapshot.values:
        await claims.store.compare_and_swap(page.key, page.revision, None)

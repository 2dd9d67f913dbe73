"""Finds out whether upstreams have crashed, and shares that through the store."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Protocol

from turmericusher.decisions.crash_ledger import CrashLedger
from turmericusher.decisions.crash_records import (
    CrashRecord,
    LedgerRecord,
    SoundRecord,
    TrialRecord,
)
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.errors import StoreError
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import ABSENT, KeyValueStore
from turmericusher.ports.relay import RelayPort
from turmericusher.tasks.background import cancel_tasks, lasting_task

PUBLISH_INTERVAL_S = 0.1
"""Seconds between two looks at what is to be written to the store."""

RETRY_DELAY_S = 0.5
"""Seconds until the next write after the store failed."""

CLAIM_TIMEOUT_S = 0.2
"""Seconds for which a request waits for the right to be a trial, which takes some
milliseconds."""

LEASE_TTL_S = 600
"""Seconds after which the records of an instance expire that no longer runs; the store
grants no longer ones."""

LEASE_RENEWAL_S = 200.0
"""Seconds between two renewals of the lease of the records."""


class CrashCodec(Protocol):
    """Translates records of crashes to and from the store's keys and values."""

    def encode(self, record: LedgerRecord) -> tuple[str, bytes]:
        """Return the key and the value of a record."""
        ...

    def decode(self, key: str, value: bytes) -> LedgerRecord | None:
        """Return the record of a key, or None if the value is invalid."""
        ...


@dataclass(slots=True)
class CrashReports:
    """The task that checks upstreams and writes what the ledger has for the store.

    `has_crashed` says what the list shows of an upstream. `before_review` is called
    with the time before each review of the losses, and `on_change` after each change of
    the ledger that a check or a review made. `lease` is that of the records, granted or
    renewed last at `renewed_at`; 0 if there is none.
    """

    ledger: CrashLedger
    port: RelayPort
    store: KeyValueStore
    codec: CrashCodec
    has_crashed: Callable[[UpstreamInstance], bool] = lambda upstream: False
    before_review: Callable[[float], None] = lambda now: None
    on_change: Callable[[], None] = lambda: None
    checks: set[asyncio.Task[None]] = field(default_factory=set)
    lease: int = 0
    renewed_at: float = -math.inf

    def restart(self) -> None:
        """Write all deaths again: the store may lack them, and the lease."""
        self.lease = 0
        self.ledger.unpublished_deaths.update(self.ledger.deaths)

    def check_losses(self) -> None:
        """Start to check the upstreams that may have died."""
        for upstream in self.ledger.unchecked_losses():
            self.ledger.begin_check(upstream)
            task = asyncio.create_task(self.check(upstream))
            self.checks.add(task)
            task.add_done_callback(self.checks.discard)

    async def check(self, upstream: UpstreamInstance) -> None:
        """Find out whether an upstream has ended, and record the result."""
        state = await self.port.find_end_state(upstream)
        log_event(
            "crash_checked",
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            state=state.value,
        )
        now = asyncio.get_running_loop().time()
        record = self.ledger.record_check(upstream, state, now)
        if record is not None:
            log_crash(record)
            self.on_change()

    def review(self, now: float) -> None:
        """Find out by the list which upstreams that may have died have done so."""
        self.ledger.clock_offset = time.time() - now
        self.before_review(now)
        records = self.ledger.review_losses(self.has_crashed, now)
        for record in records:
            log_crash(record)
        if records:
            self.on_change()

    async def run(self) -> None:
        """Review losses and write new records to the store until cancelled."""
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            self.review(now)
            try:
                await self.keep_records(now)
                for record in self.ledger.unpublished(now):
                    await self.write(record, now)
            except StoreError as error:
                log_event("crash_record_delayed", message=error.message)
                # Whether the lease still exists is found out by renewing it.
                self.renewed_at = -math.inf
                await asyncio.sleep(RETRY_DELAY_S)

    async def write(self, record: CrashRecord | SoundRecord, now: float) -> None:
        """Write a record, merged with what other instances have written."""
        await self.ensure_lease(now)
        revision = ABSENT
        while True:
            key, value = self.codec.encode(record)
            swap = await self.store.compare_and_swap(key, revision, value, self.lease)
            if swap.succeeded:
                self.ledger.mark_published(record)
                return
            if swap.current is None:
                revision = ABSENT
                continue
            revision = swap.current.revision
            known = self.codec.decode(key, swap.current.value)
            merged = merge_records(record, known)
            if merged == known:
                self.ledger.mark_published(merged)
                return
            record = merged

    async def ensure_lease(self, now: float) -> None:
        """Have a lease for records."""
        if not self.lease:
            self.lease = await self.store.grant_lease(LEASE_TTL_S)
            self.renewed_at = now

    async def keep_records(self, now: float) -> None:
        """Renew the lease of the records as long as there are deaths to tell of.

        If it has expired, or the store has lost it, the deaths are written again.
        """
        self.ledger.forget_expired(now)
        if not self.lease or now - self.renewed_at < LEASE_RENEWAL_S:
            return
        is_kept = self.ledger.deaths and await self.store.renew_lease(self.lease)
        self.renewed_at = now
        if not is_kept:
            self.lease = 0
            self.ledger.unpublished_deaths.update(self.ledger.deaths)

    async def claim_trial(self, trait: str) -> bool:
        """Write that this instance tries a blocked trait; False if another one does.

        Without the store no trait is tried.
        """
        now = asyncio.get_running_loop().time()
        record = self.ledger.next_trial(trait, now)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await self.write_trial(record)
        except (StoreError, TimeoutError) as error:
            log_event("trial_not_claimed", trait=trait, error=repr(error))
            self.ledger.record_failed_claim(asyncio.get_running_loop().time())
            return False

    async def write_trial(self, record: TrialRecord) -> bool:
        """Write a trial unless the store has one that this instance did not know."""
        now = asyncio.get_running_loop().time()
        await self.ensure_lease(now)
        key, value = self.codec.encode(record)
        swap = await self.store.compare_and_swap(key, ABSENT, value, self.lease)
        if not swap.succeeded and swap.current is not None:
            known = self.codec.decode(key, swap.current.value)
            if isinstance(known, TrialRecord) and known.number >= record.number:
                self.ledger.merge_trial(known, now)
                return False
            revision = swap.current.revision
            swap = await self.store.compare_and_swap(key, revision, value, self.lease)
        if swap.succeeded:
            self.ledger.merge_trial(record, now)
        return swap.succeeded


def merge_records(
    record: CrashRecord | SoundRecord, known: LedgerRecord | None
) -> CrashRecord | SoundRecord:
    """Return a record with what another instance has written for the same key."""
    match record, known:
        case CrashRecord(), CrashRecord():
            chains = record.chains | known.chains
            return replace(known, chains=chains)
        case SoundRecord(), SoundRecord():
            return SoundRecord(record.trait, record.deaths | known.deaths)
    return record


def log_crash(record: CrashRecord) -> None:
    """Log a death with the traits that are suspected of it."""
    traits = {suspicion.trait for chain in record.chains for suspicion in chain}
    log_event(
        "upstream_crashed",
        upstream=record.upstream,
        incarnation=record.incarnation,
        suspects=",".join(sorted(traits)),
    )


@asynccontextmanager
async def reporting_crashes(reports: CrashReports) -> AsyncIterator[None]:
    """Write new records while the context is open."""
    try:
        async with lasting_task("crash-reports", reports.run):
            yield
    finally:
        await cancel_tasks(reports.checks)

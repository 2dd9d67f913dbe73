"""Keeps this instance's record in the store, under a lease, while it accepts work."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.errors import StoreError
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import ABSENT, KeyValueStore
from turmericusher.tasks.background import lasting_task

LEASE_TTL_S = 4
"""Seconds after which callers are no longer sent to an instance that died. It spans
several renewals, so that one lost renewal does not remove a live instance."""

RENEWAL_INTERVAL_S = 1.2
"""Seconds between two renewals of the lease."""

UPDATE_INTERVAL_S = 1.0
"""Minimum seconds between two writes of a changed record: each one wakes every instance
that watches the store."""

RETRY_DELAY_S = 0.3
"""Seconds until the next try after the store failed. It doubles with each failure in a
row, up to the interval of renewals: the store charges for calls that it refuses, too,
and it may refuse some instances for many seconds."""


@dataclass(slots=True)
class Registration:
    """Keeps `value` at `key`; `lease` is 0 while the record is not registered.

    `written` is the value that the store has, at `revision`. `failures` counts the
    failed calls in a row. Once `is_leaving` is set, the record is not written again.
    """

    store: KeyValueStore
    key: str
    value: bytes
    lease: int = 0
    is_leaving: bool = False
    written: bytes = b""
    revision: int = ABSENT
    failures: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def update(self, value: bytes) -> None:
        """Set the record's new value, which is written soon."""
        if value != self.value:
            self.value = value
            self.changed.set()

    def restart(self) -> None:
        """Register anew: the store may lack the record, and the lease.

        After it has come back from an older copy, the lease may be another one's.
        """
        self.lease, self.written = 0, b""
        self.changed.set()

    async def run(self) -> None:
        """Write the record and renew its lease until cancelled."""
        while not self.is_leaving:
            try:
                if not self.lease:
                    await self.register()
                elif not await self.store.renew_lease(self.lease):
                    log_event("registration_lapsed", key=self.key)
                    self.lease = 0
                    continue
                elif self.written != self.value:
                    await self.write(self.lease)
                    await asyncio.sleep(UPDATE_INTERVAL_S)
                delay_s = RENEWAL_INTERVAL_S
                self.failures = 0
            except StoreError as error:
                log_event("registration_failed", key=self.key, message=error.message)
                delay_s = retry_delay_s(self.failures)
                self.failures += 1
            await self.sleep_until_changed(delay_s)

    async def sleep_until_changed(self, delay_s: float) -> None:
        """Sleep for a time, or until the record has a new value."""
        self.changed.clear()
        if self.lease and self.written != self.value:
            return
        try:
            async with asyncio.timeout(delay_s):
                await self.changed.wait()
        except TimeoutError:
            return

    async def register(self) -> None:
        """Write the record under a new lease, replacing that of an earlier incarnation.

        If `leave` was called meanwhile, the new record is withdrawn at once.
        """
        lease = await self.store.grant_lease(LEASE_TTL_S)
        self.revision = ABSENT
        await self.write(lease)
        self.lease = lease
        if self.is_leaving:
            await self.withdraw()
            return
        log_event("registered", key=self.key, lease=lease)

    async def write(self, lease: int) -> None:
        """Write the record's value under a lease, whatever the store has."""
        while True:
            value = self.value
            swap = await self.store.compare_and_swap(
                self.key, self.revision, value, lease
            )
            if swap.succeeded:
                self.written, self.revision = value, swap.revision
                return
            current = swap.current
            self.revision = current.revision if current is not None else ABSENT

    async def leave(self) -> None:
        """Remove the record and never write it again."""
        self.is_leaving = True
        await self.withdraw()

    async def withdraw(self) -> None:
        """Remove the record by revoking its lease; a failure is logged, not raised."""
        lease, self.lease = self.lease, 0
        if not lease:
            return
        try:
            await self.store.revoke_lease(lease)
        except StoreError as error:
            log_event("withdrawal_failed", key=self.key, message=error.message)


def retry_delay_s(failures: int) -> float:
    """Return the seconds until the next try after so many failures before this one."""
    return min(RENEWAL_INTERVAL_S, RETRY_DELAY_S * 2.0 ** min(failures, 8))


@asynccontextmanager
async def registered(registration: Registration) -> AsyncIterator[None]:
    """Keep the record in the store while the context is open, and remove it at exit."""
    try:
        async with lasting_task("registration", registration.run):
            yield
    finally:
        await registration.withdraw()

"""The watch that an instance keeps on the store, and the profile table it updates.

The watch covers a single prefix, which holds the profiles and the registrations of
entry instances. A watch without events proves nothing, so the prefix is also read
again whenever no instance has confirmed it recently. Peers share such confirmations,
so the number of reads does not grow with the fleet.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.rollout import ProfileRecord, Rollout
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
)
from turmericusher.ports.keyvalue import KeyValueStore, StoredValue, WatchEvent
from turmericusher.profiles import Profile
from turmericusher.tasks.background import background_tasks
from turmericusher.tasks.profile_records import UnreadableRecordError, decode_record

FLEET_DIRECTORY = "fleet/"
"""The directory that the watch covers, relative to the store's prefix."""

CONFIRM_AFTER_S = 2.0
"""Age of the last confirmation, in seconds, after which the prefix is read again."""

CONFIRM_JITTER_S = 2.0
"""Further seconds, chosen at random, so that the instances do not read all at once."""

CHECK_INTERVAL_S = 0.2
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
READ_TIMEOUT_S = 3.0

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Registration:
    """A registration of an entry instance that appeared, changed or ended.

    `value` is None when its lease lapsed or was revoked.
    """

    name: str
    value: bytes | None


def no_majority(_now: float) -> bool:
    """Return False, for an instance that has no peers."""
    return False


def ignore_registration(_registration: Registration) -> None:
    """Ignore a registration, for a table without a membership."""


@dataclass(slots=True)
class ProfileTable:
    """The profiles in force on this instance, and whether they are current.

    A confirmation older than `stale_after_s` seconds does not count.
    `has_recent_majority` says whether the peers' answers can replace a confirmation by
    the store. `registered` names the instances whose registrations are in the store.
    `changed` is set, and replaced by a new event, at each change of the table.
    """

    prefix: str
    stale_after_s: float
    rollout: Rollout = field(default_factory=Rollout)
    clock: Clock = time.monotonic
    has_recent_majority: Callable[[float], bool] = no_majority
    on_registration: Callable[[Registration], None] = ignore_registration
    registered: set[str] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def get(self, name: str) -> Profile:
        """Return the profile in force under a name, for new work.

        Raises `RequestRefusedError` when there is none, or while this table may be
        stale.
        """
        self.check_current()
        return self.rollout.lookup(name)

    def is_current(self) -> bool:
        """Whether the table is recent enough to take new work."""
        return self.rollout.is_current(
            self.clock(), self.stale_after_s, self.has_recent_majority
        )

    def check_current(self) -> None:
        """Raise `RequestRefusedError` while an accepted change may be missing here."""
        if not self.is_current():
            raise RequestRefusedError(
                ErrorCode.INSTANCE_STALE,
                f"this instance could not confirm its profiles for "
                f"stale_after_s={self.stale_after_s!r}; use another entry instance",
                retry_after_s=1.0,
            )

    def profile_key(self, name: str) -> str:
        """Return the store's key of a profile."""
        return f"{self.prefix}profiles/{name}"

    def entry_key(self, name: str) -> str:
        """Return the store's key of an entry instance's registration."""
        return f"{self.prefix}entries/{name}"

    def apply_written(self, record: ProfileRecord) -> None:
        """Put a record in force that this instance has just written."""
        self.rollout.apply(record)
        self.notify_changed()

    def apply_snapshot(
        self, values: tuple[StoredValue, ...], requested_at: float
    ) -> None:
        """Apply a read of the whole prefix that was sent at `requested_at`."""
        profiles = f"{self.prefix}profiles/"
        records = []
        for value in values:
            if not value.key.startswith(profiles):
                continue
            record = self.decode_or_mark_unreadable(
                value.key, value.value, value.revision
            )
            if record is not None:
                records.append(record)
        self.rollout.apply_read(records, requested_at)
        self.apply_registrations(values)
        self.notify_changed()

    def apply_registrations(self, values: tuple[StoredValue, ...]) -> None:
        """Report the present registrations, and the end of those that are gone."""
        entries = f"{self.prefix}entries/"
        present = {
            value.key.removeprefix(entries): value.value
            for value in values
            if value.key.startswith(entries)
        }
        for name in self.registered - present.keys():
            self.on_registration(Registration(name, None))
        for name, content in present.items():
            self.on_registration(Registration(name, content))
        self.registered = set(present)

    def apply_event(self, event: WatchEvent) -> None:
        """Apply one event of the watch: a registration or a profile record."""
        entries = f"{self.prefix}entries/"
        if event.key.startswith(entries):
            self.apply_registration(event.key.removeprefix(entries), event.value)
        elif event.value is not None and event.key.startswith(
            f"{self.prefix}profiles/"
        ):
            record = self.decode_or_mark_unreadable(
                event.key, event.value, event.revision
            )
            if record is not None:
                self.rollout.apply(record)
            self.rollout.advance_cursor(event.revision)
        self.notify_changed()

    def apply_registration(self, name: str, value: bytes | None) -> None:
        """Apply one registration that changed, or ended when `value` is None."""
        if value is None:
            self.registered.discard(name)
        else:
            self.registered.add(name)
        self.on_registration(Registration(name, value))

    def decode_or_mark_unreadable(
        self, key: str, value: bytes, revision: int
    ) -> ProfileRecord | None:
        """Decode a record; on failure mark its profile unreadable and return None."""
        try:
            return decode_record(value, revision)
        except UnreadableRecordError:
            self.rollout.apply_unreadable(key.rpartition("/")[2], revision)
            return None

    def notify_changed(self) -> None:
        """Wake the tasks that wait for a change of the table."""
        self.changed.set()
        self.changed = asyncio.Event()


async def reload_table(store: KeyValueStore, table: ProfileTable) -> int:
    """Read the whole prefix into the table; return the store's revision.

    The records count as confirmed at the time when the read was sent, so a slow reply
    does not make them appear fresher than they are.
    """
    requested_at = table.clock()
    async with asyncio.timeout(READ_TIMEOUT_S):
        snapshot = await store.get_prefix(table.prefix)
    table.apply_snapshot(snapshot.values, requested_at)
    return snapshot.revision


async def follow_store(
    store: KeyValueStore, table: ProfileTable, rng: random.Random
) -> None:
    """Read the prefix and watch it from there on; start over after each failure."""
    delay_s = MIN_RETRY_DELAY_S
    while True:
        try:
            revision = await reload_table(store, table)
            delay_s = MIN_RETRY_DELAY_S
            async for event in store.watch(table.prefix, revision + 1):
                table.apply_event(event)
        except (TurmericusherError, TimeoutError):
            pass
        await asyncio.sleep(delay_s * rng.uniform(0.5, 1.5))
        delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)


async def confirm_records(
    store: KeyValueStore, table: ProfileTable, rng: random.Random
) -> None:
    """Read the prefix again whenever its last confirmation is too old."""
    while True:
        due_after_s = CONFIRM_AFTER_S + rng.uniform(0, CONFIRM_JITTER_S)
        await wait_until_unconfirmed(table, due_after_s)
        try:
            await reload_table(store, table)
        except (TurmericusherError, TimeoutError):
            await asyncio.sleep(MIN_RETRY_DELAY_S + rng.uniform(0, MAX_RETRY_DELAY_S))


async def wait_until_unconfirmed(table: ProfileTable, age_s: float) -> None:
    """Return once the records have not been confirmed for `age_s` seconds."""
    while True:
        fresh_as_of = table.rollout.fresh_as_of
        if fresh_as_of is None or table.clock() - fresh_as_of >= age_s:
            return
        await asyncio.sleep(CHECK_INTERVAL_S)


@asynccontextmanager
async def running_profile_watch(
    store: KeyValueStore,
    prefix: str,
    *,
    stale_after_s: float,
    rng: random.Random,
    clock: Clock = time.monotonic,
) -> AsyncIterator[ProfileTable]:
    """Keep a table of the profiles up to date while the context is open.

    `prefix` is the store's prefix from the settings. The context is entered at once,
    even while the store is down; the table then refuses new work until it is confirmed.
    """
    rollout = Rollout(started_at=clock())
    table = ProfileTable(
        f"{prefix}{FLEET_DIRECTORY}", stale_after_s, rollout, clock=clock
    )
    work = {
        "profile-watch": follow_store(store, table, rng),
        "profile-confirm": confirm_records(store, table, rng),
    }
    async with background_tasks(work):
        yield table

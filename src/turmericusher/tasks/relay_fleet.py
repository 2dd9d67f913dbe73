"""Maintains an instance's view of the fleet: configuration, upstreams, entry instances.

It receives the store's changes and passes the current state to the decision logic. All
entries stay in force while the store is unreachable.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import (
    AsyncIterator,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from turmericusher.decisions.crash_records import (
    CrashRecord,
    LedgerRecord,
    SoundRecord,
    TrialRecord,
)
from turmericusher.decisions.fleet import EntryInstance, Lifecycle, UpstreamInstance
from turmericusher.decisions.listing import Listing
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import NewestTable, RoutingTable
from turmericusher.decisions.stream_versions import (
    SeenVersion,
    ServiceVersions,
    VersionRecord,
)
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import StoredValue, WatchEvent
from turmericusher.tasks.background import lasting_task
from turmericusher.tasks.store_follower import StoreListener

MAX_FAILURES = 3
"""Unexpected errors in a row in applying an entry after which it is left out: it would
hold up the changes after it for good."""

REMOVED_KEPT_S = 60.0
"""Seconds for which a removed entry is known: an older copy of the store may bring it
back, and is some seconds old."""

EXPIRY_CHECK_INTERVAL_S = 0.1
"""Seconds between two checks for entries that have expired."""

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """A configuration read from the store; `table` is None if it was unreadable."""

    table: RoutingTable | None


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream's entry; `upstream` is None if it was removed or is unusable.

    `sequence` rises with each entry that an incarnation writes.
    """

    name: str
    upstream: UpstreamInstance | None
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class RemovedUpstream:
    """The last entry of an upstream that was removed `at` a monotonic time."""

    incarnation: str
    sequence: int
    at: float


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An entry instance's record; `instance` is None if removed or unreadable."""

    name: str
    instance: EntryInstance | None


Record = (
    ConfigurationRecord | UpstreamRecord | InstanceRecord | LedgerRecord | VersionRecord
)


class RecordDecoder(Protocol):
    """Decodes the store's values into records."""

    def __call__(self, key: str, value: bytes | None) -> Record | None:
        """Return the record of a key, or None if the key is of no interest.

        The record has no content if the value is None or unreadable.
        """
        ...


@dataclass(slots=True)
class RelayFleet:
    """The fleet as described by the store; implements `StoreListener`.

    `on_instance_count` is called with the number of entry instances, this one included,
    after each change, and `on_own_change` with what the others are to know of this one:
    the upstreams whose limits it shares, and the services it is cut off from.
    `on_crash` is called when another instance told of a crash, and `on_versions` when
    others may have to be told of this instance's streams. `on_instances` is called with
    all entry instances after each change. `has_configuration` is set from the first
    configuration on. `failures` counts the unexpected errors in a row in applying each
    entry, and `error` is one for which the entries are to be applied again.

    `on_store_restored` is called when the store has come back from an older copy, in
    which what this instance has written may be missing. `sequences` has those of the
    upstreams' last entries, and `removed` the upstreams that were removed lately.
    `is_restored` is set until the older copy was read. `rollouts` is told of all that
    the store has, if the deployment rolls versions out.
    """

    shared: RelayShared
    tables: NewestTable
    decode: RecordDecoder
    on_instance_count: Callable[[int], None] | None = None
    on_own_change: Callable[[frozenset[str], frozenset[str]], None] | None = None
    on_crash: Callable[[], None] = lambda: None
    on_versions: Callable[[], None] = lambda: None
    on_instances: Callable[[Iterable[EntryInstance]], None] = lambda instances: None
    on_store_restored: Callable[[], None] = lambda: None
    upstreams: Listing[UpstreamInstance] = field(default_factory=Listing)
    instances: Listing[EntryInstance] = field(default_factory=Listing)
    has_configuration: asyncio.Event = field(default_factory=asyncio.Event)
    failures: dict[str, int] = field(default_factory=dict)
    error: Exception | None = None
    claims: frozenset[str] = frozenset()
    cut_off: frozenset[str] = frozenset()
    sequences: dict[str, int] = field(default_factory=dict)
    removed: dict[str, RemovedUpstream] = field(default_factory=dict)
    is_restored: bool = False
    rollouts: StoreListener | None = None

    def store_read(self, values: tuple[StoredValue, ...], now: float) -> None:
        """Replace all entries by the values of a complete read of the store."""
        if self.rollouts is not None:
            with self.applying("rollouts"):
                self.rollouts.store_read(values, now)
        upstreams: dict[str, UpstreamInstance] = {}
        instances: dict[str, EntryInstance] = {}
        for value in values:
            with self.applying(value.key):
                match self.decode(value.key, value.value):
                    case ConfigurationRecord(table):
                        self.apply_table(table)
                    case UpstreamRecord(name, upstream, sequence) if (
                        upstream is not None
                    ):
                        if self.is_outdated(upstream, sequence):
                            log_event("removed_entry_ignored", upstream=name)
                            continue
                        upstreams[name] = upstream
                        self.sequences[name] = sequence
                    case InstanceRecord(name, instance) if instance is not None:
                        instances[name] = instance
                    case CrashRecord() | SoundRecord() | TrialRecord() as record:
                        self.merge_crash_record(record, now)
                    case SeenVersion() | ServiceVersions() as record:
                        self.shared.versions.record_saved(record, now)
        self.is_restored = False
        self.log_read_changes(upstreams)
        self.upstreams.replace_all(upstreams, now)
        self.instances.replace_all(instances, now)
        self.update_decisions(now)
        self.raise_error()

    def store_changed(self, events: Sequence[WatchEvent], now: float) -> None:
        """Apply the changes of one answer of the store and pass the new state on once.

        In a large fleet an answer has many, and each pass costs as much as all of them.
        """
        if self.rollouts is not None:
            with self.applying("rollouts"):
                self.rollouts.store_changed(events, now)
        changed: set[type[Record] | None] = set()
        for event in events:
            with self.applying(event.key):
                changed.add(self.apply_change(event, now))
        if UpstreamRecord in changed:
            self.update_upstreams(now)
        if InstanceRecord in changed:
            self.update_instances()
        if changed & {UpstreamRecord, SeenVersion, ServiceVersions}:
            self.on_versions()
        self.raise_error()

    @contextmanager
    def applying(self, key: str) -> Iterator[None]:
        """Keep an unexpected error in applying one entry from the others.

        After some errors in a row that entry is left out.
        """
        try:
            yield
        except Exception as error:
            failures = self.failures[key] = self.failures.get(key, 0) + 1
            log_event("entry_not_applied", key=key, error=repr(error))
            if failures < MAX_FAILURES:
                self.error = error
        else:
            self.failures.pop(key, None)

    def raise_error(self) -> None:
        """Raise the error of an entry, so that all of them are applied again."""
        error, self.error = self.error, None
        if error is not None:
            raise error

    def apply_change(self, event: WatchEvent, now: float) -> type[Record] | None:
        """Apply one change of a key; return the kind of its record, if it has one.

        What lists of upstreams and instances mean for decisions is not passed on yet.
        """
        record = self.decode(event.key, event.value)
        match record:
            case ConfigurationRecord(table):
                self.apply_table(table)
            case UpstreamRecord(name, upstream, sequence):
                self.record_heartbeat(name, upstream, sequence)
                self.record_sequence(name, upstream, sequence, now)
                log_upstream_change(name, upstream, event.revision)
                put_or_remove(self.upstreams, name, upstream, now)
            case InstanceRecord(name, instance):
                put_or_remove(self.instances, name, instance, now)
            case CrashRecord() | SoundRecord() | TrialRecord():
                self.merge_crash_record(record, now)
            case SeenVersion() | ServiceVersions():
                self.shared.versions.record_saved(record, now)
        return type(record) if record is not None else None

    def log_read_changes(self, found: Mapping[str, UpstreamInstance]) -> None:
        """Log in what a complete read differs from the upstreams listed before."""
        listed = self.upstreams.entries
        for name in sorted(listed.keys() | found.keys()):
            if listed.get(name) != found.get(name):
                log_upstream_change(name, found.get(name), None)

    def record_heartbeat(
        self, name: str, upstream: UpstreamInstance | None, sequence: int
    ) -> None:
        """Pass on that an upstream that was listed has written its entry again."""
        listed = self.upstreams.entries.get(name)
        if (
            upstream is None
            or listed is None
            or sequence <= self.sequences.get(name, 0)
        ):
            return
        if upstream.incarnation == listed.incarnation:
            self.shared.selector.record_heartbeat(upstream)

    def record_sequence(
        self, name: str, upstream: UpstreamInstance | None, sequence: int, now: float
    ) -> None:
        """Record the sequence of an upstream's entry, or that it was removed."""
        if upstream is not None:
            self.sequences[name] = sequence
            self.removed.pop(name, None)
            return
        last = self.upstreams.entries.get(name)
        if last is None:
            return
        self.removed = {
            other: removed
            for other, removed in self.removed.items()
            if now - removed.at < REMOVED_KEPT_S
        }
        self.removed[name] = RemovedUpstream(
            last.incarnation, self.sequences.pop(name, 0), now
        )

    def is_outdated(self, upstream: UpstreamInstance, sequence: int) -> bool:
        """Whether an older copy of the store has brought back a removed entry."""
        removed = self.removed.get(upstream.name)
        return (
            self.is_restored
            and removed is not None
            and removed.incarnation == upstream.incarnation
            and sequence <= removed.sequence
        )

    def merge_crash_record(self, record: LedgerRecord, now: float) -> None:
        """Pass on what an instance told of a crash."""
        ledger = self.shared.crashes
        ledger.clock_offset = time.time() - now
        match record:
            case CrashRecord():
                if ledger.merge_crash(record, now):
                    self.on_crash()
            case SoundRecord():
                if ledger.merge_sound(record, now):
                    log_event("trait_cleared", trait=record.trait)
            case TrialRecord():
                ledger.merge_trial(record, now)

    def store_lost(self, now: float) -> None:
        """Start an outage: all entries are kept until the store can be read again."""
        self.upstreams.mark_store_lost(now)
        self.instances.mark_store_lost(now)
        self.shared.versions.is_store_lost = True

    def store_regained(self, now: float, was_away: bool) -> None:
        """End an outage: entries that lapsed during it get a grace time to return.

        None have lapsed if the store was not away for other instances.
        """
        self.upstreams.mark_store_available(now, was_away)
        self.instances.mark_store_available(now, was_away)
        self.shared.versions.is_store_lost = not was_away

    def store_reached(self, is_reached: bool) -> None:
        """Record whether the store answers this instance, and so takes its records."""
        self.shared.versions.is_store_lost = not is_reached

    def store_restored(self, now: float) -> None:
        """Prepare to read an older copy; what is known here stays where it is newer."""
        self.is_restored = True
        self.upstreams.mark_store_restored(now)
        self.instances.mark_store_restored(now)
        self.shared.versions.record_store_restored(now)
        if self.rollouts is not None:
            self.rollouts.store_restored(now)
        self.on_store_restored()

    def apply_table(self, table: RoutingTable | None) -> None:
        """Put a configuration in force if it is newer than the current one."""
        if table is not None and self.tables.replace_if_newer(table):
            self.has_configuration.set()
            log_event("configuration_in_force", version=table.version)

    def update_decisions(self, now: float) -> None:
        """Pass the current upstreams and entry instances to the decision logic."""
        self.update_upstreams(now)
        self.update_instances()
        self.on_versions()

    def update_upstreams(self, now: float) -> None:
        """Pass the current upstreams to the decision logic."""
        upstreams = self.upstreams.entries
        self.shared.update_upstreams(upstreams.values(), now)
        with self.updating("holders"):
            self.shared.holders.retain_listed(upstreams)
        with self.updating("gate"):
            self.shared.gate.retain_listed(upstreams, now)
        with self.updating("versions"):
            self.shared.versions.update_upstreams(upstreams.values(), now)

    def update_instances(self) -> None:
        """Pass the current entry instances to the decision logic."""
        selector, instances = self.shared.selector, self.instances.entries
        selector.update_instances(instances)
        with self.updating("crashes"):
            self.shared.crashes.update_instances(selector.own, instances)
        with self.updating("forwarding"):
            self.shared.forwarding.update_instances(selector.own, instances.values())
        with self.updating("loans"):
            self.shared.loans.update_instances(selector.own, instances.values())
        with self.updating("versions"):
            self.shared.versions.update_instances(selector.own, instances)
        with self.updating("send_limits"):
            self.shared.send_limits.update_instances(
                selector.own,
                {name: each.limited_upstreams for name, each in instances.items()},
            )
        with self.updating("watch"):
            self.on_instances(instances.values())
        with self.updating("budgets"):
            if self.on_instance_count is not None:
                # The list may lack this instance's own record.
                self.on_instance_count(len(selector.instances))

    @contextmanager
    def updating(self, part: str) -> Iterator[None]:
        """Keep an unexpected error of one part, which gets the next list, from others.

        Without this the watch would end, and nothing be passed on to other instances.
        """
        try:
            yield
        except Exception as error:
            self.shared.applied.record_error(error)
            log_event("part_not_updated", part=part, error=repr(error))

    def drop_expired(self, now: float) -> None:
        """Drop the entries whose grace time after an outage has passed."""
        if self.upstreams.expire(now) | self.instances.expire(now):
            log_event("entries_expired", upstreams=len(self.upstreams.entries))
            self.update_decisions(now)

    def report_own_change(self, now: float) -> None:
        """Drop limits that are gone; report a change of what others are to know."""
        limits = self.shared.send_limits
        limits.drop_lifted(now)
        claims, cut_off = limits.claims(), self.shared.reach.services_cut_off()
        is_changed = (claims, cut_off) != (self.claims, self.cut_off)
        if is_changed and self.on_own_change is not None:
            self.on_own_change(claims, cut_off)
        self.claims, self.cut_off = claims, cut_off

    async def run(self) -> None:
        """Drop expired entries and limits periodically until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            self.drop_expired(now)
            self.report_own_change(now)

    def entrypoints(self) -> list[EntryInstance]:
        """Return the live entry instances that callers should use.

        Those that are cut off from more services than others are left out, as long as
        they say so: they would have to forward their requests.
        """
        live = [
            instance
            for instance in self.instances.entries.values()
            if instance.lifecycle is Lifecycle.LIVE
        ]
        fewest = min((len(each.unreachable_services) for each in live), default=0)
        return [each for each in live if len(each.unreachable_services) == fewest]


def log_upstream_change(
    name: str, upstream: UpstreamInstance | None, revision: int | None
) -> None:
    """Log a change of an upstream's entry; a complete read has no `revision` of it."""
    log_event(
        "upstream_changed",
        upstream=name,
        state=upstream.lifecycle.value if upstream else "gone",
        service=upstream.service if upstream else None,
        revision=revision,
    )


def put_or_remove(listing: Listing[T], name: str, entry: T | None, now: float) -> None:
    """Store an entry in the listing, or remove it if `entry` is None."""
    if entry is None:
        listing.remove(name, now)
    else:
        listing.put(name, entry)


@asynccontextmanager
async def expiring_entries(fleet: RelayFleet) -> AsyncIterator[None]:
    """Drop expired entries of the fleet while the context is open."""
    async with lasting_task("entry-expiry", fleet.run):
        yield

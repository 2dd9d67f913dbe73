"""What an instance knows of the fleet from the store: configuration, upstreams, peers.

It hears the store's changes and hands them to the decisions. Nothing is forgotten while
the store is away.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from turmericusher.decisions.fleet import EntryInstance, Lifecycle, UpstreamInstance
from turmericusher.decisions.listing import Listing
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import NewestTable, RoutingTable
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import StoredValue, WatchEvent
from turmericusher.tasks.background import background

EXPIRY_CHECK_S = 0.1

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """A configuration; None where it was unreadable."""

    table: RoutingTable | None


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream's entry; None where it names none that can be used."""

    name: str
    upstream: UpstreamInstance | None


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An entry instance's record; None where it is unreadable."""

    name: str
    instance: EntryInstance | None


Record = ConfigurationRecord | UpstreamRecord | InstanceRecord


class RecordDecoder(Protocol):
    """Tells what a value of the store is."""

    def __call__(self, key: str, value: bytes | None) -> Record | None:
        """Return the record, empty where the value is None or unreadable.

        A key that holds nothing of interest gives None.
        """
        ...


@dataclass(slots=True)
class RelayFleet:
    """The fleet as the store tells it; a listener of the store's changes.

    `on_instances` hears how many entry instances there are.
    """

    shared: RelayShared
    tables: NewestTable
    decode: RecordDecoder
    on_instances: Callable[[int], None] | None = None
    upstreams: Listing[UpstreamInstance] = field(default_factory=Listing)
    instances: Listing[EntryInstance] = field(default_factory=Listing)

    def store_read(self, values: tuple[StoredValue, ...], now: float) -> None:
        """Take over everything."""
        upstreams: dict[str, UpstreamInstance] = {}
        instances: dict[str, EntryInstance] = {}
        for value in values:
            match self.decode(value.key, value.value):
                case ConfigurationRecord(table):
                    self.take_table(table)
                case UpstreamRecord(name, upstream) if upstream is not None:
                    upstreams[name] = upstream
                case InstanceRecord(name, instance) if instance is not None:
                    instances[name] = instance
        self.upstreams.replace(upstreams, now)
        self.instances.replace(instances, now)
        self.apply(now)

    def store_changed(self, event: WatchEvent, now: float) -> None:
        """Take in one change."""
        match self.decode(event.key, event.value):
            case ConfigurationRecord(table):
                self.take_table(table)
            case UpstreamRecord(name, upstream):
                log_event(
                    "upstream_changed",
                    upstream=name,
                    state=upstream.lifecycle.value if upstream else "gone",
                    service=upstream.service if upstream else None,
                    revision=event.revision,
                )
                put_or_remove(self.upstreams, name, upstream, now)
                self.apply(now)
            case InstanceRecord(name, instance):
                put_or_remove(self.instances, name, instance, now)
                self.apply(now)

    def store_lost(self, now: float) -> None:
        """Keep what is known."""
        self.upstreams.lose_store(now)
        self.instances.lose_store(now)

    def store_regained(self, now: float) -> None:
        """Wait a moment for entries that lapsed meanwhile."""
        self.upstreams.regain_store(now)
        self.instances.regain_store(now)

    def take_table(self, table: RoutingTable | None) -> None:
        """Put a newer configuration in force."""
        if table is not None and self.tables.offer(table):
            log_event("configuration_in_force", version=table.version)

    def apply(self, now: float) -> None:
        """Hand the lists to the decisions."""
        selector = self.shared.selector
        selector.advance(now)
        selector.update(self.upstreams.entries.values())
        self.shared.holders.keep(self.upstreams.entries)
        selector.update_instances(self.instances.entries)
        if self.on_instances is not None:
            self.on_instances(max(1, len(self.instances.entries)))

    def expire(self, now: float) -> None:
        """Drop the entries that did not come back in time."""
        if self.upstreams.expire(now) | self.instances.expire(now):
            log_event("entries_expired", upstreams=len(self.upstreams.entries))
            self.apply(now)

    async def run(self) -> None:
        """Drop late entries as their time comes, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            self.expire(asyncio.get_running_loop().time())

    def entrypoints(self) -> list[EntryInstance]:
        """Return the entry instances that callers may use."""
        return [
            instance
            for instance in self.instances.entries.values()
            if instance.lifecycle is Lifecycle.LIVE
        ]


def put_or_remove(listing: Listing[T], name: str, entry: T | None, now: float) -> None:
    """Take in an entry, or its end."""
    if entry is None:
        listing.remove(name, now)
    else:
        listing.put(name, entry)


@asynccontextmanager
async def expiring_entries(fleet: RelayFleet) -> AsyncIterator[None]:
    """Drop late entries while the context is open."""
    async with background({"entry-expiry": fleet.run()}):
        yield

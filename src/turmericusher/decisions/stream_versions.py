"""At which version of its upstreams each stream began, so that it goes on there.

What upstreams of two software versions write does not fit together. A stream that is
resumed within its answer goes on at the version that its relay knows. One that its
caller takes up again may come to any instance, while the one that began it may have
been killed. While a service has more than one version, each instance therefore tells
some others of its streams: those whose names rank first for the stream's id, so that
any instance knows whom to ask. With one version nothing needs to be told.

All instances may be killed at once. Therefore the store has the versions of these
streams, too, and the versions of each service. Both are written before an upstream of a
further version gets a stream. An instance that has just started, was frozen or is cut
off may list one version where there are two: it lets a stream that it does not know go
on only if the store or enough other instances confirm that there is only one.

Streams that begin while there is one version are told to nobody, and their instance may
be lost before there is a second one. The record of a service therefore names the
version whose streams are not recorded. A stream without a record began at that one.

Load: a service whose upstreams are replaced by another version, and instances that are
killed meanwhile. What an instance sends and holds does not grow with the fleet, and
neither does what it receives of the records in the store, which are limited.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance
from turmericusher.decisions.subsets import rendezvous_weight

HOLDER_COUNT = 2
"""Other instances that are told of a stream: one of them may die with the instance that
began it."""

ASKED_COUNT = 4
"""Instances that are asked for a stream: its holders, the instance that began it, and
one more, since the list of instances may have changed."""

MAX_SAVED_PER_S = 100.0
"""Records of streams that all instances together write in a second: each instance
receives all of them, 150 bytes each. Streams beyond that are only told to others."""

MAX_UNSAVED = 256
"""Streams that wait to be written; the oldest ones are dropped beyond that."""

SAVE_BURST = 8
"""Records that one instance may write at once before that limit applies to it."""

SAVE_PAUSE_S = 2.0
"""Seconds after a failed write for which no stream begins at a version that has to be
recorded, as long as another version is live."""

SAVE_DELAY_S = 1.0
"""Seconds for which an instance leaves it to each one that ranks before it to write the
versions of a service. One that has just started does not know the others yet."""

KEPT_S = 120.0
"""Seconds for which the version of a stream is kept, and for which a version of a
service counts as seen after its last upstream has gone. No stream lasts longer."""


@dataclass(frozen=True, slots=True)
class StreamVersion:
    """The version at which a stream began.

    `stream` is the id of the caller's attempt that brought its first event.
    """

    stream: str
    version: str


@dataclass(frozen=True, slots=True)
class SavedStream:
    """The version at which a stream of a service began, for the store."""

    stream: str
    service: str
    version: str


@dataclass(frozen=True, slots=True)
class SeenVersion:
    """A version at which a stream of a service began, as read from the store."""

    service: str
    version: str


@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """The versions of a service's upstreams, as the store has them.

    Each stream has a record, but for those of the version `unrecorded`; None if all of
    them have.
    """

    service: str
    versions: frozenset[str]
    unrecorded: str | None = None


VersionRecord = SeenVersion | ServiceVersions


@dataclass(frozen=True, slots=True)
class FoundVersion:
    """The version at which a stream goes on, None if it is unknown.

    `versions_seen` are those of the service's upstreams that were seen lately.
    """

    version: str | None
    versions_seen: frozenset[str] = frozenset()

    @property
    def may_go_on(self) -> bool:
        """Whether the stream may go on."""
        return self.version is not None


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """What the store has of a stream's version and of its service, as read just now.

    `version` is None if that is unknown, and `service` if it has no record.
    """

    version: str | None
    service: ServiceVersions | None


@dataclass(slots=True)
class OwnStream:
    """A stream that this instance relays now."""

    service: str
    version: str


@dataclass(slots=True)
class StreamVersions:
    """The versions of streams that this instance knows, and whom it tells of its own.

    `known` maps a stream to its version and to when that was recorded, oldest first.
    `running` are the streams that this instance relays. `seen_at` has, for each service
    and version, when an upstream of it was last listed. `unsent` has what other
    instances are to be told, by their names, and `unsaved` what the store is to have.
    `listed` and `saved` are the versions of each service that are listed now and that
    the store has; `due_at` is when this instance writes what differs. `live` are the
    versions of upstreams that take new streams. `written` has the versions that this
    instance has written for streams that are not over, None if a write may have failed.
    `is_store_lost` is set while the store cannot be read, `paused_until` after a failed
    write, and `next_save_at` is when the limit allows a record without a burst. Times
    are monotonic seconds.
    """

    own: str = ""
    instances: frozenset[str] = frozenset()
    known: OrderedDict[str, tuple[str, float]] = field(default_factory=OrderedDict)
    running: dict[str, OwnStream] = field(default_factory=dict)
    seen_at: dict[str, dict[str, float]] = field(default_factory=dict)
    unsent: dict[str, list[StreamVersion]] = field(default_factory=dict)
    unsaved: deque[SavedStream] = field(
        default_factory=lambda: deque(maxlen=MAX_UNSAVED)
    )
    listed: dict[str, frozenset[str]] = field(default_factory=dict)
    saved: dict[str, ServiceVersions] = field(default_factory=dict)
    due_at: dict[str, float] = field(default_factory=dict)
    live: dict[str, frozenset[str]] = field(default_factory=dict)
    written: dict[str, str | None] = field(default_factory=dict)
    is_store_lost: bool = False
    paused_until: float = 0.0
    next_save_at: float = 0.0

    # Queries

    def versions_seen(self, service: str, now: float) -> frozenset[str]:
        """Return the versions of a service's upstreams that were listed lately."""
        seen = self.seen_at.get(service, {})
        return frozenset(version for version, at in seen.items() if now - at < KEPT_S)

    def find(self, stream: str, service: str, now: float) -> FoundVersion:
        """Return what this instance knows of a stream's version."""
        known = self.known.get(stream)
        version = known[0] if known is not None else None
        return FoundVersion(version, self.versions_seen(service, now))

    def ranked(self, stream: str, count: int) -> list[str]:
        """Return the other instances that rank first for a stream."""
        others = self.instances - {self.own}
        return heapq.nlargest(
            count, others, key=lambda name: rendezvous_weight(stream, name)
        )

    def must_record(self, stream: str, service: str, version: str, now: float) -> bool:
        """Whether the store must have a stream's version before the stream is sent.

        It must while the service has another version, unless streams of this one have
        no records. It must also if it may have another one for this stream, whose
        earlier attempt has brought no event.
        """
        if stream in self.written:
            return self.written[stream] != version
        if version == self.unrecorded_version(service):
            return False
        return bool(self.versions_seen(service, now) - {version})

    def unrecorded_version(self, service: str) -> str | None:
        """Return the version of a service whose streams have no records, if any."""
        saved = self.saved.get(service)
        return saved.unrecorded if saved is not None else None

    def closed_versions(self, service: str, now: float) -> frozenset[str]:
        """Return the versions at which no stream begins now.

        Those are the ones that need a record while the store takes none, as long as
        upstreams of the version that needs none are live.
        """
        live = self.live.get(service, frozenset())
        unrecorded = self.unrecorded_version(service)
        if unrecorded not in live or self.may_save(now):
            return frozenset()
        return live - {unrecorded}

    def may_save(self, now: float) -> bool:
        """Whether the store takes records, and the limit allows one more."""
        if self.is_store_lost or now < self.paused_until:
            return False
        return self.next_save_at - now < SAVE_BURST * self.save_interval_s()

    def versions_with(self, service: str, version: str, now: float) -> ServiceVersions:
        """Return the record of a service's versions with one more version."""
        return self.service_record(
            service, self.versions_to_save(service, now) | {version}
        )

    def service_record(self, service: str, versions: frozenset[str]) -> ServiceVersions:
        """Return the record of a service that follows the one in the store."""
        return make_service_versions(
            service, versions, self.unrecorded_version(service)
        )

    def save_interval_s(self) -> float:
        """Return the seconds between two streams that this instance saves."""
        return max(1, len(self.instances)) / MAX_SAVED_PER_S

    def rank(self, service: str) -> int:
        """Return how many other instances are to save a service's versions first."""
        own = rendezvous_weight(service, self.own)
        others = self.instances - {self.own}
        return sum(rendezvous_weight(service, name) > own for name in others)

    def versions_to_save(self, service: str, now: float) -> frozenset[str]:
        """Return the versions of a service that the store should have.

        A version stays there until this instance has not seen it for a while. Only
        listed ones are added, so that instances with other views do not alternate.
        """
        record = self.saved.get(service)
        saved = record.versions if record is not None else frozenset[str]()
        listed = self.listed.get(service, frozenset())
        return (saved & self.versions_seen(service, now)) | listed

    # Commands

    def due_versions(self, now: float) -> list[ServiceVersions]:
        """Return what this instance is to write to the store of services' versions."""
        due = []
        for service in self.listed:
            versions = self.versions_to_save(service, now)
            saved = self.saved.get(service)
            if saved is not None and versions == saved.versions:
                self.due_at.pop(service, None)
                continue
            if service not in self.due_at:
                self.due_at[service] = now + SAVE_DELAY_S * (1 + self.rank(service))
            if now >= self.due_at[service]:
                due.append(self.service_record(service, versions))
        return due

    def record_saved(self, record: VersionRecord, now: float) -> None:
        """Record what the store has; versions not known here count as seen now.

        Streams that run are told of if the service has several versions now.
        """
        match record:
            case SeenVersion(version=version):
                versions = frozenset({version})
            case ServiceVersions(versions=versions):
                self.saved[record.service] = record
        seen = self.seen_at.setdefault(record.service, {})
        if not versions <= seen.keys():
            seen |= {version: now for version in versions - seen.keys()}
            self.tell_running(record.service, now)

    def record_store_restored(self, now: float) -> None:
        """Have the store told anew: it has come back from an older copy."""
        self.saved.clear()
        self.written.clear()
        for service in {running.service for running in self.running.values()}:
            self.tell_running(service, now)

    def update_instances(self, own: str, names: Iterable[str]) -> None:
        """Set this instance's name and those of all live ones."""
        self.own, self.instances = own, frozenset(names) | {own}

    def update_upstreams(
        self, upstreams: Iterable[UpstreamInstance], now: float
    ) -> None:
        """Record the versions that are listed; tell of streams if there are two now."""
        for service, seen in self.seen_at.items():
            recent = {v: at for v, at in seen.items() if now - at < KEPT_S}
            self.seen_at[service] = recent
        new_versions = set()
        listed: dict[str, set[str]] = {}
        live: dict[str, set[str]] = {}
        for upstream in upstreams:
            seen = self.seen_at.setdefault(upstream.service, {})
            if upstream.version not in seen:
                new_versions.add(upstream.service)
            seen[upstream.version] = now
            listed.setdefault(upstream.service, set()).add(upstream.version)
            if upstream.lifecycle is Lifecycle.LIVE:
                live.setdefault(upstream.service, set()).add(upstream.version)
        self.listed, self.live = (
            {service: frozenset(versions) for service, versions in found.items()}
            for found in (listed, live)
        )
        for service in new_versions:
            self.tell_running(service, now)

    def record_begin(self, stream: str, service: str, version: str, now: float) -> None:
        """Record that this instance relays a stream that began at a version."""
        self.running[stream] = OwnStream(service, version)
        self.record_known(StreamVersion(stream, version), now)
        self.tell(stream, service, now)

    def record_end(self, stream: str) -> None:
        """Record that this instance no longer relays a stream."""
        self.running.pop(stream, None)
        self.written.pop(stream, None)

    def begin_saving(self, stream: str, now: float) -> None:
        """Record that a stream's version is being written, which may have an effect."""
        self.written[stream] = None
        self.next_save_at = max(self.next_save_at, now) + self.save_interval_s()

    def finish_saving(self, record: SavedStream) -> None:
        """Record that the store has a stream's version."""
        self.written[record.stream] = record.version

    def pause_saving(self, now: float) -> None:
        """Record that the store did not take a record in time."""
        self.paused_until = now + SAVE_PAUSE_S

    def record_known(self, record: StreamVersion, now: float) -> None:
        """Keep the version of a stream; the first one that was recorded stays."""
        version, _ = self.known.pop(record.stream, (record.version, now))
        self.known[record.stream] = (version, now)
        while now - next(iter(self.known.values()))[1] >= KEPT_S:
            self.known.popitem(last=False)

    def tell_running(self, service: str, now: float) -> None:
        """Have some instances told of the streams of a service that run."""
        for stream, running in self.running.items():
            if running.service == service:
                self.tell(stream, service, now)

    def tell(self, stream: str, service: str, now: float) -> None:
        """Have others and the store told of a stream if there are several versions."""
        if len(self.versions_seen(service, now)) <= 1:
            return
        version = self.running[stream].version
        is_recorded = version in (
            self.written.get(stream),
            self.unrecorded_version(service),
        )
        if not is_recorded:
            self.unsaved.append(SavedStream(stream, service, version))
        record = StreamVersion(stream, version)
        for name in self.ranked(stream, HOLDER_COUNT):
            self.unsent.setdefault(name, []).append(record)

    def take_unsent(self) -> dict[str, list[StreamVersion]]:
        """Return what other instances are to be told now, and forget it."""
        unsent, self.unsent = self.unsent, {}
        return unsent


def make_service_versions(
    service: str, versions: frozenset[str], unrecorded: str | None = None
) -> ServiceVersions:
    """Return the record of a service, of whose versions one may need no records.

    That one stays the same while it is among them. Without one the only version is it:
    all streams of others are recorded.
    """
    if unrecorded not in versions:
        unrecorded = min(versions) if len(versions) == 1 else None
    return ServiceVersions(service, versions, unrecorded)


def sufficient_answers(asked: int) -> int:
    """Return how many of the instances that were asked must answer.

    Each stream is told to `HOLDER_COUNT` of the first ones, so that without one of them
    a holder answers still. With one or two others, none may be missing.
    """
    return asked - 1 if asked > HOLDER_COUNT else max(1, asked)


def conclude_version(
    own: FoundVersion,
    asked: int,
    answers: Sequence[FoundVersion],
    stored: StoredVersion | None,
) -> FoundVersion:
    """Return the version at which a stream goes on that this instance does not know.

    `answers` are those that came from the `asked` instances, and `stored` is what the
    store has, None if it could not be read. A stream of which nobody knows goes on if
    its service has one version. What `own` has seen alone does not show that.
    """
    seen = own.versions_seen.union(*(answer.versions_seen for answer in answers))
    for answer in answers:
        if answer.version is not None:
            return FoundVersion(answer.version, seen)
    is_confirmed = len(answers) >= sufficient_answers(asked)
    if stored is not None:
        is_confirmed = True
        if stored.service is not None:
            seen |= stored.service.versions
        if stored.version is not None:
            return FoundVersion(stored.version, seen)
    if is_confirmed and len(seen) == 1:
        return FoundVersion(min(seen), seen)
    return FoundVersion(None, seen)

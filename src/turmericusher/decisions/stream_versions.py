"""At which version of its upstreams each stream began, so that it goes on there.

What upstreams of two software versions write does not fit together. A stream that is
resumed within its answer goes on at the version that its relay knows. One that its
caller takes up again may come to any instance, while the one that began it may have
been killed. While a service has more than one version, each instance therefore tells
some others of its streams: those whose names rank first for the stream's id, so that
any instance knows whom to ask. With one version nothing needs to be told.

Load: a service whose upstreams are replaced by another version, and instances that are
killed meanwhile. What an instance sends and holds does not grow with the fleet.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.subsets import rendezvous_weight

HOLDER_COUNT = 2
"""Other instances that are told of a stream: one of them may die with the instance that
began it."""

ASKED_COUNT = 4
"""Instances that are asked for a stream: its holders, the instance that began it, and
one more, since the list of instances may have changed."""

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
class FoundVersion:
    """What instances know of a stream's version, None if nothing.

    `versions_seen` are those of the service's upstreams that they have seen lately.
    """

    version: str | None
    versions_seen: frozenset[str] = frozenset()

    @property
    def may_go_on(self) -> bool:
        """Whether the stream may go on: its version is known or there is only one."""
        return self.version is not None or len(self.versions_seen) <= 1


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
    instances are to be told, by their names. Times are monotonic seconds.
    """

    own: str = ""
    instances: frozenset[str] = frozenset()
    known: OrderedDict[str, tuple[str, float]] = field(default_factory=OrderedDict)
    running: dict[str, OwnStream] = field(default_factory=dict)
    seen_at: dict[str, dict[str, float]] = field(default_factory=dict)
    unsent: dict[str, list[StreamVersion]] = field(default_factory=dict)

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

    # Commands

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
        for upstream in upstreams:
            seen = self.seen_at.setdefault(upstream.service, {})
            if upstream.version not in seen:
                new_versions.add(upstream.service)
            seen[upstream.version] = now
        for stream, running in self.running.items():
            if running.service in new_versions:
                self.tell(stream, running.service, now)

    def record_begin(self, stream: str, service: str, version: str, now: float) -> None:
        """Record that this instance relays a stream that began at a version."""
        self.running[stream] = OwnStream(service, version)
        self.record_known(StreamVersion(stream, version), now)
        self.tell(stream, service, now)

    def record_end(self, stream: str) -> None:
        """Record that this instance no longer relays a stream."""
        self.running.pop(stream, None)

    def record_known(self, record: StreamVersion, now: float) -> None:
        """Keep the version of a stream; the first one that was recorded stays."""
        version, _ = self.known.pop(record.stream, (record.version, now))
        self.known[record.stream] = (version, now)
        while now - next(iter(self.known.values()))[1] >= KEPT_S:
            self.known.popitem(last=False)

    def tell(self, stream: str, service: str, now: float) -> None:
        """Have some instances told of a stream if its service has several versions."""
        if len(self.versions_seen(service, now)) <= 1:
            return
        record = StreamVersion(stream, self.running[stream].version)
        for name in self.ranked(stream, HOLDER_COUNT):
            self.unsent.setdefault(name, []).append(record)

    def take_unsent(self) -> dict[str, list[StreamVersion]]:
        """Return what other instances are to be told now, and forget it."""
        unsent, self.unsent = self.unsent, {}
        return unsent


def merge_found(found: Iterable[FoundVersion]) -> FoundVersion:
    """Return what several instances know of a stream's version together."""
    answers = list(found)
    versions = [answer.version for answer in answers if answer.version is not None]
    seen = frozenset().union(*(answer.versions_seen for answer in answers))
    return FoundVersion(versions[0] if versions else None, seen)

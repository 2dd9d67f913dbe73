"""Which instances watch the store, and from whom the others learn of changes.

Load: a large fleet whose entries change all the time. Each change wakes every instance
that watches the store, so that calls and bytes grow with the instances times the
changes. In each failure domain, a few instances therefore watch for the others there.

An instance whose watcher says nothing for a short time watches for itself at once, and
learns from another one later. A change is so in force in time whatever becomes of a
watcher, and what an instance costs the store does not grow with the fleet.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import EntryInstance, Lifecycle
from turmericusher.decisions.subsets import rendezvous_weight

MIN_WATCHERS = 2
"""Instances of each failure domain that watch for the others there: one may fail."""

FOLLOWERS = 16
"""Instances on average that follow one at most. What it sends them takes bytes of its
link and processor time, and must not grow with the fleet."""

MIN_SHARING = 8
"""Instances of a failure domain from which on they share. Watchers ask the store about
twice as often as an instance that watches for itself, so fewer would save nothing."""

AVOIDANCE_S = 5.0
"""Seconds for which a watcher that has failed is not asked again."""

LARGE_VALUE_BYTES = 2_048
"""Size from which on a value is not passed on, since a watcher's link may be slow. Each
instance reads it from the store."""

MAX_KEPT_CHANGES = 500
"""Changes that a watcher keeps for those who come, of some 300 bytes each."""


@dataclass(frozen=True, slots=True)
class PassedChange:
    """A change as a watcher passes it on; a large value `must_be_read` from the store.

    `value` is None if the key was deleted, or must be read.
    """

    key: str
    revision: int
    value: bytes | None
    must_be_read: bool = False


@dataclass(frozen=True, slots=True)
class PassedChanges:
    """All changes up to a revision of the store, from the one last passed on."""

    changes: tuple[PassedChange, ...]
    revision: int


@dataclass(slots=True)
class ChangeLog:
    """The latest changes that an instance has seen in the store, the oldest first.

    It has all of them from after `floor` up to `revision`, while `is_open`.
    """

    floor: int = 0
    revision: int = 0
    is_open: bool = False
    changes: deque[PassedChange] = field(default_factory=deque)

    def after(self, revision: int) -> PassedChanges | None:
        """Return the changes after a revision; None if they are not all held here.

        One that has asked the store itself may know more than is held here.
        """
        if not self.is_open or revision < self.floor:
            return None
        newer = tuple(each for each in self.changes if each.revision > revision)
        return PassedChanges(newer, max(revision, self.revision))

    def open_at(self, revision: int) -> None:
        """Begin anew after a revision, unless all up to there is known."""
        if not self.is_open or revision != self.revision:
            self.changes.clear()
            self.floor = self.revision = revision
        self.is_open = True

    def close(self) -> None:
        """Pass on nothing more: what the store has now is not known."""
        self.is_open = False
        self.changes.clear()
        self.floor = self.revision

    def append(self, changes: Iterable[PassedChange], revision: int) -> None:
        """Add the answer to a watch, which has all changes up to `revision`."""
        self.changes.extend(changes)
        self.revision = max(self.revision, revision)
        while len(self.changes) > MAX_KEPT_CHANGES:
            self.floor = self.changes.popleft().revision


def make_passed_change(key: str, revision: int, value: bytes | None) -> PassedChange:
    """Return a change as it is passed on."""
    is_large = value is not None and len(value) >= LARGE_VALUE_BYTES
    return PassedChange(key, revision, None if is_large else value, is_large)


def watcher_count(instances: int) -> int:
    """Return how many of the instances of a failure domain watch for the others."""
    return max(MIN_WATCHERS, math.ceil(instances / (1 + FOLLOWERS)))


@dataclass(slots=True)
class WatchSharing:
    """Which instance this one, of the name `own`, learns of changes from.

    `watchers` are those of its failure domain that it may ask, the one to ask first in
    front; there are none if it watches itself, and `is_watcher` tells whether it does
    so for others. `avoided_until` has those that have failed, with monotonic seconds.
    """

    own: str
    failure_domain: str
    watchers: tuple[EntryInstance, ...] = ()
    is_watcher: bool = False
    avoided_until: dict[str, float] = field(default_factory=dict)

    def update_instances(self, instances: Iterable[EntryInstance]) -> None:
        """Choose the watchers anew from the instances that are listed.

        The order differs by instance, so that each watcher gets its share of them.
        """
        near = {
            each.name: each
            for each in instances
            if each.failure_domain == self.failure_domain
            and each.lifecycle is Lifecycle.LIVE
            and each.peer_address != each.caller_address
        }
        self.watchers, self.is_watcher = (), False
        if len(near) < MIN_SHARING:
            return
        chosen = heapq.nlargest(
            watcher_count(len(near)),
            near,
            key=lambda name: rendezvous_weight("watch", name),
        )
        self.is_watcher = self.own in chosen
        if not self.is_watcher:
            chosen.sort(key=lambda name: rendezvous_weight(self.own, name))
            self.watchers = tuple(near[name] for name in chosen)

    def source(self, now: float) -> EntryInstance | None:
        """Return the instance to learn of changes from; None for the store itself."""
        for watcher in self.watchers:
            if now >= self.avoided_until.get(watcher.name, now):
                return watcher
        return None

    def record_failure(self, name: str, now: float) -> None:
        """Ask a watcher no more for a while."""
        self.avoided_until = {
            other: until for other, until in self.avoided_until.items() if until > now
        }
        self.avoided_until[name] = now + AVOIDANCE_S

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
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import islice

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

OTHERS_ASKED = 3
"""Instances asked at once what they know, while the store turns this one away."""

MAX_OTHERS_ASKED = 9
"""Instances asked in all before the store counts as lost: a third may be turned away
too."""

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
    """All changes up to a revision of the store, from the one last passed on.

    There may be later ones too. The instance that passes them on has followed the store
    for `followed_s` seconds without a break, and has heard of all its keys within the
    last `age_s` seconds.
    """

    changes: tuple[PassedChange, ...]
    revision: int
    followed_s: float = 0.0
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PassedState:
    """What a history of the store has at a revision: the last change of each key.

    The instance that tells it has followed the store for `followed_s` seconds without a
    break.
    """

    changes: tuple[PassedChange, ...]
    revision: int
    history: int | None
    followed_s: float = 0.0


@dataclass(slots=True)
class ChangeLog:
    """The latest changes that an instance has seen in the store.

    It has all of them from after `floor` up to `revision`, while `is_open`, and some
    later ones; those of one key are in their order. Revisions are those of `history`,
    which changes when the store comes back from an older copy. `added` counts the
    changes ever added, and `begun` how often the log has begun anew.
    """

    floor: int = 0
    revision: int = 0
    is_open: bool = False
    history: int | None = None
    changes: deque[PassedChange] = field(default_factory=deque)
    added: int = 0
    begun: int = 0

    def after(self, revision: int) -> PassedChanges | None:
        """Return the changes after a revision; None if they are not all held here.

        One that has asked the store itself may know more than is held here.
        """
        if not self.is_open or revision < self.floor:
            return None
        newer = tuple(each for each in self.changes if each.revision > revision)
        return PassedChanges(newer, max(revision, self.revision))

    def since(self, added: int, begun: int) -> PassedChanges | None:
        """Return what came after a state of the log; None if it is not all held here.

        `added` and `begun` are those of that state.
        """
        count = self.added - added
        if not self.is_open or begun != self.begun or count > len(self.changes):
            return None
        first = len(self.changes) - count
        return PassedChanges(tuple(islice(self.changes, first, None)), self.revision)

    def open_at(self, revision: int, history: int | None = None) -> None:
        """Begin anew after a revision, unless all up to there is known."""
        is_known = self.is_open and history == self.history
        if not is_known or revision != self.revision:
            self.clear()
            self.floor = self.revision = revision
        self.history = history
        self.is_open = True

    def close(self) -> None:
        """Pass on nothing more: what the store has now is not known."""
        self.is_open = False
        self.clear()
        self.floor = self.revision

    def clear(self) -> None:
        """Forget all changes."""
        self.changes.clear()
        self.begun += 1

    def append(self, changes: Iterable[PassedChange], revision: int) -> None:
        """Add the answer to a watch, which has all changes up to `revision`."""
        for each in changes:
            self.changes.append(each)
            self.added += 1
        self.revision = max(self.revision, revision)
        if len(self.changes) > MAX_KEPT_CHANGES:
            self.drop_superseded()
        while len(self.changes) > MAX_KEPT_CHANGES:
            self.floor = max(self.floor, self.changes.popleft().revision)

    def drop_superseded(self) -> None:
        """Drop the changes of keys that were changed again later."""
        newest = {each.key: each for each in self.changes}
        kept = [each for each in self.changes if newest[each.key] is each]
        if len(kept) < len(self.changes):
            self.clear()
            self.changes.extend(kept)


def make_passed_change(key: str, revision: int, value: bytes | None) -> PassedChange:
    """Return a change as it is passed on."""
    is_large = value is not None and len(value) >= LARGE_VALUE_BYTES
    return PassedChange(key, revision, None if is_large else value, is_large)


def watcher_count(instances: int) -> int:
    """Return how many of the instances of a failure domain watch for the others."""
    return max(MIN_WATCHERS, math.ceil(instances / (1 + FOLLOWERS)))


def choose_asking(near: Mapping[str, EntryInstance]) -> dict[str, EntryInstance]:
    """Return which instances of a failure domain ask the store for changes."""
    if len(near) < MIN_SHARING:
        return dict(near)
    chosen = heapq.nlargest(
        watcher_count(len(near)),
        near,
        key=lambda name: rendezvous_weight("watch", name),
    )
    return {name: near[name] for name in chosen}


@dataclass(slots=True)
class WatchSharing:
    """Which instance this one, of the name `own`, learns of changes from.

    `watchers` are those of its failure domain that it may ask, the one to ask first in
    front; there are none if it watches itself, and `is_watcher` tells whether it does
    so for others. `avoided_until` has those that have failed, with monotonic seconds.
    `domains` has the instances that serve others, by failure domain and name.
    """

    own: str
    failure_domain: str
    watchers: tuple[EntryInstance, ...] = ()
    is_watcher: bool = False
    avoided_until: dict[str, float] = field(default_factory=dict)
    domains: dict[str, dict[str, EntryInstance]] = field(default_factory=dict)

    def update_instances(self, instances: Iterable[EntryInstance]) -> None:
        """Choose the watchers anew from the instances that are listed.

        The order differs by instance, so that each watcher gets its share of them.
        """
        domains: dict[str, dict[str, EntryInstance]] = {self.failure_domain: {}}
        for each in instances:
            is_served = each.peer_address != each.caller_address
            if each.lifecycle is Lifecycle.LIVE and is_served:
                domains.setdefault(each.failure_domain, {})[each.name] = each
        self.domains, self.watchers, self.is_watcher = domains, (), False
        near = domains[self.failure_domain]
        if len(near) < MIN_SHARING:
            return
        asking = choose_asking(near)
        self.is_watcher = self.own in asking
        if not self.is_watcher:
            self.watchers = self.in_own_order(asking.values())

    def others(self) -> tuple[EntryInstance, ...]:
        """Return the other instances that ask the store, those of its domain in front.

        It takes time for each instance of the fleet, and is called in outages only.
        """
        asking = {name: choose_asking(near) for name, near in self.domains.items()}
        here = asking.pop(self.failure_domain, {})
        elsewhere = [each for chosen in asking.values() for each in chosen.values()]
        return (
            *self.in_own_order(e for e in here.values() if e.name != self.own),
            *self.in_own_order(elsewhere),
        )

    def in_own_order(
        self, instances: Iterable[EntryInstance]
    ) -> tuple[EntryInstance, ...]:
        """Return instances in an order that differs by the instance that asks them."""
        return tuple(
            sorted(instances, key=lambda each: rendezvous_weight(self.own, each.name))
        )

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

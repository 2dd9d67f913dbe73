"""Which upstreams an entry instance sends to: an even cover by rendezvous hashing.

Each upstream picks the instances that serve it, by highest random weight (Thaler and
Ravishankar, 1998). Every upstream is thus covered by the same number of instances,
which the opposite choice (each instance picks its upstreams) does not ensure. The mean
size of an instance's subset stays constant as both fleets grow.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

SUBSET_SIZE = 32
"""The mean number of upstreams of one service that an instance sends to. A service no
larger than this is used whole."""
MIN_COVER = 2


def rendezvous_weight(first: str, second: str) -> int:
    """Return the weight of a pair, equal in every process."""
    digest = hashlib.blake2b(f"{first}\0{second}".encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def cover_size(instances: int, upstreams: int) -> int:
    """Return how many instances cover each upstream."""
    wanted = math.ceil(SUBSET_SIZE * instances / max(1, upstreams))
    return min(instances, max(MIN_COVER, wanted))


@dataclass(slots=True)
class Subset:
    """The upstreams of one service that the instance `own` covers.

    `covers` keeps the instances chosen for each upstream, so that a change of one
    instance or upstream costs one pass of hashes, not one for each pair.
    """

    own: str
    instances: frozenset[str] = frozenset()
    size: int = 0
    covers: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def update(self, instances: Iterable[str], upstreams: Iterable[str]) -> None:
        """Follow the fleets; an unknown `own` counts as an instance."""
        new_instances = frozenset(instances) | {self.own}
        names = set(upstreams)
        size = cover_size(len(new_instances), len(names))
        joined = new_instances - self.instances
        left = self.instances - new_instances
        if size != self.size:
            self.covers = {}
        self.instances = new_instances
        self.size = size
        self.covers = {
            name: self.cover_of(name, self.covers.get(name), joined, left)
            for name in names
        }

    def cover_of(
        self,
        upstream: str,
        known: tuple[str, ...] | None,
        joined: frozenset[str],
        left: frozenset[str],
    ) -> tuple[str, ...]:
        """Return the instances that cover an upstream, reusing what is known."""
        if known is None or not left.isdisjoint(known):
            return self.heaviest(upstream, self.instances)
        if not joined:
            return known
        return self.heaviest(upstream, joined.union(known))

    def heaviest(self, upstream: str, instances: Iterable[str]) -> tuple[str, ...]:
        """Return the instances of highest weight for an upstream."""
        weights = ((rendezvous_weight(name, upstream), name) for name in instances)
        return tuple(name for _, name in heapq.nlargest(self.size, weights))

    def names(self) -> frozenset[str]:
        """Return the upstreams that the instance itself covers."""
        if len(self.covers) <= SUBSET_SIZE:
            return frozenset(self.covers)
        return frozenset(name for name, by in self.covers.items() if self.own in by)

"""Which upstreams an entry instance sends to: even subsets by consistent hashing.

Each upstream is covered by the instances that follow it on a ring (Karger et al.,
1997), so every upstream is covered by the same number of instances, and a change of one
instance moves few of them. The mean size of an instance's subset stays constant as both
fleets grow. Rendezvous hashing (Thaler and Ravishankar, 1998) covers as evenly, but
needs a hash for each pair of instance and upstream.
"""

from __future__ import annotations

import bisect
import hashlib
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

SUBSET_SIZE = 32
"""The mean number of upstreams of one service that an instance sends to. A service with
no more upstreams than this is used whole."""
MIN_INSTANCES_PER_UPSTREAM = 2
"""Least number of instances that cover each upstream, if there are that many."""
POINTS_PER_INSTANCE = 16
"""Points of each instance on the ring; more of them even out the subsets' sizes."""


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def rendezvous_weight(first: str, second: str) -> int:
    """Return the weight of a pair of names, which is the same in every process."""
    return stable_hash(f"{first}\0{second}")


def instances_per_upstream(instances: int, upstreams: int) -> int:
    """Return the number of instances that cover each upstream."""
    wanted = math.ceil(SUBSET_SIZE * instances / max(1, upstreams))
    return min(instances, max(MIN_INSTANCES_PER_UPSTREAM, wanted))


@dataclass(slots=True)
class InstanceRing:
    """The entry instances on a hash ring; `points` is sorted.

    `positions` caches the upstreams' positions, which do not depend on the instances.
    """

    instances: frozenset[str] = frozenset()
    points: list[tuple[int, str]] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)

    def update(self, instances: Iterable[str]) -> None:
        """Set the live instances, and add or remove only the points that change."""
        new = frozenset(instances)
        departed = self.instances - new
        kept = [point for point in self.points if point[1] not in departed]
        for name in new - self.instances:
            kept.extend(
                (stable_hash(f"{name}\0{index}"), name)
                for index in range(POINTS_PER_INSTANCE)
            )
        kept.sort()
        self.points = kept
        self.instances = new

    def update_positions(self, upstreams: Collection[str]) -> None:
        """Set the upstreams whose positions are cached."""
        self.positions = {
            name: self.positions.get(name) or stable_hash(name) for name in upstreams
        }

    def covered_upstreams(self, own: str, upstreams: Collection[str]) -> frozenset[str]:
        """Return the upstreams of a service that the instance `own` covers."""
        if len(upstreams) <= SUBSET_SIZE or own not in self.instances:
            return frozenset(upstreams)
        size = instances_per_upstream(len(self.instances), len(upstreams))
        covered = self.covered_indexes(own, size)
        return frozenset(
            name for name in upstreams if self.point_index(name) in covered
        )

    def point_index(self, upstream: str) -> int:
        """Return the index of the first point at or after an upstream's position."""
        position = (self.positions[upstream], "")
        return bisect.bisect_left(self.points, position) % len(self.points)

    def covered_indexes(self, own: str, size: int) -> frozenset[int]:
        """Return the indexes from which `own` is among the next `size` instances.

        Walking back from each point of `own` visits few points, however many upstreams
        there are.
        """
        covered: set[int] = set()
        for own_index, (_, name) in enumerate(self.points):
            if name != own:
                continue
            passed: set[str] = set()
            index = own_index
            while len(passed) < size:
                covered.add(index)
                index = (index - 1) % len(self.points)
                if self.points[index][1] == own:
                    break
                passed.add(self.points[index][1])
        return frozenset(covered)

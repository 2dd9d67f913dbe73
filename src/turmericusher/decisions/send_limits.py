"""Limits that upstreams name for the requests that they take from all instances.

An upstream in need names a limit in its answers, for as long as it holds. Each instance
that has had such an answer sends at most its share, spaced evenly. The shares are known
without messages between the instances, from the list of them alone.

Load: a service of few upstreams, all in need, behind many instances. A share of far
below one request a second would allow a burst of one from each instance at the same
moment, so only some instances share a low limit. These tell the others, by their
records in the store, when the limit is gone.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.subsets import rendezvous_weight

SHARERS_PER_RATE = 2.0
"""Instances that share a limit, for each request per second of it. With `MIN_SHARERS`,
4 s of a limit L bring at most 4 L requests and one from each sharer, 6 L + 3."""

MIN_SHARERS = 3

CLAIM_DELAY_S = 3.0
"""Seconds that the claims of sharers take at most to reach all instances."""

UNCLAIMED_EXPIRY_S = 10.0
"""Seconds after which a limit is dropped that no sharer has told of."""

MAX_INTERVAL_S = 30.0
"""Longest seconds between two sends of a sharer, however low the limit: without any
send it would not see when the limit is gone."""


@dataclass(slots=True)
class NamedLimit:
    """The limit that one incarnation of an upstream names, in requests per second.

    This instance's interval until its next send counts from `counts_from`. It learned
    the limit at `learned_at`; both are monotonic seconds. `is_claimed`: a sharer has
    told of it.
    """

    incarnation: str
    per_s: float
    counts_from: float
    learned_at: float
    is_claimed: bool = False


@dataclass(slots=True)
class SendLimits:
    """The limits in force, by upstream name, and this instance's share of each.

    `own` is the name of this instance and `instances` are those of all live ones.
    `claimed` are the upstreams of which some other instance shares a limit. `ranks` has
    this instance's rank among all by upstream, which takes a hash for each instance.
    """

    random: random.Random
    own: str = ""
    instances: frozenset[str] = frozenset()
    claimed: frozenset[str] = frozenset()
    limits: dict[str, NamedLimit] = field(default_factory=dict)
    ranks: dict[str, int] = field(default_factory=dict)

    def update_instances(self, own: str, listed: Mapping[str, frozenset[str]]) -> None:
        """Set this instance's name, and all live ones with the limits they share."""
        instances = frozenset(listed) | {own}
        if instances != self.instances or own != self.own:
            self.own, self.instances, self.ranks = own, instances, {}
        others = [claims for name, claims in listed.items() if name != own]
        self.claimed = frozenset().union(*others)

    def claims(self) -> frozenset[str]:
        """Return the upstreams of which this instance shares a limit with others.

        If all instances share a limit, each of them sees by itself when it is gone.
        """
        return frozenset(
            name
            for name, limit in self.limits.items()
            if self.sharers(limit.per_s) < len(self.instances)
            and self.is_sharer(name, self.sharers(limit.per_s))
        )

    def drop_lifted(self, now: float) -> None:
        """Drop the limits of which no sharer tells, and those that were never shared.

        A limit that ended before any sharer had an answer is never told of.
        """
        own_claims = self.claims()
        for name, limit in list(self.limits.items()):
            limit.is_claimed = limit.is_claimed or name in self.claimed
            is_shared = self.sharers(limit.per_s) >= len(self.instances)
            delay_s = CLAIM_DELAY_S if limit.is_claimed else UNCLAIMED_EXPIRY_S
            is_recent = now - limit.learned_at < delay_s
            if is_shared or is_recent or name in self.claimed | own_claims:
                continue
            del self.limits[name]

    def record_answer(
        self, upstream: UpstreamInstance, per_s: float | None, now: float
    ) -> bool:
        """Record the limit that an answer names, or None; return whether it is new.

        An instance that learns a limit waits for a random part of its interval, since
        others learn it at the same time.
        """
        known = self.limits.get(upstream.name)
        if per_s is None:
            self.limits.pop(upstream.name, None)
            return known is not None
        if known is not None and known.incarnation == upstream.incarnation:
            is_new = known.per_s != per_s
            known.per_s = per_s
            return is_new
        interval_s = self.interval_s(upstream.name, per_s)
        passed_s = 0.0
        if interval_s < math.inf:
            passed_s = self.random.uniform(0.0, interval_s)
        self.limits[upstream.name] = NamedLimit(
            upstream.incarnation, per_s, now - passed_s, now
        )
        return True

    def record_send(self, name: str, now: float) -> None:
        """Record that a request is sent to an upstream."""
        limit = self.limits.get(name)
        if limit is not None:
            limit.counts_from = now

    def interval_s(self, name: str, per_s: float) -> float:
        """Return the seconds between two sends of this instance to an upstream."""
        count, sharers = max(1, len(self.instances)), self.sharers(per_s)
        if count > sharers and not self.is_sharer(name, sharers):
            return math.inf
        longest = MAX_INTERVAL_S * per_s
        return min(count, sharers) / per_s if longest > sharers else MAX_INTERVAL_S

    def sharers(self, per_s: float) -> int:
        """Return how many instances share a limit, if there are that many."""
        return math.floor(SHARERS_PER_RATE * per_s) + MIN_SHARERS

    def is_sharer(self, name: str, sharers: int) -> bool:
        """Whether this instance is one of so many that share an upstream's limit."""
        if name not in self.ranks:
            own_weight = rendezvous_weight(name, self.own)
            self.ranks[name] = sum(
                rendezvous_weight(name, other) > own_weight for other in self.instances
            )
        return self.ranks[name] < sharers

    def wait_s(self, name: str, now: float) -> float:
        """Return the seconds until a request may be sent to an upstream."""
        limit = self.limits.get(name)
        if limit is None:
            return 0.0
        ready_at = limit.counts_from + self.interval_s(name, limit.per_s)
        return max(0.0, ready_at - now)

    def blocked(self, now: float) -> frozenset[str]:
        """Return the upstreams that take no request of this instance now."""
        return frozenset(name for name in self.limits if self.wait_s(name, now) > 0.0)

    def retain_listed(self, listed: Mapping[str, UpstreamInstance]) -> None:
        """Drop the limits of incarnations that the list no longer shows."""
        self.limits = {
            name: limit
            for name, limit in self.limits.items()
            if name in listed and listed[name].incarnation == limit.incarnation
        }
        self.ranks = {n: rank for n, rank in self.ranks.items() if n in self.limits}

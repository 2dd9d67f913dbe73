"""Which instances of a large fleet hold the slack of the retry limit.

Load: the loss of a failure domain takes two streams of each of 59 instances at one
moment, while the slack divides into less than two retries for each instance. A few
budget holders for each service, chosen by rendezvous hashing of service and instance,
have about ten retries each instead, and the others borrow from them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.retrying.retries import BUDGET_SHARE, RetryBounds
from turmericusher.decisions.subsets import rendezvous_weight

HOLDER_RETRIES = 10.0
"""Least number of retries in a budget holder's part of the slack."""

MIN_INSTANCE_RETRIES = 3.0
"""Retries of the slack for each instance below which budget holders have all of it."""

EARNED_SHARE = 0.5
"""Share of the limit's ratio that a request earns. One instance may spend what the
window before has earned, and another one what this window has; the limit counts the
requests of only one of them. More than half is exceeded when load moves between
instances or they restart (docs/design/retry-budget.md)."""


@dataclass(frozen=True, slots=True)
class RetryPool:
    """The instances that may be budget holders, this one included if it may be one.

    `domains` maps their names to their failure domains. There are `holder_count`
    holders of each service, with `part` retries of the slack each. A request earns
    `ratio` retries.
    """

    own: str
    domains: Mapping[str, str]
    holder_count: int
    part: float
    ratio: float
    known_holders: dict[str, frozenset[str]] = field(
        default_factory=dict, compare=False
    )

    def holders(self, service: str) -> frozenset[str]:
        """Return the names of the budget holders of a service.

        They are spread evenly over the failure domains: one that is cut off keeps its
        part, which the next holders in order have as well.
        """
        found = self.known_holders.get(service)
        if found is None:
            found = frozenset(self.ranked(service)[: self.holder_count])
            self.known_holders[service] = found
        return found

    def ranked(self, service: str) -> list[str]:
        """Return all names in the order in which they become budget holders."""
        by_weight = sorted(
            self.domains, key=lambda name: (rendezvous_weight(service, name), name)
        )
        seen = Counter[str]()
        ranks: dict[str, int] = {}
        for name in by_weight:
            domain = self.domains[name]
            ranks[name] = seen[domain]
            seen[domain] += 1
        return sorted(by_weight, key=ranks.__getitem__)

    def own_part(self, service: str) -> float:
        """Return the retries of a service's slack that this instance holds."""
        return self.part if self.own in self.holders(service) else 0.0


def make_pool(
    bounds: RetryBounds, own: str, domains: Mapping[str, str], instances: int
) -> RetryPool | None:
    """Return the pool of a fleet of so many instances, or None if it needs none.

    `domains` has the failure domains of those that may be holders. A fleet with too few
    of them has no pool.
    """
    shared = BUDGET_SHARE * bounds.slack
    if shared >= MIN_INSTANCE_RETRIES * instances:
        return None
    count = max(1, int(shared / HOLDER_RETRIES))
    if len(domains) < count:
        return None
    ratio = EARNED_SHARE * bounds.ratio
    return RetryPool(own, domains, count, shared / count, ratio)

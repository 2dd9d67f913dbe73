"""Retries that instances lend each other.

Load: a large fleet. The limit on the retries of all instances divides into a retry or
two for each of them, while a failure domain that crashes takes several streams of one
instance with it, and most others have lost none.

A lender takes the retry from its own budget before it answers. The budgets of all
instances therefore add up to the same limit, whoever makes the retries. An answer that
is lost costs the lender one retry.

In a fleet with a retry pool, the budget holders are asked first.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import EntryInstance, Lifecycle
from turmericusher.decisions.retrying.pooled_retries import LOAN_USE_S, RetryLevel
from turmericusher.decisions.retrying.retries import RetryBudget
from turmericusher.decisions.retrying.retry_pool import RetryPool
from turmericusher.decisions.sliding_count import SlidingCount

REFUSAL_EXPIRY_S = 2.0
"""Seconds for which an instance that lent nothing is not asked again. Its budget grows
with its requests, over some seconds."""

LOAN_VALIDITY_S = 1.0
"""Seconds within which a loan must be used. The lender counts the retry from when it
lent it, so a later one could exceed the limit of another window."""

MAX_REQUESTS_PER_S = 20
"""Requests for loans that one instance makes in a second: while all upstreams fail,
every instance would ask all the others."""


@dataclass(slots=True)
class RetryLoans:
    """Which other instance is asked for a retry; `own` is this instance's name.

    `refused_until` maps the names of instances that lent nothing to the monotonic time
    in seconds until which they are not asked; with a `pool`, `pool_refusals` does so by
    service and name, with the level of the retry that was refused. `may_hold`: other
    instances can borrow from this one.
    """

    random: random.Random
    own: str = ""
    instances: tuple[EntryInstance, ...] = ()
    refused_until: dict[str, float] = field(default_factory=dict)
    requests: SlidingCount = field(default_factory=lambda: SlidingCount(1.0))
    pool: RetryPool | None = None
    pool_refusals: dict[tuple[str, str], tuple[float, RetryLevel]] = field(
        default_factory=dict
    )
    may_hold: bool = True

    def update_instances(self, own: str, instances: Iterable[EntryInstance]) -> None:
        """Set this instance's name and the list of all instances."""
        self.own = own
        listed = tuple(instances)
        self.instances = tuple(
            each for each in listed if each.name != own and can_lend(each)
        )
        # The list may lack this instance's own record.
        self.may_hold = all(can_lend(each) for each in listed if each.name == own)

    def possible_holders(self) -> dict[str, str]:
        """Return the failure domains of the other instances that may be holders."""
        return {each.name: each.failure_domain for each in self.instances}

    @property
    def validity_s(self) -> float:
        """Seconds within which a loan must be used."""
        return LOAN_VALIDITY_S if self.pool is None else LOAN_USE_S

    def candidates(
        self, now: float, service: str = "", level: RetryLevel = RetryLevel.NEW
    ) -> list[EntryInstance]:
        """Return the instances that may have a retry to lend.

        With a pool these are the service's budget holders, or else any other instance.
        """
        if self.pool is not None:
            open_ = [
                each
                for each in self.instances
                if not self.has_refused(each.name, service, level, now)
            ]
            holders = self.pool.holders(service)
            return [each for each in open_ if each.name in holders] or open_
        return [
            each
            for each in self.instances
            if self.refused_until.get(each.name, now) <= now
        ]

    def has_refused(
        self, name: str, service: str, level: RetryLevel, now: float
    ) -> bool:
        """Whether an instance has lately refused a retry that was as urgent."""
        until, refused = self.pool_refusals.get((service, name), (now, level))
        return now < until and level >= refused

    def has_lender(
        self, now: float, service: str = "", level: RetryLevel = RetryLevel.NEW
    ) -> bool:
        """Whether an instance may be asked for a retry now."""
        if self.requests.count(now) >= MAX_REQUESTS_PER_S:
            return False
        return bool(self.candidates(now, service, level))

    def pick_lender(
        self, now: float, service: str = "", level: RetryLevel = RetryLevel.NEW
    ) -> EntryInstance:
        """Return a random instance to ask for a retry, and count the request.

        There must be one.
        """
        self.requests.record(now)
        return self.random.choice(self.candidates(now, service, level))

    def record_refusal(
        self,
        name: str,
        now: float,
        service: str = "",
        level: RetryLevel = RetryLevel.NEW,
    ) -> None:
        """Record that an instance lent nothing."""
        if self.pool is not None:
            if self.has_refused(name, service, RetryLevel.NEW, now):
                level = min(level, self.pool_refusals[service, name][1])
            self.pool_refusals = {
                key: refusal
                for key, refusal in self.pool_refusals.items()
                if refusal[0] > now
            }
            self.pool_refusals[service, name] = (now + REFUSAL_EXPIRY_S, level)
            return
        self.refused_until = {
            other: until for other, until in self.refused_until.items() if until > now
        }
        self.refused_until[name] = now + REFUSAL_EXPIRY_S


def can_lend(instance: EntryInstance) -> bool:
    """Whether other instances can borrow from an instance."""
    is_live = instance.lifecycle is Lifecycle.LIVE
    return is_live and instance.peer_address != instance.caller_address


def level_of(level: int, is_new_stream: bool) -> RetryLevel:
    """Return the level of a request for a loan; an older borrower sends none, or 0."""
    if level in list(RetryLevel):
        return RetryLevel(level)
    return RetryLevel.NEW if is_new_stream else RetryLevel.IN_PROGRESS


def lend_retry(
    budget: RetryBudget,
    is_new_stream: bool,
    now: float,
    level: int = 0,
    own_share: float = 0.0,
) -> bool:
    """Take a retry from a lender's budget; return whether there was one to lend.

    The borrower pays `own_share` of it, from 0 to 1, out of what it has earned.
    """
    if not 0.0 <= own_share <= 1.0:
        own_share = 0.0
    return budget.lend(now, level_of(level, is_new_stream), own_share)

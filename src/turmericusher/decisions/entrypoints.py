"""Entry points: which addresses a caller receives, and in what order.

The caller's own failure domain comes first. Within a group the order is random, with
weights that fall with the load, so that callers who keep the answer for a while spread
over the instances and no single address receives all of them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from turmericusher.decisions.fleet import EntryInstance, Lifecycle
from turmericusher.decisions.membership import Health, MemberClaim

MAX_ENTRYPOINTS = 8
DOMAIN_AGNOSTIC_SHARE = 0.1
"""Share of the answers that ignore the caller's failure domain."""

OVERLOAD_RATIO = 2.0
"""An instance in the caller's failure domain loses its preference when its load exceeds
this many times the mean."""


@dataclass(frozen=True, slots=True)
class EntryPoint:
    """An entry instance's address as it is returned to callers."""

    name: str
    address: str
    failure_domain: str


def choose_entrypoints(
    claims: Iterable[MemberClaim], failure_domain: str, rng: random.Random
) -> list[EntryPoint]:
    """Return at most `MAX_ENTRYPOINTS` addresses for a caller, the best one first.

    An instance that is dead, is leaving or refuses new work is left out. A suspected
    one comes last: it may be alive, and a caller with no better address should try it.
    """
    usable = [claim for claim in claims if is_usable(claim)]
    mean_load = sum(claim.state.load for claim in usable) / max(1, len(usable))
    ignores_domain = rng.random() < DOMAIN_AGNOSTIC_SHARE
    random_keys = {
        claim.instance.name: weighted_random_key(claim, rng) for claim in usable
    }

    def sort_key(claim: MemberClaim) -> tuple[bool, bool, float]:
        is_same_domain = claim.instance.failure_domain == failure_domain
        is_overloaded = claim.state.load > OVERLOAD_RATIO * mean_load + 1
        is_preferred = ignores_domain or (is_same_domain and not is_overloaded)
        is_suspect = claim.health is not Health.ALIVE
        return is_suspect, not is_preferred, random_keys[claim.instance.name]

    ordered = sorted(usable, key=sort_key)
    return [to_entrypoint(claim.instance) for claim in ordered[:MAX_ENTRYPOINTS]]


def weighted_random_key(claim: MemberClaim, rng: random.Random) -> float:
    """Return a random sort key for an instance; low loads tend to come first.

    Exponential variates whose rates are the weights give a weighted random order
    (Efraimidis and Spirakis, "Weighted random sampling with a reservoir", 2006).
    """
    weight = 1.0 / (1.0 + claim.state.load)
    return -math.log(1.0 - rng.random()) / weight


def is_usable(claim: MemberClaim) -> bool:
    """Whether callers may be sent to an instance.

    An instance that is known only by its registration has heartbeat 0 and may have
    ended long ago.
    """
    return (
        claim.state.heartbeat > 0
        and claim.health is not Health.DEAD
        and claim.instance.lifecycle is Lifecycle.LIVE
        and claim.state.takes_work
    )


def to_entrypoint(instance: EntryInstance) -> EntryPoint:
    """Return the entry point of an instance."""
    return EntryPoint(instance.name, instance.caller_address, instance.failure_domain)

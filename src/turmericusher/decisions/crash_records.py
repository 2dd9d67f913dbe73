"""What instances tell each other of upstreams that crashed, and of sound requests.

A trait is what a request shares with others, and what may crash the upstreams that run
it: a part of its prompt, or the whole request, which its caller may send again.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from turmericusher.decisions.relay_messages import RelayedRequest

PART_PREFIX = "part-"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A trait of a request in flight at a death that may be the cause of it.

    `rank` is one more than the highest rank of the trait that the instance knew when it
    sent the request. Deaths at the same time therefore have the same rank. `trials`
    counts the deaths up to this one that came of trials of the blocked trait.
    """

    trait: str
    rank: int
    trials: int = 0


Chain = tuple[Suspicion, ...]
"""The suspected traits of one request, from the most to the least shared one."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """The death of one incarnation of an upstream, with the requests suspected of it.

    Only requests of which the upstream had just begun to write an answer, or might have
    begun to, are suspected. `at` is when an instance first knew of it, in Unix seconds
    by that one's clock; None if it did not say.
    """

    upstream: str
    incarnation: str
    chains: frozenset[Chain]
    at: float | None = None

    @property
    def death(self) -> str:
        """The name of this death, which is the same at all instances."""
        return death_name(self.upstream, self.incarnation)


@dataclass(frozen=True, slots=True)
class SoundRecord:
    """A trait of a request that ran well, and the deaths that it did not cause."""

    trait: str
    deaths: frozenset[str]


@dataclass(frozen=True, slots=True)
class TrialRecord:
    """The last trial of a blocked trait by any instance; `number` counts them.

    `at` is when it was claimed, as in `CrashRecord`.
    """

    trait: str
    number: int
    at: float | None = None


def next_suspicion(trait: str, known: Suspicion | None, is_trial: bool) -> Suspicion:
    """Return a trait as suspected of a further death."""
    if known is None:
        return Suspicion(trait, 1)
    return Suspicion(trait, known.rank + 1, known.trials + is_trial)


def severity(suspicion: Suspicion) -> tuple[int, int]:
    """Return the sort key by which the more serious of two suspicions is found."""
    return suspicion.trials, suspicion.rank


LedgerRecord = CrashRecord | SoundRecord | TrialRecord


def death_name(upstream: str, incarnation: str) -> str:
    """Return the name of the death of one incarnation of an upstream."""
    return f"{upstream}~{incarnation}"


def request_traits(request: RelayedRequest) -> tuple[str, ...]:
    """Return the traits of a request, from the most to the least shared one."""
    whole = hashlib.blake2b(digest_size=12)
    caller = request.key or ""
    for text in (request.host, request.method, request.target, caller):
        whole.update(f"{text}\0".encode())
    whole.update(f"{','.join(request.prompt_parts)}\0".encode())
    whole.update(request.body)
    parts = dict.fromkeys(f"{PART_PREFIX}{part}" for part in request.shared_parts)
    return (*parts, f"request-{whole.hexdigest()}")


def is_shared(trait: str) -> bool:
    """Whether a trait is one that different requests have in common."""
    return trait.startswith(PART_PREFIX)

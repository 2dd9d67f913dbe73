"""Owners of shards: which instance writes the pages, so that writes are shared.

Every instance chooses by itself among the instances that it takes for live. Two may
choose differently; then both write, and the compare-and-swap keeps the pages right.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field

SUSPECTED_FOR_S = 5.0


@dataclass(slots=True)
class PageOwners:
    """Rendezvous hashing over addresses, passing over those that did not answer."""

    suspected_until: dict[str, float] = field(default_factory=dict)

    def owner(self, shard: int, addresses: Sequence[str], now: float) -> str | None:
        """Return the owner's address; None when no address is left."""
        usable = [
            address
            for address in addresses
            if self.suspected_until.get(address, now) <= now
        ]
        return max(usable, key=lambda address: rank(shard, address), default=None)

    def suspect(self, address: str, now: float) -> None:
        """Pass over an address for a while."""
        self.suspected_until = {
            known: until for known, until in self.suspected_until.items() if until > now
        }
        self.suspected_until[address] = now + SUSPECTED_FOR_S


def rank(shard: int, address: str) -> bytes:
    """Return the weight of an address for a shard."""
    return hashlib.blake2b(f"{shard}/{address}".encode(), digest_size=8).digest()

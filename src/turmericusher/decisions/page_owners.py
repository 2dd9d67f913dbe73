"""Owners of shards: which instance writes the pages, so that writes are shared.

Every instance chooses independently among the instances that it considers live. Two may
choose differently; then both write, and compare-and-swap keeps the pages correct.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field

SUSPECT_EXPIRY_S = 5.0
"""Seconds for which an address that did not answer is not chosen."""


@dataclass(slots=True)
class ShardOwners:
    """Chooses owners by rendezvous hashing, without addresses that did not answer."""

    suspected_until: dict[str, float] = field(default_factory=dict)

    def owner(self, shard: int, addresses: Sequence[str], now: float) -> str | None:
        """Return the address of a shard's owner; None when none is usable."""
        usable = [
            address
            for address in addresses
            if self.suspected_until.get(address, now) <= now
        ]
        return max(
            usable, key=lambda address: shard_weight(shard, address), default=None
        )

    def suspect(self, address: str, now: float) -> None:
        """Exclude an address for `SUSPECT_EXPIRY_S` seconds."""
        self.suspected_until = {
            known: until for known, until in self.suspected_until.items() if until > now
        }
        self.suspected_until[address] = now + SUSPECT_EXPIRY_S


def shard_weight(shard: int, address: str) -> bytes:
    """Return the rendezvous weight of an address for a shard."""
    return hashlib.blake2b(f"{shard}/{address}".encode(), digest_size=8).digest()

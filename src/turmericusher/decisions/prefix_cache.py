"""A directory of the upstreams that probably have a prompt prefix in their cache.

Engines publish cache events late and with gaps, so the directory is only a hint. It may
send a request to an upstream that no longer holds the prefix, which costs one prefill,
and it never decides more than a preference.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_PREFIXES = 10_000
HOLDER_EXPIRY_S = 300.0
"""Seconds after which an upstream is no longer expected to hold a prefix."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache; `sequence` grows by one with each event."""

    upstream: str
    incarnation: str
    sequence: int
    stored: tuple[bytes, ...] = ()
    removed: tuple[bytes, ...] = ()


@dataclass(slots=True)
class PrefixDirectory:
    """The likely holders of each prefix; the least recently used prefix is evicted.

    `holders` gives for each prefix the time at which an upstream last got or stored it.
    `positions` has the incarnation and sequence of each upstream's last event.
    """

    holders: OrderedDict[bytes, dict[str, float]] = field(default_factory=OrderedDict)
    positions: dict[str, tuple[str, int]] = field(default_factory=dict)

    def record_holder(self, prefix: bytes, upstream: str, now: float) -> None:
        """Record that an upstream got a prompt with this prefix, or has it cached."""
        if not prefix:
            return
        self.holders.setdefault(prefix, {})[upstream] = now
        self.holders.move_to_end(prefix)
        if len(self.holders) > MAX_PREFIXES:
            self.holders.popitem(last=False)

    def apply(self, event: CacheEvent, now: float) -> None:
        """Apply a cache event; after a gap or a restart, first drop older entries.

        An event that was already applied is ignored.
        """
        incarnation, sequence = self.positions.get(event.upstream, ("", 0))
        if event.incarnation == incarnation and event.sequence <= sequence:
            return
        if event.incarnation != incarnation or event.sequence != sequence + 1:
            self.forget_upstream(event.upstream)
        self.positions[event.upstream] = (event.incarnation, event.sequence)
        for prefix in event.removed:
            self.holders.get(prefix, {}).pop(event.upstream, None)
        for prefix in event.stored:
            self.record_holder(prefix, event.upstream, now)

    def forget_upstream(self, upstream: str) -> None:
        """Remove all entries of an upstream."""
        self.positions.pop(upstream, None)
        for held in self.holders.values():
            held.pop(upstream, None)

    def likely_holders(self, prefix: bytes, now: float) -> frozenset[str]:
        """Return the upstreams that probably hold a prefix now."""
        held = self.holders.get(prefix, {})
        return frozenset(
            name for name, since in held.items() if now - since <= HOLDER_EXPIRY_S
        )

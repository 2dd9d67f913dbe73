"""The limits of what clients make a process hold, derived from those of its machine."""

from __future__ import annotations

from dataclasses import dataclass

MEBIBYTE = 1_048_576
KIBIBYTE = 1_024

DEFAULT_MEMORY_MB = 1_024.0
"""Memory of a machine whose settings do not state it."""

DEFAULT_DESCRIPTORS = 4_096.0
"""File descriptors of a machine whose settings do not state them."""

BUDGET_SHARE = 0.25
"""Share of the memory that requests and answers may hold. A process without any takes
some 60 MB, copies of a body and of an answer while they are handed on some 20 MB, and
the smallest machine has 128 MB."""

SMALL_SHARE = 0.25
"""Share of the budget that only small requests may use."""

SMALL_BYTES = 32 * KIBIBYTE
"""Size up to which a request is small. Prompts of 8,000 tokens have about this size."""

CONNECTION_SHARE = 0.1
"""Share of the memory for the state of connections."""

CONNECTION_BYTES = 32 * KIBIBYTE
"""What a connection takes at most besides its body: objects, and part of a head."""

FILE_DESCRIPTORS = 200
"""Descriptors of a machine that belong to files."""

CONNECTION_DESCRIPTOR_SHARE = 0.5
"""Share of the other descriptors for clients. Each request in progress has a connection
to an upstream, and the store and other instances are connected as well."""

PEER_DESCRIPTOR_SHARE = 0.25
"""Share of the other descriptors for connections that other instances open."""

PEER_MEMORY_SHARE = 0.04
"""Share of the memory for messages of other instances that are incomplete."""

HEADER_BYTES = 16_384
"""Largest header section, as in the configuration's defaults."""

SLOW_READER_S = 5.0
"""Seconds in which a reader must take `SLOW_READER_BYTES`. A slower one is cut off."""

SLOW_READER_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class HeldLimits:
    """The limits of one process.

    `budget_bytes` is what requests and answers may hold together, of which requests and
    answers above `SMALL_BYTES` get `large_bytes`. `connections` and `peer_connections`
    are those of clients and of other instances, and `peer_bytes` what the incomplete
    messages of other instances may hold. `header_bytes` is the largest header section.
    A reader that takes less than `SLOW_READER_BYTES` within `slow_reader_s` is cut off.
    """

    budget_bytes: int
    large_bytes: int
    connections: int
    peer_connections: int
    peer_bytes: int
    header_bytes: int = HEADER_BYTES
    slow_reader_s: float = SLOW_READER_S


def make_held_limits(
    memory_mb: float | None = None,
    descriptors: float | None = None,
    *,
    held_mb: float | None = None,
    connections: float | None = None,
    header_bytes: float | None = None,
    slow_reader_s: float | None = None,
    peer_connections: float | None = None,
    peer_mb: float | None = None,
) -> HeldLimits:
    """Return the limits of a machine; each keyword replaces a default."""
    memory = (memory_mb or DEFAULT_MEMORY_MB) * MEBIBYTE
    budget = BUDGET_SHARE * memory if held_mb is None else held_mb * MEBIBYTE
    sockets = max(8.0, (descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS)
    if connections is None:
        connections = min(
            CONNECTION_DESCRIPTOR_SHARE * sockets,
            CONNECTION_SHARE * memory / CONNECTION_BYTES,
        )
    if peer_connections is None:
        peer_connections = PEER_DESCRIPTOR_SHARE * sockets
    peer = PEER_MEMORY_SHARE * memory if peer_mb is None else peer_mb * MEBIBYTE
    return HeldLimits(
        budget_bytes=int(budget),
        large_bytes=int(budget * (1 - SMALL_SHARE)),
        connections=max(1, int(connections)),
        peer_connections=max(1, int(peer_connections)),
        peer_bytes=int(peer),
        header_bytes=int(header_bytes or HEADER_BYTES),
        slow_reader_s=slow_reader_s or SLOW_READER_S,
    )

"""The port through which relayed requests reach upstreams.

An adapter sends one attempt, knows the wire's names, and reports what came as typed
events; it takes no decision.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.relay_messages import (
    MemoryCopy,
    RelayedRequest,
    RelayEvent,
    StartRelay,
    UpstreamReport,
)
from turmericusher.decisions.routing import RoutedRequest

EventSink = Callable[[RelayEvent], Awaitable[None]]


class RelayPort(Protocol):
    """Sends attempts and probes upstreams."""

    async def send(
        self,
        start: StartRelay,
        request: RelayedRequest,
        routed: RoutedRequest,
        sink: EventSink,
    ) -> None:
        """Send one attempt and report its events, the last of which ends it.

        Cancelling the call closes the connection, which ends the upstream's work.
        """
        ...

    async def report(self, upstream: UpstreamInstance) -> UpstreamReport | None:
        """Ask an upstream for its load; None where no answer came in time."""
        ...

    async def copy_memory(
        self, source: UpstreamInstance, request_id: str, target: UpstreamInstance
    ) -> MemoryCopy | None:
        """Let `source` copy the memory of a request that it runs to `target`.

        Returns None where no copy was made.
        """
        ...

    async def release_copy(self, copy: MemoryCopy) -> None:
        """Free the memory of a copy; one that is gone already is left alone."""
        ...

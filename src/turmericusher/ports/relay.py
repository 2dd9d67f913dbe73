"""The port through which relayed requests reach upstreams.

An adapter sends one attempt, translates it to the names on the wire, and reports the
response as typed events. It makes no decisions.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.relay_messages import (
    MemoryCopy,
    RelayedRequest,
    RelayEvent,
    ReportQuery,
    StartRelay,
    StoppedRun,
)
from turmericusher.decisions.routing import RoutedRequest

EventSink = Callable[[RelayEvent], Awaitable[None]]


class RelayPort(Protocol):
    """Sends attempts, queries upstreams' loads, and manages copies of KV caches."""

    async def send(
        self,
        start: StartRelay,
        request: RelayedRequest,
        routed: RoutedRequest,
        sink: EventSink,
    ) -> None:
        """Send one attempt and pass its events to `sink`; the last one ends it.

        Cancelling the call closes the connection, which cancels the work on the
        upstream.
        """
        ...

    async def query_report(self, upstream: UpstreamInstance) -> ReportQuery:
        """Query an upstream's load, for as long as a stalled stream can wait."""
        ...

    async def find_end_state(self, upstream: UpstreamInstance) -> EndState:
        """Find out whether this incarnation of an upstream has ended.

        Of one that does not answer in time, that is unknown: it may only be slow.
        """
        ...

    async def can_connect(self, upstream: UpstreamInstance) -> bool:
        """Whether an upstream accepts a connection in time; nothing is sent on it."""
        ...

    async def copy_memory(
        self, source: UpstreamInstance, request_id: str, target: UpstreamInstance
    ) -> MemoryCopy | None:
        """Let `source` copy the KV cache of a request that it runs to `target`.

        Returns None if no copy was made.
        """
        ...

    async def stop_run(
        self, source: UpstreamInstance, request_id: str, target: UpstreamInstance
    ) -> StoppedRun:
        """Have `source` stop a run and copy its KV cache to `target` after that.

        Nothing is known of the run if no valid answer comes in time.
        """
        ...

    async def release_copy(self, copy: MemoryCopy) -> None:
        """Free the memory of a copy; a copy that is already gone is not an error."""
        ...

"""The gRPC server of an instance, with all that it serves to other instances."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from turmericusher.decisions.stream_versions import StreamVersions
from turmericusher.memory_guard import MemoryGuard
from turmericusher.peers.changes_service import (
    ChangesService,
    ChangeStreams,
    KeyReader,
    StateTeller,
)
from turmericusher.peers.guarded_server import GuardedServer
from turmericusher.peers.hops_service import (
    Confirmer,
    Ender,
    EndRecorder,
    HopChannels,
    HopsService,
)
from turmericusher.peers.retries_service import (
    Lender,
    RetriesService,
    RetryChannels,
)
from turmericusher.peers.streams_service import StreamsService, open_channels
from turmericusher.peers.take_ups_service import (
    PlaceKeeper,
    RunEnder,
    TakeUpChannels,
    TakeUpsService,
)
from turmericusher.tasks.change_feed import ChangeFeed

__all__ = [
    "ChangeStreams",
    "HopChannels",
    "RetryChannels",
    "TakeUpChannels",
    "open_channels",
    "serving_instances",
]


@asynccontextmanager
async def serving_instances(
    known: StreamVersions,
    feed: ChangeFeed,
    read_key: KeyReader,
    tell_state: StateTeller,
    lend: Lender,
    end_earlier: RunEnder,
    keep_place: PlaceKeeper,
    confirm: Confirmer,
    record_ended: EndRecorder,
    end: Ender,
    bound: socket.socket,
    guard: MemoryGuard,
) -> AsyncIterator[None]:
    """Serve other instances at a bound socket while the context is open."""
    clock = asyncio.get_running_loop().time
    services = [
        StreamsService(known, clock),
        ChangesService(feed, read_key, tell_state),
        RetriesService(lend),
        TakeUpsService(end_earlier, keep_place),
        HopsService(confirm, record_ended, end),
    ]
    server = GuardedServer(services, guard)
    await server.start(sock=bound)
    try:
        yield
    finally:
        # Streams of changes have no end of their own.
        feed.close()
        server.close()
        await server.wait_closed()

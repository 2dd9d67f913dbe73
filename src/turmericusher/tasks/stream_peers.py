"""Loads and runs what instances tell each other over gRPC, after callers are served.

Loading gRPC takes 0.15 s of processor time, in which no caller would be served.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from importlib import import_module

from turmericusher.listeners import open_listener
from turmericusher.logs import log_event
from turmericusher.memory_guard import MemoryGuard
from turmericusher.tasks.background import background_tasks
from turmericusher.tasks.hop_leases import HopLeases
from turmericusher.tasks.retry_lending import RetryLending
from turmericusher.tasks.shared_watch import SharedWatch
from turmericusher.tasks.stream_versions import StreamVersionExchange
from turmericusher.tasks.take_ups import TakeUps

SERVICE_MODULE = "turmericusher.peers.instance_services"


@asynccontextmanager
async def running_stream_peers(
    exchange: StreamVersionExchange,
    watch: SharedWatch,
    lending: RetryLending,
    take_ups: TakeUps,
    hops: HopLeases,
    address: str | None,
    guard: MemoryGuard,
) -> AsyncIterator[None]:
    """Give all four their connections to other instances while the context is open.

    Other instances are served at `ip:port` unless that is None. Connections that arrive
    before gRPC is loaded wait in the socket's backlog.
    """
    with ExitStack() as stack:
        listener = stack.enter_context(open_listener(address)) if address else None
        running = run_stream_peers(
            exchange, watch, lending, take_ups, hops, listener, guard
        )
        async with background_tasks({"stream-peers": running}):
            yield


async def run_stream_peers(
    exchange: StreamVersionExchange,
    watch: SharedWatch,
    lending: RetryLending,
    take_ups: TakeUps,
    hops: HopLeases,
    listener: socket.socket | None,
    guard: MemoryGuard,
) -> None:
    """Load gRPC in a thread, serve, and hand the connections out."""
    service = await asyncio.to_thread(import_module, SERVICE_MODULE)
    async with AsyncExitStack() as stack:
        if listener is not None:
            serving = service.serving_instances(
                exchange.versions,
                watch.feed,
                watch.read_for_other,
                watch.state,
                lending.lend,
                take_ups.end_earlier_runs,
                take_ups.keep_place,
                hops.confirm,
                hops.record_ended,
                hops.end_for,
                listener,
                guard,
            )
            await stack.enter_async_context(serving)
        channels = stack.enter_context(service.open_channels())
        exchange.peers.set_result(channels)
        lending.peers.set_result(service.RetryChannels(channels))
        take_ups.peers.set_result(service.TakeUpChannels(channels))
        hops.peers.set_result(service.HopChannels(channels))
        watch.peers.set_result(service.ChangeStreams())
        log_event("stream_peers_loaded", is_serving=listener is not None)
        await asyncio.Event().wait()

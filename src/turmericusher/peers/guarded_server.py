"""A gRPC server whose clients hold a bounded part of the process's memory.

grpclib keeps a message until it is complete, however long its sender says it is.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import Any

from grpclib.config import Configuration
from grpclib.protocol import EventsProcessor, H2Protocol
from grpclib.server import Server
from h2.errors import ErrorCodes
from h2.events import DataReceived

from turmericusher.memory_guard import MemoryGuard

WINDOW_BYTES = 65_536
"""Flow-control window of a connection and of a call: what a client may send without it
being read."""

MAX_MESSAGE_BYTES = 1_048_576
"""What a call may send; its one message has some hundred bytes for each of a few
hundred streams."""


class GuardedProcessor(EventsProcessor):  # type: ignore[misc]
    """The events of one connection; `held_bytes` counts the data of its open calls.

    `refused` are the calls that were ended for their data, of which more may come that
    was sent before.
    """

    def __init__(self, server: GuardedServer, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.server = server
        self.held_bytes = 0
        self.refused: set[int] = set()

    def process_data_received(self, event: DataReceived) -> None:
        """Take data of a call, or end the call if its data has no room."""
        stream = self.streams.get(event.stream_id)
        if event.stream_id in self.refused:
            self.connection.ack(event.stream_id, event.flow_controlled_length)
            return
        if stream is not None:
            size = len(event.data)
            total = self.server.held_bytes + size
            is_large = stream.data_received + size > MAX_MESSAGE_BYTES
            if is_large or total > self.server.guard.limits.peer_bytes:
                self.server.guard.count("peer_message")
                length = event.flow_controlled_length
                self.connection.ack(event.stream_id, length)
                stream.reset_nowait(ErrorCodes.ENHANCE_YOUR_CALM)
                self.refused.add(event.stream_id)
                stream.__terminated__("the message is too large")
                self.handler.cancel(stream)
                return
            self.hold(size)
        super().process_data_received(event)

    def register(self, stream: Any) -> Any:
        """Add a call; its data counts until it ends."""
        release = super().register(stream)

        def release_counted() -> None:
            self.hold(-stream.data_received)
            self.refused.discard(stream.id)
            release()

        return release_counted

    def hold(self, size: int) -> None:
        """Count bytes in the connection and the server."""
        self.held_bytes += size
        self.server.held_bytes += size


class GuardedH2Protocol(H2Protocol):  # type: ignore[misc]
    """One connection of another instance."""

    def __init__(self, server: GuardedServer, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.server = server
        self.is_counted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection, or close it if there are too many."""
        super().connection_made(transport)
        self.processor: EventsProcessor = GuardedProcessor(
            self.server, self.handler, self.connection
        )
        limit = self.server.guard.limits.peer_connections
        if self.server.connections >= limit:
            self.server.guard.count("peer_connections")
            transport.abort()  # type: ignore[attr-defined]
            return
        self.server.connections += 1
        self.is_counted = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection held."""
        if self.is_counted:
            self.server.connections -= 1
        super().connection_lost(exc)


class GuardedServer(Server):  # type: ignore[misc]
    """A server that counts its `connections` and the data of their open calls."""

    def __init__(self, services: Collection[Any], guard: MemoryGuard) -> None:
        super().__init__(
            services,
            config=Configuration(
                http2_connection_window_size=WINDOW_BYTES,
                http2_stream_window_size=WINDOW_BYTES,
            ),
        )
        self.guard = guard
        self.connections = 0
        self.held_bytes = 0

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return GuardedH2Protocol(self, made.handler, made.config, made.h2_config)

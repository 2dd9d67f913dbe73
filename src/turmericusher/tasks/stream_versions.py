"""Tells other instances of the versions of streams, and asks them."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.stream_versions import (
    ASKED_COUNT,
    FoundVersion,
    StreamVersion,
    StreamVersions,
    merge_found,
)
from turmericusher.logs import log_event
from turmericusher.peers.streams_service import ask_version, send_records
from turmericusher.tasks.background import background_tasks, cancel_tasks

ASK_TIMEOUT_S = 0.15
"""Seconds that another instance has to answer: several round trips between domains."""

TELL_TIMEOUT_S = 0.3
MAX_TRIES = 2
"""Tries to reach an instance; the second one goes over a new connection."""

MAX_CHANNELS = 64
"""Open connections to other instances, of which the least recently used is closed."""

PEER_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
)


@dataclass(slots=True)
class StreamVersionExchange:
    """The connections to other instances; `instances` are those that are listed."""

    versions: StreamVersions
    instances: Mapping[str, EntryInstance] = field(default_factory=dict)
    channels: OrderedDict[str, Channel] = field(default_factory=OrderedDict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    sends: set[asyncio.Task[None]] = field(default_factory=set)

    def notify(self) -> None:
        """Have what is unsent sent soon."""
        if self.versions.unsent:
            self.wake.set()

    async def run(self) -> None:
        """Send what other instances are to be told until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            for name, records in self.versions.take_unsent().items():
                task = asyncio.create_task(self.tell(name, records))
                self.sends.add(task)
                task.add_done_callback(self.sends.discard)

    async def tell(self, name: str, records: Sequence[StreamVersion]) -> None:
        """Tell one instance of some streams."""
        for _ in range(MAX_TRIES):
            channel = self.channel_to(name)
            if channel is None:
                return
            try:
                await send_records(channel, records, TELL_TIMEOUT_S)
                return
            except PEER_ERRORS as error:
                self.drop_channel(name)
                log_event("stream_versions_untold", peer=name, error=repr(error))

    async def find(self, stream: str, service: str) -> FoundVersion:
        """Return what this instance and some others know of a stream's version."""
        now = asyncio.get_running_loop().time()
        own = self.versions.find(stream, service, now)
        if own.version is not None:
            return own
        names = self.versions.ranked(stream, ASKED_COUNT)
        answers = await asyncio.gather(
            *(self.ask(name, stream, service) for name in names)
        )
        return merge_found([own, *(each for each in answers if each is not None)])

    async def ask(self, name: str, stream: str, service: str) -> FoundVersion | None:
        """Ask one instance for a stream's version; None if it does not answer."""
        for _ in range(MAX_TRIES):
            channel = self.channel_to(name)
            if channel is None:
                return None
            try:
                return await ask_version(channel, stream, service, ASK_TIMEOUT_S)
            except PEER_ERRORS as error:
                self.drop_channel(name)
                log_event("stream_version_unanswered", peer=name, error=repr(error))
        return None

    def channel_to(self, name: str) -> Channel | None:
        """Return a connection to an instance; None if it serves no other instances."""
        instance = self.instances.get(name)
        if instance is None or instance.peer_address == instance.caller_address:
            return None
        address = instance.peer_address
        channel = self.channels.pop(address, None)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host.strip("[]"), int(port))
        self.channels[address] = channel
        while len(self.channels) > MAX_CHANNELS:
            _, oldest = self.channels.popitem(last=False)
            oldest.close()
        return channel

    def drop_channel(self, name: str) -> None:
        """Close the connection to an instance that did not answer."""
        instance = self.instances.get(name)
        if instance is not None:
            channel = self.channels.pop(instance.peer_address, None)
            if channel is not None:
                channel.close()

    async def close(self) -> None:
        """Close all connections."""
        await cancel_tasks(self.sends)
        for channel in self.channels.values():
            channel.close()


@asynccontextmanager
async def exchanging_versions(exchange: StreamVersionExchange) -> AsyncIterator[None]:
    """Tell other instances of streams while the context is open."""
    try:
        async with background_tasks({"stream-versions": exchange.run()}):
            yield
    finally:
        await exchange.close()

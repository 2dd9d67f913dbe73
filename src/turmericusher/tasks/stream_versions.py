"""Tells other instances of the versions of streams, and asks them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.stream_versions import (
    ASKED_COUNT,
    FoundVersion,
    StreamVersion,
    StreamVersions,
    merge_found,
)
from turmericusher.logs import log_event
from turmericusher.ports.stream_peers import StreamPeerError, StreamPeers
from turmericusher.tasks.background import cancel_tasks, lasting_task
from turmericusher.tasks.version_records import VersionRecords

ASK_TIMEOUT_S = 0.15
"""Seconds that another instance has to answer: several round trips between domains."""

TELL_TIMEOUT_S = 0.3
LOADING_LIMIT_S = 5.0
"""Seconds to wait after a start for what connects to other instances: loading it takes
0.15 s of processor time, and machines may have a tenth of a core."""

MAX_TRIES = 2
"""Tries to reach an instance; the second one goes over a new connection."""


def new_future() -> asyncio.Future[StreamPeers]:
    """Return a future of the running event loop."""
    return asyncio.get_running_loop().create_future()


@dataclass(slots=True)
class StreamVersionExchange:
    """What instances tell and ask each other; `instances` are those that are listed.

    `peers` is the connection to them, or will be: it is loaded after callers are
    served. What is told and asked before waits for it. `records` are those in the
    store, for streams of which no live instance knows.
    """

    versions: StreamVersions
    records: VersionRecords
    peers: asyncio.Future[StreamPeers] = field(default_factory=new_future)
    instances: Mapping[str, EntryInstance] = field(default_factory=dict)
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
        peers = await self.loaded_peers()
        for _ in range(MAX_TRIES):
            address = self.peer_address(name)
            if peers is None or address is None:
                return
            try:
                await peers.tell(address, records, TELL_TIMEOUT_S)
                return
            except StreamPeerError as error:
                log_event("stream_versions_untold", peer=name, error=str(error))

    async def find(self, stream: str, service: str) -> FoundVersion:
        """Return what this instance, some others and the store know of a stream."""
        now = asyncio.get_running_loop().time()
        own = self.versions.find(stream, service, now)
        if own.version is not None:
            return own
        names = self.versions.ranked(stream, ASKED_COUNT)
        answers = await asyncio.gather(
            self.find_saved(stream, service, own),
            *(self.ask(name, stream, service) for name in names),
        )
        return merge_found([own, *(each for each in answers if each is not None)])

    async def find_saved(
        self, stream: str, service: str, own: FoundVersion
    ) -> FoundVersion | None:
        """Return what the store has of a stream, if several versions began some."""
        if own.may_go_on:
            return None
        return FoundVersion(await self.records.find(stream, service))

    async def ask(self, name: str, stream: str, service: str) -> FoundVersion | None:
        """Ask one instance for a stream's version; None if it does not answer."""
        peers = await self.loaded_peers()
        for _ in range(MAX_TRIES):
            address = self.peer_address(name)
            if peers is None or address is None:
                return None
            try:
                return await peers.ask(address, stream, service, ASK_TIMEOUT_S)
            except StreamPeerError as error:
                log_event("stream_version_unanswered", peer=name, error=str(error))
        return None

    async def loaded_peers(self) -> StreamPeers | None:
        """Return the connections to other instances; None if they do not come."""
        try:
            async with asyncio.timeout(LOADING_LIMIT_S):
                return await asyncio.shield(self.peers)
        except TimeoutError:
            log_event("stream_peers_missing")
            return None

    def peer_address(self, name: str) -> str | None:
        """Return the address at which an instance serves others; None if it does not.

        One that is no longer listed has none.
        """
        instance = self.instances.get(name)
        if instance is None or instance.peer_address == instance.caller_address:
            return None
        return instance.peer_address


@asynccontextmanager
async def exchanging_versions(exchange: StreamVersionExchange) -> AsyncIterator[None]:
    """Tell other instances of streams while the context is open."""
    try:
        async with lasting_task("stream-versions", exchange.run):
            yield
    finally:
        await cancel_tasks(exchange.sends)

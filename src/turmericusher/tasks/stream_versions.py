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
    conclude_version,
)
from turmericusher.logs import log_event
from turmericusher.ports.stream_peers import StreamPeerError, StreamPeers
from turmericusher.tasks.background import cancel_tasks, lasting_task
from turmericusher.tasks.version_records import VersionRecords

ASK_TIMEOUT_S = 0.15
"""Seconds that another instance has to answer: several round trips between domains."""

STORE_FIRST_S = 0.05
"""Seconds for which the store alone is asked: several times what it usually takes. Its
answer is enough while a service has one version."""

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

    async def find(self, stream: str | None, service: str) -> FoundVersion:
        """Return the version at which a stream of a service goes on.

        Without its id, it is known only of a service that has one version.
        """
        now = asyncio.get_running_loop().time()
        own = self.versions.find(stream or "", service, now)
        if own.version is not None:
            return own
        reading = asyncio.create_task(self.records.find(stream, service))
        try:
            await asyncio.wait({reading}, timeout=STORE_FIRST_S)
            if reading.done():
                found = conclude_version(own, 0, (), reading.result())
                if found.version is not None and len(found.versions_seen) == 1:
                    return found
            names = self.versions.ranked(stream or service, ASKED_COUNT)
            asked = await asyncio.gather(
                *(self.ask(name, stream or "", service) for name in names),
                return_exceptions=True,
            )
            answers = [each for each in asked if isinstance(each, FoundVersion)]
            for error in asked:
                if isinstance(error, BaseException):
                    log_event("stream_version_search_error", error=repr(error))
            return conclude_version(own, len(names), answers, await reading)
        finally:
            await cancel_tasks({reading})

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

"""Has the earlier run of a stream end when its caller takes the stream up again.

What runs here ends at once. Other instances are asked beside the request, which does
not wait for them. One call to each is under way at a time, with all that there is to
tell it: when an instance is lost, many callers take their streams up at once.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import RelayedRequest
from turmericusher.decisions.routing import RoutedRequest
from turmericusher.decisions.take_ups import TakeUp, find_take_up, instances_to_ask
from turmericusher.logs import log_event
from turmericusher.ports.take_up_peers import TakeUpPeerError, TakeUpPeers
from turmericusher.tasks.background import cancel_tasks
from turmericusher.tasks.stream_versions import StreamVersionExchange

ASK_TIMEOUT_S = 1.0
"""Seconds that another instance has to answer. Nobody waits for it; a process that
stands still for less is reached all the same."""

MAX_TRIES = 2
"""Tries to reach an instance; the second one goes over a new connection."""

MAX_UNSENT = 64
"""Streams that wait to be told to one instance; the oldest are dropped beyond that."""


class RunOwner(Protocol):
    """The owner of a request in progress."""

    @property
    def relay(self) -> Relay:
        """The decisions on the request."""
        ...

    def end_taken_up(self, by: str) -> None:
        """End all work for the request, as its caller goes on by the request `by`."""
        ...


def new_peers() -> asyncio.Future[TakeUpPeers]:
    """Return a future of the running event loop."""
    return asyncio.get_running_loop().create_future()


@dataclass(slots=True)
class TakeUps:
    """Ends runs of streams that are taken up, here and at other instances.

    `exchange` knows the other instances, and `peers` are set once gRPC is loaded.
    `owners` are the requests in progress here. `unsent` has what is to be told to each
    instance, by its name, and `asking` the task that tells it.
    """

    exchange: StreamVersionExchange
    peers: asyncio.Future[TakeUpPeers] = field(default_factory=new_peers)
    owners: Collection[RunOwner] = field(default_factory=set)
    unsent: dict[str, deque[TakeUp]] = field(default_factory=dict)
    asking: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def begin(self, request: RelayedRequest, routed: RoutedRequest) -> None:
        """Have the earlier run end if a request takes a stream up."""
        take_up = find_take_up(request, routed)
        if take_up is None:
            return
        self.end_earlier_runs(take_up)
        versions = self.exchange.versions
        for name in instances_to_ask(versions.own, versions.instances):
            unsent = self.unsent.setdefault(name, deque(maxlen=MAX_UNSENT))
            unsent.append(take_up)
            if name not in self.asking:
                self.asking[name] = asyncio.create_task(self.ask_for_all(name))

    def end_earlier_runs(self, take_up: TakeUp) -> int:
        """End the runs here that a request has taken up; return how many there were."""
        ended = [
            owner
            for owner in self.owners
            if take_up.ends(owner.relay.request, owner.relay.routed)
        ]
        for owner in ended:
            log_event(
                "earlier_run_ended",
                id=owner.relay.request.request_id,
                stream=take_up.stream,
                taken_up_by=take_up.request_id,
                upstream=owner.relay.last_upstream or None,
                position=owner.relay.position,
            )
            owner.end_taken_up(take_up.request_id)
        return len(ended)

    async def ask_for_all(self, name: str) -> None:
        """Ask one instance until there is nothing left to tell it."""
        try:
            peers = await self.peers
            while take_ups := self.unsent.pop(name, None):
                await self.ask(peers, name, take_ups)
        except Exception as error:
            # Whoever takes a stream up next begins anew.
            log_event("earlier_run_unasked", peer=name, error=repr(error))
        finally:
            del self.asking[name]

    async def ask(self, peers: TakeUpPeers, name: str, take_ups: deque[TakeUp]) -> None:
        """Ask one instance to end the earlier runs of some streams."""
        for _ in range(MAX_TRIES):
            address = self.exchange.peer_address(name)
            if address is None:
                return
            try:
                await peers.end_earlier(address, take_ups, ASK_TIMEOUT_S)
                return
            except TakeUpPeerError as error:
                log_event("earlier_run_unasked", peer=name, error=str(error))


@asynccontextmanager
async def ending_earlier_runs(take_ups: TakeUps) -> AsyncIterator[None]:
    """Have other instances asked while the context is open."""
    try:
        yield
    finally:
        await cancel_tasks(take_ups.asking.values())

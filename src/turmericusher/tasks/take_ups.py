"""Has the earlier run of a stream end when its caller takes the stream up again.

What runs here ends at once. Other instances are asked beside the request, which does
not wait for them. One call to each is under way at a time, with all that there is to
tell it: when an instance is lost, many callers take their streams up at once. In fleets
too large to ask all, an instance that knows where a stream runs names that one.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Collection, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import RelayedRequest
from turmericusher.decisions.routing import RoutedRequest
from turmericusher.decisions.stream_places import (
    MAX_STEPS,
    TELL_INTERVAL_S,
    StreamPlaces,
    instances_to_ask,
)
from turmericusher.decisions.take_ups import TakeUp, find_take_up
from turmericusher.logs import log_event
from turmericusher.ports.take_up_peers import TakeUpPeerError, TakeUpPeers
from turmericusher.tasks.background import cancel_tasks, lasting_task
from turmericusher.tasks.stream_versions import StreamVersionExchange

ASK_TIMEOUT_S = 1.0
"""Seconds that another instance has to answer. Nobody waits for it; a process that
stands still for less is reached all the same."""

TELL_TIMEOUT_S = 0.3
"""Seconds that another instance has to take what it is told. That is told once."""

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


@dataclass(frozen=True, slots=True)
class Question:
    """What an instance is asked to end; from its answer so many steps are left."""

    take_up: TakeUp
    steps: int


@dataclass(slots=True)
class TakeUps:
    """Ends runs of streams that are taken up, here and at other instances.

    `exchange` knows the other instances, and `peers` are set once gRPC is loaded.
    `owners` are the requests in progress here, and `places` are where others run
    streams. `unsent` has what is to be told to each
    instance, by its name, and `asking` the task that tells it.
    """

    exchange: StreamVersionExchange
    peers: asyncio.Future[TakeUpPeers] = field(default_factory=new_peers)
    owners: Collection[RunOwner] = field(default_factory=set)
    places: StreamPlaces = field(default_factory=StreamPlaces)
    unsent: dict[str, deque[Question]] = field(default_factory=dict)
    asking: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def begin(self, request: RelayedRequest, routed: RoutedRequest) -> None:
        """Have the earlier run end if a request takes a stream up."""
        take_up = find_take_up(request, routed)
        if take_up is None:
            return
        asked = self.end_earlier_runs(take_up)
        asked += instances_to_ask(self.exchange.versions, take_up.stream)
        for name in dict.fromkeys(asked):
            self.ask_soon(name, Question(take_up, MAX_STEPS))

    def ask_soon(self, name: str, question: Question) -> None:
        """Have another instance asked to end the earlier runs of a stream."""
        unsent = self.unsent.setdefault(name, deque(maxlen=MAX_UNSENT))
        unsent.append(question)
        if name not in self.asking:
            self.asking[name] = asyncio.create_task(self.ask_for_all(name))

    def end_earlier_runs(self, take_up: TakeUp) -> list[str]:
        """End the runs here that a request has taken up.

        Return the names of other instances that have to do with one: which have
        forwarded it, and would send it again, or which run it as far as this one knows.
        """
        now = asyncio.get_running_loop().time()
        names = [self.places.find(take_up.stream, now)]
        ended = [
            owner
            for owner in self.owners
            if take_up.ends(owner.relay.request, owner.relay.routed)
        ]
        for owner in ended:
            request = owner.relay.request
            names.append(request.hop.sender if request.hop is not None else None)
            log_event(
                "earlier_run_ended",
                id=request.request_id,
                stream=take_up.stream,
                taken_up_by=take_up.request_id,
                upstream=owner.relay.last_upstream or None,
                position=owner.relay.position,
            )
            owner.end_taken_up(take_up.request_id)
        own = self.exchange.versions.own
        return [name for name in names if name is not None and name != own]

    def keep_place(self, stream: str, instance: str) -> None:
        """Keep that another instance runs a stream."""
        now = asyncio.get_running_loop().time()
        self.places.record(instance, [stream], now)

    async def tell_places(self) -> None:
        """Tell others which streams run here, in large fleets, until cancelled."""
        versions = self.exchange.versions
        peers = await asyncio.shield(self.peers)
        while True:
            await asyncio.sleep(TELL_INTERVAL_S)
            found = self.places.next_to_tell(versions)
            if found is None:
                continue
            stream, name = found
            address = self.exchange.peer_address(name)
            if address is None:
                continue
            try:
                await peers.tell_place(address, stream, versions.own, TELL_TIMEOUT_S)
            except TakeUpPeerError as error:
                log_event("stream_place_untold", peer=name, error=str(error))

    async def ask_for_all(self, name: str) -> None:
        """Ask one instance until there is nothing left to tell it."""
        try:
            peers = await asyncio.shield(self.peers)
            while questions := self.unsent.pop(name, None):
                await self.ask(peers, name, questions)
        except Exception as error:
            # Whoever takes a stream up next begins anew.
            log_event("earlier_run_unasked", peer=name, error=repr(error))
        finally:
            del self.asking[name]

    async def ask(
        self, peers: TakeUpPeers, name: str, questions: Collection[Question]
    ) -> None:
        """Ask one instance to end the earlier runs of some streams."""
        take_ups = [each.take_up for each in questions]
        for _ in range(MAX_TRIES):
            address = self.exchange.peer_address(name)
            if address is None:
                return
            try:
                places = await peers.end_earlier(address, take_ups, ASK_TIMEOUT_S)
            except TakeUpPeerError as error:
                log_event("earlier_run_unasked", peer=name, error=str(error))
            else:
                self.follow(places, questions)
                return

    def follow(
        self, places: Sequence[tuple[str, str]], questions: Collection[Question]
    ) -> None:
        """Have the instances asked that another one names, unless all others are."""
        versions = self.exchange.versions
        by_stream = {each.take_up.stream: each for each in questions}
        for stream, name in places:
            question = by_stream.get(stream)
            if question is None or not question.steps or name == versions.own:
                continue
            if name not in instances_to_ask(versions, stream):
                self.ask_soon(name, Question(question.take_up, question.steps - 1))


@asynccontextmanager
async def ending_earlier_runs(take_ups: TakeUps) -> AsyncIterator[None]:
    """Have other instances told and asked while the context is open."""
    try:
        async with lasting_task("stream-places", take_ups.tell_places):
            yield
    finally:
        await cancel_tasks(take_ups.asking.values())

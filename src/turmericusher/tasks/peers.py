"""Exchanges state with peers at a fixed rate that does not grow with the fleet."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from turmericusher.decisions.rollout import RolloutStatus, rollout_status
from turmericusher.errors import TurmericusherError
from turmericusher.peers.exchange_grpc import ExchangeStub
from turmericusher.peers.messages import query_to_wire, reply_from_wire
from turmericusher.tasks.background import cancel_tasks
from turmericusher.tasks.membership import Fleet

PULL_INTERVAL_S = 0.5
"""Mean time in seconds between two regular queries."""

PULL_TIMEOUT_S = 0.5
MAX_CONCURRENT_PULLS = 4
MAX_CHANNELS = 16
MIN_PULL_NOW_INTERVAL_S = 0.1
"""Shortest time in seconds between two queries outside the regular interval."""

MIN_SPREAD_PAUSE_S = 0.02
MAX_SPREAD_PAUSE_S = 0.5
"""Pause in seconds between two batches of queries, doubled after each batch."""

SPREAD_BATCH_SIZE = 16
"""Instances queried at once for a revision that an operator waits for."""

PULL_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    TurmericusherError,
)


@dataclass(slots=True)
class PeerExchange:
    """Queries peers and passes their answers to the instance's view of the fleet.

    `channels` holds the open connections by peer address, the least recently used
    first. The byte counts cover messages without their framing.
    """

    fleet: Fleet
    rng: random.Random
    channels: OrderedDict[str, Channel] = field(default_factory=OrderedDict)
    running: set[asyncio.Task[bool]] = field(default_factory=set)
    pulled_now_at: float = 0.0
    pulls: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0

    async def run(self) -> None:
        """Query one peer per interval until cancelled."""
        while True:
            if len(self.running) < MAX_CONCURRENT_PULLS:
                name, address = self.fleet.membership.next_address()
                if address:
                    self.start_pull(name, address)
            await asyncio.sleep(PULL_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    def start_pull(self, name: str, address: str) -> None:
        """Query a peer in a task of its own, so that a dead peer delays no other."""
        task = asyncio.create_task(self.pull(name, address), name="peer-pull")
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def pull_now(self, address: str) -> None:
        """Query a peer that is known to hold newer records, without waiting its turn.

        The query is left out if another one outside the regular interval was too recent
        or too many queries run.
        """
        now = self.fleet.table.clock()
        if now - self.pulled_now_at < MIN_PULL_NOW_INTERVAL_S:
            return
        self.pulled_now_at = now
        if len(self.running) < MAX_CONCURRENT_PULLS:
            self.start_pull("", address)

    async def pull(self, name: str, address: str) -> bool:
        """Query one peer and apply its answer; return whether it answered."""
        clock = self.fleet.table.clock
        queried_at = clock()
        self.pulls += 1
        self.fleet.membership.record_query(name, queried_at)
        request = query_to_wire(self.fleet.query_for(name))
        try:
            stub = ExchangeStub(self.channel_to(address))
            self.bytes_sent += request.ByteSize()
            response = await stub.Pull(request, timeout=PULL_TIMEOUT_S)
            self.bytes_received += response.ByteSize()
            self.fleet.apply_answer(reply_from_wire(response), queried_at)
        except PULL_ERRORS:
            self.failures += 1
            self.drop_channel(address)
            self.fleet.membership.failed(name, clock())
            return False
        return True

    def channel_to(self, address: str) -> Channel:
        """Return a connection to a peer, opening one if needed.

        Beyond `MAX_CHANNELS`, the least recently used connections are closed.
        """
        channel = self.channels.pop(address, None)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host.strip("[]"), int(port))
        self.channels[address] = channel
        while len(self.channels) > MAX_CHANNELS:
            _, oldest = self.channels.popitem(last=False)
            oldest.close()
        return channel

    def drop_channel(self, address: str) -> None:
        """Close the connection to a peer whose query failed."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    async def stop(self, loop_task: asyncio.Task[None]) -> None:
        """Cancel the loop and all running queries, and close every connection."""
        await cancel_tasks([loop_task, *self.running])
        for address in list(self.channels):
            self.drop_channel(address)

    async def wait_for_spread(self, revision: int, limit_s: float) -> RolloutStatus:
        """Query instances until a majority holds a revision, for at most `limit_s`.

        A query shows the queried instance that it is behind; it then queries back at
        once. Returns the last known status, whether or not a majority holds the
        revision.
        """
        clock = self.fleet.table.clock
        deadline = clock() + limit_s
        pause_s = MIN_SPREAD_PAUSE_S
        while True:
            status = rollout_status(revision, self.fleet.counted_revisions())
            if status.is_held_by_majority or clock() >= deadline:
                return status
            await self.pull_missing(status)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_SPREAD_PAUSE_S, pause_s * 2)

    async def pull_missing(self, status: RolloutStatus) -> None:
        """Query a random batch of the instances not known to hold a revision."""
        members = self.fleet.membership.members
        names = [one.name for one in status.missing if one.name in members]
        chosen = self.rng.sample(names, min(SPREAD_BATCH_SIZE, len(names)))
        await asyncio.gather(
            *(
                self.pull(name, members[name].claim.instance.peer_address)
                for name in chosen
            )
        )


@asynccontextmanager
async def running_exchange(exchange: PeerExchange) -> AsyncIterator[None]:
    """Run the exchange's loop while the context is open."""
    loop_task = asyncio.create_task(exchange.run(), name="peer-exchange")
    try:
        yield
    finally:
        await exchange.stop(loop_task)


@asynccontextmanager
async def running_peer_exchange(
    fleet: Fleet, rng: random.Random
) -> AsyncIterator[PeerExchange]:
    """Exchange state with peers while the context is open."""
    exchange = PeerExchange(fleet, rng)
    fleet.pull_now = exchange.pull_now
    async with running_exchange(exchange):
        yield exchange

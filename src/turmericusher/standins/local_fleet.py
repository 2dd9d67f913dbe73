"""Several entry instances' membership parts in one process, with switches for faults.

The instances share one store stand-in and exchange state over loopback sockets.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from grpclib.client import Channel

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.peer_messages import PeerQuery, PeerReply
from turmericusher.errors import ErrorCode, StoreUnavailableError, TurmericusherError
from turmericusher.peers.exchange_service import (
    bound_address,
    bound_socket,
    running_exchange_server,
)
from turmericusher.ports.keyvalue import (
    KeyValueStore,
    Snapshot,
    StoredValue,
    SwapResult,
    WatchEvent,
)
from turmericusher.tasks.membership import Fleet, make_fleet, running_membership
from turmericusher.tasks.peers import PeerExchange, running_exchange
from turmericusher.tasks.profile_changes import ProfileChanger
from turmericusher.tasks.profile_watch import ProfileTable, running_profile_watch

STORE_PREFIX = "/local/"
DISCOVERY_TIMEOUT_S = 30.0
DISCOVERY_POLL_S = 0.05
DOMAINS = ("quai-nord", "quai-sud", "bureau-criee")


@dataclass(slots=True)
class PartitionableStore:
    """One instance's connection to the store; it can be cut to simulate a partition."""

    store: KeyValueStore
    is_cut: bool = False

    def raise_if_partitioned(self) -> None:
        """Raise `StoreUnavailableError` while the connection is cut."""
        if self.is_cut:
            raise StoreUnavailableError("the connection to the store is cut")

    async def get(self, key: str) -> StoredValue | None:
        """Read one key; None if it does not exist."""
        self.raise_if_partitioned()
        return await self.store.get(key)

    async def get_prefix(self, prefix: str) -> Snapshot:
        """Read every key that starts with `prefix`."""
        self.raise_if_partitioned()
        return await self.store.get_prefix(prefix)

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        """Write `value` if the key's revision is `expected_revision`."""
        self.raise_if_partitioned()
        return await self.store.compare_and_swap(key, expected_revision, value, lease)

    async def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease of `ttl_s` seconds and return its id."""
        self.raise_if_partitioned()
        return await self.store.grant_lease(ttl_s)

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 when it lapsed."""
        self.raise_if_partitioned()
        return await self.store.renew_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys bound to it."""
        self.raise_if_partitioned()
        await self.store.revoke_lease(lease)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under `prefix`; fail at the first one after the cut."""
        self.raise_if_partitioned()
        async for event in self.store.watch(prefix, from_revision):
            self.raise_if_partitioned()
            yield event


class PartitionableExchange(PeerExchange):
    """A peer exchange that can be cut off from all peers or from some.

    `cut_from` holds the addresses of the peers that are cut off in both directions.
    """

    __slots__ = ("cut_from", "is_cut")

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(fleet, rng)
        self.is_cut = False
        self.cut_from: set[str] = set()

    def channel_to(self, address: str) -> Channel:
        """Return the channel to a peer; refuse to connect if the peer is cut off."""
        if self.is_cut or address in self.cut_from:
            raise ConnectionRefusedError(address)
        return super().channel_to(address)

    def answer(self, query: PeerQuery) -> PeerReply:
        """Answer a peer's query; fail if the peer is cut off."""
        asker = query.asker.instance.peer_address
        if self.is_cut or asker in self.cut_from:
            raise TurmericusherError(ErrorCode.INTERNAL, "the peer is cut off")
        return self.fleet.answer(query)


@dataclass(slots=True)
class LocalInstance:
    """The membership parts of one entry instance; closing `stack` stops them."""

    fleet: Fleet
    table: ProfileTable
    exchange: PartitionableExchange
    changer: ProfileChanger
    store: PartitionableStore
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    @property
    def name(self) -> str:
        """The name under which the instance is registered."""
        return self.fleet.membership.own.name

    @property
    def peer_address(self) -> str:
        """The `ip:port` where the instance answers its peers."""
        return self.fleet.membership.own.peer_address

    def cut(self, is_cut: bool) -> None:
        """Cut the instance off from the store and all peers, or reconnect it."""
        self.store.is_cut = is_cut
        self.exchange.is_cut = is_cut


async def start_instance(
    store: KeyValueStore,
    number: int,
    seed: int,
    stale_after_s: float = 10.0,
    seed_addresses: tuple[str, ...] = (),
) -> LocalInstance:
    """Start one instance, which runs until its `stack` is closed.

    `seed` and `number` determine its random numbers; `seed_addresses` are the peer
    addresses that it contacts first.
    """
    rng = random.Random(f"{seed}/{number}")
    stack = AsyncExitStack()
    peer_socket = stack.enter_context(bound_socket("127.0.0.1:0"))
    own = EntryInstance(
        name=f"entry-{number}",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        caller_address=f"127.0.0.1:{10_000 + number}",
        peer_address=bound_address(peer_socket),
        incarnation=uuid.uuid4().hex,
    )
    instance_store = PartitionableStore(store)
    table = await stack.enter_async_context(
        running_profile_watch(
            instance_store, STORE_PREFIX, stale_after_s=stale_after_s, rng=rng
        )
    )
    fleet = make_fleet(own, seed_addresses, table, rng)
    exchange = PartitionableExchange(fleet, rng)
    fleet.pull_now = exchange.pull_now
    await stack.enter_async_context(
        running_exchange_server(peer_socket, exchange.answer)
    )
    await stack.enter_async_context(running_membership(fleet, instance_store))
    await stack.enter_async_context(running_exchange(exchange))
    changer = ProfileChanger(instance_store, table, exchange.wait_for_spread)
    return LocalInstance(fleet, table, exchange, changer, instance_store, stack)


@asynccontextmanager
async def running_fleet(
    store: KeyValueStore, size: int, seed: int, stale_after_s: float = 10.0
) -> AsyncIterator[list[LocalInstance]]:
    """Run `size` instances until the context exits."""
    async with AsyncExitStack() as stack:
        instances = []
        for number in range(size):
            instance = await start_instance(store, number, seed, stale_after_s)
            stack.push_async_callback(instance.stack.aclose)
            instances.append(instance)
        yield instances


def has_replies(instance: LocalInstance, peer_count: int) -> bool:
    """Return whether at least `peer_count` peers have answered the instance."""
    members = instance.fleet.membership.members.values()
    return sum(member.answered_at is not None for member in members) >= peer_count


async def wait_for_discovery(instances: list[LocalInstance]) -> None:
    """Wait until every instance has an answer from every other one."""
    for _ in range(int(DISCOVERY_TIMEOUT_S / DISCOVERY_POLL_S)):
        if all(has_replies(instance, len(instances) - 1) for instance in instances):
            return
        await asyncio.sleep(DISCOVERY_POLL_S)
    raise TimeoutError(
        f"the instances did not discover each other within {DISCOVERY_TIMEOUT_S} s"
    )

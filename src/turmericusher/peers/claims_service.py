"""The gRPC service that commits claim commands, and the client that routes them.

Each claim page belongs to a shard, and each shard has an owner: the instance that
writes its pages. An instance sends a command to the peer that it considers the owner.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from turmericusher.decisions.claims import ClaimCommand, ClaimReply
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.idempotency_keys import PageName
from turmericusher.decisions.page_owners import ShardOwners
from turmericusher.errors import TurmericusherError
from turmericusher.peers import claims_grpc, claims_pb2
from turmericusher.peers.claims_messages import (
    Message,
    parse_command,
    parse_page,
    parse_reply,
    reply_message,
    request_message,
)
from turmericusher.tasks.claims import (
    Claims,
    PeerStoreUnavailableError,
    PeerUnavailableError,
)

HEARTBEAT_INTERVAL_S = 0.15
"""Seconds between the empty replies that an owner sends while it commits a command.

The interval is shorter than `STALL_TIMEOUT_S`, so that a slow commit is no stall.
"""

STALL_TIMEOUT_S = 0.5
"""Seconds without a message after which an owner counts as unavailable."""

OWNER_CACHE_TTL_S = 0.5
"""Seconds for which the computed owners of shards are cached.

A change of the live instances takes effect within this time.
"""


class ClaimPagesService(claims_grpc.ClaimPagesBase):  # type: ignore[misc]
    """Commits commands of peers by this instance's own writes to the store.

    A command is never forwarded: two instances that each consider the other the owner
    would otherwise forward it to each other endlessly.
    """

    def __init__(self, claims: Claims) -> None:
        self.claims = claims

    async def Submit(self, stream: Any) -> None:  # noqa: N802
        """Commit the command of a request and reply with heartbeats and the result.

        Fail with INVALID_ARGUMENT if the command is invalid, and with UNAVAILABLE while
        the store fails for the command's page.
        """
        request = await stream.recv_message()
        try:
            page, command = parse_page(request), parse_command(request)
        except ValueError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        commit_task = asyncio.ensure_future(self.claims.submit_locally(page, command))
        try:
            while not commit_task.done():
                await stream.send_message(claims_pb2.SubmitReply())
                await asyncio.wait({commit_task}, timeout=HEARTBEAT_INTERVAL_S)
                if not commit_task.done() and self.claims.is_store_failing(page):
                    raise GRPCError(Status.UNAVAILABLE, "the store does not respond")
            await stream.send_message(reply_message(commit_task.result()))
        except TurmericusherError as error:
            raise GRPCError(Status.UNAVAILABLE, error.message) from error
        finally:
            # If the peer has gone, the command may or may not take effect.
            commit_task.cancel()


@dataclass(slots=True)
class PeerClaimRouter:
    """A `ClaimRouter` that sends commands to the peers that own the pages.

    `instances` returns the live entry instances, including this one. `owners` chooses
    the owner of a shard among them; its choices are cached in `cached_owners` until
    `cache_expires_at`, a time of the event loop.
    """

    own_address: str
    instances: Callable[[], Sequence[EntryInstance]]
    owners: ShardOwners = field(default_factory=ShardOwners)
    channels: dict[str, Channel] = field(default_factory=dict)
    cached_owners: dict[int, str | None] = field(default_factory=dict)
    cache_expires_at: float = 0.0

    def owner_address(self, name: PageName) -> str | None:
        """Return the owner's peer address, or None if this instance writes the page.

        It does so as the owner, and also while no instance can be chosen.
        """
        owner = self.shard_owner(name.shard)
        return None if owner == self.own_address else owner

    def owns(self, shard: int) -> bool:
        """Whether this instance owns a shard, or no instance can be chosen for it."""
        return self.shard_owner(shard) in (None, self.own_address)

    def shard_owner(self, shard: int) -> str | None:
        """Return the address of a shard's owner, cached for `OWNER_CACHE_TTL_S`.

        None while every live instance is passed over.
        """
        now = asyncio.get_running_loop().time()
        if now >= self.cache_expires_at:
            self.cached_owners.clear()
            self.cache_expires_at = now + OWNER_CACHE_TTL_S
        if shard not in self.cached_owners:
            addresses = [instance.peer_address for instance in self.instances()]
            self.cached_owners[shard] = self.owners.owner(shard, addresses, now)
        return self.cached_owners[shard]

    async def submit(
        self, address: str, name: PageName, command: ClaimCommand
    ) -> ClaimReply:
        """Have the owner commit a command; raise `PeerUnavailableError` on failure.

        It is a `PeerStoreUnavailableError` if the owner replies that it cannot commit.
        """
        stub = claims_grpc.ClaimPagesStub(self.channel(address))
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S) as stall_timeout:
                return await receive_reply(
                    stub, request_message(name, command), stall_timeout
                )
        except GRPCError as error:
            if error.status is Status.UNAVAILABLE:
                raise PeerStoreUnavailableError(f"peer {address!r}: {error}") from error
            raise PeerUnavailableError(f"peer {address!r}: {error}") from error
        except (StreamTerminatedError, TimeoutError, OSError, ValueError) as error:
            raise PeerUnavailableError(f"peer {address!r}: {error}") from error

    def suspect(self, address: str) -> None:
        """Pass over this peer for a while when owners are chosen."""
        self.owners.suspect(address, asyncio.get_running_loop().time())
        self.cached_owners.clear()

    def channel(self, address: str) -> Channel:
        """Return the channel to a peer, opened at its first use."""
        if address not in self.channels:
            host, _, port = address.rpartition(":")
            self.channels[address] = Channel(host.strip("[]"), int(port))
        return self.channels[address]


async def receive_reply(
    stub: Any, request: Message, stall_timeout: asyncio.Timeout
) -> ClaimReply:
    """Return the owner's reply; each heartbeat before it extends the timeout.

    Heartbeats are replies without a kind.
    """
    loop = asyncio.get_running_loop()
    async with stub.Submit.open() as stream:
        await stream.send_message(request, end=True)
        async for message in stream:
            if message.kind:
                return parse_reply(message)
            stall_timeout.reschedule(loop.time() + STALL_TIMEOUT_S)
    raise ValueError("the owner closed the stream without a reply")


@asynccontextmanager
async def open_peer_claim_router(
    own_address: str, instances: Callable[[], Sequence[EntryInstance]]
) -> AsyncIterator[PeerClaimRouter]:
    """Open a router; its channels are closed with the context."""
    router = PeerClaimRouter(own_address, instances)
    try:
        yield router
    finally:
        for channel in router.channels.values():
            channel.close()

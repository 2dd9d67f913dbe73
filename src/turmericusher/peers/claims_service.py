"""The peer call for claims: the owner's side and the caller's side."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from turmericusher.decisions.claims import ClaimCommand, ClaimReply
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.idempotency_keys import PageName
from turmericusher.decisions.page_owners import PageOwners
from turmericusher.errors import TurmericusherError
from turmericusher.peers import claims_grpc
from turmericusher.peers.claims_messages import (
    command_in,
    page_in,
    reply_in,
    reply_message,
    request_message,
)
from turmericusher.tasks.claims import PeerUnavailableError, PeerWithoutStoreError

PEER_TIMEOUT_S = 0.5
KEEP_OWNERS_S = 0.5
OWNER_LIMIT_S = 0.3
"""Shorter than the peer's timeout, so that a living owner is not taken for dead."""

Submit = Callable[[PageName, ClaimCommand], Awaitable[ClaimReply]]


class ClaimPagesService(claims_grpc.ClaimPagesBase):  # type: ignore[misc]
    """Commits the commands of peers by this instance's own writes.

    `submit` must write by itself, never hand on: two instances that each take the
    other for the owner would otherwise pass a command to and fro.
    """

    def __init__(self, submit: Submit) -> None:
        self.submit = submit

    async def Submit(self, stream: Any) -> None:  # noqa: N802
        """Answer one request; fail with UNAVAILABLE when the store takes too long."""
        request = await stream.recv_message()
        try:
            page, command = page_in(request), command_in(request)
        except ValueError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        try:
            async with asyncio.timeout(OWNER_LIMIT_S):
                reply = await self.submit(page, command)
        except (TimeoutError, TurmericusherError) as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error
        await stream.send_message(reply_message(reply))


@dataclass(slots=True)
class PeerClaimRouter:
    """Hands commands to the owners of pages; a `ClaimRouter`.

    `instances` returns the live entry instances, this one among them.
    """

    own_address: str
    instances: Callable[[], Sequence[EntryInstance]]
    owners: PageOwners = field(default_factory=PageOwners)
    channels: dict[str, Channel] = field(default_factory=dict)
    chosen: dict[int, str | None] = field(default_factory=dict)
    chosen_until: float = 0.0

    def owner_of(self, name: PageName) -> str | None:
        """Return the owner's peer address, or None when it is this instance."""
        owner = self.owner_of_shard(name.shard)
        return None if owner == self.own_address else owner

    def owns(self, shard: int) -> bool:
        """Whether a shard is this instance's."""
        return self.owner_of_shard(shard) in (None, self.own_address)

    def owner_of_shard(self, shard: int) -> str | None:
        """Return the owner's address; it is looked up anew once a moment has passed."""
        now = asyncio.get_running_loop().time()
        if now >= self.chosen_until:
            self.chosen.clear()
            self.chosen_until = now + KEEP_OWNERS_S
        if shard not in self.chosen:
            addresses = [instance.peer_address for instance in self.instances()]
            self.chosen[shard] = self.owners.owner(shard, addresses, now)
        return self.chosen[shard]

    async def submit(
        self, address: str, name: PageName, command: ClaimCommand
    ) -> ClaimReply:
        """Have the owner commit a command; raise `PeerUnavailableError`."""
        stub = claims_grpc.ClaimPagesStub(self.channel(address))
        try:
            message = await stub.Submit(
                request_message(name, command), timeout=PEER_TIMEOUT_S
            )
            return reply_in(message)
        except GRPCError as error:
            if error.status is Status.UNAVAILABLE:
                raise PeerWithoutStoreError(f"peer {address!r}: {error}") from error
            raise PeerUnavailableError(f"peer {address!r}: {error}") from error
        except (StreamTerminatedError, TimeoutError, OSError, ValueError) as error:
            raise PeerUnavailableError(f"peer {address!r}: {error}") from error

    def suspect(self, address: str) -> None:
        """Choose other owners than this peer for a while."""
        self.owners.suspect(address, asyncio.get_running_loop().time())
        self.chosen.clear()

    def channel(self, address: str) -> Channel:
        """Return the connection to a peer."""
        if address not in self.channels:
            host, _, port = address.rpartition(":")
            self.channels[address] = Channel(host.strip("[]"), int(port))
        return self.channels[address]


@asynccontextmanager
async def peer_claim_router(
    own_address: str, instances: Callable[[], Sequence[EntryInstance]]
) -> AsyncIterator[PeerClaimRouter]:
    """Open a router; its connections close with the context."""
    router = PeerClaimRouter(own_address, instances)
    try:
        yield router
    finally:
        for channel in router.channels.values():
            channel.close()

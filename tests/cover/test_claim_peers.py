"""Claim commands sent to a page's owner over sockets, with slow and dead owners."""

from __future__ import annotations

from contextlib import AsyncExitStack

from grpclib.server import Server
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.call_fixtures import key_created_at, make_claims
from turmericusher.decisions.claim_pages import ClaimState
from turmericusher.decisions.claims import (
    AcquireClaim,
    ClaimCommand,
    RecordOutcome,
    ReleaseClaim,
    ReplyKind,
)
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.idempotency_keys import PageName
from turmericusher.peers.claims_messages import (
    parse_command,
    parse_reply,
    reply_message,
    request_message,
)
from turmericusher.peers.claims_service import (
    ClaimPagesService,
    PeerClaimRouter,
    open_peer_claim_router,
)
from turmericusher.peers.exchange_service import bound_address, bound_socket
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.claims import Claims

KEY = key_created_at(1_700_000_000)
PAGE = PageName(1_700_000_000, 7)
TAKE_COMMAND = AcquireClaim(KEY, "a", 3, "body", 5_000)


class ClaimPeers:
    """An instance that owns all claim pages, and one that sends its commands there."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.owner = make_claims(self.store, seed=1)
        self.asker: Claims = make_claims(MemoryStore(), seed=2)
        self.router: PeerClaimRouter | None = None
        self.server: Server | None = None

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the owner's server and the router that leads there."""
        bound = stack.enter_context(bound_socket("127.0.0.1:0"))
        address = bound_address(bound)
        self.server = Server([ClaimPagesService(self.owner)])
        await self.server.start(sock=bound)
        stack.callback(self.server.close)
        instance = EntryInstance("owner", "quai-nord", "", address)
        self.router = await stack.enter_async_context(
            open_peer_claim_router("127.0.0.1:1", lambda: [instance])
        )
        self.asker.router = self.router


class ClaimPeersTest(TestCase):
    @parameterized.expand([("fast_store", 0.0), ("slow_store", 0.9)])
    @run_async
    async def test_the_owner_commits_for_its_peer(
        self, _name: str, delay_s: float
    ) -> None:
        peers = ClaimPeers()
        async with AsyncExitStack() as stack:
            await peers.start(stack)
            peers.store.faults.delay_s = delay_s
            reply = await peers.asker.submit(PAGE, TAKE_COMMAND)
            self.assertEqual(ReplyKind.GRANTED, reply.kind)
            self.assertEqual(1, peers.store.counts.writes)
            self.assertEqual({}, peers.asker.writers)

    @parameterized.expand([("dead",), ("store_unavailable",)])
    @run_async
    async def test_a_peer_commits_itself_when_the_owner_cannot(
        self, failure: str
    ) -> None:
        peers = ClaimPeers()
        async with AsyncExitStack() as stack:
            await peers.start(stack)
            assert peers.server is not None
            if failure == "dead":
                peers.server.close()
            else:
                peers.store.faults.down = True
            reply = await peers.asker.submit(PAGE, TAKE_COMMAND)
            self.assertEqual(ReplyKind.GRANTED, reply.kind)
            self.assertEqual([PAGE], list(peers.asker.writers))

    @parameterized.expand(
        [
            ("take", TAKE_COMMAND),
            ("release", ReleaseClaim(KEY, "a", 3, "body")),
            ("outcome", RecordOutcome(KEY, "a", ClaimState.ANSWERED, "x")),
        ]
    )
    def test_a_command_is_unchanged_by_encoding_and_decoding(
        self, _name: str, command: ClaimCommand
    ) -> None:
        self.assertEqual(command, parse_command(request_message(PAGE, command)))

    @run_async
    async def test_a_held_reply_is_unchanged_by_encoding_and_decoding(self) -> None:
        claims = make_claims(MemoryStore())
        await claims.submit_locally(PAGE, ReleaseClaim(KEY, "z", 1, "body"))
        await claims.submit_locally(PAGE, TAKE_COMMAND)
        other = AcquireClaim(KEY, "b", 4, "body", 6_000)
        reply = await claims.submit_locally(PAGE, other)
        self.assertEqual(ReplyKind.HELD, reply.kind)
        self.assertEqual(reply, parse_reply(reply_message(reply)))

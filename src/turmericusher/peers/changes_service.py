"""The gRPC service by which instances pass changes in the store on to others."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from h2.exceptions import H2Error

from turmericusher.decisions.watch_sharing import (
    PassedChange,
    PassedChanges,
    PassedState,
)
from turmericusher.errors import StoreError
from turmericusher.peers import changes_pb2 as pb
from turmericusher.peers.changes_grpc import ChangesBase, ChangesStub
from turmericusher.peers.streams_service import PEER_ERRORS
from turmericusher.ports.change_peers import ChangePeerError
from turmericusher.ports.keyvalue import StoredValue
from turmericusher.tasks.change_feed import ChangeFeed

MILLISECONDS_PER_S = 1_000

READ_TIMEOUT_S = 3.0
"""Seconds within which an instance that reads a value for another one must send the
next piece of it. It may have to read it over a slow link first."""

PIECE_BYTES = 16_384
"""Bytes of a value in one message, which takes some milliseconds over a slow link."""

STATE_PART_CHANGES = 50
"""Keys in one message of a state: some 15 KB."""

StateTeller = Callable[[], PassedState | None]
"""Returns what the store has, or None if that is not known here."""

KeyReader = Callable[[str, int], Awaitable[StoredValue | None]]
"""Reads a key at a revision or later; raises as `KeyValueStore.get` does."""


class ChangesService(ChangesBase):  # type: ignore[misc]
    """Passes on what this instance learns from the store."""

    def __init__(
        self, feed: ChangeFeed, read_key: KeyReader, tell_state: StateTeller
    ) -> None:
        self.feed = feed
        self.read_key = read_key
        self.tell_state = tell_state

    async def Follow(  # noqa: N802
        self, stream: Stream[pb.FollowRequest, pb.PassedChanges]
    ) -> None:
        """Send changes after a revision for as long as all of them are known here."""
        request = await stream.recv_message()
        if request is None:
            return
        history = request.history if request.HasField("history") else None
        async for passed in self.feed.follow(request.after_revision, history):
            await stream.send_message(encode_changes(passed))
        raise GRPCError(Status.UNAVAILABLE, "the changes are not known here")

    async def Read(  # noqa: N802
        self, stream: Stream[pb.ReadRequest, pb.ReadValue]
    ) -> None:
        """Read a key from the store for an instance that the store turns away."""
        request = await stream.recv_message()
        if request is None:
            return
        stored = await self.read_stored(request)
        await stream.send_message(
            pb.ReadValue(value=stored.value if stored is not None else None)
        )

    async def ReadPieces(  # noqa: N802
        self, stream: Stream[pb.ReadRequest, pb.ValuePiece]
    ) -> None:
        """Tell the value of a key in pieces."""
        request = await stream.recv_message()
        if request is None:
            return
        stored = await self.read_stored(request)
        value = stored.value if stored is not None else b""
        for start in range(0, len(value), PIECE_BYTES):
            piece = pb.ValuePiece(bytes=value[start : start + PIECE_BYTES])
            await stream.send_message(piece)
        await stream.send_message(pb.ValuePiece(is_last=True, is_absent=stored is None))

    async def State(  # noqa: N802
        self, stream: Stream[pb.StateRequest, pb.StatePart]
    ) -> None:
        """Tell what the store has, in parts."""
        request = await stream.recv_message()
        if request is None:
            return
        state = self.tell_state()
        if state is None:
            raise GRPCError(Status.UNAVAILABLE, "what the store has is not known here")
        for part in encode_state(state):
            await stream.send_message(part)

    async def read_stored(self, request: pb.ReadRequest) -> StoredValue | None:
        """Read a key; raise `GRPCError` if that fails."""
        try:
            return await self.read_key(request.key, request.revision)
        except StoreError as error:
            raise GRPCError(Status.UNAVAILABLE, error.message) from error


class ChangeStreams:
    """The `ChangePeers` over gRPC, with a connection for each stream."""

    @asynccontextmanager
    async def follow(
        self, address: str, after_revision: int, history: int | None = None
    ) -> AsyncIterator[AsyncIterator[PassedChanges]]:
        """Open a stream of the changes after a revision."""
        with open_channel(address) as channel:
            async with ChangesStub(channel).Follow.open() as stream:
                request = pb.FollowRequest(
                    after_revision=after_revision, history=history
                )
                await stream.send_message(request, end=True)
                yield map_changes(stream)
                # An end that was not asked for would be an error of the protocol.
                await stream.cancel()

    async def state(self, address: str) -> PassedState:
        """Have an instance tell what the store has."""
        with open_channel(address) as channel:
            return await receive_state(channel)

    async def read(self, address: str, key: str, revision: int) -> bytes | None:
        """Have an instance tell the value that a key has had since a revision."""
        request = pb.ReadRequest(key=key, revision=revision)
        with open_channel(address) as channel:
            try:
                return await receive_pieces(channel, request)
            except GRPCError as error:
                if error.status is not Status.UNIMPLEMENTED:
                    raise
            # An instance of the release before sends the value as a whole only.
            value: pb.ReadValue = await ChangesStub(channel).Read(
                request, timeout=READ_TIMEOUT_S
            )
        return value.value if value.HasField("value") else None


async def receive_pieces(channel: Channel, request: pb.ReadRequest) -> bytes | None:
    """Return a value that comes in pieces, each of them in time; None if absent."""
    value = bytearray()
    async with (
        asyncio.timeout(READ_TIMEOUT_S) as timeout,
        ChangesStub(channel).ReadPieces.open() as stream,
    ):
        await stream.send_message(request, end=True)
        async for piece in stream:
            timeout.reschedule(asyncio.get_running_loop().time() + READ_TIMEOUT_S)
            value += piece.bytes
            if piece.is_last:
                return None if piece.is_absent else bytes(value)
    raise ChangePeerError("the value has no last piece")


async def receive_state(channel: Channel) -> PassedState:
    """Return a state that comes in parts, each of them in time."""
    changes: list[PassedChange] = []
    async with (
        asyncio.timeout(READ_TIMEOUT_S) as timeout,
        ChangesStub(channel).State.open() as stream,
    ):
        await stream.send_message(pb.StateRequest(), end=True)
        async for part in stream:
            timeout.reschedule(asyncio.get_running_loop().time() + READ_TIMEOUT_S)
            changes += map(decode_change, part.changes)
            if part.is_last:
                history = part.history if part.HasField("history") else None
                followed_s = part.followed_ms / MILLISECONDS_PER_S
                return PassedState(tuple(changes), part.revision, history, followed_s)
    raise ChangePeerError("the state has no last part")


def encode_state(state: PassedState) -> Iterator[pb.StatePart]:
    """Yield the messages of a state, the last of which says what it is of."""
    changes = [encode_change(each) for each in state.changes]
    for start in range(0, len(changes), STATE_PART_CHANGES):
        yield pb.StatePart(changes=changes[start : start + STATE_PART_CHANGES])
    yield pb.StatePart(
        revision=state.revision,
        history=state.history,
        followed_ms=int(state.followed_s * MILLISECONDS_PER_S),
        is_last=True,
    )


@contextmanager
def open_channel(address: str) -> Iterator[Channel]:
    """Yield a connection to `ip:port`; its errors become `ChangePeerError`."""
    host, _, port = address.rpartition(":")
    channel = Channel(host.strip("[]"), int(port))
    try:
        yield channel
    except (*PEER_ERRORS, H2Error) as error:
        raise ChangePeerError(repr(error)) from error
    finally:
        channel.close()


async def map_changes(
    stream: AsyncIterator[pb.PassedChanges],
) -> AsyncIterator[PassedChanges]:
    """Yield each message decoded; raise `ChangePeerError` at an error."""
    try:
        async for message in stream:
            yield decode_changes(message)
    except PEER_ERRORS as error:
        raise ChangePeerError(repr(error)) from error


def encode_changes(passed: PassedChanges) -> pb.PassedChanges:
    """Return the message for changes."""
    return pb.PassedChanges(
        changes=[encode_change(each) for each in passed.changes],
        revision=passed.revision,
        followed_ms=int(passed.followed_s * MILLISECONDS_PER_S),
        age_ms=int(passed.age_s * MILLISECONDS_PER_S),
    )


def encode_change(change: PassedChange) -> pb.Change:
    """Return the message for one change."""
    return pb.Change(
        key=change.key,
        revision=change.revision,
        value=change.value,
        must_be_read=change.must_be_read,
    )


def decode_changes(message: pb.PassedChanges) -> PassedChanges:
    """Return the changes of a message."""
    return PassedChanges(
        tuple(map(decode_change, message.changes)),
        message.revision,
        message.followed_ms / MILLISECONDS_PER_S,
        message.age_ms / MILLISECONDS_PER_S,
    )


def decode_change(change: pb.Change) -> PassedChange:
    """Return one change of a message."""
    return PassedChange(
        change.key,
        change.revision,
        change.value if change.HasField("value") else None,
        change.must_be_read,
    )

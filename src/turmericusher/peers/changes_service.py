"""The gRPC service by which instances pass changes in the store on to others."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from turmericusher.decisions.watch_sharing import PassedChange, PassedChanges
from turmericusher.peers import changes_pb2 as pb
from turmericusher.peers.changes_grpc import ChangesBase, ChangesStub
from turmericusher.peers.streams_service import PEER_ERRORS
from turmericusher.ports.change_peers import ChangePeerError
from turmericusher.tasks.change_feed import ChangeFeed


class ChangesService(ChangesBase):  # type: ignore[misc]
    """Passes on what this instance learns from the store."""

    def __init__(self, feed: ChangeFeed) -> None:
        self.feed = feed

    async def Follow(  # noqa: N802
        self, stream: Stream[pb.FollowRequest, pb.PassedChanges]
    ) -> None:
        """Send changes after a revision for as long as all of them are known here."""
        request = await stream.recv_message()
        if request is None:
            return
        async for passed in self.feed.follow(request.after_revision):
            await stream.send_message(encode_changes(passed))
        raise GRPCError(Status.UNAVAILABLE, "the changes are not known here")


class ChangeStreams:
    """The `ChangePeers` over gRPC, with a connection for each stream."""

    @asynccontextmanager
    async def follow(
        self, address: str, after_revision: int
    ) -> AsyncIterator[AsyncIterator[PassedChanges]]:
        """Open a stream of the changes after a revision."""
        host, _, port = address.rpartition(":")
        channel = Channel(host.strip("[]"), int(port))
        try:
            async with ChangesStub(channel).Follow.open() as stream:
                request = pb.FollowRequest(after_revision=after_revision)
                await stream.send_message(request, end=True)
                yield map_changes(stream)
                # An end that was not asked for would be an error of the protocol.
                await stream.cancel()
        except PEER_ERRORS as error:
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
    changes = [
        pb.Change(
            key=each.key,
            revision=each.revision,
            value=each.value,
            must_be_read=each.must_be_read,
        )
        for each in passed.changes
    ]
    return pb.PassedChanges(changes=changes, revision=passed.revision)


def decode_changes(message: pb.PassedChanges) -> PassedChanges:
    """Return the changes of a message."""
    changes = (
        PassedChange(
            each.key,
            each.revision,
            each.value if each.HasField("value") else None,
            each.must_be_read,
        )
        for each in message.changes
    )
    return PassedChanges(tuple(changes), message.revision)

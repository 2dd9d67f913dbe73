"""The gRPC service by which instances tell each other of the versions of streams."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from turmericusher.decisions.stream_versions import FoundVersion, StreamVersion
from turmericusher.decisions.stream_versions import StreamVersions as KnownVersions
from turmericusher.peers import streams_pb2 as pb
from turmericusher.peers.streams_grpc import StreamsBase, StreamsStub
from turmericusher.ports.stream_peers import StreamPeerError, StreamPeers

MAX_CHANNELS = 64
"""Open connections to other instances, of which the least recently used is closed."""

PEER_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
)


class StreamsService(StreamsBase):  # type: ignore[misc]
    """Answers other instances from what this one knows."""

    def __init__(self, known: KnownVersions, clock: Callable[[], float]) -> None:
        self.known = known
        self.clock = clock

    async def Record(  # noqa: N802
        self, stream: Stream[pb.RecordRequest, pb.RecordReply]
    ) -> None:
        """Keep the versions of another instance's streams."""
        request = await stream.recv_message()
        if request is None:
            return
        for each in request.streams:
            record = StreamVersion(each.stream, each.version)
            self.known.record_known(record, self.clock())
        await stream.send_message(pb.RecordReply())

    async def Find(  # noqa: N802
        self, stream: Stream[pb.FindRequest, pb.FindReply]
    ) -> None:
        """Reply with what this instance knows of a stream's version."""
        request = await stream.recv_message()
        if request is None:
            return
        found = self.known.find(request.stream, request.service, self.clock())
        await stream.send_message(
            pb.FindReply(
                is_known=found.version is not None,
                version=found.version or "",
                versions_seen=sorted(found.versions_seen),
            )
        )


@dataclass(slots=True)
class StreamChannels:
    """The `StreamPeers` over gRPC, with one connection to each instance."""

    channels: OrderedDict[str, Channel] = field(default_factory=OrderedDict)

    async def tell(
        self, address: str, records: Sequence[StreamVersion], timeout_s: float
    ) -> None:
        """Tell an instance of some streams."""
        streams = [
            pb.StreamVersion(stream=r.stream, version=r.version) for r in records
        ]
        request = pb.RecordRequest(streams=streams)
        with self.channel_to(address) as channel:
            await StreamsStub(channel).Record(request, timeout=timeout_s)

    async def ask(
        self, address: str, stream: str, service: str, timeout_s: float
    ) -> FoundVersion:
        """Return what an instance knows of a stream's version."""
        request = pb.FindRequest(stream=stream, service=service)
        with self.channel_to(address) as channel:
            reply = await StreamsStub(channel).Find(request, timeout=timeout_s)
        version = reply.version if reply.is_known else None
        return FoundVersion(version, frozenset(reply.versions_seen))

    @contextmanager
    def channel_to(self, address: str) -> Iterator[Channel]:
        """Yield the connection to an instance; close it after an error on it."""
        channel = self.channels.pop(address, None)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host.strip("[]"), int(port))
        self.channels[address] = channel
        while len(self.channels) > MAX_CHANNELS:
            _, oldest = self.channels.popitem(last=False)
            oldest.close()
        try:
            yield channel
        except PEER_ERRORS as error:
            if self.channels.get(address) is channel:
                del self.channels[address]
            channel.close()
            raise StreamPeerError(repr(error)) from error

    def close(self) -> None:
        """Close all connections."""
        for channel in self.channels.values():
            channel.close()


@contextmanager
def open_channels() -> Iterator[StreamPeers]:
    """Yield connections to other instances, and close them on exit."""
    channels = StreamChannels()
    try:
        yield channels
    finally:
        channels.close()

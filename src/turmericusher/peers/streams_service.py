"""The gRPC service by which instances tell each other of the versions of streams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

from grpclib.client import Channel
from grpclib.server import Server, Stream

from turmericusher.decisions.stream_versions import FoundVersion, StreamVersion
from turmericusher.decisions.stream_versions import StreamVersions as KnownVersions
from turmericusher.peers import streams_pb2 as pb
from turmericusher.peers.exchange_service import bound_socket
from turmericusher.peers.streams_grpc import StreamsBase, StreamsStub


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


async def send_records(
    channel: Channel, records: Sequence[StreamVersion], timeout_s: float
) -> None:
    """Tell another instance of the versions of streams."""
    streams = [pb.StreamVersion(stream=r.stream, version=r.version) for r in records]
    request = pb.RecordRequest(streams=streams)
    await StreamsStub(channel).Record(request, timeout=timeout_s)


async def ask_version(
    channel: Channel, stream: str, service: str, timeout_s: float
) -> FoundVersion:
    """Ask another instance for the version of a stream."""
    request = pb.FindRequest(stream=stream, service=service)
    reply = await StreamsStub(channel).Find(request, timeout=timeout_s)
    version = reply.version if reply.is_known else None
    return FoundVersion(version, frozenset(reply.versions_seen))


@asynccontextmanager
async def serving_streams(known: KnownVersions, address: str) -> AsyncIterator[None]:
    """Serve other instances at `ip:port` while the context is open."""
    clock = asyncio.get_running_loop().time
    with bound_socket(address) as bound:
        server = Server([StreamsService(known, clock)])
        await server.start(sock=bound)
        try:
            yield
        finally:
            server.close()
            await server.wait_closed()

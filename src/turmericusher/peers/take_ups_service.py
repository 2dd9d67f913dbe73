"""The gRPC service by which instances have others end runs of streams taken up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from turmericusher.decisions.take_ups import TakeUp
from turmericusher.peers import take_ups_pb2 as pb
from turmericusher.peers.streams_service import StreamChannels
from turmericusher.peers.take_ups_grpc import TakeUpsBase, TakeUpsStub
from turmericusher.ports.stream_peers import StreamPeerError
from turmericusher.ports.take_up_peers import TakeUpPeerError

RunEnder = Callable[[TakeUp], list[str]]
"""Ends the earlier runs of a stream that is taken up; returns the names of other
instances that have to do with one."""

PlaceKeeper = Callable[[str, str], None]
"""Keeps that the instance of a name runs a stream: the stream comes first."""

MISSING_CALL = frozenset({Status.UNIMPLEMENTED, Status.UNKNOWN})
"""How an instance of a build without the call answers: `grpclib` leaves out a header
then, so that its client takes the status for unknown."""

MS_PER_S = 1_000
MAX_EVENT_ID = 2**63 - 1
"""The largest number of the messages: callers may name any."""


class TakeUpsService(TakeUpsBase):  # type: ignore[misc]
    """Ends runs of this instance for others, and keeps where others run streams."""

    def __init__(self, end_earlier: RunEnder, keep_place: PlaceKeeper) -> None:
        self.end_earlier = end_earlier
        self.keep_place = keep_place

    async def EndEarlier(  # noqa: N802
        self, stream: Stream[pb.EndEarlierRequest, pb.EndEarlierReply]
    ) -> None:
        """End the earlier runs of streams that another instance's callers took up."""
        request = await stream.recv_message()
        if request is None:
            return
        now = asyncio.get_running_loop().time()
        places = [
            pb.StreamPlace(stream=each.stream, instance=name)
            for each in request.streams
            for name in self.end_earlier(decode(each, now))
        ]
        await stream.send_message(pb.EndEarlierReply(places=places))

    async def TellPlaces(  # noqa: N802
        self, stream: Stream[pb.TellPlacesRequest, pb.TellPlacesReply]
    ) -> None:
        """Keep which streams another instance runs."""
        request = await stream.recv_message()
        if request is None:
            return
        for each in request.places:
            self.keep_place(each.stream, each.instance)
        await stream.send_message(pb.TellPlacesReply())


@dataclass(slots=True)
class TakeUpChannels:
    """The `TakeUpPeers` over the connections that instances have to each other."""

    channels: StreamChannels

    async def end_earlier(
        self, address: str, take_ups: Sequence[TakeUp], timeout_s: float
    ) -> list[tuple[str, str]]:
        """Have an instance end the earlier runs of streams.

        Return streams and the names of other instances that have to do with their runs.
        """
        now = asyncio.get_running_loop().time()
        request = pb.EndEarlierRequest(streams=[encode(each, now) for each in take_ups])
        with self.calling(address) as stub:
            reply = await stub.EndEarlier(request, timeout=timeout_s)
            return [(each.stream, each.instance) for each in reply.places]
        return []

    async def tell_place(
        self, address: str, stream: str, instance: str, timeout_s: float
    ) -> None:
        """Tell an instance that the one of this name runs a stream."""
        place = pb.StreamPlace(stream=stream, instance=instance)
        request = pb.TellPlacesRequest(places=[place])
        with self.calling(address) as stub:
            await stub.TellPlaces(request, timeout=timeout_s)

    @contextmanager
    def calling(self, address: str) -> Iterator[TakeUpsStub]:
        """Yield the stub for an instance; a call that it lacks ends the context."""
        try:
            with self.channels.channel_to(address) as channel:
                try:
                    yield TakeUpsStub(channel)
                except GRPCError as error:
                    # The connection is sound.
                    if error.status not in MISSING_CALL:
                        raise
        except StreamPeerError as error:
            raise TakeUpPeerError(str(error)) from error


def encode(take_up: TakeUp, now: float) -> pb.TakenUpStream:
    """Return the message for a request that takes a stream up."""
    return pb.TakenUpStream(
        stream=take_up.stream,
        request_id=take_up.request_id,
        team=take_up.team,
        resume_after=min(take_up.resume_after, MAX_EVENT_ID),
        age_ms=round(max(0.0, now - take_up.arrived_at) * MS_PER_S),
    )


def decode(message: pb.TakenUpStream, now: float) -> TakeUp:
    """Return the request of a message, with its arrival in this instance's time."""
    return TakeUp(
        message.stream,
        message.request_id,
        message.team,
        message.resume_after,
        now - message.age_ms / MS_PER_S,
    )

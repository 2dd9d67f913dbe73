"""The gRPC service by which instances have others end runs of streams taken up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
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

RunEnder = Callable[[TakeUp], int]
"""Ends the earlier runs of a stream that is taken up; returns how many there were."""

MISSING_CALL = frozenset({Status.UNIMPLEMENTED, Status.UNKNOWN})
"""How an instance of a build without the call answers: `grpclib` leaves out a header
then, so that its client takes the status for unknown."""

MS_PER_S = 1_000
MAX_EVENT_ID = 2**63 - 1
"""The largest number of the messages: callers may name any."""


class TakeUpsService(TakeUpsBase):  # type: ignore[misc]
    """Ends runs of this instance for others."""

    def __init__(self, end_earlier: RunEnder) -> None:
        self.end_earlier = end_earlier

    async def EndEarlier(  # noqa: N802
        self, stream: Stream[pb.EndEarlierRequest, pb.EndEarlierReply]
    ) -> None:
        """End the earlier runs of streams that another instance's callers took up."""
        request = await stream.recv_message()
        if request is None:
            return
        now = asyncio.get_running_loop().time()
        ended = sum(self.end_earlier(decode(each, now)) for each in request.streams)
        await stream.send_message(pb.EndEarlierReply(ended=ended))


@dataclass(slots=True)
class TakeUpChannels:
    """The `TakeUpPeers` over the connections that instances have to each other."""

    channels: StreamChannels

    async def end_earlier(
        self, address: str, take_ups: Sequence[TakeUp], timeout_s: float
    ) -> int:
        """Have an instance end the earlier runs of streams; return how many it has."""
        now = asyncio.get_running_loop().time()
        request = pb.EndEarlierRequest(streams=[encode(each, now) for each in take_ups])
        try:
            with self.channels.channel_to(address) as channel:
                try:
                    reply = await TakeUpsStub(channel).EndEarlier(
                        request, timeout=timeout_s
                    )
                except GRPCError as error:
                    # The connection is sound.
                    if error.status in MISSING_CALL:
                        return 0
                    raise
        except StreamPeerError as error:
            raise TakeUpPeerError(str(error)) from error
        return int(reply.ended)


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

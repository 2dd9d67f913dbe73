"""The gRPC service by which instances lend each other retries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from grpclib.server import Stream

from turmericusher.peers import retries_pb2 as pb
from turmericusher.peers.retries_grpc import RetriesBase, RetriesStub
from turmericusher.peers.streams_service import StreamChannels
from turmericusher.ports.retry_peers import RetryPeerError
from turmericusher.ports.stream_peers import StreamPeerError

Lender = Callable[[str, bool, int, float], bool]
"""Takes a retry of a service, for a new stream or not, of a level of urgency, or 0 from
an older borrower, which pays a share of it; returns whether the rest was left."""


class RetriesService(RetriesBase):  # type: ignore[misc]
    """Lends retries of this instance to others."""

    def __init__(self, lend: Lender) -> None:
        self.lend = lend

    async def Lend(  # noqa: N802
        self, stream: Stream[pb.LendRequest, pb.LendReply]
    ) -> None:
        """Take a retry from the budget of a service for another instance."""
        request = await stream.recv_message()
        if request is None:
            return
        is_lent = self.lend(
            request.service, request.is_new_stream, request.level, request.own_share
        )
        await stream.send_message(pb.LendReply(is_lent=is_lent))


@dataclass(slots=True)
class RetryChannels:
    """The `RetryPeers` over the connections that instances have to each other."""

    channels: StreamChannels

    async def borrow(
        self,
        address: str,
        service: str,
        is_new_stream: bool,
        timeout_s: float,
        level: int = 0,
        own_share: float = 0.0,
    ) -> bool:
        """Return whether an instance lends a retry for a service."""
        request = pb.LendRequest(
            service=service,
            is_new_stream=is_new_stream,
            level=level,
            own_share=own_share,
        )
        try:
            with self.channels.channel_to(address) as channel:
                reply = await RetriesStub(channel).Lend(request, timeout=timeout_s)
        except StreamPeerError as error:
            raise RetryPeerError(str(error)) from error
        return bool(reply.is_lent)

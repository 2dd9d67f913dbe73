"""The gRPC service by which instances agree on who runs a forwarded stream."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from turmericusher.decisions.hop_leases import HopAnswer
from turmericusher.peers import hops_pb2 as pb
from turmericusher.peers.hops_grpc import HopsBase, HopsStub
from turmericusher.peers.streams_service import StreamChannels
from turmericusher.ports.hop_peers import (
    HopPeerError,
    HopPeerGoneError,
    HopsUnknownError,
)
from turmericusher.ports.stream_peers import StreamPeerError

UNKNOWN_CALL_MESSAGE = "Missing content-type header"
"""What grpclib's client says of the answer of its server to a call that this does not
know: it lacks that header, so that its status, UNIMPLEMENTED, is not looked at."""

Confirmer = Callable[[str, str, list[str]], HopAnswer]
"""Returns which requests that an instance, given by name and incarnation, serves for
this one are wanted."""

EndRecorder = Callable[[str, str, list[str], int], None]
"""Records what an instance, given likewise, has ended by the answer with a number."""

Ender = Callable[[str, str, str], Awaitable[bool]]
"""Ends the run of a request, given by its forwarder, its receiver's incarnation and its
id; returns whether there was one."""


class HopsService(HopsBase):  # type: ignore[misc]
    """Answers other instances on streams that one forwarded to the other."""

    def __init__(
        self, confirm: Confirmer, record_ended: EndRecorder, end: Ender
    ) -> None:
        self.confirm = confirm
        self.record_ended = record_ended
        self.end = end

    async def Confirm(  # noqa: N802
        self, stream: Stream[pb.ConfirmRequest, pb.ConfirmReply]
    ) -> None:
        """Reply which of the requests this instance still waits for."""
        request = await stream.recv_message()
        if request is None:
            return
        answer = self.confirm(
            request.server, request.incarnation, list(request.requests)
        )
        await stream.send_message(
            pb.ConfirmReply(wanted=sorted(answer.wanted), number=answer.number)
        )

    async def TellEnded(  # noqa: N802
        self, stream: Stream[pb.TellEndedRequest, pb.TellEndedReply]
    ) -> None:
        """Record what another instance does not run any more."""
        request = await stream.recv_message()
        if request is None:
            return
        self.record_ended(
            request.server,
            request.incarnation,
            list(request.requests),
            request.number,
        )
        await stream.send_message(pb.TellEndedReply())

    async def End(  # noqa: N802
        self, stream: Stream[pb.EndRequest, pb.EndReply]
    ) -> None:
        """End a run for its forwarder, and reply once it has ended."""
        request = await stream.recv_message()
        if request is None:
            return
        was_running = await self.end(
            request.forwarder, request.receiver, request.request
        )
        await stream.send_message(pb.EndReply(was_running=was_running))


@dataclass(slots=True)
class HopChannels:
    """The `HopPeers` over the connections that instances have to each other."""

    channels: StreamChannels

    async def confirm(
        self,
        address: str,
        server: str,
        incarnation: str,
        request_ids: Sequence[str],
        timeout_s: float,
    ) -> HopAnswer:
        """Return which streams that `server`, this instance, runs are still wanted."""
        request = pb.ConfirmRequest(
            server=server, incarnation=incarnation, requests=request_ids
        )
        with self.channel_to(address) as channel:
            reply = await HopsStub(channel).Confirm(request, timeout=timeout_s)
        return HopAnswer(frozenset(reply.wanted), reply.number)

    async def tell_ended(
        self,
        address: str,
        server: str,
        incarnation: str,
        request_ids: Sequence[str],
        number: int,
        timeout_s: float,
    ) -> None:
        """Tell a forwarder what has ended because of its answer with a number."""
        request = pb.TellEndedRequest(
            server=server, incarnation=incarnation, requests=request_ids, number=number
        )
        with self.channel_to(address) as channel:
            await HopsStub(channel).TellEnded(request, timeout=timeout_s)

    async def end(
        self,
        address: str,
        forwarder: str,
        receiver: str,
        request_id: str,
        timeout_s: float,
    ) -> bool:
        """Have a run ended; return whether there was one."""
        request = pb.EndRequest(
            forwarder=forwarder, receiver=receiver, request=request_id
        )
        with self.channel_to(address) as channel:
            reply = await HopsStub(channel).End(request, timeout=timeout_s)
        return bool(reply.was_running)

    @contextmanager
    def channel_to(self, address: str) -> Iterator[Channel]:
        """Yield the connection to an instance, and tell apart why it has failed."""
        try:
            with self.channels.channel_to(address) as channel:
                yield channel
        except StreamPeerError as error:
            raise hop_error(error) from error


def hop_error(error: StreamPeerError) -> HopPeerError:
    """Return what a failed call shows of the other instance."""
    cause = error.__cause__
    if isinstance(cause, GRPCError) and (
        cause.status is Status.UNIMPLEMENTED or cause.message == UNKNOWN_CALL_MESSAGE
    ):
        return HopsUnknownError(str(error))
    if isinstance(cause, ConnectionRefusedError):
        return HopPeerGoneError(str(error))
    return HopPeerError(str(error))

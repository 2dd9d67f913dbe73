"""The server side of the state exchange between entry instances."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager

import grpclib
from grpclib.const import Status
from grpclib.server import Server, Stream

from turmericusher.decisions.peer_messages import PeerQuery, PeerReply
from turmericusher.errors import TurmericusherError
from turmericusher.peers import exchange_pb2 as pb
from turmericusher.peers.exchange_grpc import ExchangeBase
from turmericusher.peers.messages import answer_to_wire, question_from_wire

Answerer = Callable[[PeerQuery], PeerReply]
"""Returns the reply to a peer's query."""


class ExchangeService(ExchangeBase):  # type: ignore[misc]
    """Replies to the queries of peers."""

    def __init__(self, answer: Answerer) -> None:
        self.answer = answer

    async def Pull(  # noqa: N802
        self, stream: Stream[pb.PullRequest, pb.PullAnswer]
    ) -> None:
        """Reply to one query; fail with INVALID_ARGUMENT if it cannot be used."""
        wire = await stream.recv_message()
        if wire is None:
            return
        try:
            answer = self.answer(question_from_wire(wire))
        except TurmericusherError as error:
            raise grpclib.GRPCError(Status.INVALID_ARGUMENT, error.message) from error
        await stream.send_message(answer_to_wire(answer))


@contextmanager
def bound_socket(address: str) -> Iterator[socket.socket]:
    """Bind a TCP socket to `ip:port`; with port 0 the operating system picks a port."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as bound:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host.strip("[]"), int(port)))
        bound.setblocking(False)
        yield bound


def address_of(bound: socket.socket) -> str:
    """Return the `ip:port` that a socket is bound to."""
    host, port = bound.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


@asynccontextmanager
async def running_exchange_server(
    bound: socket.socket, answer: Answerer, others: Sequence[object] = ()
) -> AsyncIterator[None]:
    """Serve the exchange and `other_services` on a bound socket during the context."""
    server = Server([ExchangeService(answer), *others])
    await server.start(sock=bound)
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()

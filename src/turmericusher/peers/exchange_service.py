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
from turmericusher.peers.messages import query_from_wire, reply_to_wire

QueryHandler = Callable[[PeerQuery], PeerReply]
"""Returns the reply to a peer's query."""


class ExchangeService(ExchangeBase):  # type: ignore[misc]
    """Replies to the queries of peers."""

    def __init__(self, handle_query: QueryHandler) -> None:
        self.handle_query = handle_query

    async def Pull(  # noqa: N802
        self, stream: Stream[pb.PullRequest, pb.PullAnswer]
    ) -> None:
        """Reply to one query; fail with INVALID_ARGUMENT if it cannot be used."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            reply = self.handle_query(query_from_wire(request))
        except TurmericusherError as error:
            raise grpclib.GRPCError(Status.INVALID_ARGUMENT, error.message) from error
        await stream.send_message(reply_to_wire(reply))


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


def bound_address(bound: socket.socket) -> str:
    """Return the `ip:port` that a socket is bound to."""
    host, port = bound.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


@asynccontextmanager
async def running_exchange_server(
    bound: socket.socket,
    handle_query: QueryHandler,
    other_services: Sequence[object] = (),
) -> AsyncIterator[None]:
    """Serve the exchange and `other_services` on a bound socket during the context."""
    server = Server([ExchangeService(handle_query), *other_services])
    await server.start(sock=bound)
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()

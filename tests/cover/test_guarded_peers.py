"""The gRPC server of an instance within its limits.

Failure: a message that is said to be endless is collected until the memory is full.
"""

import asyncio
import socket
from contextlib import asynccontextmanager

import h2.config
import h2.connection
import h2.events
from grpclib.client import Channel
from testtools import TestCase

from tests.common.asynchronous import run_async
from turmericusher.decisions.held_memory.account import MemoryAccount
from turmericusher.decisions.held_memory.limits import make_held_limits
from turmericusher.memory_guard import MemoryGuard
from turmericusher.metrics import Metrics
from turmericusher.peers import retries_pb2 as pb
from turmericusher.peers.guarded_server import MAX_MESSAGE_BYTES, GuardedServer
from turmericusher.peers.retries_grpc import RetriesStub
from turmericusher.peers.retries_service import RetriesService

PATH = "/turmericusher.peers.Retries/Lend"
SENT_BYTES = 4 * MAX_MESSAGE_BYTES
PEER_MB = 0.5
LIMIT_S = 10.0


@asynccontextmanager
async def running(**limits):
    """Run a server that lends every retry; yield it with its port."""
    guard = MemoryGuard(MemoryAccount(make_held_limits(128, 1_638, **limits)))
    guard.metrics = Metrics()
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        bound.listen()
        bound.setblocking(False)
        server = GuardedServer([RetriesService(lambda *arguments: True)], guard)
        await server.start(sock=bound)
        try:
            yield server, bound.getsockname()[1]
        finally:
            server.close()
            await server.wait_closed()


def send_head(connection, stream_id):
    """Begin a call."""
    pairs = {":method": "POST", ":scheme": "http", ":path": PATH, ":authority": "x"}
    pairs |= {"content-type": "application/grpc+proto", "te": "trailers"}
    connection.send_headers(stream_id, list(pairs.items()))


async def wait_for_end(connection, reader, writer, stream_id):
    """Read until a call has ended; return its HTTP status, or None after a reset."""
    status = None
    async with asyncio.timeout(LIMIT_S):
        while True:
            for event in connection.receive_data(await reader.readexactly(1)):
                if getattr(event, "stream_id", None) != stream_id:
                    continue
                if isinstance(event, h2.events.ResponseReceived):
                    status = int(dict(event.headers)[b":status"])
                if isinstance(event, h2.events.StreamReset | h2.events.StreamEnded):
                    return status
            writer.write(connection.data_to_send())


async def send_endless(port):
    """Send a message within the flow-control window until the call is reset."""
    config = h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
    connection = h2.connection.H2Connection(config)
    connection.initiate_connection()
    send_head(connection, 1)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    data = bytearray(b"\x00" + SENT_BYTES.to_bytes(4, "big") + bytes(SENT_BYTES))
    sent = 0
    try:
        async with asyncio.timeout(LIMIT_S):
            while True:
                room = connection.local_flow_control_window(1)
                size = min(room, connection.max_outbound_frame_size, len(data) - sent)
                if size:
                    connection.send_data(1, bytes(data[sent : sent + size]))
                    sent += size
                writer.write(connection.data_to_send())
                await writer.drain()
                if size:
                    continue
                received = await reader.read(65_536)
                if not received:
                    return sent
                for event in connection.receive_data(received):
                    if isinstance(event, h2.events.StreamReset):
                        return sent
    finally:
        writer.close()


async def lend(port):
    """Return whether an ordinary call is answered."""
    async with Channel("127.0.0.1", port) as channel:
        reply = await RetriesStub(channel).Lend(
            pb.LendRequest(service="s"), timeout=LIMIT_S
        )
    return reply.is_lent


class GuardedServerTest(TestCase):
    @run_async
    async def test_a_message_that_is_too_large_is_reset(self):
        async with running() as (server, port):
            self.assertLess(await send_endless(port), MAX_MESSAGE_BYTES + 65_536)
            self.assertTrue(await lend(port))
            self.assertEqual(0, server.held_bytes)

    @run_async
    async def test_all_messages_together_are_bounded(self):
        async with running(peer_mb=PEER_MB) as (server, port):
            sent = await asyncio.gather(*(send_endless(port) for _ in range(4)))
            self.assertLess(min(sent), PEER_MB * 1_048_576)
            self.assertTrue(await lend(port))
            self.assertEqual(0, server.held_bytes)

    @run_async
    async def test_a_refused_message_does_not_end_its_connection(self):
        async with running(peer_mb=PEER_MB) as (server, port):
            server.held_bytes = server.guard.limits.peer_bytes
            config = h2.config.H2Configuration(client_side=True)
            connection = h2.connection.H2Connection(config)
            connection.initiate_connection()
            send_head(connection, 1)
            # Several frames, which the server gets at once.
            for _ in range(3):
                connection.send_data(1, bytes(16_384))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(connection.data_to_send())
            await wait_for_end(connection, reader, writer, 1)
            server.held_bytes = 0
            send_head(connection, 3)
            message = pb.LendRequest().SerializeToString()
            prefix = b"\x00" + len(message).to_bytes(4, "big")
            connection.send_data(3, prefix + message, end_stream=True)
            writer.write(connection.data_to_send())
            self.assertEqual(200, await wait_for_end(connection, reader, writer, 3))
            writer.close()

    @run_async
    async def test_connections_are_bounded(self):
        async with running(peer_connections=2) as (server, port):
            held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
            async with asyncio.timeout(LIMIT_S):
                for reader, _ in held[2:]:
                    try:
                        while await reader.read(65_536):
                            pass
                    except ConnectionError:
                        pass
            self.assertEqual(2, server.connections)
            for _, writer in held:
                writer.close()

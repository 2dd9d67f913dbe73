"""HTTP/1.1 as the stand-ins need it: one message at a time, read from a stream."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

MAX_HEAD_BYTES = 65_536
# `SO_LINGER` on with a timeout of 0: closing the socket sends RST.
RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Message:
    """A request or the head of a response; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a whole request, whose body has a length or comes in chunks."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding") == "chunked":
        message.body = b"".join([part async for part in read_chunks(reader)])
    else:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body; raise `IncompleteReadError` if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole response."""
    return head(status, headers | {"Content-Length": str(len(body))}) + body


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()

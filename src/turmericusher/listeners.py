"""Listening sockets; loads nothing that takes time."""

from __future__ import annotations

import socket

LISTEN_BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a listening socket bound to `ip:port`."""
    host, _, port = address.rpartition(":")
    bare_host = host.strip("[]")
    family = socket.AF_INET6 if ":" in bare_host else socket.AF_INET
    # asyncio disables Nagle's algorithm only if the socket names its protocol.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((bare_host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener

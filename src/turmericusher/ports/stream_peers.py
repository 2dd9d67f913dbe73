"""The port over which instances tell and ask each other of the versions of streams."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from turmericusher.decisions.stream_versions import FoundVersion, StreamVersion


class StreamPeerError(Exception):
    """Another instance did not answer."""


class StreamPeers(Protocol):
    """Connections to other instances, each by its `ip:port`.

    Both calls raise `StreamPeerError` if there is no answer within `timeout_s` seconds.
    The next call then uses a new connection.
    """

    async def tell(
        self, address: str, records: Sequence[StreamVersion], timeout_s: float
    ) -> None:
        """Tell an instance of some streams."""
        ...

    async def ask(
        self, address: str, stream: str, service: str, timeout_s: float
    ) -> FoundVersion:
        """Return what an instance knows of a stream's version."""
        ...

"""The port over which an instance has others end runs of streams that are taken up."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from turmericusher.decisions.take_ups import TakeUp


class TakeUpPeerError(Exception):
    """Another instance did not answer; it may have ended runs."""


class TakeUpPeers(Protocol):
    """Connections to other instances, each by its `ip:port`.

    Both calls raise `TakeUpPeerError` if there is no answer within `timeout_s` seconds,
    and have no effect at an instance of a build without them.
    """

    async def end_earlier(
        self, address: str, take_ups: Sequence[TakeUp], timeout_s: float
    ) -> list[tuple[str, str]]:
        """Have an instance end the earlier runs of streams.

        Return streams and the names of other instances that have to do with their runs.
        """
        ...

    async def tell_place(
        self, address: str, stream: str, instance: str, timeout_s: float
    ) -> None:
        """Tell an instance that the one of this name runs a stream."""
        ...

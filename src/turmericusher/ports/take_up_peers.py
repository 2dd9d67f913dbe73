"""The port over which an instance has others end runs of streams that are taken up."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from turmericusher.decisions.take_ups import TakeUp


class TakeUpPeerError(Exception):
    """Another instance did not answer; it may have ended runs."""


class TakeUpPeers(Protocol):
    """Connections to other instances, each by its `ip:port`."""

    async def end_earlier(
        self, address: str, take_ups: Sequence[TakeUp], timeout_s: float
    ) -> int:
        """Have an instance end the earlier runs of streams; return how many it has.

        It is 0 from an instance of a build that cannot do so. Raises `TakeUpPeerError`
        if there is no answer within `timeout_s` seconds.
        """
        ...

"""The port over which instances agree on who runs a forwarded stream."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from turmericusher.decisions.hop_leases import HopAnswer


class HopPeerError(Exception):
    """Another instance did not answer."""


class HopPeerGoneError(HopPeerError):
    """Nothing listens at the address of another instance any more."""


class HopsUnknownError(HopPeerError):
    """Another instance has answered that it does not know these calls."""


class HopPeers(Protocol):
    """Connections to other instances, each by its `ip:port`.

    All calls raise `HopPeerError`, or one of the errors above if it is known why,
    without an answer within `timeout_s` seconds.
    """

    async def confirm(
        self,
        address: str,
        server: str,
        incarnation: str,
        request_ids: Sequence[str],
        timeout_s: float,
    ) -> HopAnswer:
        """Return which streams that `server`, this instance, runs are still wanted."""
        ...

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
        ...

    async def end(
        self,
        address: str,
        forwarder: str,
        receiver: str,
        request_id: str,
        timeout_s: float,
    ) -> bool:
        """Have a run ended; return whether there was one.

        `receiver` is the incarnation to which `forwarder`, this instance, sent it.
        """
        ...

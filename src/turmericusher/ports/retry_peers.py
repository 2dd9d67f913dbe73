"""The port over which an instance borrows retries from other instances."""

from __future__ import annotations

from typing import Protocol


class RetryPeerError(Exception):
    """Another instance did not answer; it may have taken a retry from its budget."""


class RetryPeers(Protocol):
    """Connections to other instances, each by its `ip:port`."""

    async def borrow(
        self,
        address: str,
        service: str,
        is_new_stream: bool,
        timeout_s: float,
        level: int = 0,
        own_share: float = 0.0,
    ) -> bool:
        """Return whether an instance lends a retry for a service.

        `level` is the urgency of the retry, a `RetryLevel`, or 0 if it is not known.
        The borrower pays `own_share` of the retry, from 0 to 1.
        It raises `RetryPeerError` if there is no answer within `timeout_s` seconds.
        """
        ...

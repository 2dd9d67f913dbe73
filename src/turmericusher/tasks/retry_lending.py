"""Borrows retries from other instances, and lends those of this one to them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.retrying.retry_loans import lend_retry
from turmericusher.logs import log_event
from turmericusher.ports.retry_peers import RetryPeerError, RetryPeers

LOAN_TIMEOUT_S = 0.2
"""Seconds in which an instance must answer: several round trips, the opening of a
connection included."""


def new_peers() -> asyncio.Future[RetryPeers]:
    """Return a future of the running event loop."""
    return asyncio.get_running_loop().create_future()


@dataclass(slots=True)
class RetryLending:
    """What one instance borrows and lends; `peers` are set once gRPC is loaded."""

    shared: RelayShared
    peers: asyncio.Future[RetryPeers] = field(default_factory=new_peers)

    async def borrow(
        self,
        lender: EntryInstance,
        service: str,
        is_new_stream: bool,
        level: int = 0,
        own_share: float = 0.0,
    ) -> bool:
        """Return whether an instance has lent a retry; False without an answer."""
        if not self.peers.done():
            return False
        try:
            return await self.peers.result().borrow(
                lender.peer_address,
                service,
                is_new_stream,
                LOAN_TIMEOUT_S,
                level,
                own_share,
            )
        except RetryPeerError as error:
            log_event("loan_unanswered", instance=lender.name, error=str(error))
            return False

    def lend(
        self,
        service: str,
        is_new_stream: bool,
        level: int = 0,
        own_share: float = 0.0,
    ) -> bool:
        """Take a retry for another instance; return whether there was one."""
        now = asyncio.get_running_loop().time()
        budget = self.shared.lending_budget(service, now)
        if budget is None:
            return False
        is_lent = lend_retry(budget, is_new_stream, now, level, own_share)
        self.shared.totals.retries_lent += is_lent
        return is_lent

"""Assembles the claims of an entry instance from its settings."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass

from turmericusher.decisions.fleet import EntryInstance, Lifecycle
from turmericusher.decisions.idempotency_keys import KeyAgeLimits
from turmericusher.peers.claims_service import (
    ClaimPagesService,
    PeerClaimRouter,
    open_peer_claim_router,
)
from turmericusher.ports.keyvalue import KeyValueStore
from turmericusher.settings import Settings
from turmericusher.tasks.claim_sweeper import sweep_periodically
from turmericusher.tasks.claims import Claims, running_claims
from turmericusher.tasks.membership import Fleet

SWEEPER_SHARD = -1
"""A shard without pages: the instance that owns it deletes the old pages."""


@dataclass(frozen=True, slots=True)
class ClaimParts:
    """The claims of an instance, their router and the service for peers."""

    claims: Claims
    router: PeerClaimRouter
    service: ClaimPagesService


@asynccontextmanager
async def running_claim_parts(
    settings: Settings, store: KeyValueStore
) -> AsyncIterator[ClaimParts]:
    """Run the claims of an instance while the context is open.

    Until `running_page_ownership` is entered as well, this instance writes every page
    itself.
    """
    async with AsyncExitStack() as stack:
        router = await stack.enter_async_context(
            open_peer_claim_router(settings.peer_address, list)
        )
        claims = Claims(
            store=store,
            ages=KeyAgeLimits(settings.claim_retention_s, settings.clock_skew_s),
            wall_clock=time.time,
            # Attempt identifiers must differ between instances and incarnations, so
            # they cannot come from the seed of the settings.
            random=random.Random(uuid.uuid4().int),
            prefix=settings.store_prefix,
            router=router,
        )
        await stack.enter_async_context(running_claims(claims))
        yield ClaimParts(claims, router, ClaimPagesService(claims))


@asynccontextmanager
async def running_page_ownership(
    parts: ClaimParts, fleet: Fleet
) -> AsyncIterator[None]:
    """Share the pages with the live instances while the context is open.

    This instance also deletes old pages while it owns `SWEEPER_SHARD`.
    """
    parts.router.instances = lambda: live_instances(fleet)
    sweeper = asyncio.create_task(
        sweep_periodically(parts.claims, lambda: parts.router.owns(SWEEPER_SHARD)),
        name="claim-sweeper",
    )
    try:
        yield
    finally:
        sweeper.cancel()
        with suppress(asyncio.CancelledError):
            await sweeper


def live_instances(fleet: Fleet) -> Sequence[EntryInstance]:
    """Return the entry instances that may own pages, including this one."""
    others = [claim.instance for claim in fleet.membership.active_claims()]
    known = [fleet.membership.own, *others]
    return [one for one in known if one.lifecycle is Lifecycle.LIVE]

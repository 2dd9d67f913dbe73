"""Assembles one entry instance: starts its tasks and connects them to each other."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.requests import AnswerChunk, GenerationRequest
from turmericusher.logs import log_event
from turmericusher.metrics import Metrics, open_metrics
from turmericusher.ports.engines import open_engine_port
from turmericusher.ports.etcd import open_etcd_store
from turmericusher.ports.keyvalue import KeyValueStore
from turmericusher.ports.services import open_service_port
from turmericusher.settings import Settings
from turmericusher.tasks.admission import Admission, admitted
from turmericusher.tasks.calls import CallRunner, draining_calls
from turmericusher.tasks.claim_parts import running_claim_parts, running_page_ownership
from turmericusher.tasks.claimed_generation import open_claimed_generation
from turmericusher.tasks.claims import Claims
from turmericusher.tasks.fleet_parts import build_exchange_hooks, running_fleet_parts
from turmericusher.tasks.generation import (
    GenerationContext,
    make_generation_context,
    open_generation,
)
from turmericusher.tasks.instance_list import running_instance_list
from turmericusher.tasks.load_control import (
    call_admission,
    generation_ticket,
    running_load_control,
)
from turmericusher.tasks.membership import Fleet
from turmericusher.tasks.order_control import running_orders
from turmericusher.tasks.profile_changes import ProfileChanger
from turmericusher.tasks.profile_watch import ProfileTable, running_profile_watch
from turmericusher.tasks.run_ends import checking_run_ends
from turmericusher.tasks.shutdown import Draining, ending_at_handover

SEED_BITS = 32


@dataclass(slots=True)
class EntryRuntime:
    """The parts of one entry instance that its request handlers use.

    `incarnation` differs between two starts of the same instance. `started_at` is
    monotonic time in seconds.
    """

    settings: Settings
    store: KeyValueStore
    selector: Selector
    profiles: ProfileTable
    profile_changer: ProfileChanger
    generation: GenerationContext
    admission: Admission
    calls: CallRunner
    metrics: Metrics
    fleet: Fleet
    draining: Draining
    incarnation: str
    started_at: float = field(default_factory=time.monotonic)
    generations_in_flight: int = 0

    def generate(
        self, request: GenerationRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[AnswerChunk]]:
        """Open one generation; leaving the context cancels it.

        A request that is not idempotent runs under a claim on its idempotency key.
        """
        if request.profile.idempotent:
            return admitted_generation(self, request)
        claims = self.calls.claims
        return open_claimed_generation(
            claims, request, lambda: admitted_generation(self, request)
        )


@asynccontextmanager
async def admitted_generation(
    runtime: EntryRuntime, request: GenerationRequest
) -> AsyncIterator[AsyncIterator[AnswerChunk]]:
    """Admit and open a generation, and count it while it runs.

    Iteration ends with `handover_error` when a stopping instance hands it over.
    """
    arrived_at = time.monotonic()
    runtime.generations_in_flight += 1
    runtime.metrics.count("generations.started")
    try:
        async with (
            ending_at_handover(runtime.draining),
            admitted(runtime.admission, generation_ticket(request, arrived_at)),
            open_generation(runtime.generation, request, arrived_at) as chunks,
        ):
            yield chunks
    finally:
        runtime.generations_in_flight -= 1
        runtime.metrics.count("generations.ended")


@asynccontextmanager
async def running_entry_instance(settings: Settings) -> AsyncIterator[EntryRuntime]:
    """Run every task of an entry instance while the context is open."""
    async with AsyncExitStack() as stack:
        metrics = stack.enter_context(
            open_metrics(settings.statsd_address, settings.metrics_prefix)
        )
        store = await stack.enter_async_context(
            open_etcd_store(settings.store_url, settings.store_timeout_s)
        )
        selector = Selector(settings.random_for("selection"), own=settings.name)
        profiles = await stack.enter_async_context(
            running_profile_watch(
                store,
                settings.store_prefix,
                stale_after_s=settings.stale_after_s,
                rng=settings.random_for("profiles"),
            )
        )
        engine = await stack.enter_async_context(open_engine_port())
        generation = make_generation_context(
            engine,
            selector,
            seed=settings.random_for("generation").getrandbits(SEED_BITS),
            metrics=metrics,
        )
        await stack.enter_async_context(checking_run_ends(generation.run_end_checks))
        feeds = build_exchange_hooks(selector, generation.suspicion)
        claim_parts = await stack.enter_async_context(
            running_claim_parts(settings, store)
        )
        parts = await stack.enter_async_context(
            running_fleet_parts(settings, store, profiles, feeds, [claim_parts.service])
        )
        await stack.enter_async_context(
            running_page_ownership(claim_parts, parts.fleet)
        )
        admission = await stack.enter_async_context(
            running_load_control(settings, selector, parts.fleet.mark_upstream_leaving)
        )
        feeds.on_marks_changed = lambda: selector.update(parts.fleet.upstreams())
        await stack.enter_async_context(
            running_instance_list(
                settings.instance_list_url,
                lambda found: apply_instance_list(selector, parts.fleet, found),
            )
        )
        claims = claim_parts.claims
        calls = await start_call_runner(
            stack, settings, claims, selector, profiles, admission
        )
        incarnation = parts.fleet.membership.own.incarnation
        await stack.enter_async_context(
            running_orders(settings, store, selector, incarnation)
        )
        yield EntryRuntime(
            settings=settings,
            store=store,
            selector=selector,
            profiles=profiles,
            profile_changer=parts.changer,
            generation=generation,
            admission=admission,
            calls=calls,
            metrics=metrics,
            fleet=parts.fleet,
            draining=parts.draining,
            incarnation=incarnation,
        )


async def start_call_runner(
    stack: AsyncExitStack,
    settings: Settings,
    claims: Claims,
    selector: Selector,
    profiles: ProfileTable,
    admission: Admission,
) -> CallRunner:
    """Start the runner of plain calls; on exit the stack lets running calls finish."""
    port = await stack.enter_async_context(open_service_port())
    calls = CallRunner(
        port=port,
        claims=claims,
        selector=selector,
        services={service.name: service for service in settings.services},
        get_profile=profiles.get,
        random=settings.random_for("calls"),
        admit=call_admission(admission),
    )
    await stack.enter_async_context(draining_calls(calls, settings.drain_limit_s))
    return calls


def apply_instance_list(
    selector: Selector, fleet: Fleet, listed: tuple[UpstreamInstance, ...]
) -> None:
    """Pass a new list of upstreams, with leaving marks applied, to the selector."""
    fleet.set_listed_upstreams(listed)
    selector.update(fleet.upstreams())
    log_event("instance_list_changed", upstreams=len(listed))

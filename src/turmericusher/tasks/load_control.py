"""Runs what limits an entry instance's load: admission, its limits and load polling."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)

from turmericusher.decisions.capacity import CapacityView
from turmericusher.decisions.fair_queue import Ticket
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.requests import GenerationRequest
from turmericusher.pooled_session import open_pooled_session
from turmericusher.profiles import Profile
from turmericusher.settings import Service, Settings
from turmericusher.tasks.admission import Admission, admitted, running_admission
from turmericusher.tasks.background import background_tasks
from turmericusher.tasks.calls import CallAdmission, ServiceCall
from turmericusher.tasks.load_reports import (
    LeavingListener,
    ignore_leaving,
    poll_load_pages,
)

SEED_BITS = 32


@asynccontextmanager
async def running_load_control(
    settings: Settings,
    selector: Selector,
    on_leaving: LeavingListener = ignore_leaving,
) -> AsyncIterator[Admission]:
    """Run admission and the polling of upstreams' load while the context is open.

    `on_leaving` is called with an upstream that answers that it is shutting down.
    """
    services = {service.name: service for service in settings.services}
    seed = settings.random_for("load").getrandbits(SEED_BITS)

    def get_capacity(name: str) -> CapacityView:
        return capacity_view(services[name], selector)

    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(open_pooled_session())
        polling = poll_load_pages(selector, session, seed, on_leaving=on_leaving)
        async with background_tasks({"load-reports": polling}):
            yield await stack.enter_async_context(
                running_admission(services, get_capacity, seed)
            )


def capacity_view(service: Service, selector: Selector) -> CapacityView:
    """Return a service's capacity as far as the selector knows it."""
    return CapacityView(
        upstreams=len(selector.live.get(service.name, ())),
        capacity_per_upstream=service.capacity_per_upstream,
        entry_instances=max(1, len(selector.instances)),
        peers_in_flight=selector.peers_in_flight(service.name),
        waiting=selector.reported_waiting(service.name),
    )


def generation_ticket(request: GenerationRequest, now: float) -> Ticket:
    """Return the admission ticket of a generation that arrives at `now`."""
    return Ticket(
        team=request.team,
        urgency=request.profile.urgency,
        deadline=now + request.profile.max_wait_s,
        service=request.service,
        is_resume=request.received is not None,
    )


def call_admission(admission: Admission) -> CallAdmission:
    """Return the function that admits calls to plain services."""

    def admit(
        call: ServiceCall, profile: Profile, deadline: float
    ) -> AbstractAsyncContextManager[None]:
        ticket = Ticket(call.team, profile.urgency, deadline, call.service)
        return admitted(admission, ticket)

    return admit

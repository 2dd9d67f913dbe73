"""Assembles the fleet membership of an entry instance from its settings."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import uuid6

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.shutdown import Shutdown
from turmericusher.decisions.suspicion import (
    CrashReport,
    SuspicionLedger,
    merge_crash_reports,
    newest_crash_reports,
)
from turmericusher.peers.exchange_service import bound_socket, running_exchange_server
from turmericusher.ports.keyvalue import KeyValueStore
from turmericusher.settings import Settings
from turmericusher.tasks.membership import (
    ExchangeHooks,
    Fleet,
    make_fleet,
    running_membership,
)
from turmericusher.tasks.peers import running_peer_exchange
from turmericusher.tasks.profile_changes import ProfileChanger
from turmericusher.tasks.profile_watch import ProfileTable
from turmericusher.tasks.shutdown import Draining


@dataclass(frozen=True, slots=True)
class FleetParts:
    """What an entry instance runs as a member of a fleet."""

    fleet: Fleet
    changer: ProfileChanger
    draining: Draining


def build_exchange_hooks(
    selector: Selector, suspicion: SuspicionLedger
) -> ExchangeHooks:
    """Return the hooks that connect the peer exchange to selection and suspicion."""

    def own_loads() -> Mapping[str, int]:
        return selector.in_flight

    def own_crash_reports(limit: int) -> Sequence[CrashReport]:
        return newest_crash_reports(suspicion, time.monotonic(), limit)

    def on_crash_reports(charges: Sequence[CrashReport]) -> None:
        merge_crash_reports(suspicion, charges, time.monotonic())

    return ExchangeHooks(
        own_loads=own_loads,
        own_crash_reports=own_crash_reports,
        on_peer_loads=selector.merge_peer_counts,
        on_crash_reports=on_crash_reports,
        on_live_instances=selector.update_instances,
    )


def own_instance(settings: Settings) -> EntryInstance:
    """Return this instance's description for its peers.

    The incarnation is a UUIDv7 (RFC 9562), so a later start sorts after an earlier one.
    """
    return EntryInstance(
        name=settings.name,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        incarnation=uuid6.uuid7().hex,
    )


@asynccontextmanager
async def running_fleet_parts(
    settings: Settings,
    store: KeyValueStore,
    table: ProfileTable,
    hooks: ExchangeHooks,
    peer_services: Sequence[object] = (),
) -> AsyncIterator[FleetParts]:
    """Be a member of the fleet while the context is open.

    `peer_services` are gRPC services that peers may call beside the exchange.
    """
    rng = settings.random_for("fleet")
    fleet = make_fleet(own_instance(settings), settings.peer_seeds, table, rng, hooks)
    shutdown = Shutdown(settings.entrypoint_ttl_s, settings.drain_limit_s)
    async with AsyncExitStack() as stack:
        peer_socket = stack.enter_context(bound_socket(settings.peer_address))
        exchange = await stack.enter_async_context(running_peer_exchange(fleet, rng))
        await stack.enter_async_context(
            running_exchange_server(peer_socket, fleet.answer, peer_services)
        )
        await stack.enter_async_context(running_membership(fleet, store))
        changer = ProfileChanger(store, table, exchange.wait_for_spread)
        yield FleetParts(fleet, changer, Draining(fleet, shutdown))

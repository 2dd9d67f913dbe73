"""Assembles and runs one instance on the platform: its tasks, ports and servers."""

from __future__ import annotations

import asyncio
import logging
import secrets
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path

from turmericusher.api.metrics import metrics_app
from turmericusher.api.relay import RelayFrontend
from turmericusher.asgi import ASGIApp
from turmericusher.decisions.fleet import EntryInstance, UpstreamInstance
from turmericusher.decisions.held_memory.account import MemoryAccount
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.relay_stop import RelayStop
from turmericusher.decisions.retrying.retries import RetryBudget
from turmericusher.decisions.rollouts.orders import RolloutBounds
from turmericusher.decisions.routing import NewestTable, RequestLimits
from turmericusher.decisions.watch_pace import WatchPace, make_watch_pace
from turmericusher.decisions.watch_sharing import WatchSharing
from turmericusher.errors import SettingsError
from turmericusher.logs import log_event
from turmericusher.memory_guard import MemoryGuard
from turmericusher.metrics import Metrics
from turmericusher.platform.calls import entrypoints_app, readiness_app
from turmericusher.platform.codec import PlatformCodec
from turmericusher.platform.names import (
    INSTANCE_PREFIX,
    OPERATOR_PREFIX,
    OWN_PREFIX,
    STATUS_PREFIX,
    UPSTREAM_PREFIX,
)
from turmericusher.platform.records import (
    CrashRecordCodec,
    decode_record,
    encode_instance,
)
from turmericusher.platform.rollout_records import RolloutCodec
from turmericusher.platform.settings import NodeSettings, load_node_settings
from turmericusher.platform.store import open_platform_store
from turmericusher.platform.upstreams import open_platform_upstreams
from turmericusher.platform.version_records import VersionRecordCodec
from turmericusher.ports.keyvalue import KeyValueStore
from turmericusher.relay_serving import RelayInstance, drain
from turmericusher.tasks.crash_reports import CrashReports, reporting_crashes
from turmericusher.tasks.entry_load import EntryLoad, measuring_load
from turmericusher.tasks.hop_leases import HopLeases, keeping_hop_leases
from turmericusher.tasks.reach_checks import ReachChecks, checking_reach
from turmericusher.tasks.registration import Registration, registered
from turmericusher.tasks.relay import RelayContext
from turmericusher.tasks.relay_fleet import RelayFleet, expiring_entries
from turmericusher.tasks.retry_lending import RetryLending
from turmericusher.tasks.rollouts import RolloutTask, rolling_out
from turmericusher.tasks.run_ends import checking_run_ends
from turmericusher.tasks.shared_watch import SharedWatch
from turmericusher.tasks.store_follower import StoreFollower, following_store
from turmericusher.tasks.store_polls import WatchedParts
from turmericusher.tasks.stream_peers import running_stream_peers
from turmericusher.tasks.stream_versions import (
    StreamVersionExchange,
    exchanging_versions,
)
from turmericusher.tasks.take_ups import TakeUps, ending_earlier_runs
from turmericusher.tasks.version_records import VersionRecords, saving_versions
from turmericusher.web_server import running_server

ENTRYPOINT_TTL_S = 1.0
"""Seconds for which callers may cache the list of entry points.

It bounds how long callers still use a stopped instance, and each caller queries the
list that often."""


CONFIGURATION_WAIT_S = 0.3
"""Seconds for which callers wait for the first configuration before they are refused:
several times what reading it takes."""


async def serve_node(path: Path, listener: socket.socket | None = None) -> None:
    """Run an instance until SIGTERM or SIGINT, then drain it.

    SIGHUP reloads the settings file. `listener` listens for callers already, if given.
    """
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    settings = load_node_settings(path)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with running_node(settings, listener) as instance:
        loop.add_signal_handler(signal.SIGHUP, reload_settings, instance, path)
        await stopped.wait()
        await drain(instance)
    log_event("stopped", name=settings.name)


def reload_settings(instance: RelayInstance, path: Path) -> None:
    """Reload the settings file; only its bounds take effect without a restart.

    An invalid file is logged, and the settings in force stay.
    """
    try:
        settings = load_node_settings(path)
    except SettingsError as error:
        log_event("reload_failed", message=error.message)
        return
    instance.retries = settings.retries
    instance.frontend.stop.limit_s = settings.stop_limit_s
    instance.set_budgets(max(1, len(instance.shared.selector.instances)))
    log_event("reloaded", path=str(path))


@asynccontextmanager
async def running_node(
    settings: NodeSettings, listener: socket.socket | None = None
) -> AsyncIterator[RelayInstance]:
    """Start all tasks and servers of an instance, and stop them on exit.

    Callers whose connections wait at `listener` are served once the configuration was
    read, or is late.
    """
    pace = make_watch_pace(
        settings.configuration_limit_s,
        settings.link_bytes_per_s,
        settings.largest_value_bytes,
    )
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(
            open_platform_store(settings.store_address, pace.wait_s, pace.pause_s)
        )
        guard = MemoryGuard(MemoryAccount(settings.held))
        selector = Selector(settings.random_for("selection"), own=settings.name)
        shared = RelayShared(
            selector,
            settings.random_for("relay"),
            budget_template=RetryBudget(
                window_s=settings.retries.window_s,
                started_at=asyncio.get_running_loop().time(),
            ),
        )
        port = await stack.enter_async_context(
            open_platform_upstreams(
                selector.merge_report,
                partial(record_send_limit, shared),
                partial(record_leaving, shared),
                partial(record_pause, shared),
                guard,
            )
        )
        reports = CrashReports(shared.crashes, port, store, CrashRecordCodec())
        records = VersionRecords(shared.versions, store, VersionRecordCodec())
        exchange = StreamVersionExchange(shared.versions, records)
        checks = ReachChecks(shared.reach, port)
        lending = RetryLending(shared)
        take_ups, hops = TakeUps(exchange), HopLeases(shared, exchange)
        context = RelayContext(
            port, shared, reports, exchange, checks, lending, take_ups, hops
        )
        stack.push_async_callback(context.finish_releases)
        reports.has_crashed = shared.has_crashed
        reports.before_review = context.record_ended_upstreams
        reports.on_change = context.apply_blocks
        sharing = WatchSharing(settings.name, settings.failure_domain)
        watch = SharedWatch(
            store, pace, sharing, settings.random_for("watch"), watched_parts(pace)
        )
        instance = assemble_instance(settings, context, store, watch)
        instance.set_budgets(1)
        guard.metrics, instance.guard = instance.metrics, guard
        guard.request_limits = partial(request_limits, instance.tables)
        follower = StoreFollower(
            watch,
            "",
            instance.fleet,
            settings.random_for("store-follower"),
            applied=shared.applied,
        )
        if settings.rollouts is not None:
            rollouts = make_rollout_task(settings.rollouts, instance, store)
            follower.on_heard = rollouts.record_heard
            await stack.enter_async_context(rolling_out(rollouts))
        await stack.enter_async_context(following_store(follower))
        await stack.enter_async_context(expiring_entries(instance.fleet))
        await stack.enter_async_context(reporting_crashes(reports))
        await stack.enter_async_context(exchanging_versions(exchange))
        await stack.enter_async_context(saving_versions(records))
        await stack.enter_async_context(ending_earlier_runs(take_ups))
        await stack.enter_async_context(checking_reach(checks))
        await stack.enter_async_context(checking_run_ends(context.run_end_checks))
        await stack.enter_async_context(keeping_hop_leases(hops))
        await stack.enter_async_context(measuring_load(instance.load))
        for app, address in applications(settings, instance):
            waiting = None
            if address == settings.caller_address:
                await wait_for_configuration(instance.fleet)
                waiting = listener
            server = running_server(app, address, 0, waiting, guard)
            instance.servers.append(await stack.enter_async_context(server))
        peers = running_stream_peers(
            exchange, watch, lending, take_ups, hops, settings.peer_address, guard
        )
        await stack.enter_async_context(peers)
        await stack.enter_async_context(registered(instance.registration))
        log_event("serving", name=settings.name, address=settings.caller_address)
        yield instance


def watched_parts(pace: WatchPace) -> WatchedParts | None:
    """Return which keys are asked for apart; None where no value takes long."""
    if pace.large_answer_bytes is None:
        return None
    small = (UPSTREAM_PREFIX, OWN_PREFIX, STATUS_PREFIX)
    return WatchedParts(small, OPERATOR_PREFIX, pace.large_answer_bytes)


def request_limits(tables: NewestTable) -> RequestLimits:
    """Return the limits of the configuration in force, or those by default."""
    return tables.table.limits if tables.table is not None else RequestLimits()


def make_rollout_task(
    bounds: RolloutBounds, instance: RelayInstance, store: KeyValueStore
) -> RolloutTask:
    """Return the task for roll-outs, which learns from the fleet what the store has."""
    task = RolloutTask(
        instance.shared,
        bounds,
        store,
        RolloutCodec(),
        lambda: instance.registration.lease,
    )
    instance.shared.rollouts.bounds = bounds
    instance.fleet.rollouts = task
    return task


async def wait_for_configuration(fleet: RelayFleet) -> None:
    """Wait until a configuration was read, but not for long."""
    try:
        async with asyncio.timeout(CONFIGURATION_WAIT_S):
            await fleet.has_configuration.wait()
    except TimeoutError:
        log_event("configuration_late", waited_s=CONFIGURATION_WAIT_S)


def record_send_limit(
    shared: RelayShared, upstream: UpstreamInstance, per_s: float | None
) -> None:
    """Record the limit that an upstream's answer names, and log it when it changes."""
    now = asyncio.get_running_loop().time()
    if shared.send_limits.record_answer(upstream, per_s, now):
        log_event("send_limit", upstream=upstream.name, limit_per_s=per_s)


def record_leaving(shared: RelayShared, upstream: UpstreamInstance) -> None:
    """Record that an upstream answered that it is leaving, and log it the first time.

    `listed` is what the store's list says of its incarnation.
    """
    now = asyncio.get_running_loop().time()
    listed = shared.selector.upstreams.get(upstream.name)
    is_listed = listed is not None and listed.incarnation == upstream.incarnation
    if shared.record_leaving(upstream, now):
        log_event(
            "upstream_leaving",
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            listed=listed.lifecycle.value if listed and is_listed else None,
        )


def record_pause(
    shared: RelayShared, upstream: UpstreamInstance, pause_s: float | None
) -> None:
    """Record the pause that an upstream asks for, None for a malformed one; log it."""
    now = asyncio.get_running_loop().time()
    if pause_s is not None:
        shared.pauses.record_refusal(upstream, pause_s, now)
        log_event("pause_requested", upstream=upstream.name, pause_s=pause_s)
    elif shared.pauses.record_malformed(upstream, now):
        log_event("pause_malformed", upstream=upstream.name)


def assemble_instance(
    settings: NodeSettings,
    context: RelayContext,
    store: KeyValueStore,
    watch: SharedWatch,
) -> RelayInstance:
    """Assemble an instance from its parts without starting any of them."""
    tables, metrics = NewestTable(), Metrics()
    frontend = RelayFrontend(
        context,
        tables,
        PlatformCodec(),
        metrics,
        settings.random_for("routing"),
        RelayStop(settings.stop_limit_s),
    )
    own = own_instance(settings)
    context.shared.forwarding.incarnation = own.incarnation
    key = f"{INSTANCE_PREFIX}{settings.name}"
    registration = Registration(store, key, encode_instance(own))
    fleet = RelayFleet(context.shared, tables, decode_record)
    load = EntryLoad(
        own,
        lambda record: registration.update(encode_instance(record)),
        settings.resources,
        lambda: frontend.relayed_bytes,
        fleet.entrypoints,
    )
    instance = RelayInstance(
        own,
        settings.retries,
        context.shared,
        tables,
        frontend,
        fleet,
        registration,
        watch,
        metrics,
        load,
    )
    fleet.on_instance_count = instance.set_budgets
    fleet.on_crash = context.apply_blocks
    fleet.on_versions = context.versions.notify
    fleet.on_instances = watch.sharing.update_instances
    watch.on_reach = fleet.store_reached
    context.versions.instances = fleet.instances.entries
    fleet.on_store_restored = partial(restart_writers, context, registration)
    fleet.on_own_change = load.update_own
    return instance


def restart_writers(context: RelayContext, registration: Registration) -> None:
    """Have all that this instance keeps in the store written again."""
    registration.restart()
    context.crash_reports.restart()
    context.versions.records.restart()
    context.versions.notify()


def own_instance(settings: NodeSettings) -> EntryInstance:
    """Return this instance's entry as other instances see it."""
    return EntryInstance(
        name=settings.name,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address or settings.caller_address,
        # A secret of the instances: not drawn from the seed, which is no secret.
        incarnation=secrets.token_hex(8),
    )


def applications(
    settings: NodeSettings, instance: RelayInstance
) -> Iterator[tuple[ASGIApp, str]]:
    """Yield each application with its address; the one for callers comes last."""
    yield readiness_app(instance.is_ready), settings.readiness_address
    if settings.directory_address is not None:
        ttl_s = min(ENTRYPOINT_TTL_S, settings.entrypoint_ttl_limit_s)
        rng = settings.random_for("entrypoints")
        yield (
            entrypoints_app(instance.entrypoints, ttl_s, rng),
            settings.directory_address,
        )
    yield (
        metrics_app(instance.metrics, instance.refresh_gauges, instance.state),
        settings.metrics_address,
    )
    yield instance.frontend, settings.caller_address

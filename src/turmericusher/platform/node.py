"""One instance on the platform: every task, its port and what it is given."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from turmericusher.api.relay import RelayFrontend
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.relay_stop import RelayStop
from turmericusher.decisions.routing import NewestTable
from turmericusher.decisions.selection import Selector
from turmericusher.errors import SettingsError
from turmericusher.logs import log_event
from turmericusher.metrics import Metrics
from turmericusher.platform.calls import entrypoints_app, metrics_app, readiness_app
from turmericusher.platform.codec import PlatformCodec
from turmericusher.platform.names import INSTANCE_PREFIX
from turmericusher.platform.records import encode_instance
from turmericusher.platform.records_decoder import decode_record
from turmericusher.platform.settings import NodeSettings, load_node_settings
from turmericusher.platform.store import open_platform_store
from turmericusher.platform.upstreams import open_platform_upstreams
from turmericusher.tasks.registration import Registration, registered
from turmericusher.tasks.relay import RelayContext
from turmericusher.tasks.relay_fleet import RelayFleet, expiring_entries
from turmericusher.tasks.store_follower import StoreFollower, following_store
from turmericusher.web_server import QuietServer, running_server, serving_app

ENTRYPOINT_TTL_S = 1.0
"""Seconds for which callers keep an answer: a stopped instance is out of use after
them, and each caller asks again that often."""

BUDGET_SHARE = 0.7
"""Part of the platform's bound on repeats that the instances plan with together; the
rest is for their differing views of the fleet."""

WATCH_SHARE = 0.6
"""Part of the time for a change to be in force that one wait for changes may take; the
rest is for reading everything again where a change was missed."""


@dataclass(slots=True)
class Node:
    """The running parts of one instance."""

    settings: NodeSettings
    shared: RelayShared
    tables: NewestTable
    frontend: RelayFrontend
    fleet: RelayFleet
    registration: Registration
    metrics: Metrics
    serving: QuietServer | None = None

    @property
    def server(self) -> QuietServer:
        """The server for callers, once it runs."""
        assert self.serving is not None
        return self.serving

    @property
    def is_stopping(self) -> bool:
        """Whether the signal to stop has come."""
        return self.frontend.stop.is_asked()

    async def leave(self) -> None:
        """Take this instance out of the entry points, and keep it out."""
        self.registration.is_leaving = True
        await self.registration.withdraw()

    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.tables.table is not None and not self.is_stopping

    def entrypoints(self) -> list[EntryInstance]:
        """Return the entry instances to name to callers, at least this one."""
        found = self.fleet.entrypoints()
        if not found and self.is_ready():
            return [own_instance(self.settings, self.registration.key)]
        return found

    def set_budgets(self, instances: int) -> None:
        """Share the allowed repeats among the instances."""
        ratio = BUDGET_SHARE * self.settings.retry_ratio
        slack = BUDGET_SHARE * self.settings.retry_slack / instances
        self.shared.set_budgets(ratio, max(1.0, slack))

    def refresh_gauges(self) -> None:
        """Bring the gauges up to date."""
        table, totals = self.tables.table, self.shared.totals
        self.metrics.gauge("in_flight", self.frontend.in_flight)
        self.metrics.gauge("configuration", table.version if table else 0)
        self.metrics.gauge("upstreams", len(self.fleet.upstreams.entries))
        self.metrics.gauge("instances", len(self.fleet.instances.entries))
        for name in type(totals).__slots__:
            self.metrics.gauge(f"relay.{name}", getattr(totals, name))

    def state(self) -> dict[str, object]:
        """Return what this process believes, as plain JSON values."""
        selector = self.shared.selector
        table = self.tables.table
        return {
            "name": self.settings.name,
            "configuration": table.version if table else None,
            "in_flight": self.frontend.in_flight,
            "is_stopping": self.is_stopping,
            "upstreams": {
                name: {
                    "service": upstream.service,
                    "address": upstream.address,
                    "failure_domain": upstream.failure_domain,
                    "state": upstream.lifecycle.value,
                    "in_flight": selector.in_flight.get(name, 0),
                    "estimate": selector.load.estimate(name, selector.now),
                }
                for name, upstream in selector.upstreams.items()
            },
            "instances": sorted(self.fleet.instances.entries),
            "metrics": self.metrics.snapshot(),
        }

    def reload(self, path: Path) -> None:
        """Read the settings file again; only its bounds change while serving."""
        try:
            self.settings = load_node_settings(path)
        except SettingsError as error:
            log_event("reload_failed", message=error.message)
            return
        self.frontend.stop.limit_s = self.settings.stop_limit_s
        self.set_budgets(max(1, len(self.fleet.instances.entries)))
        log_event("reloaded", path=str(path))


async def serve_node(path: Path) -> None:
    """Run an instance until SIGTERM, and drain it."""
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    settings = load_node_settings(path)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with running_node(settings) as node:
        loop.add_signal_handler(signal.SIGHUP, node.reload, path)
        await stopped.wait()
        await drain(node)
    log_event("stopped", name=settings.name)


async def drain(node: Node) -> None:
    """Leave the entry points, let requests end, and return when the process may end."""
    stop, frontend = node.frontend.stop, node.frontend
    stop.ask(frontend.clock())
    log_event("stopping", in_flight=frontend.in_flight, limit_s=stop.limit_s)
    await node.leave()
    await sleep_until(stop.accepts_until())
    node.server.stop_accepting()
    log_event("draining", in_flight=frontend.in_flight)
    try:
        async with asyncio.timeout_at(stop.ends_at()):
            await frontend.idle.wait()
    except TimeoutError:
        log_event("drain_cut_short", in_flight=frontend.in_flight)


async def sleep_until(at: float) -> None:
    """Sleep until a time of the event loop."""
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))


@asynccontextmanager
async def running_node(settings: NodeSettings) -> AsyncIterator[Node]:
    """Start every task of an instance and stop them at the end."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(
            open_platform_store(
                settings.store_address, WATCH_SHARE * settings.configuration_limit_s
            )
        )
        selector = Selector(settings.random_for("selection"), own=settings.name)
        shared = RelayShared(selector, settings.random_for("relay"))
        port = await stack.enter_async_context(
            open_platform_upstreams(selector.merge_report)
        )
        node = make_node(settings, shared, RelayContext(port, shared), store)
        node.set_budgets(1)
        follower = StoreFollower(
            store, "", node.fleet, settings.random_for("store-follower")
        )
        await stack.enter_async_context(following_store(follower))
        await stack.enter_async_context(expiring_entries(node.fleet))
        await stack.enter_async_context(serving_calls(node))
        node.serving = await stack.enter_async_context(
            running_server(node.frontend, settings.caller_address, stop_grace_s=0)
        )
        await stack.enter_async_context(registered(node.registration))
        log_event("serving", name=settings.name, address=settings.caller_address)
        yield node


def make_node(
    settings: NodeSettings,
    shared: RelayShared,
    context: RelayContext,
    store: object,
) -> Node:
    """Return the parts of an instance, none of them started."""
    tables, metrics = NewestTable(), Metrics()
    frontend = RelayFrontend(
        context,
        tables,
        PlatformCodec(),
        metrics,
        settings.random_for("routing"),
        RelayStop(settings.stop_limit_s),
    )
    key = f"{INSTANCE_PREFIX}{settings.name}"
    own = own_instance(settings, key)
    registration = Registration(store, key, encode_instance(own))  # type: ignore[arg-type]
    node: Node

    def share_budgets(instances: int) -> None:
        node.set_budgets(instances)

    fleet = RelayFleet(shared, tables, decode_record, share_budgets)
    node = Node(settings, shared, tables, frontend, fleet, registration, metrics)
    return node


def own_instance(settings: NodeSettings, key: str) -> EntryInstance:
    """Return this instance as its peers know it."""
    return EntryInstance(
        name=settings.name,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_address,
        peer_address=settings.caller_address,
        incarnation=key,
    )


@asynccontextmanager
async def serving_calls(node: Node) -> AsyncIterator[None]:
    """Serve readiness, entry points, metrics and the state dump."""
    settings = node.settings
    ttl_s = min(ENTRYPOINT_TTL_S, settings.entrypoint_ttl_limit_s)
    async with AsyncExitStack() as stack:
        readiness = readiness_app(node.is_ready)
        await stack.enter_async_context(
            serving_app(readiness, settings.readiness_address, stop_grace_s=0)
        )
        if settings.directory_address is not None:
            rng = settings.random_for("entrypoints")
            app = entrypoints_app(node.entrypoints, ttl_s, rng)
            await stack.enter_async_context(
                serving_app(app, settings.directory_address, stop_grace_s=0)
            )
        app = metrics_app(node.metrics, node.refresh_gauges, node.state)
        await stack.enter_async_context(
            serving_app(app, settings.metrics_address, stop_grace_s=0)
        )
        yield

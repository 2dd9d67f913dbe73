"""Fixtures for tests of relayed requests: routes, upstreams and a whole instance."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
import orjson

from turmericusher.decisions.fleet import (
    EntryInstance,
    Lifecycle,
    UpstreamInstance,
    UpstreamKind,
)
from turmericusher.decisions.placing.selection import Selector
from turmericusher.decisions.relay import Relay, make_relay
from turmericusher.decisions.relay_messages import (
    FindVersion,
    RelayAction,
    RelayedRequest,
    VersionFound,
)
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.retrying.retries import RetryBounds
from turmericusher.decisions.routing import (
    RequestKind,
    Route,
    RoutedRequest,
    ServiceTraits,
    WeightedService,
)
from turmericusher.decisions.stream_versions import FoundVersion
from turmericusher.platform.names import CONFIGURATION_KEY, UPSTREAM_PREFIX
from turmericusher.platform.node import running_node
from turmericusher.platform.settings import NodeSettings
from turmericusher.profiles import NORMAL_URGENCY
from turmericusher.relay_serving import RelayInstance
from turmericusher.standins.platform_store import (
    PlatformStoreStandin,
    running_platform_store,
)
from turmericusher.standins.platform_upstream import UpstreamStandin, running_standin

DOMAINS = ("quai-nord", "quai-sud", "bureau-criee")
SERVICE = "s"
ACCESS_KEY = "key-of-a-team"
HOST = "a.example"
UPSTREAM_BORN = 1_700_000_000_000
"""When upstreams started, in Unix milliseconds."""

HOST_NUMBERS = itertools.count()
RESERVATION_PORT = 20000
RESERVATIONS: list[socket.socket] = []
PATHS = {
    RequestKind.IDEMPOTENT: "/idempotent/",
    RequestKind.NON_IDEMPOTENT: "/once/",
    RequestKind.RESUMABLE_STREAM: "/resumable/",
    RequestKind.STREAM: "/stream/",
}


def make_upstream(
    index: int, lifecycle: Lifecycle = Lifecycle.LIVE, incarnation: str = "1"
) -> UpstreamInstance:
    """Return the upstream `u{index}`; the failure domains are assigned in rotation."""
    return UpstreamInstance(
        name=f"u{index}",
        service=SERVICE,
        kind=UpstreamKind.SERVICE,
        address=f"127.0.0.1:{index + 1}",
        failure_domain=DOMAINS[index % len(DOMAINS)],
        incarnation=incarnation,
        lifecycle=lifecycle,
    )


def make_instance(name: str, **fields: object) -> EntryInstance:
    """Return an entry instance that is live."""
    number = int(name[1:])
    address = f"127.0.0.1:{1_000 + number}"
    return EntryInstance(
        name, DOMAINS[number % len(DOMAINS)], address, address, **fields
    )  # type: ignore[arg-type]


def make_relay_shared(upstreams: int = 6) -> RelayShared:
    """Return the state that an instance's relays share, with some live upstreams."""
    selector = Selector(random.Random(1), "e0")
    selector.update(make_upstream(index) for index in range(upstreams))
    return RelayShared(selector, random.Random(2))


def make_route(kind: RequestKind, **changes: object) -> Route:
    """Return the route for requests of one kind, with some fields changed."""
    fields: dict[str, object] = {
        "name": f"r-{kind.value}",
        "host": HOST,
        "prefix": PATHS[kind],
        "kind": kind,
        "services": (WeightedService(SERVICE, 1.0),),
        "timeout_s": 20.0,
        "target_latency_s": 0.1,
        "max_attempts": 5,
    }
    return Route(**(fields | changes))  # type: ignore[arg-type]


def make_test_relay(
    kind: RequestKind,
    shared: RelayShared,
    resume_after: int | None = None,
    deadline: float = 10.0,
    arrived_at: float = 0.0,
    reports_load: bool = False,
    urgency: int = NORMAL_URGENCY,
    size: int = 0,
    urgency_targets: tuple[tuple[int, float], ...] = (),
    **changes: object,
) -> Relay:
    """Return the relay of one request that has arrived and was not started yet."""
    request = RelayedRequest(
        request_id="q1",
        host=HOST,
        method="POST",
        path=PATHS[kind],
        target=PATHS[kind],
        headers=(),
        body=b"",
        key=None,
        arrived_at=arrived_at,
        deadline=deadline,
        resume_after=resume_after,
        size=size,
    )
    service = ServiceTraits(
        SERVICE, 8, kind.is_stream, reports_load, reports_load, urgency_targets
    )
    routed_request = RoutedRequest(
        make_route(kind, **changes), service, "team", 1, urgency
    )
    return make_relay(request, routed_request, shared)


def start_taken_up(relay: Relay, now: float = 0.0) -> list[RelayAction]:
    """Start a request; a stream that is taken up goes on at the version of all."""
    actions = relay.start(now)
    if any(isinstance(action, FindVersion) for action in actions):
        return relay.handle(VersionFound(FoundVersion("")), now)
    return actions


def configuration(
    version: int = 1, route_changes: dict[str, object] | None = None, **changes: object
) -> bytes:
    """Return a configuration as operators write it, with one route for each kind.

    `route_changes` are fields of all routes.
    """
    routes = [
        {
            "name": f"r-{kind.value}",
            "host": HOST,
            "prefix": prefix,
            "kind": "streaming" if kind.is_stream else kind.value,
            "timeout_ms": 4_000,
            "target_latency_ms": 300,
            "service": SERVICE,
            "max_attempts": 3,
            "stream_resumption": kind is RequestKind.RESUMABLE_STREAM,
        }
        | (route_changes or {})
        for kind, prefix in PATHS.items()
    ]
    fields = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": SERVICE, "engine": {"slots": 8, "backups": True, "moves": True}}
        ],
        "tenants": [{"name": "team-1", "access_keys": [ACCESS_KEY]}],
    }
    return orjson.dumps(fields | changes)


def encode_upstream_entry(
    address: str, index: int, state: str = "ready", **changes: object
) -> bytes:
    """Return an upstream's entry as the upstream itself writes it."""
    fields = {
        "service": SERVICE,
        "address": address,
        "zone": DOMAINS[index % len(DOMAINS)],
        "version": "v1",
        "slots": 8,
        "state": state,
        "sequence": 1,
        "born": UPSTREAM_BORN,
    }
    return orjson.dumps(fields | changes)


@dataclass(slots=True)
class RelaySimulation:
    """A running instance with the stand-ins that it uses."""

    store: PlatformStoreStandin
    upstreams: list[UpstreamStandin]
    settings: NodeSettings
    node: RelayInstance
    session: aiohttp.ClientSession
    count: int = 0
    headers: dict[str, str] = field(
        default_factory=lambda: {"Host": HOST, "Authorization": f"Bearer {ACCESS_KEY}"}
    )

    def write_upstream_entry(self, index: int, state: str = "ready") -> None:
        """Write an upstream's entry to the store."""
        standin = self.upstreams[index]
        key = f"{UPSTREAM_PREFIX}{standin.name}"
        self.store.store.write(
            key, encode_upstream_entry(standin.address, index, state)
        )

    def delete_upstream_entry(self, index: int) -> None:
        """Delete an upstream's entry from the store."""
        self.store.store.write(f"{UPSTREAM_PREFIX}{self.upstreams[index].name}", None)

    async def call(
        self, kind: RequestKind, wait_ms: int = 3_000, name: str = "x", **headers: str
    ) -> Answer:
        """Send one request and return the response, complete or broken off.

        `name` is the end of its path. Underscores in the names of `headers` stand for
        hyphens.
        """
        self.count += 1
        url = f"http://{self.settings.caller_address}{PATHS[kind]}{name}"
        sent = self.headers | {
            "X-Request-Id": f"q{self.count}",
            "X-Deadline-Milliseconds": str(wait_ms),
        }
        for name, value in headers.items():
            sent[name.replace("_", "-")] = value
        body = b""
        async with self.session.post(url, headers=sent, data=b"body") as response:
            try:
                async for part in response.content.iter_any():
                    body += part
            except aiohttp.ClientPayloadError:
                return Answer(
                    response.status, lower_case_headers(response), body, False
                )
            return Answer(response.status, lower_case_headers(response), body, True)


def runs(simulation: RelaySimulation) -> int:
    """Return how many requests ran, at all upstreams together."""
    return sum(len(upstream.runs) for upstream in simulation.upstreams)


@dataclass(frozen=True, slots=True)
class Answer:
    """The response that a caller received; `is_whole` is false if it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def lower_case_headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    """Return the headers with their names in lower case."""
    return {name.lower(): value for name, value in response.headers.items()}


def unused_loopback_host() -> str:
    """Return a loopback address that no other instance and no other process uses.

    On 127.0.0.1, a port that was free a moment ago may be taken by any connection. The
    host stays reserved until this process ends: processes of several test runs may try
    the same ones.
    """
    while True:
        number = next(HOST_NUMBERS)
        second = 1 + os.getpid() % 250
        host = f"127.{second}.{number // 250}.{1 + number % 250}"
        reservation = socket.socket()
        try:
            reservation.bind((host, RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        RESERVATIONS.append(reservation)
        return host


def settings_text(
    host: str,
    store_address: str,
    name: str = "entry-1",
    domain: str = DOMAINS[0],
    **bounds: float,
) -> str:
    """Return the text of a settings file as the platform writes it."""
    lines = {
        "node_name": name,
        "ip_address": host,
        "zone": domain,
        "listen_addresses.frontend": f"{host}:20001",
        "listen_addresses.readiness": f"{host}:20002",
        "listen_addresses.directory": f"{host}:20003",
        "platform.address": store_address,
    }
    lines |= {f"bounds.{bound}": str(value) for bound, value in bounds.items()}
    return "".join(f"{key}={value}\n" for key, value in lines.items())


def make_node_settings(
    store_address: str, configuration_limit_s: float = 2.0
) -> NodeSettings:
    """Return the settings of an instance at a loopback host of its own."""
    host = unused_loopback_host()
    return NodeSettings(
        name="entry-1",
        failure_domain=DOMAINS[0],
        caller_address=f"{host}:20001",
        readiness_address=f"{host}:20002",
        directory_address=f"{host}:20003",
        metrics_address=f"{host}:20004",
        store_address=store_address,
        stop_limit_s=3.0,
        retries=RetryBounds(0.8, 150.0),
        entrypoint_ttl_limit_s=5.0,
        configuration_limit_s=configuration_limit_s,
    )


@asynccontextmanager
async def running_relay_simulation(
    upstreams: int = 3,
    configuration_limit_s: float = 2.0,
    make_standin: Callable[[str], UpstreamStandin] = UpstreamStandin,
    route_changes: dict[str, object] | None = None,
) -> AsyncIterator[RelaySimulation]:
    """Run an instance that has its configuration and knows all its upstreams.

    A change must be in force within the limit, which is 2 s in small deployments.
    """
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_platform_store())
        standins = [make_standin(f"u{index}") for index in range(upstreams)]
        for standin in standins:
            await stack.enter_async_context(running_standin(standin))
        peers = {standin.address: standin for standin in standins}
        store.store.write(
            CONFIGURATION_KEY, configuration(route_changes=route_changes or {})
        )
        for index, standin in enumerate(standins):
            standin.peers = peers
            key = f"{UPSTREAM_PREFIX}{standin.name}"
            store.store.write(key, encode_upstream_entry(standin.address, index))
        settings = make_node_settings(store.address, configuration_limit_s)
        node = await stack.enter_async_context(running_node(settings))
        session = await stack.enter_async_context(aiohttp.ClientSession())
        async with asyncio.timeout(5):
            while len(node.fleet.upstreams.entries) < upstreams:
                await asyncio.sleep(0.01)
        yield RelaySimulation(store, standins, settings, node, session)

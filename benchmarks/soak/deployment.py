"""The deployment under test.

The store, the upstreams and the links (TCP proxies that inject network faults) run in
this process, the instances as processes of their own.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import orjson

from benchmarks.soak.history import (
    Disturbance,
    History,
    UnexpectedExit,
)
from benchmarks.soak.proxy import Direction, Proxy, running_proxy
from benchmarks.soak.schedule import Plan
from benchmarks.soak.upstream import (
    CRASHING_PART,
    CRASHING_TARGET,
    SoakUpstream,
)
from tests.common.relay_fixtures import (
    DOMAINS,
    configuration,
    encode_upstream_entry,
    settings_text,
    unused_loopback_host,
)
from turmericusher.platform.names import (
    CONFIGURATION_KEY,
    READINESS_PATH,
    SETTINGS_VARIABLE,
    UPSTREAM_PREFIX,
)
from turmericusher.standins.platform_store import (
    PlatformStoreStandin,
    running_platform_store,
)
from turmericusher.standins.platform_upstream import running_standin
from turmericusher.tasks.background import cancel_tasks

STOP_GRACE_S = 4.0
EXIT_SLACK_S = 1.0
"""Time beyond the grace period within which a process may still exit. The platform
kills it at the end of the grace period, but a busy machine may be late."""

APPLY_LIMIT_S = 3.0
DRAIN_LIMIT_S = 3.0
"""Limits counted from the store's acceptance of a write: a configuration must be in
force by then, and a leaving upstream must receive no more requests."""

RETRY_RATIO = 0.2
RETRY_SLACK = 30.0
"""Lower than in production, so that the few requests of a run can exceed the budget."""

START_TIMEOUT_S = 40.0
TEAM_NAME = "team-1"
FIRST_START_MS = 1_700_000_000_000
"""Start time of the upstreams' first incarnations, in Unix milliseconds."""

UPSTREAM_SLOTS = 64
"""More than the callers' streams, so that an upstream refuses only due to a fault."""

POLL_INTERVAL_S = 0.05
ROOT = Path(__file__).parents[2]


@dataclass(slots=True)
class InstanceProcess:
    """An instance with its links and its current process.

    `incarnation` counts the processes started so far. `is_exit_expected` is set once
    the test itself has sent a signal that ends the process.
    """

    name: str
    host: str
    store_link: Proxy
    caller_link: Proxy
    settings_path: Path
    log_path: Path
    source: Path
    incarnation: int = 0
    process: asyncio.subprocess.Process | None = None
    is_exit_expected: bool = False
    is_restarting: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start a process for the instance and append its output to the log."""
        environment = os.environ | {
            SETTINGS_VARIABLE: str(self.settings_path),
            "PYTHONPATH": str(self.source),
        }
        with self.log_path.open("ab") as log:
            started = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "turmericusher.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )
        # No await in between, or `watch_exits` would report the old process's exit.
        self.process, self.is_exit_expected = started, False
        self.incarnation += 1

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.is_exit_expected = True
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@dataclass(slots=True)
class UpstreamLinks:
    """The links of all instances to one upstream, by the names of the instances.

    They share both directions, so that a fault holds for all of them.
    """

    links: dict[str, Proxy]
    up: Direction
    down: Direction

    def block(self, *directions: Direction) -> None:
        """Hold back all bytes of the given directions."""
        for direction in directions:
            direction.unblocked.clear()

    def restore(self) -> None:
        """Unblock both directions, deliver the bytes held back and remove delays."""
        for link in self.links.values():
            link.restore()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for link in self.links.values():
            link.reset_connections()

    def silence_open_connections(self) -> None:
        """Let nothing more pass on open connections; new ones work."""
        for link in self.links.values():
            link.silence_open_connections()

    def reset_near_ends(self) -> None:
        """Reset open connections at the instances' ends only."""
        for link in self.links.values():
            link.reset_near_ends()

    def refuse(self) -> None:
        """Refuse connections and reset the open ones."""
        for link in self.links.values():
            link.refuse()

    def fall_silent(self) -> None:
        """Hold open connections and leave new ones unanswered."""
        for link in self.links.values():
            link.fall_silent()

    def end_silence(self) -> None:
        """Let new connections work again; those that were open stay silent."""
        for link in self.links.values():
            link.end_silence()

    async def listen(self) -> None:
        """Accept connections again."""
        for link in self.links.values():
            await link.listen()

    def sender(self, port: int) -> str:
        """Return the instance whose link has a connection from a local port."""
        return next(
            (name for name, link in self.links.items() if port in link.ports), ""
        )


@dataclass(slots=True)
class DeployedUpstream:
    """An upstream, its links and the state of its entry in the store.

    `born` is the start time of its incarnation in Unix milliseconds, and `sequence`
    counts the entries written. `is_shutting_down` is set from the start of a fault that
    takes the upstream down until it is back.
    """

    index: int
    standin: SoakUpstream
    links: UpstreamLinks
    incarnation: int = 1
    born: int = FIRST_START_MS
    state: str = "ready"
    is_up: bool = True
    is_shutting_down: bool = False
    sequence: int = 0

    @property
    def key(self) -> str:
        """The store key of the entry."""
        return f"{UPSTREAM_PREFIX}{self.standin.name}"

    def entry(self) -> bytes:
        """Return the entry with the next sequence number, as the upstream writes it."""
        self.sequence += 1
        return encode_upstream_entry(
            self.standin.address,
            self.index,
            self.state,
            slots=UPSTREAM_SLOTS,
            sequence=self.sequence,
            born=self.born,
            version=self.standin.version,
        )


@dataclass(slots=True)
class Deployment:
    """The running parts of the system and the history that they record."""

    plan: Plan
    rng: random.Random
    store: PlatformStoreStandin
    upstreams: list[DeployedUpstream]
    instances: list[InstanceProcess]
    history: History
    session: aiohttp.ClientSession
    source: Path
    version: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def now(self) -> float:
        """Return the current time on the clock of the history."""
        return asyncio.get_running_loop().time()

    def record_disturbance(self, subject: str, how: str) -> Disturbance:
        """Record the start of a fault; the caller sets `ends` when it is over."""
        disturbance = Disturbance(subject, how, self.now())
        self.history.disturbances.append(disturbance)
        return disturbance

    def write_entry(self, upstream: DeployedUpstream) -> None:
        """Write an upstream's entry, or delete it if the upstream is down."""
        store = self.store.store
        if upstream.is_up:
            store.write(upstream.key, upstream.entry())
        elif upstream.key in store.values:
            store.write(upstream.key, None)

    def write_configuration(self) -> None:
        """Write the next version, which has a route for itself and each older one."""
        self.version += 1
        document = orjson.loads(configuration(self.version))
        template = document["routes"][0]
        for version in range(1, self.version + 1):
            route = {"name": f"version-{version}", "prefix": version_path(version)}
            document["routes"].append(template | route)
        self.store.store.write(CONFIGURATION_KEY, orjson.dumps(document))
        self.history.accepted[self.version] = self.now()

    async def is_ready(self, instance: InstanceProcess) -> bool:
        """Return whether the readiness endpoint of an instance reports it as ready."""
        url = f"http://{instance.host}:20002{READINESS_PATH}"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_until_ready(self, instance: InstanceProcess) -> None:
        """Wait until an instance is ready or its process has exited."""
        while True:
            if not instance.is_running or await self.is_ready(instance):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def watch_exits(self) -> None:
        """Record every process that exits without having been signalled by the test."""
        recorded: set[tuple[str, int]] = set()
        while True:
            for instance in self.instances:
                key = (instance.name, instance.incarnation)
                has_ended = instance.process is not None and not instance.is_running
                if has_ended and not instance.is_exit_expected and key not in recorded:
                    recorded.add(key)
                    self.record_exit(instance, "exited by itself")
            await asyncio.sleep(POLL_INTERVAL_S)

    def record_exit(self, instance: InstanceProcess, text: str) -> None:
        """Record an unexpected exit with its status."""
        status = instance.process.returncode if instance.process else None
        message = f"{text}, status={status}"
        exits = self.history.exits
        exits.append(UnexpectedExit(instance.name, self.now(), message))


def version_path(version: int) -> str:
    """Return the path that is routed from this configuration version on."""
    return f"/version/{version}/"


async def start_upstream(
    stack: AsyncExitStack, index: int, history: History, plan: Plan
) -> DeployedUpstream:
    """Start one upstream behind a link for each instance."""
    version = plan.version_of(index)
    name = f"u{index}"
    standin = SoakUpstream(
        name,
        recorded=history,
        team=TEAM_NAME,
        stable_name=name,
        version=version,
        crashing_parts=frozenset({CRASHING_PART}),
        crashing_targets=frozenset({CRASHING_TARGET}),
    )
    standin.restart(FIRST_START_MS)
    await stack.enter_async_context(running_standin(standin))
    up, down = Direction(), Direction()
    links = UpstreamLinks({}, up, down)
    for number in range(plan.instances):
        proxy = running_proxy(standin.address, up=up, down=down)
        links.links[instance_name(number)] = await stack.enter_async_context(proxy)
    standin.find_sender = links.sender
    return DeployedUpstream(index, standin, links)


def instance_name(index: int) -> str:
    """Return the name of an instance."""
    return f"entry-{index}"


def own_view(name: str, upstreams: list[DeployedUpstream]) -> Callable[[bytes], bytes]:
    """Return what puts an instance's own links in the place of upstreams' addresses."""
    pairs = [
        (each.standin.address.encode(), each.links.links[name].address.encode())
        for each in upstreams
    ]

    def view(value: bytes) -> bytes:
        for address, own in pairs:
            value = value.replace(b'"%b"' % address, b'"%b"' % own)
        return value

    return view


async def start_instance(
    stack: AsyncExitStack, index: int, deployment: Deployment, folder: Path
) -> InstanceProcess:
    """Write the settings of one instance and start it behind its links."""
    name, host = instance_name(index), unused_loopback_host()
    main = deployment.store
    store = await stack.enter_async_context(
        running_platform_store(
            main.store, faults=main.faults, view=own_view(name, deployment.upstreams)
        )
    )
    store_link = await stack.enter_async_context(running_proxy(store.address))
    address = f"{host}:20001"
    callers_link = await stack.enter_async_context(running_proxy(address))
    path = folder / f"{name}.conf"
    text = settings_text(
        host,
        store_link.address,
        name,
        DOMAINS[index % len(DOMAINS)],
        grace_s=STOP_GRACE_S,
        configuration_apply_ms=APPLY_LIMIT_S * 1000,
        retry_budget_ratio=RETRY_RATIO,
        budget_slack=RETRY_SLACK,
    )
    path.write_text(f"{text}internal_port_range=20005,20005\n")
    instance = InstanceProcess(
        name,
        host,
        store_link,
        callers_link,
        path,
        folder / f"{name}.log",
        deployment.source,
    )
    stack.push_async_callback(instance.kill)
    await instance.start()
    return instance


@asynccontextmanager
async def running_deployment(
    plan: Plan, folder: Path, source: Path = ROOT / "src"
) -> AsyncIterator[Deployment]:
    """Start a deployment, wait until all instances are ready, and stop it on exit."""
    history = History()
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_platform_store())
        timeout = aiohttp.ClientTimeout(total=1.0)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        upstreams = [
            await start_upstream(stack, index, history, plan)
            for index in range(plan.upstreams)
        ]
        # With these an upstream can copy a stream to the one at a given address.
        peers = {
            link.address: upstream.standin
            for upstream in upstreams
            for link in upstream.links.links.values()
        }
        rng = random.Random(f"soak-world/{plan.seed}")
        deployment = Deployment(
            plan, rng, store, upstreams, [], history, session, source
        )
        for upstream in upstreams:
            upstream.standin.peers = dict(peers)
            deployment.write_entry(upstream)
        deployment.write_configuration()
        for index in range(plan.instances):
            instance = await start_instance(stack, index, deployment, folder)
            deployment.instances.append(instance)
        async with asyncio.timeout(START_TIMEOUT_S):
            await asyncio.gather(
                *map(deployment.wait_until_ready, deployment.instances)
            )
        try:
            yield deployment
        finally:
            await cancel_tasks(deployment.tasks)
            for upstream in upstreams:
                upstream.standin.is_unpaused.set()

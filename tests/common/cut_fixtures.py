"""Several running instances, of which some are cut off from the upstreams."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Iterable
from dataclasses import dataclass

import aiohttp

from tests.common.relay_fixtures import ACCESS_KEY, HOST, PATHS
from tests.common.version_fixtures import VersionSimulation
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    MemoryCopy,
    RelayedRequest,
    RelayEvent,
    ReportQuery,
    ReportState,
    StartRelay,
    StoppedRun,
)
from turmericusher.decisions.routing import RequestKind, RoutedRequest
from turmericusher.decisions.run_ends import RunEnd
from turmericusher.errors import Verdict
from turmericusher.platform.names import ENTRYPOINTS_PATH
from turmericusher.platform.upstreams import (
    CONNECT_TIMEOUT_S,
    REPORT_TIMEOUT_S,
    failure,
)
from turmericusher.ports.relay import EventSink, RelayPort


class CutKind(enum.StrEnum):
    """What becomes of the connections of an instance that is cut off.

    - `HANG`: new ones are not answered, and nothing comes on open ones.
    - `RESET`: new ones are reset, and nothing comes on open ones.
    - `NEW_ONLY`: new ones are reset, and open ones live on.
    """

    HANG = "hang"
    RESET = "reset"
    NEW_ONLY = "new_only"


@dataclass(slots=True)
class CutPort:
    """The port of an instance, which may be cut off from some upstreams.

    `addresses` are those of the upstreams that it may lose; `connections` counts the
    connections that were tried to them while it was.
    """

    port: RelayPort
    addresses: frozenset[str]
    how: CutKind | None = None
    connections: int = 0

    def is_cut(self, address: str) -> bool:
        """Whether connections to an address fail."""
        return self.how is not None and address in self.addresses

    async def fail(self, timeout_s: float) -> None:
        """Count a connection and wait until it has failed."""
        self.connections += 1
        if self.how is CutKind.HANG:
            await asyncio.sleep(timeout_s)

    async def send(
        self,
        start: StartRelay,
        request: RelayedRequest,
        routed: RoutedRequest,
        sink: EventSink,
    ) -> None:
        """Send an attempt, or let its connection fail."""
        address = start.upstream.address
        if self.is_cut(address):
            await self.fail(CONNECT_TIMEOUT_S)
            cause, verdict = AttemptCause.UNREACHABLE, Verdict.NOT_RUN
            await sink(failure(start, cause, verdict, "cut off"))
            return

        async def pass_on(event: RelayEvent) -> None:
            while self.is_cut(address) and self.how is not CutKind.NEW_ONLY:
                await asyncio.sleep(0.02)
            await sink(event)

        await self.port.send(start, request, routed, pass_on)

    async def query_report(self, upstream: UpstreamInstance) -> ReportQuery:
        """Return an upstream's report unless it is cut off."""
        if self.is_cut(upstream.address):
            await self.fail(REPORT_TIMEOUT_S)
            return ReportQuery(ReportState.UNREACHED)
        return await self.port.query_report(upstream)

    async def find_end_state(self, upstream: UpstreamInstance) -> EndState:
        """Find out whether an upstream has ended; one that is cut off may not have."""
        if self.is_cut(upstream.address):
            await self.fail(REPORT_TIMEOUT_S)
            return EndState.UNKNOWN
        return await self.port.find_end_state(upstream)

    async def can_connect(self, upstream: UpstreamInstance) -> bool:
        """Whether an upstream accepts a connection."""
        if self.is_cut(upstream.address):
            await self.fail(REPORT_TIMEOUT_S)
            return False
        return await self.port.can_connect(upstream)

    async def copy_memory(
        self, source: UpstreamInstance, request_id: str, target: UpstreamInstance
    ) -> MemoryCopy | None:
        """Let an upstream copy a KV cache unless it is cut off."""
        if self.is_cut(source.address):
            return None
        return await self.port.copy_memory(source, request_id, target)

    async def stop_run(
        self, source: UpstreamInstance, request_id: str, target: UpstreamInstance
    ) -> StoppedRun:
        """Have a run stopped unless its upstream is cut off."""
        if self.is_cut(source.address):
            await self.fail(CONNECT_TIMEOUT_S)
            return StoppedRun(RunEnd.UNKNOWN, has_answered=False)
        return await self.port.stop_run(source, request_id, target)

    async def release_copy(self, copy: MemoryCopy) -> None:
        """Free a copy unless its upstream is cut off."""
        if not self.is_cut(copy.source.address):
            await self.port.release_copy(copy)


def cut_ports(simulation: VersionSimulation) -> dict[str, CutPort]:
    """Put a port that can be cut into each instance; return them by its name."""
    addresses = frozenset(each.address for each in simulation.upstreams)
    ports = {}
    for name, node in simulation.instances.items():
        context = node.frontend.context
        port = ports[name] = CutPort(context.port, addresses)
        context.port = context.crash_reports.port = context.reach_checks.port = port
        context.stop_orders.port = context.run_end_checks.asker.port = port
    return ports


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """The answer to a caller, how long it took, and its `Retry-After` in seconds."""

    status: int
    body: str
    took_s: float
    retry_after_s: float | None
    headers: dict[str, str]


async def call(
    simulation: VersionSimulation,
    instance: str,
    kind: RequestKind,
    request_id: str,
    **headers: str,
) -> CutAnswer:
    """Send one request to an instance and return its answer."""
    node = simulation.instances[instance]
    url = f"http://{node.own.caller_address}{PATHS[kind]}x"
    sent = {
        "Host": HOST,
        "Authorization": f"Bearer {ACCESS_KEY}",
        "X-Request-Id": request_id,
        "X-Deadline-Milliseconds": "2500",
    }
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    clock = asyncio.get_running_loop().time
    began_at = clock()
    async with simulation.session.post(url, headers=sent, data=b"body") as response:
        try:
            body = (await response.read()).decode()
        except aiohttp.ClientPayloadError:
            body = "broken off"
        told = response.headers.get("Retry-After")
        return CutAnswer(
            response.status,
            body,
            clock() - began_at,
            None if told is None else float(told),
            {name.lower(): value for name, value in response.headers.items()},
        )


async def entrypoints_at(simulation: VersionSimulation, instance: str) -> set[str]:
    """Return the names of the instances that an instance lists for callers."""
    node = simulation.instances[instance]
    host = node.own.caller_address.rpartition(":")[0]
    url = f"http://{host}:20003{ENTRYPOINTS_PATH}"
    async with simulation.session.get(url, params={"name": HOST}) as response:
        addresses = (await response.json())["addresses"]
    by_address = {
        each.own.caller_address: name for name, each in simulation.instances.items()
    }
    return {by_address[address] for address in addresses}


def cut(ports: dict[str, CutPort], names: Iterable[str], how: CutKind | None) -> None:
    """Cut some instances off from all upstreams, or end that."""
    for name in names:
        ports[name].how = how

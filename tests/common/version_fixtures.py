"""Several running instances before upstreams of two software versions."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

import aiohttp

from tests.common.relay_fixtures import (
    ACCESS_KEY,
    DOMAINS,
    HOST,
    PATHS,
    configuration,
    encode_upstream_entry,
    settings_text,
    unused_loopback_host,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import CONFIGURATION_KEY, UPSTREAM_PREFIX
from turmericusher.platform.node import running_node
from turmericusher.platform.settings import parse_node_settings
from turmericusher.relay_serving import RelayInstance
from turmericusher.standins.platform_store import (
    PlatformStoreStandin,
    running_platform_store,
)
from turmericusher.standins.platform_upstream import UpstreamStandin, running_standin

REFUSING_ADDRESS = "127.0.0.1:9"


@dataclass(slots=True)
class VersionSimulation:
    """Instances that share a store, and upstreams of several versions.

    `instances` maps the names of the instances that run to them, `stacks` to what ends
    them. `versions` maps the names of upstreams to their versions.
    """

    store: PlatformStoreStandin
    session: aiohttp.ClientSession
    upstreams: list[UpstreamStandin] = field(default_factory=list)
    versions: dict[str, str] = field(default_factory=dict)
    instances: dict[str, RelayInstance] = field(default_factory=dict)
    stacks: dict[str, AsyncExitStack] = field(default_factory=dict)

    async def add_instance(
        self, name: str, store_address: str | None = None, host: str | None = None
    ) -> None:
        """Start an instance and wait until it lists all upstreams.

        It may reach the store at an address of its own.
        """
        host = host or unused_loopback_host()
        domain = DOMAINS[len(self.instances) % len(DOMAINS)]
        address = store_address or self.store.address
        text = settings_text(host, address, name, domain)
        settings = parse_node_settings(f"{text}internal_port_range=20005,20009\n")
        stack = self.stacks[name] = AsyncExitStack()
        node = await stack.enter_async_context(running_node(settings))
        self.instances[name] = node
        async with asyncio.timeout(5):
            listed = [each for each in self.upstreams if self.is_listed(each)]
            while len(node.fleet.upstreams.entries) < len(listed):
                await asyncio.sleep(0.01)

    def cut_from_instances(self, name: str) -> None:
        """Cut an instance off from all others, which refuse connections from now on."""
        entries = self.instances[name].fleet.instances.entries
        for other in entries.keys() - {name}:
            entries[other] = replace(entries[other], peer_address=REFUSING_ADDRESS)

    async def stop_instance(self, name: str) -> None:
        """End an instance with all that it relays."""
        del self.instances[name]
        await self.stacks.pop(name).aclose()

    async def replace_all_instances(self, leaving: str | None = None) -> None:
        """End all instances at once, and start others with the same names.

        Meanwhile the upstreams of the version `leaving` leave, and those of
        `later_versions` are listed.
        """
        names = list(self.instances)
        await asyncio.gather(*(self.stop_instance(name) for name in names))
        for index, upstream in enumerate(self.upstreams):
            if self.versions[upstream.name] == leaving:
                self.store.store.write(f"{UPSTREAM_PREFIX}{upstream.name}", None)
            elif not self.is_listed(upstream):
                self.write_upstream_entry(index)
        for name in names:
            await self.add_instance(name)

    def saved(self, prefix: str) -> list[str]:
        """Return the keys of the store that begin with a prefix."""
        return [key for key in self.store.store.values if key.startswith(prefix)]

    def is_listed(self, upstream: UpstreamStandin) -> bool:
        """Whether the store has an entry of an upstream."""
        return f"{UPSTREAM_PREFIX}{upstream.name}" in self.store.store.values

    def write_upstream_entry(self, index: int, state: str = "ready") -> None:
        """Write the entry of an upstream to the store."""
        standin = self.upstreams[index]
        version = self.versions[standin.name]
        entry = encode_upstream_entry(standin.address, index, state, version=version)
        self.store.store.write(f"{UPSTREAM_PREFIX}{standin.name}", entry)

    async def stream(
        self, instance: str, request_id: str, until_event: int, **headers: str
    ) -> tuple[int, list[int]]:
        """Read a stream until an event, then leave; return the status and events."""
        address = self.instances[instance].own.caller_address
        sent = {
            "Host": HOST,
            "Authorization": f"Bearer {ACCESS_KEY}",
            "X-Request-Id": request_id,
            "X-Deadline-Milliseconds": "4000",
        }
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{address}{PATHS[RequestKind.RESUMABLE_STREAM]}x"
        events: list[int] = []
        async with self.session.post(url, headers=sent, data=b"body") as response:
            try:
                async for line in response.content:
                    if line.startswith(b"id: "):
                        events.append(int(line[4:]))
                    if events and events[-1] >= until_event:
                        break
            except aiohttp.ClientPayloadError:
                pass
            response.close()
            return response.status, events

    def versions_of(self, request_ids: Iterable[str]) -> set[str]:
        """Return the versions of the upstreams that ran any of these requests."""
        wanted = set(request_ids)
        return {
            self.versions[upstream.name]
            for upstream in self.upstreams
            if wanted & set(upstream.runs)
        }


@asynccontextmanager
async def running_version_simulation(
    versions: Iterable[str],
    instances: int = 3,
    later_versions: Iterable[str] = (),
    make_standin: Callable[..., UpstreamStandin] = UpstreamStandin,
    **fields: object,
) -> AsyncIterator[VersionSimulation]:
    """Run instances and an upstream of each version; `fields` are of the stand-ins.

    Those of `later_versions` run too, and are not listed at first. `make_standin` makes
    each upstream.
    """
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_platform_store())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        store.store.write(CONFIGURATION_KEY, configuration())
        simulation = VersionSimulation(store, session)
        listed_versions = list(versions)
        for index, version in enumerate([*listed_versions, *later_versions]):
            standin = make_standin(f"u{index}", **fields)
            await stack.enter_async_context(running_standin(standin))
            simulation.upstreams.append(standin)
            simulation.versions[standin.name] = version
            if index < len(listed_versions):
                simulation.write_upstream_entry(index)
        for standin in simulation.upstreams:
            standin.peers = {each.address: each for each in simulation.upstreams}
        try:
            for number in range(instances):
                await simulation.add_instance(f"entry-{number}")
            for node in simulation.instances.values():
                async with asyncio.timeout(5):
                    while len(node.fleet.instances.entries) < instances:
                        await asyncio.sleep(0.01)
            yield simulation
        finally:
            for name in list(simulation.instances):
                await simulation.stop_instance(name)

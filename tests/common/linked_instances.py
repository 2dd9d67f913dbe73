"""Three instances of which one reaches the others, and they it, over links."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp

from benchmarks.soak.proxy import CutKind as LinkCut
from benchmarks.soak.proxy import Proxy, reset_if_open, running_proxy
from tests.common.relay_fixtures import configuration, unused_loopback_host
from tests.common.version_fixtures import VersionSimulation
from turmericusher.platform.names import CONFIGURATION_KEY
from turmericusher.standins.platform_store import running_platform_store
from turmericusher.standins.platform_upstream import running_standin
from turmericusher.standins.working_upstream import WorkingUpstream

CALLER_PORT, PEER_PORT = 20001, 20005
FIRST, OTHERS = "entry-0", ("entry-1", "entry-2")


@dataclass(slots=True)
class Links:
    """The links between the first instance and the others.

    `requests` bring what the first one forwards, `calls` what it asks the others, and
    `calls_back` what they ask it.
    """

    requests: list[Proxy] = field(default_factory=list)
    calls: list[Proxy] = field(default_factory=list)
    calls_back: list[Proxy] = field(default_factory=list)

    def reset_near_ends(self) -> None:
        """Reset what the first instance forwards, at its own end only."""
        for link in self.requests:
            link.cut(LinkCut.HANG)
            for writer in list(link.writers):
                host, port = writer.get_extra_info("sockname")[:2]
                if f"{host}:{port}" == link.address:
                    reset_if_open(writer)


def make_view(addresses: Mapping[str, str]) -> Callable[[bytes], bytes]:
    """Return a view of the store in which some addresses are replaced."""

    def view(value: bytes) -> bytes:
        for address, seen in addresses.items():
            value = value.replace(f'"{address}"'.encode(), f'"{seen}"'.encode())
        return value

    return view


@asynccontextmanager
async def running_linked_instances(
    upstreams: int, events: int, event_gap_s: float, route: Mapping[str, object]
) -> AsyncIterator[tuple[VersionSimulation, Links]]:
    """Run the instances before engines whose runs do not end with their connections."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_platform_store())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        store.store.write(CONFIGURATION_KEY, configuration(route_changes=dict(route)))
        simulation, links = VersionSimulation(store, session), Links()
        for index in range(upstreams):
            standin = WorkingUpstream(
                f"u{index}", events=events, event_gap_s=event_gap_s
            )
            await stack.enter_async_context(running_standin(standin))
            simulation.upstreams.append(standin)
            simulation.versions[standin.name] = "v1"
            simulation.write_upstream_entry(index)
        for standin in simulation.upstreams:
            standin.peers = {each.address: each for each in simulation.upstreams}

        async def open_link(address: str, kind: list[Proxy]) -> str:
            link = await stack.enter_async_context(running_proxy(address))
            kind.append(link)
            return link.address

        hosts = {name: unused_loopback_host() for name in (FIRST, *OTHERS)}
        seen_by_first = {}
        for name in OTHERS:
            for port, kind in (
                (CALLER_PORT, links.requests),
                (PEER_PORT, links.calls),
            ):
                address = f"{hosts[name]}:{port}"
                seen_by_first[address] = await open_link(address, kind)
        back = f"{hosts[FIRST]}:{PEER_PORT}"
        seen_by_others = {back: await open_link(back, links.calls_back)}
        try:
            for name, host in hosts.items():
                addresses = seen_by_first if name == FIRST else seen_by_others
                view = make_view(addresses)
                own_store = await stack.enter_async_context(
                    running_platform_store(store.store, view=view)
                )
                await simulation.add_instance(name, own_store.address, host)
            for node in simulation.instances.values():
                async with asyncio.timeout(5):
                    while len(node.fleet.instances.entries) < len(hosts):
                        await asyncio.sleep(0.01)
            yield simulation, links
        finally:
            for name in list(simulation.instances):
                await simulation.stop_instance(name)

"""Several running instances in one failure domain, which may share a watch."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from tests.common.relay_fixtures import (
    configuration,
    encode_upstream_entry,
    settings_text,
    unused_loopback_host,
)
from tests.common.waiting import wait_until
from turmericusher.platform.names import CONFIGURATION_KEY, UPSTREAM_PREFIX
from turmericusher.platform.node import running_node
from turmericusher.platform.settings import parse_node_settings
from turmericusher.relay_serving import RelayInstance
from turmericusher.standins.platform_store import (
    PlatformStoreStandin,
    SlowLink,
    running_platform_store,
)

LIMIT_S = 2.0
"""Seconds within which a change is in force in a deployment of these sizes."""


@dataclass(slots=True)
class DomainSimulation:
    """Instances of one failure domain, by name, and what ends each."""

    store: PlatformStoreStandin
    instances: dict[str, RelayInstance] = field(default_factory=dict)
    stacks: dict[str, AsyncExitStack] = field(default_factory=dict)
    bounds: dict[str, float] = field(default_factory=dict)
    links: dict[str, SlowLink] = field(default_factory=dict)

    async def add_instance(self, name: str, store_address: str | None = None) -> None:
        """Start an instance, which may reach the store at an address of its own."""
        address = store_address or self.store.address
        text = settings_text(unused_loopback_host(), address, name, **self.bounds)
        settings = parse_node_settings(f"{text}internal_port_range=20005,20009\n")
        stack = self.stacks[name] = AsyncExitStack()
        self.instances[name] = await stack.enter_async_context(running_node(settings))

    async def stop_instance(self, name: str) -> None:
        """End an instance."""
        del self.instances[name]
        await self.stacks.pop(name).aclose()

    def watchers(self) -> list[str]:
        """Return the instances that watch for others."""
        return [
            name
            for name, each in self.instances.items()
            if each.watch.sharing.is_watcher
        ]

    def followers(self) -> list[str]:
        """Return the instances that learn of changes from others now."""
        return [name for name, each in self.instances.items() if each.watch.source]

    def write_upstream(self, index: int) -> None:
        """Write the entry of a new upstream."""
        entry = encode_upstream_entry(f"127.0.0.1:{index + 1}", index)
        self.store.store.write(f"{UPSTREAM_PREFIX}u{index}", entry)

    async def wait_for_upstreams(self, count: int, limit_s: float = LIMIT_S) -> None:
        """Wait until each instance lists so many upstreams."""
        await self.wait_for_all(
            lambda each: len(each.fleet.upstreams.entries) == count, limit_s
        )

    async def wait_for_all(
        self, condition: Callable[[RelayInstance], bool], limit_s: float = LIMIT_S
    ) -> None:
        """Wait until a condition holds for each instance."""
        instances = self.instances.values()
        await wait_until(lambda: all(map(condition, instances)), limit_s)


@asynccontextmanager
async def running_domain(
    instances: int, link_bytes_per_s: float | None = None, **bounds: float
) -> AsyncIterator[DomainSimulation]:
    """Run instances that know each other and, if there are enough, share the watch.

    With `link_bytes_per_s`, each has a link of its own from the store.
    """
    async with AsyncExitStack() as doors, running_platform_store() as store:
        store.store.write(CONFIGURATION_KEY, configuration())
        simulation = DomainSimulation(store, bounds=bounds)

        async def add_instance(name: str) -> None:
            address = None
            if link_bytes_per_s is not None:
                link = SlowLink(link_bytes_per_s)
                door = running_platform_store(store.store, link=link)
                address = (await doors.enter_async_context(door)).address
                simulation.links[name] = link
            await simulation.add_instance(name, address)

        try:
            async with asyncio.TaskGroup() as group:
                for number in range(instances):
                    group.create_task(add_instance(f"entry-{number}"))
            await simulation.wait_for_all(
                lambda each: len(each.fleet.instances.entries) == instances, 20.0
            )
            await simulation.wait_for_all(
                lambda each: (
                    bool(each.watch.source) == bool(each.watch.sharing.watchers)
                ),
                20.0,
            )
            yield simulation
        finally:
            for name in list(simulation.instances):
                await simulation.stop_instance(name)

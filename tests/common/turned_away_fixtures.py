"""Several running instances, of which one reaches the store by an address of its own.

That address may turn it away while the store serves all others.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass

from tests.common.version_fixtures import (
    VersionSimulation,
    running_version_simulation,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.ports.change_peers import ChangePeerError
from turmericusher.relay_serving import RelayInstance
from turmericusher.standins.platform_store import (
    RESET,
    ConnectionFaults,
    PlatformStoreStandin,
    running_platform_store,
)

SETTLING_S = 3.0
"""Seconds after the start or the end of a fault from which on changes must be in force
in time: `stable_ms` of the small deployments."""

LIMIT_S = 2.0
"""Seconds within which a change must then be in force there."""

GAP_S = 1.0
"""Seconds for which watches bring nothing before the store drops its history."""

TURNING_AWAY: dict[str, Callable[[ConnectionFaults], None]] = {
    "busy": lambda faults: setattr(faults, "refusal", 503),
    "limited": lambda faults: setattr(faults, "refusal", 429),
    "reset": lambda faults: setattr(faults, "refusal", RESET),
    "silent": lambda faults: setattr(faults, "silent", True),
}
"""How the store turns an instance away, by name."""


class NoPeers:
    """Connections to other instances, of which none is reached."""

    @asynccontextmanager
    async def follow(self, address, *_) -> AsyncIterator[None]:
        """Fail as a connection that is refused does."""
        raise ChangePeerError(f"{address} is not reached")
        yield

    async def state(self, address) -> None:
        """Fail as a connection that is refused does."""
        raise ChangePeerError(f"{address} is not reached")

    async def read(self, address, key, revision) -> bytes | None:
        """Fail as a connection that is refused does."""
        raise ChangePeerError(f"{address} is not reached")


@dataclass(slots=True)
class TurnedAwaySimulation:
    """Instances before one store; `alone` reaches it by the address of `door`."""

    fleet: VersionSimulation
    alone: RelayInstance
    door: PlatformStoreStandin

    async def turn_away(self, how: str) -> None:
        """Turn the instance away, and wait until that has settled."""
        TURNING_AWAY[how](self.door.faults)
        await asyncio.sleep(SETTLING_S)

    def take_back(self) -> None:
        """Serve the instance again."""
        self.door.faults = ConnectionFaults()

    @asynccontextmanager
    async def losing_history(self) -> AsyncIterator[None]:
        """Have no watch bring what is written inside the context; then drop it."""
        doors = (self.fleet.store, self.door)
        for each in doors:
            each.faults.suppress_changes = True
        yield
        await asyncio.sleep(GAP_S)
        for each in doors:
            each.faults.oldest_revision = self.fleet.store.store.revision
            each.faults.suppress_changes = False

    @contextmanager
    def cut_from_others(self) -> Iterator[None]:
        """Let the instance reach no other one inside the context."""
        peers = self.alone.watch.peers
        self.alone.watch.peers = asyncio.get_running_loop().create_future()
        self.alone.watch.peers.set_result(NoPeers())
        try:
            yield
        finally:
            self.alone.watch.peers = peers

    def is_used(self, index: int) -> bool:
        """Whether the instance sends requests to an upstream."""
        upstream = self.alone.shared.selector.upstreams.get(f"u{index}")
        return upstream is not None and upstream.lifecycle is Lifecycle.LIVE

    async def wait_for_version(self, version: int) -> None:
        """Wait until a configuration is in force at the instance."""
        await wait_until(
            lambda: self.alone.tables.current().version == version, LIMIT_S
        )


@asynccontextmanager
async def running_turned_away(
    instances: int = 3, upstreams: int = 3
) -> AsyncIterator[TurnedAwaySimulation]:
    """Run instances that know each other; the last one may be turned away."""
    async with (
        running_version_simulation(["v1"] * upstreams, instances - 1) as fleet,
        running_platform_store(fleet.store.store) as door,
    ):
        await fleet.add_instance("entry-alone", door.address)
        alone = fleet.instances["entry-alone"]
        await wait_until(
            lambda: all(
                len(each.fleet.instances.entries) == instances
                and each.watch.peers.done()
                for each in fleet.instances.values()
            ),
            10.0,
        )
        yield TurnedAwaySimulation(fleet, alone, door)
        await fleet.stop_instance("entry-alone")

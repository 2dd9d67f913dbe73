"""Several running instances before upstreams that some requests crash."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

import aiohttp

from tests.common.relay_fixtures import (
    PATHS,
    Answer,
    RelaySimulation,
    configuration,
    encode_upstream_entry,
    make_node_settings,
    make_relay_shared,
)
from turmericusher.decisions.crash_ledger import TRIAL_AFTER_S
from turmericusher.decisions.crash_records import CrashRecord, Suspicion
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import (
    CONFIGURATION_KEY,
    PROMPT_PARTS,
    REQUEST_ID,
    UPSTREAM_PREFIX,
)
from turmericusher.platform.node import running_node
from turmericusher.relay_serving import RelayInstance
from turmericusher.standins.platform_store import running_platform_store
from turmericusher.standins.platform_upstream import (
    CrashSign,
    ReceivedCall,
    UpstreamStandin,
    full_backlog,
    running_standin,
)
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.background import background_tasks

BAD_PART = "badbadba"
"""The part of a prompt that crashes upstreams."""

BAD_NAME = "bad"
"""The end of the path of a call that crashes upstreams."""

RESTART_S = 0.6
"""Seconds from the crash of an upstream until one with another name starts."""

LISTED_AFTER_CRASH_S = 0.4
"""Seconds for which the list still shows an upstream that has crashed."""


@dataclass(frozen=True, slots=True)
class Replacement:
    """How an upstream that has crashed is replaced; times in seconds after its crash.

    The list shows it for `listed_s`, and another one starts after `restart_s`, at the
    same address if `keeps_address`, and under the same name if `keeps_name`.
    """

    restart_s: float = RESTART_S
    listed_s: float = LISTED_AFTER_CRASH_S
    keeps_address: bool = False
    keeps_name: bool = False


def make_blocked_shared(is_due: bool = False) -> RelayShared:
    """Return the state of an instance at which `BAD_PART` is blocked.

    `is_due`: it may be tried again.
    """
    shared = make_relay_shared()
    for number in range(3):
        suspicions = (
            Suspicion(f"part-{BAD_PART}", 2),
            Suspicion(f"request-{number}", 1),
        )
        record = CrashRecord(f"x{number}", "1", frozenset({suspicions}))
        shared.crashes.merge_crash(record, -TRIAL_AFTER_S if is_due else 0.0)
    return shared


@dataclass(slots=True)
class CrashSimulation:
    """Instances that share a store, and upstreams that start again after a crash.

    `ended` holds the upstreams that crashed, and `crash_times` when, in seconds.
    """

    instances: list[RelaySimulation]
    replacement: Replacement = Replacement()
    running: dict[int, UpstreamStandin] = field(default_factory=dict)
    ended: list[UpstreamStandin] = field(default_factory=list)
    crash_times: list[float] = field(default_factory=list)
    request_count: int = 0

    def received(self, part: str) -> list[ReceivedCall]:
        """Return the calls with a part in their prompts that reached an upstream."""
        upstreams = [*self.running.values(), *self.ended]
        return [
            call
            for upstream in upstreams
            for call in upstream.calls
            if part in call.headers.get(PROMPT_PARTS, "")
        ]

    async def call(self, instance: int, *parts: str, **headers: str) -> Answer:
        """Send a resumable stream with these shared parts to one instance."""
        self.request_count += 1
        own = f"{self.request_count:08x}"
        prompt = ",".join(f"{part}:100" for part in (*parts, own))
        simulation = self.instances[instance]
        simulation.count = self.request_count
        try:
            return await simulation.call(
                RequestKind.RESUMABLE_STREAM, X_Prompt_Prefix=prompt, **headers
            )
        except aiohttp.ClientError:
            return Answer(0, {}, b"", False)

    async def call_named(
        self,
        instance: int,
        name: str,
        wait_ms: int = 400,
        kind: RequestKind = RequestKind.IDEMPOTENT,
    ) -> Answer:
        """Send a request, the same one for each name, to one instance."""
        self.request_count += 1
        simulation = self.instances[instance]
        simulation.count = self.request_count
        try:
            return await simulation.call(kind, wait_ms, name)
        except aiohttp.ClientError:
            return Answer(0, {}, b"", False)

    def named_runs(self, name: str, kind: RequestKind = RequestKind.IDEMPOTENT) -> int:
        """Return how many requests of this name have run at an upstream."""
        target = f"{PATHS[kind]}{name}"
        return sum(
            call.target == target and call.headers[REQUEST_ID] in upstream.runs
            for upstream in (*self.running.values(), *self.ended)
            for call in upstream.calls
        )

    async def keep_upstream(self, index: int, fields: dict[str, object]) -> None:
        """Run an upstream, and another one in its place after each crash."""
        port = 0
        how = self.replacement
        async with AsyncExitStack() as entries:
            for life in range(1_000):
                name = f"u{index}" if how.keeps_name else f"u{index}-{life}"
                standin = UpstreamStandin(name, **fields)  # type: ignore[arg-type]
                born = 1_700_000_000_000 + 1_000 * index + life
                standin.report = replace(standin.report, incarnation=str(born))
                async with running_standin(standin, port):
                    self.running[index] = standin
                    key = f"{UPSTREAM_PREFIX}{standin.name}"
                    entry = encode_upstream_entry(standin.address, index, born=born)
                    self.store.write(key, entry)
                    await standin.crashed.wait()
                    self.crash_times.append(time.monotonic())
                    self.ended.append(self.running.pop(index))
                if not how.keeps_name:
                    removal = background_tasks({f"removal-{name}": self.remove(key)})
                    await entries.enter_async_context(removal)
                address_port = int(standin.address.rpartition(":")[2])
                port = address_port if how.keeps_address else 0
                is_refusing = standin.crash_sign is CrashSign.RESET
                with ExitStack() as unanswered:
                    if not is_refusing:
                        for held in full_backlog(standin.address):
                            unanswered.enter_context(held)
                    await asyncio.sleep(how.restart_s)

    @property
    def store(self) -> MemoryStore:
        """The state of the platform's store."""
        return self.instances[0].store.store

    async def remove(self, key: str) -> None:
        """Remove the entry of an upstream that has crashed, as late as the list is."""
        await asyncio.sleep(self.replacement.listed_s)
        self.store.write(key, None)


@asynccontextmanager
async def running_another_instance(
    simulation: CrashSimulation,
) -> AsyncIterator[RelayInstance]:
    """Run one more instance on the store of a simulation."""
    address = simulation.instances[0].store.address
    settings = replace(make_node_settings(address), name="entry-new")
    async with running_node(settings) as instance:
        yield instance


@asynccontextmanager
async def running_crash_simulation(
    instances: int = 3,
    upstreams: int = 6,
    replacement: Replacement = Replacement(),
    **fields: object,
) -> AsyncIterator[CrashSimulation]:
    """Run instances and upstreams; `fields` are those of the stand-ins."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_platform_store())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        store.store.write(CONFIGURATION_KEY, configuration())
        simulation = CrashSimulation([], replacement)
        for number in range(instances):
            settings = replace(
                make_node_settings(store.address), name=f"entry-{number}"
            )
            node = await stack.enter_async_context(running_node(settings))
            simulation.instances.append(
                RelaySimulation(store, [], settings, node, session)
            )
        keepers = {
            f"upstream-{index}": simulation.keep_upstream(index, fields)
            for index in range(upstreams)
        }
        await stack.enter_async_context(background_tasks(keepers))
        async with asyncio.timeout(5):
            for each in simulation.instances:
                while len(each.node.fleet.upstreams.entries) < upstreams:
                    await asyncio.sleep(0.01)
        yield simulation

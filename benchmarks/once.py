"""Store calls and latency of non-idempotent calls, by design, instances and rate.

Three designs run the same arrivals in virtual time against a store that answers within
milliseconds; the claim pages use the production tasks and decisions:

- `write_per_request`: one key per call, one write to claim it, one for its outcome;
- `bound_keys`: the key names the instance that issued it; that instance claims its
  calls in batches, and only it can answer a repeat;
- `pages`: claim pages with group commit by each page's owner, as in production; the
  ownership is not exclusive, so several instances may commit to a page.

In the second part an instance dies and the store is down for a while, and callers
repeat their calls at other instances; double runs and false `not_run` verdicts are
counted.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.harness import (
    BenchmarkArguments,
    fit_line,
    parse_arguments,
    print_result,
    summary_ms,
)
from tests.common.call_fixtures import key_created_at
from tests.common.virtual_loop import VirtualLoop
from turmericusher.decisions.claims import ClaimCommand, ClaimReply
from turmericusher.decisions.idempotency_keys import (
    KeyAgeLimits,
    PageName,
    parse_key,
)
from turmericusher.errors import TurmericusherError, Verdict
from turmericusher.ports.keyvalue import ABSENT, StoredValue, SwapResult
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.claimed import ClaimRequest, claimed
from turmericusher.tasks.claims import (
    Claims,
    PeerStoreUnavailableError,
    PeerUnavailableError,
)

UNIX_AT_ZERO_S = 1_700_000_000.0
"""Unix time at the start of the virtual clock."""
STORE_LATENCY_S = 0.004
SLOW_STORE_LATENCY_S = 0.4
PEER_LATENCY_S = 0.001
HEARTBEAT_S = 0.15
"""Interval of an owner's heartbeats while it commits a command."""
CALL_DURATION_S = 0.05
MAX_WAIT_S = 3.0
INSTANCES = (1, 2, 4, 8)
RATES = (5, 50, 400)
HIGH_RATES = (2000, 6800)
"""Call rates that are measured only at the largest number of instances."""
STEADY_RUN_S = 2.0
FAULT_RUN_S = 8.0
DEATH_AT_S = 2.0
STORE_DOWN_AT_S = 3.0
STORE_UP_AT_S = 7.0
CALLER_TIMEOUTS_S = (1.0, 4.0)
"""Timeouts after which callers repeat a request; each request draws one."""


@dataclass(slots=True)
class RemoteStore:
    """A memory store behind a network latency."""

    backing_store: MemoryStore
    latency_s: float = STORE_LATENCY_S

    async def get(self, key: str) -> StoredValue | None:
        """Read one key after the latency."""
        await asyncio.sleep(self.latency_s)
        return await self.backing_store.get(key)

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        """Compare and swap one key, with half the latency before and half after it."""
        await asyncio.sleep(self.latency_s / 2)
        result = await self.backing_store.compare_and_swap(
            key, expected_revision, value
        )
        await asyncio.sleep(self.latency_s / 2)
        return result


@dataclass(slots=True)
class SimulatedRouter:
    """Routes claim commands to a shard's owner, skipping instances under suspicion.

    The owner is the first instance that is not under suspicion, counted from the
    shard's number modulo `count`, the number of instances at the start.
    """

    own: int
    members: dict[int, Claims]
    count: int
    suspected_until: dict[int, float] = field(default_factory=dict)

    def owner_address(self, name: PageName) -> str | None:
        """Return the address of a page's owner, or None for this instance."""
        now = asyncio.get_running_loop().time()
        for step in range(self.count):
            number = (name.shard + step) % self.count
            if self.suspected_until.get(number, 0.0) <= now:
                return None if number == self.own else str(number)
        return None

    async def submit(
        self, address: str, name: PageName, command: ClaimCommand
    ) -> ClaimReply:
        """Have the owner commit a command, and fail as a peer call would.

        Every `HEARTBEAT_S` the call checks that the owner is alive and has the store.
        """
        await asyncio.sleep(PEER_LATENCY_S)
        owner = self.members.get(int(address))
        if owner is None:
            raise PeerUnavailableError(address)
        commit = asyncio.ensure_future(owner.submit_locally(name, command))
        try:
            while not commit.done():
                await asyncio.wait({commit}, timeout=HEARTBEAT_S)
                if int(address) not in self.members:
                    raise PeerUnavailableError(address)
                if not commit.done() and owner.is_store_failing(name):
                    raise PeerStoreUnavailableError(address)
        finally:
            commit.cancel()
        await asyncio.sleep(PEER_LATENCY_S)
        return commit.result()

    def suspect(self, address: str) -> None:
        """Skip an owner for 5 s."""
        self.suspected_until[int(address)] = asyncio.get_running_loop().time() + 5.0


@dataclass(slots=True)
class Ledger:
    """How often each key ran, and what the callers were told."""

    runs: Counter[str] = field(default_factory=Counter)
    not_run_verdicts: list[tuple[str, int]] = field(default_factory=list)
    last_run: dict[str, int] = field(default_factory=dict)
    claim_waits_s: list[float] = field(default_factory=list)
    answered: int = 0
    unresolved: int = 0

    def run(self, key: str, number: int) -> None:
        """Count a run of a key by the caller's request `number`."""
        self.runs[key] += 1
        self.last_run[key] = number

    def count_false_not_run(self) -> int:
        """Return how many requests got `not_run` though the key had run by then.

        It looks at the key's last run only: it must be the request's own or that of an
        earlier request.
        """
        return sum(
            self.last_run.get(key, number + 1) <= number
            for key, number in self.not_run_verdicts
        )


@dataclass(slots=True)
class Fleet:
    """Entry instances on one store; `live_instances` are those that accept calls."""

    loop: VirtualLoop
    store: MemoryStore
    members: dict[int, Claims]
    live_instances: list[int]
    ledger: Ledger = field(default_factory=Ledger)
    tasks: dict[int, set[asyncio.Task[None]]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller; `number` counts the repeats of its key from 1."""

    key: str
    number: int
    instance: int


def make_fleet(
    count: int, seed: int, has_shared_pages: bool, latency_s: float = STORE_LATENCY_S
) -> Fleet:
    """Return a fleet; with `has_shared_pages` all its instances use the same pages."""
    loop = VirtualLoop()
    store = MemoryStore(clock=loop.time)
    members: dict[int, Claims] = {}
    fleet = Fleet(loop, store, members, list(range(count)))
    for number in range(count):
        claims = Claims(
            store=RemoteStore(store, latency_s),  # type: ignore[arg-type]
            ages=KeyAgeLimits(3600.0, 5.0),
            wall_clock=lambda: UNIX_AT_ZERO_S + loop.time(),
            random=random.Random(seed * 100 + number),
            prefix="" if has_shared_pages else f"instance-{number}/",
        )
        if has_shared_pages:
            claims.router = SimulatedRouter(number, members, count)
        members[number] = claims
    return fleet


async def call_with_pages(fleet: Fleet, call: Call) -> None:
    """Run a call under a claim in a page, unless the key already has an answer."""
    claims = fleet.members[call.instance]
    now = fleet.loop.time()
    key = parse_key(call.key)
    request = ClaimRequest(key, call.number, "body", now + MAX_WAIT_S, 60.0)
    async with claimed(claims, request) as claim:
        if claim.stored_answer is not None:
            return
        claim.begin_send()
        fleet.ledger.claim_waits_s.append(fleet.loop.time() - now)
        fleet.ledger.run(call.key, call.number)
        await asyncio.sleep(CALL_DURATION_S)
        claim.set_answer("x" * 300)


async def call_with_one_write(fleet: Fleet, call: Call) -> None:
    """Run a call under its own key in the store, unless the key is already claimed."""
    store = RemoteStore(fleet.store)
    now = fleet.loop.time()
    result = await store.compare_and_swap(f"claim/{call.key}", ABSENT, b"c" * 100)
    if not result.succeeded:
        return
    fleet.ledger.claim_waits_s.append(fleet.loop.time() - now)
    fleet.ledger.run(call.key, call.number)
    await asyncio.sleep(CALL_DURATION_S)
    await store.compare_and_swap(f"claim/{call.key}", result.revision, b"o" * 400)


async def offer_load(
    fleet: Fleet, design: Callable[..., object], rate: float, seconds: float, seed: int
) -> None:
    """Offer calls as a Poisson process at a rate, spread evenly over the instances.

    Returns 1 s after the last call has ended, so that outcomes that are committed in
    the background reach the store as well.
    """
    rng = random.Random(seed)
    end = fleet.loop.time() + seconds
    running: set[asyncio.Task[None]] = set()
    while fleet.loop.time() < end:
        await asyncio.sleep(rng.expovariate(rate))
        key = key_created_at(UNIX_AT_ZERO_S + fleet.loop.time(), rng.getrandbits(60))
        call = Call(key, 1, rng.choice(fleet.live_instances))
        task = asyncio.ensure_future(design(fleet, call))  # type: ignore[arg-type]
        running.add(task)
    await asyncio.gather(*running)
    await asyncio.sleep(1.0)


def measure_steady(
    design: str,
    count: int,
    rate: float,
    seed: int,
    latency_s: float = STORE_LATENCY_S,
) -> dict[str, object]:
    """Measure one design at one fleet size and call rate without faults."""
    run = call_with_one_write if design == "write_per_request" else call_with_pages
    fleet = make_fleet(count, seed, design == "pages", latency_s)
    fleet.loop.run_until_done(offer_load(fleet, run, rate, STEADY_RUN_S, seed))
    calls = len(fleet.ledger.runs)
    counts = fleet.store.counts
    waits = summary_ms(fleet.ledger.claim_waits_s)
    cancel_and_close(fleet)
    return {
        "design": design,
        "instances": count,
        "calls_per_s": rate,
        "store_latency_ms": latency_s * 1000,
        "writes_per_call": round(counts.writes / max(1, calls), 3),
        "reads_per_call": round(counts.reads / max(1, calls), 3),
        "writes_per_s": round(counts.writes / STEADY_RUN_S, 1),
        "kb_written_per_call": round(
            counts.value_bytes_written / 1000 / max(1, calls), 2
        ),
        "added_p50_ms": waits["p50_ms"],
        "added_p95_ms": waits["p95_ms"],
        "double_runs": sum(runs > 1 for runs in fleet.ledger.runs.values()),
    }


def cancel_and_close(fleet: Fleet) -> None:
    """Cancel the remaining tasks and those that they start, and close the loop."""
    while remaining := asyncio.all_tasks(fleet.loop):
        for task in remaining:
            task.cancel()
        fleet.loop.run_ready()
    fleet.loop.close()


async def repeat_until_resolved(fleet: Fleet, key: str, rng: random.Random) -> None:
    """Act as one caller: send a key up to eight times until a request succeeds."""
    for number in range(1, 9):
        instance = rng.choice(fleet.live_instances)
        call = Call(key, number, instance)
        task = asyncio.ensure_future(call_with_pages(fleet, call))
        fleet.tasks.setdefault(instance, set()).add(task)
        await asyncio.wait({task}, timeout=rng.choice(CALLER_TIMEOUTS_S))
        if not task.done():
            task.add_done_callback(lambda late: late.cancelled() or late.exception())
            continue
        error = None if task.cancelled() else task.exception()
        if not task.cancelled() and error is None:
            fleet.ledger.answered += 1
            return
        if isinstance(error, TurmericusherError) and error.verdict is Verdict.NOT_RUN:
            fleet.ledger.not_run_verdicts.append((key, number))
        await asyncio.sleep(0.3)
    fleet.ledger.unresolved += 1


async def run_with_faults(fleet: Fleet, rate: float, seed: int) -> None:
    """Offer calls while an instance dies and the store is down for a while."""
    rng = random.Random(seed)
    loop = fleet.loop
    loop.call_later(DEATH_AT_S, kill_instance, fleet, 0)
    loop.call_later(STORE_DOWN_AT_S, setattr, fleet.store.faults, "down", True)
    loop.call_later(STORE_UP_AT_S, setattr, fleet.store.faults, "down", False)
    end = loop.time() + FAULT_RUN_S
    callers: set[asyncio.Task[None]] = set()
    while loop.time() < end:
        await asyncio.sleep(rng.expovariate(rate))
        key = key_created_at(UNIX_AT_ZERO_S + loop.time(), rng.getrandbits(60))
        callers.add(asyncio.ensure_future(repeat_until_resolved(fleet, key, rng)))
    await asyncio.gather(*callers)


def kill_instance(fleet: Fleet, number: int) -> None:
    """Kill an instance: cancel its calls and let none of its writes reach the store."""
    fleet.live_instances.remove(number)
    claims = fleet.members.pop(number)
    claims.store = UnreachableStore()  # type: ignore[assignment]
    for writer in claims.writers.values():
        writer.store = claims.store
    for task in fleet.tasks.get(number, set()):
        task.cancel()


class UnreachableStore:
    """The store as a killed instance sees it: no call ever returns."""

    async def get(self, key: str) -> None:
        """Block forever."""
        await asyncio.Event().wait()

    async def compare_and_swap(self, *arguments: object) -> SwapResult:
        """Block forever."""
        await asyncio.Event().wait()
        raise AssertionError("unreachable")


def measure_faults(count: int, rate: float, seed: int) -> dict[str, object]:
    """Measure claim pages under an instance's death and a store outage."""
    fleet = make_fleet(count, seed, has_shared_pages=True)
    fleet.loop.run_until_done(run_with_faults(fleet, rate, seed))
    ledger = fleet.ledger
    cancel_and_close(fleet)
    return {
        "instances": count,
        "calls_per_s": rate,
        "store_down_s": STORE_UP_AT_S - STORE_DOWN_AT_S,
        "keys_run": len(ledger.runs),
        "answered": ledger.answered,
        "left_open": ledger.unresolved,
        "told_not_run": len(ledger.not_run_verdicts),
        "double_runs": sum(runs > 1 for runs in ledger.runs.values()),
        "false_not_run": ledger.count_false_not_run(),
    }


def measure(arguments: BenchmarkArguments) -> dict[str, object]:
    """Measure the chosen designs without faults, and claim pages with faults."""
    designs = ("write_per_request", "bound_keys", "pages")
    chosen_designs = [arguments.policy] if arguments.policy else list(designs)
    cases = [(count, rate) for count in INSTANCES for rate in RATES]
    cases += [(INSTANCES[-1], rate) for rate in HIGH_RATES]
    rows = [
        measure_steady(design, count, rate, arguments.seed)
        for design in chosen_designs
        for count, rate in cases
    ]
    slopes = {}
    for design in chosen_designs:
        points = [
            (float(str(row["calls_per_s"])), float(str(row["writes_per_s"])))
            for row in rows
            if row["design"] == design and row["instances"] == INSTANCES[-1]
        ]
        slope, intercept = fit_line(points)
        slopes[design] = {
            "writes_per_call": round(slope, 4),
            "base": round(intercept, 1),
        }
    slow = [measure_steady("pages", 8, 400, arguments.seed, SLOW_STORE_LATENCY_S)]
    fault_rows = [measure_faults(count, 60, arguments.seed) for count in (2, 4, 8)]
    return {
        "steady": rows,
        "slope_at_8_instances": slopes,
        "slow_store": slow,
        "trouble": fault_rows,
    }


def main() -> None:
    """Run the benchmark."""
    arguments = parse_arguments(__doc__ or "")
    print_result("once", arguments, measure(arguments))


if __name__ == "__main__":
    main()

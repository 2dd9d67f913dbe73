"""Carries out a service's orders while this instance holds the service's lease."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from pydantic import TypeAdapter, ValidationError

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.order_holder import (
    Action,
    Failure,
    OrderHolder,
    Outcome,
    Stage,
    Versioned,
)
from turmericusher.decisions.orders import (
    LEASE_TTL_S,
    Intent,
    OrderRecord,
    UpstreamSpec,
    UpstreamState,
    plan_intent,
)
from turmericusher.decisions.subsets import rendezvous_weight
from turmericusher.errors import (
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TurmericusherError,
    Verdict,
)
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import ABSENT, KeyValueStore, StoredValue, SwapResult
from turmericusher.ports.orders import OrderPort, StaleFencingError
from turmericusher.ports.weights import WeightStore

CANDIDATES_PER_SERVICE = 3
"""Instances that contend for one service's orders.

The number is fixed, so that reads of the store do not grow with the fleet.
"""
IDLE_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 2.0
STATES_TIMEOUT_S = 3.0
MAX_CONCURRENT_READS = 64
CHANGE_TIMEOUT_S = 8.0
"""Seconds within which an operator learns the outcome of a change."""
RETRY_PAUSE_S = 0.1
INTENT_ADAPTER = TypeAdapter(Intent)
RECORD_ADAPTER = TypeAdapter(OrderRecord)


@dataclass(frozen=True, slots=True)
class OrderKeys:
    """The store's keys for one service: its intent, its record and its holder."""

    intent: str
    record: str
    holder: str


def order_keys(prefix: str, service: str) -> OrderKeys:
    """Return the store's keys for a service's orders."""
    base = f"{prefix}orders/{service}/"
    return OrderKeys(f"{base}intent", f"{base}record", f"{base}holder")


@dataclass(slots=True)
class OrderExecutor:
    """Executes the actions of an order holder as calls to the store and upstreams.

    `read_slots` limits the concurrent reads of upstream states.
    """

    holder: OrderHolder
    keys: OrderKeys
    store: KeyValueStore
    port: OrderPort
    weights: WeightStore
    clock: Callable[[], float] = time.monotonic
    read_slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(MAX_CONCURRENT_READS)
    )

    async def execute(self, action: Action) -> Outcome:
        """Execute one action; return the outcome of its call, or how it failed."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + STATES_TIMEOUT_S):
                return await self.dispatch(action)
        except StaleFencingError:
            return Failure.STALE
        except StoreUnavailableError:
            return Failure.NO_EFFECT
        except (StoreOutcomeUnknownError, TimeoutError):
            return Failure.UNKNOWN

    async def dispatch(self, action: Action) -> Outcome:
        """Make the call of the action's stage and return its value."""
        holder = self.holder
        match action.stage:
            case Stage.CHECK_HOLDER:
                found = await self.store.get(self.keys.holder)
                nonce = found.value.decode() if found is not None else None
                return Versioned(nonce, revision_or_absent(found))
            case Stage.GRANT_LEASE:
                return await self.store.grant_lease(LEASE_TTL_S)
            case Stage.RENEW_LEASE:
                return await self.store.renew_lease(holder.lease)
            case Stage.ACQUIRE_LEASE:
                return swap_outcome(
                    await self.store.compare_and_swap(
                        self.keys.holder, ABSENT, holder.nonce.encode(), holder.lease
                    )
                )
            case Stage.READ_RECORD:
                return decode_stored(
                    RECORD_ADAPTER, await self.store.get(self.keys.record)
                )
            case Stage.CLAIM_RECORD | Stage.WRITE_RECORD:
                value = RECORD_ADAPTER.dump_json(holder.record_to_write())
                return swap_outcome(
                    await self.store.compare_and_swap(
                        self.keys.record, holder.record_revision, value
                    )
                )
            case Stage.READ_INTENT:
                return decode_stored(
                    INTENT_ADAPTER, await self.store.get(self.keys.intent)
                )
            case Stage.READ_STATES:
                return await self.read_states()
            case Stage.QUERY_WEIGHTS:
                assert holder.order is not None
                return await self.weights.request_load(
                    weights_name(holder.order.wanted)
                )
            case Stage.SEND_ORDER:
                return await self.send(action)

    async def read_states(self) -> tuple[UpstreamState, ...]:
        """Read every upstream's state, which also reports the fencing number to it."""

        async def read_one(upstream: UpstreamInstance) -> UpstreamState:
            async with self.read_slots:
                return await self.port.read_state(upstream, self.holder.fencing)

        async with asyncio.timeout(STATES_TIMEOUT_S):
            upstreams = self.holder.upstreams.values()
            return tuple(await asyncio.gather(*map(read_one, upstreams)))

    async def send(self, action: Action) -> bool:
        """Send an order, unless the time in which it may be sent has passed.

        Returns False when the upstream did not reply; the order may still arrive there.
        """
        order = action.order
        if order is None or not self.holder.can_send(order, self.clock()):
            return True
        log_event(
            "order_sent",
            service=order.service,
            upstream=order.upstream,
            fencing=order.fencing,
        )
        return await self.port.send(self.holder.upstreams[order.upstream], order)


def revision_or_absent(found: StoredValue | None) -> int:
    """Return a value's revision, or `ABSENT` for a missing key."""
    return found.revision if found is not None else ABSENT


def decode_stored(
    adapter: TypeAdapter[Intent] | TypeAdapter[OrderRecord], found: StoredValue | None
) -> Outcome:
    """Decode a stored value; one that cannot be decoded counts as a failed call."""
    if found is None:
        return Versioned(None, ABSENT)
    try:
        return Versioned(adapter.validate_json(found.value), found.revision)
    except ValidationError as error:
        log_event("order_value_unreadable", key=found.key, error=str(error))
        return Failure.NO_EFFECT


def swap_outcome(result: SwapResult) -> Outcome:
    """Return a compare-and-swap's new revision, or `NO_EFFECT` if it did not swap."""
    return Versioned(None, result.revision) if result.succeeded else Failure.NO_EFFECT


def weights_name(wanted: UpstreamSpec) -> str:
    """Return the name by which the weight store is asked for the weights of a state."""
    return "/".join(filter(None, (wanted.model, wanted.version, *wanted.adapters)))


async def carry_out_orders(
    calls: OrderExecutor,
    upstreams: Callable[[], Mapping[str, UpstreamInstance]],
    is_candidate: Callable[[], bool],
) -> None:
    """Contend for the service and carry out its orders until cancelled.

    `upstreams` returns the service's live upstreams by name. An instance that is no
    longer a candidate still continues while it holds the lease.
    """
    holder = calls.holder
    while True:
        holder.upstreams = upstreams()
        action = None
        if holder.lease or is_candidate():
            action = holder.next_action(calls.clock())
        if action is None:
            await asyncio.sleep(IDLE_INTERVAL_S)
            continue
        outcome = await calls.execute(action)
        holder.handle_outcome(action, outcome, calls.clock())


def is_order_candidate(service: str, own: str, instances: frozenset[str]) -> bool:
    """Whether an instance is among the candidates for a service's orders."""
    ranked = sorted(
        instances | {own}, key=lambda name: rendezvous_weight(service, name)
    )
    return own in ranked[-CANDIDATES_PER_SERVICE:]


@dataclass(frozen=True, slots=True)
class AcceptedIntent:
    """The current intent and its revision, after a change that has taken effect."""

    intent: Intent
    revision: int


@dataclass(slots=True)
class IntentChanger:
    """Writes operators' changes to the intents of services."""

    store: KeyValueStore
    prefix: str
    clock: Callable[[], float] = time.monotonic

    async def change(
        self, service: str, wanted: UpstreamSpec, expected_revision: int, change_id: str
    ) -> AcceptedIntent:
        """Write the intent; repeat the same write until its outcome is known.

        Raises `ConflictError` when another change was written first, and
        `TurmericusherError` with the verdict MAY_HAVE_RUN when the outcome is still
        unknown at the deadline.
        """
        key = order_keys(self.prefix, service).intent
        deadline = self.clock() + CHANGE_TIMEOUT_S
        has_unknown_write = False
        while True:
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    current, revision = await read_intent(self.store, key)
                    intent = plan_intent(
                        current, revision, wanted, expected_revision, change_id
                    )
                    if intent is None and current is not None:
                        return AcceptedIntent(current, revision)
                    assert intent is not None
                    value = INTENT_ADAPTER.dump_json(intent)
                    result = await self.store.compare_and_swap(key, revision, value)
                if result.succeeded:
                    return AcceptedIntent(intent, result.revision)
            except StoreUnavailableError:
                if not has_unknown_write:
                    raise
            except (StoreOutcomeUnknownError, TimeoutError):
                has_unknown_write = True
            if self.clock() >= deadline:
                raise TurmericusherError(
                    ErrorCode.STORE_OUTCOME_UNKNOWN,
                    f"change_id={change_id!r} may have taken effect; repeat it with "
                    "the same change_id to learn its outcome",
                    verdict=Verdict.MAY_HAVE_RUN,
                    retry_after_s=RETRY_PAUSE_S,
                )
            await asyncio.sleep(RETRY_PAUSE_S)


async def read_intent(store: KeyValueStore, key: str) -> tuple[Intent | None, int]:
    """Return a service's intent and its revision; None and `ABSENT` without one."""
    found = await store.get(key)
    intent = INTENT_ADAPTER.validate_json(found.value) if found is not None else None
    return intent, revision_or_absent(found)

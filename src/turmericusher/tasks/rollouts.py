"""Follows orders to roll out upstream versions, and decides on them under a lease.

Without an order in the store nothing is called. With one, each instance writes what it
has counted in one key, and one instance renews a lease and writes state and status.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.fleet import Lifecycle
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.rollouts.deciding import Deciding
from turmericusher.decisions.rollouts.gate import Rollouts, ServiceRollout
from turmericusher.decisions.rollouts.orders import (
    InstanceReport,
    RolloutBounds,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    Status,
    Step,
    StoredHolder,
    StoredOrder,
    StoredReports,
    StoredState,
    StoredStatus,
)
from turmericusher.decisions.rollouts.steps import answers_by_route
from turmericusher.errors import StoreError
from turmericusher.logs import log_event
from turmericusher.ports.keyvalue import (
    ABSENT,
    KeyValueStore,
    StoredValue,
    SwapResult,
    WatchEvent,
)
from turmericusher.tasks.background import lasting_task

TICK_S = 0.2
"""Seconds between two looks at what is due."""

REPORT_INTERVAL_S = 1.0
"""Least seconds between two reports of an instance."""

MAX_REPORTS_PER_S = 40.0
"""Reports that all instances together write in a second: each instance is told of all
of them, some hundred bytes each."""

LEASE_TTL_S = 2
"""Seconds after which another instance takes over from one that has died."""

RENEWAL_S = 0.5
"""Seconds between two renewals of the lease, which cost a tenth of a call."""

HELD_S = 1.4
"""Seconds after the last renewal for which an instance still decides: less than the
lease lasts, by a slow call."""


RETRY_S = 1.0
"""Seconds until an instance asks for the lease again that another one has."""


class RolloutRecordCodec(Protocol):
    """Translates records of roll-outs to and from the store's keys and values."""

    def decode(
        self, key: str, value: bytes | None, revision: int
    ) -> RolloutRecord | None:
        """Return the record of a key, None if it is of another kind."""
        ...

    def decode_reports(self, instance: str, value: bytes) -> list[InstanceReport]:
        """Return what an instance tells."""
        ...

    def encode_reports(
        self, instance: str, reports: list[InstanceReport]
    ) -> tuple[str, bytes]:
        """Return the key and the value of what an instance tells."""
        ...

    def encode_state(self, state: RolloutState) -> tuple[str, bytes]:
        """Return the key and the value of a state."""
        ...

    def encode_status(self, service: str, status: Status) -> tuple[str, bytes]:
        """Return the key and the value of a status."""
        ...

    def encode_holder(self, service: str, instance: str) -> tuple[str, bytes]:
        """Return the key and the value that name the deciding instance."""
        ...


@dataclass(slots=True)
class RolloutTask:
    """Keeps the roll-outs of an instance; a `StoreListener`.

    `own_lease` returns the lease of this instance's record, 0 without one; reports are
    bound to it. `deciding` has the decision on each service's order. `lease` is that of
    the decisions that this instance has taken, last renewed at `renewed_at`, and `held`
    their services. `reported` is the last report in the store, at `report_revision`,
    written at `reported_at`; after an alarm or a
    step there is one at once. `unread` are reports
    of others that were not decoded yet.
    """

    shared: RelayShared
    bounds: RolloutBounds
    store: KeyValueStore
    codec: RolloutRecordCodec
    own_lease: Callable[[], int]
    deciding: dict[str, Deciding] = field(default_factory=dict)
    unread: dict[str, tuple[bytes, float]] = field(default_factory=dict)
    held: set[str] = field(default_factory=set)
    lease: int = 0
    renewed_at: float = -math.inf
    reported: bytes = b""
    report_revision: int = ABSENT
    reported_at: float = -math.inf
    reported_lease: int = 0
    reported_urgent: tuple[tuple[int, Step | None], ...] = ()
    wall_clock: Callable[[], float] = time.time
    clock: Callable[[], float] = lambda: asyncio.get_running_loop().time()

    @property
    def rollouts(self) -> Rollouts:
        """The roll-outs that sends are subject to."""
        return self.shared.rollouts

    @property
    def own(self) -> str:
        """The name of this instance."""
        return self.shared.selector.own

    # What the store has

    def store_read(self, values: tuple[StoredValue, ...], now: float) -> None:
        """Replace what is known by a complete read of the store."""
        found = [
            record
            for value in values
            if (record := self.codec.decode(value.key, value.value, value.revision))
        ]
        orders = {each.service for each in found if isinstance(each, StoredOrder)}
        for service in list(self.rollouts.services):
            if service not in orders:
                self.apply(StoredOrder(service, None), now)
        for deciding in self.deciding.values():
            deciding.record_state(None, ABSENT)
            deciding.status, deciding.status_revision = None, ABSENT
            deciding.record_holder(None, ABSENT, now)
        # An order that is new was written after the store was last heard of.
        heard_at = self.rollouts.heard_at
        was_seen = heard_at > -math.inf
        # What belongs to an order is applied after it.
        for record in sorted(found, key=lambda each: not isinstance(each, StoredOrder)):
            is_order = isinstance(record, StoredOrder)
            at = heard_at if is_order and was_seen else now
            self.apply(record, at, was_seen)

    def store_changed(self, events: Sequence[WatchEvent], now: float) -> None:
        """Apply changes in their order."""
        for event in events:
            record = self.codec.decode(event.key, event.value, event.revision)
            if record is not None:
                self.apply(record, now)

    def record_heard(self, now: float) -> None:
        """Record that the store was heard of at a time, or later."""
        self.rollouts.heard_at = max(self.rollouts.heard_at, now)

    def store_lost(self, now: float) -> None:
        """Do nothing: sends keep the last step known, and end a trial."""

    def store_regained(self, now: float, was_away: bool) -> None:
        """Do nothing: the store is read again."""

    def store_restored(self, now: float) -> None:
        """Write everything again: an older copy may lack it, and the leases."""
        self.lease, self.reported, self.report_revision = 0, b"", ABSENT
        self.held.clear()

    def apply(self, record: RolloutRecord, now: float, was_seen: bool = True) -> None:
        """Apply what the store has under one key.

        `was_seen`: it was seen being written.
        """
        if isinstance(record, StoredReports):
            if record.value is not None and record.instance != self.own:
                self.unread[record.instance] = (record.value, now)
            return
        deciding = self.deciding.get(record.service)
        if deciding is None:
            deciding = self.deciding[record.service] = Deciding(self.own, self.bounds)
        match record:
            case StoredOrder(service, None):
                if self.rollouts.has_order(service):
                    log_event("rollout_order_removed", service=service)
                self.rollouts.remove_order(service)
            case StoredOrder(_, order) if order is not None:
                self.apply_order(order, deciding, now, was_seen)
            case StoredState(_, state, revision):
                deciding.record_state(state, revision)
                self.apply_state(state, now)
            case StoredStatus(_, status, revision):
                deciding.status, deciding.status_revision = status, revision
            case StoredHolder(_, holder, revision):
                deciding.record_holder(holder, revision, now)

    def apply_order(
        self, order: RolloutOrder, deciding: Deciding, now: float, was_seen: bool
    ) -> None:
        """Keep an order; the newer one of a service holds."""
        if not self.rollouts.apply_order(order, now, was_seen):
            return
        deciding.begin_order()
        log_event(
            "rollout_ordered",
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            order=order.identity,
            was_seen=was_seen,
        )
        self.apply_state(deciding.stored, now)

    def apply_state(self, state: RolloutState | None, now: float) -> None:
        """Have sends follow a state; log a new step."""
        rollout = self.rollouts.services.get(state.service) if state else None
        if state is None or rollout is None:
            return
        before = rollout.step
        if rollout.apply(state) and rollout.step != before:
            log_event(
                "rollout_step",
                service=state.service,
                target=state.target,
                step=state.step.name.lower(),
                decider=state.decider,
                term=state.term,
                after_s=now - rollout.seen_at,
                requests=rollout.requests,
                target_sends=rollout.target_sends,
            )

    # What is due

    async def run(self) -> None:
        """Do what is due until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            await self.tick(self.clock())

    async def tick(self, now: float) -> None:
        """Review evidence, report it, and decide where this instance does."""
        self.rollouts.renew_baseline(now)
        if not self.rollouts.services and not self.held:
            return
        self.rollouts.clock_offset = self.wall_clock() - now
        self.rollouts.instances = max(1, len(self.shared.selector.instances))
        for service, rollout in list(self.rollouts.services.items()):
            rollout.evidence.review(self.shared.selector.is_current, now)
            deciding = self.deciding[service]
            deciding.record_live(self.is_live(rollout), now)
        with delayed_by_store():
            await self.report(now)
        for service, rollout in list(self.rollouts.services.items()):
            with delayed_by_store():
                await self.decide(rollout, self.deciding[service], now)
        for service in list(self.held):
            held = self.rollouts.services.get(service)
            if held is None or not self.deciding[service].is_needed(held):
                with delayed_by_store():
                    await self.release(service)

    def is_live(self, rollout: ServiceRollout) -> bool:
        """Whether the target of a roll-out has a live engine."""
        order = rollout.order
        return any(
            each.service == order.service
            and each.version == order.target
            and each.lifecycle is Lifecycle.LIVE
            for each in self.shared.selector.upstreams.values()
        )

    def own_reports(self) -> list[InstanceReport]:
        """Return what this instance tells of each order."""
        return [
            self.rollouts.report(rollout, self.own, self.old_streams(rollout))
            for rollout in self.rollouts.services.values()
        ]

    def old_streams(self, rollout: ServiceRollout) -> int:
        """Return how many streams of this instance go on at old versions."""
        order = rollout.order
        return sum(
            each.service == order.service and each.version != order.target
            for each in self.shared.versions.running.values()
        )

    async def report(self, now: float) -> None:
        """Write what this instance has counted, if that has changed."""
        interval_s = max(REPORT_INTERVAL_S, self.rollouts.instances / MAX_REPORTS_PER_S)
        lease = self.own_lease()
        urgent = tuple(
            (each.alarms, each.step) for each in self.rollouts.services.values()
        )
        if urgent != self.reported_urgent:
            interval_s = 0.0
        if not lease or now - self.reported_at < interval_s:
            return
        key, value = self.codec.encode_reports(self.own, self.own_reports())
        if value == self.reported and lease == self.reported_lease:
            return
        self.reported_at = now
        swap = await self.swap(key, self.report_revision, value, lease)
        if not swap.succeeded:
            current = swap.current
            self.report_revision = current.revision if current else ABSENT
            self.reported_at = -math.inf
            return
        self.reported, self.report_revision = value, swap.revision
        self.reported_lease, self.reported_urgent = lease, urgent

    async def swap(
        self, key: str, revision: int, value: bytes, lease: int = 0
    ) -> SwapResult:
        """Write a record on condition of its revision."""
        return await self.store.compare_and_swap(key, revision, value, lease)

    # The decision

    async def decide(
        self, rollout: ServiceRollout, deciding: Deciding, now: float
    ) -> None:
        """Take over, or write what is due, if this instance decides."""
        service = rollout.order.service
        instances = self.shared.selector.instances
        if service not in self.held:
            if deciding.may_take_over(rollout, instances, now):
                await self.take_over(deciding, service, now)
            return
        if not deciding.is_needed(rollout) or not await self.keep_lease(now):
            return
        self.read_reports(rollout, deciding, now)
        offset = self.wall_clock() - now
        state = deciding.due_state(rollout, instances, now, offset)
        if state is not None:
            await self.write_state(state, rollout, deciding, now)
        status = deciding.due_status()
        is_held = self.clock() - self.renewed_at < HELD_S
        if status is not None and is_held:
            await self.write_status(service, status, deciding)

    async def take_over(self, deciding: Deciding, service: str, now: float) -> None:
        """Ask for the decision on a service."""
        if not self.lease or now - self.renewed_at >= HELD_S:
            self.lease = await self.store.grant_lease(LEASE_TTL_S)
            self.renewed_at = now
        key, value = self.codec.encode_holder(service, self.own)
        try:
            revision = deciding.holder_revision
            swap = await self.swap(key, revision, value, self.lease)
        except StoreError:
            # It may be there, under a lease that lapses.
            self.lease = 0
            raise
        if not swap.succeeded:
            # Its end may be known here already, so that the watch does not tell of it.
            deciding.vacant_since = now + RETRY_S
            return
        deciding.record_holder(self.own, swap.revision, now)
        deciding.term = 0
        self.held.add(service)
        log_event("rollout_decider", service=service, instance=self.own)

    async def keep_lease(self, now: float) -> bool:
        """Renew the lease if that is due; return whether it is held."""
        if now - self.renewed_at >= RENEWAL_S:
            if not await self.store.renew_lease(self.lease):
                self.lose_lease()
                return False
            self.renewed_at = now
        return self.clock() - self.renewed_at < HELD_S

    def lose_lease(self) -> None:
        """Decide no more: another instance may."""
        log_event("rollout_lease_lost", services=",".join(sorted(self.held)))
        for service in self.held:
            self.deciding[service].term = 0
        self.held.clear()
        self.lease = 0

    async def release(self, service: str) -> None:
        """Give back the decision on a service, as it is made."""
        self.held.discard(service)
        self.deciding[service].term = 0
        if not self.held and self.lease:
            lease, self.lease = self.lease, 0
            await self.store.revoke_lease(lease)

    def read_reports(
        self, rollout: ServiceRollout, deciding: Deciding, now: float
    ) -> None:
        """Decode what others have told, and add what this instance has counted."""
        for instance, (value, at) in self.unread.items():
            for report in self.codec.decode_reports(instance, value):
                other = self.rollouts.services.get(report.service)
                if other is not None and report.order == other.order.identity:
                    self.deciding[report.service].record_report(report, at)
        self.unread.clear()
        own = self.rollouts.report(rollout, self.own, self.old_streams(rollout))
        deciding.record_report(own, now)

    async def write_state(
        self,
        state: RolloutState,
        rollout: ServiceRollout,
        deciding: Deciding,
        now: float,
    ) -> None:
        """Write a state; the one of another instance is kept instead."""
        key, value = self.codec.encode_state(state)
        swap = await self.swap(key, deciding.stored_revision, value)
        if swap.succeeded:
            self.log_decision(state, rollout, deciding, now)
            deciding.record_written(state, swap.revision, now)
            self.apply_state(state, now)
            return
        current = swap.current
        found = (
            self.codec.decode(key, current.value, current.revision) if current else None
        )
        known = found.state if isinstance(found, StoredState) else None
        deciding.record_state(known, current.revision if current else ABSENT)
        self.apply_state(known, now)

    def log_decision(
        self,
        state: RolloutState,
        rollout: ServiceRollout,
        deciding: Deciding,
        now: float,
    ) -> None:
        """Log a step that this instance has decided, with what it depends on."""
        if state.step is rollout.step:
            return
        tests, answers = deciding.tests, answers_by_route(state.counts, is_target=True)
        log_event(
            "rollout_decided",
            service=state.service,
            target=state.target,
            step=state.step.name.lower(),
            after_s=now - rollout.seen_at,
            rejected=":".join(tests.rejected) if tests.rejected else None,
            ratios=",".join(
                f"{test.route}:{test.measure}={ratio:.1f}"
                for test, ratio in sorted(tests.ratios.items())
            ),
            target_answers=",".join(f"{r}={n}" for r, n in sorted(answers.items())),
            reports=len(deciding.reports),
            oldest_report_s=deciding.oldest_report_s(now),
        )

    async def write_status(
        self, service: str, status: Status, deciding: Deciding
    ) -> None:
        """Write the status; after another write of it, decide again first."""
        key, value = self.codec.encode_status(service, status)
        swap = await self.swap(key, deciding.status_revision, value)
        if swap.succeeded:
            deciding.status, deciding.status_revision = status, swap.revision
            log_event(
                "rollout_status",
                service=service,
                state=status.state,
                target=status.target,
            )
            return
        current = swap.current
        found = (
            self.codec.decode(key, current.value, current.revision) if current else None
        )
        if isinstance(found, StoredStatus):
            deciding.status, deciding.status_revision = found.status, found.revision
        else:
            deciding.status, deciding.status_revision = None, ABSENT


@contextmanager
def delayed_by_store() -> Iterator[None]:
    """Log a failure of the store: what is due is done at the next look."""
    try:
        yield
    except StoreError as error:
        log_event("rollout_delayed", message=error.message)


@asynccontextmanager
async def rolling_out(task: RolloutTask) -> AsyncIterator[None]:
    """Follow and decide on roll-outs while the context is open."""
    async with lasting_task("rollouts", task.run):
        yield

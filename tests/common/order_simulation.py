"""A simulation of two entry instances that compete for the lease on a service's orders.

The store and the upstreams are in memory, and a test runs every step itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.decisions.order_holder import (
    Action,
    Failure,
    OrderHolder,
    Stage,
    Versioned,
)
from turmericusher.decisions.orders import (
    LEASE_TTL_S,
    SEND_TIMEOUT_S,
    Intent,
    Order,
    UpstreamSpec,
    UpstreamState,
    matches,
)

WRITES = (
    Stage.GRANT_LEASE,
    Stage.ACQUIRE_LEASE,
    Stage.CLAIM_RECORD,
    Stage.WRITE_RECORD,
)
MINIMUM_READY = 2


@dataclass
class Delivery:
    """An order on its way to an upstream, and the latest time at which it arrives."""

    order: Order
    due_at: float


@dataclass
class OrderSimulation:
    """The store, the upstreams and the two holders of one service's orders.

    `fenced` says for each upstream whether it checks fencing numbers. `send_pause_s`
    is how long a holder is paused between its check of the lease and its send.
    `fencing_floors` holds the highest fencing number that each upstream has seen.
    """

    fenced: dict[str, bool]
    now: float = 0.0
    revision: int = 1
    keys: dict[str, Versioned] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)
    holder_lease: int = 0
    states: dict[str, UpstreamState] = field(default_factory=dict)
    fencing_floors: dict[str, int] = field(default_factory=dict)
    holders: list[OrderHolder] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    recorded_orders: list[Order] = field(default_factory=list)
    applied_orders: list[Order] = field(default_factory=list)
    highest_fencing_sent: int = 0
    send_pause_s: float = 0.0

    def __post_init__(self) -> None:
        upstreams = {
            name: UpstreamInstance(
                name, "s", UpstreamKind.ENGINE, "", "d", checks_fencing=fenced
            )
            for name, fenced in self.fenced.items()
        }
        for index, name in enumerate(upstreams):
            domain = f"d{index % 2}"
            actual = UpstreamSpec(version="v0")
            self.states[name] = UpstreamState(name, domain, actual=actual)
        self.holders = [
            OrderHolder("s", f"h{i}", MINIMUM_READY, upstreams) for i in range(2)
        ]

    def set_intent(self, version: str) -> None:
        """Write the intent that every upstream shall run a version."""
        intent = Intent(UpstreamSpec(version=version), ())
        self.write("intent", intent)

    def write(self, key: str, value: Any) -> int:
        """Write a key without a condition, and return the new revision."""
        self.revision += 1
        self.keys[key] = Versioned(value, self.revision)
        return self.revision

    def read(self, key: str) -> Versioned:
        """Return a key's value and revision; revision 0 means that it is absent."""
        self.expire_leases()
        return self.keys.get(key, Versioned(None, 0))

    def compare_and_swap(self, key: str, expected: int, value: Any) -> Any:
        """Write a key if its revision is still the expected one."""
        if self.read(key).revision != expected:
            return Failure.NO_EFFECT
        return Versioned(None, self.write(key, value))

    def expire_leases(self) -> None:
        """Drop expired leases, and the holder's key once its lease has expired."""
        self.leases = {
            number: expires_at
            for number, expires_at in self.leases.items()
            if expires_at > self.now
        }
        if "holder" in self.keys and self.holder_lease not in self.leases:
            self.revision += 1
            del self.keys["holder"]

    def run(self, holder: OrderHolder, action: Action, fault: Any = None) -> None:
        """Take a holder's action, and pass the outcome to the holder.

        With the fault NO_EFFECT the action is not carried out; with UNKNOWN it is, but
        the reply to a write is lost.
        """
        outcome = Failure.NO_EFFECT
        if fault is not Failure.NO_EFFECT:
            outcome = self.perform_action(holder, action)
        if fault is Failure.UNKNOWN and action.stage in WRITES:
            outcome = Failure.UNKNOWN
        holder.handle_outcome(action, outcome, self.now)

    def perform_action(self, holder: OrderHolder, action: Action) -> Any:
        """Carry out a holder's action and return its outcome."""
        match action.stage:
            case Stage.CHECK_HOLDER:
                return self.read("holder")
            case Stage.GRANT_LEASE:
                lease = (
                    len(self.recorded_orders) + self.revision + len(self.leases) * 1000
                )
                self.revision += 1
                self.leases[lease] = self.now + LEASE_TTL_S
                return lease
            case Stage.RENEW_LEASE:
                self.expire_leases()
                if holder.lease not in self.leases:
                    return 0
                self.leases[holder.lease] = self.now + LEASE_TTL_S
                return LEASE_TTL_S
            case Stage.ACQUIRE_LEASE:
                self.expire_leases()
                if holder.lease not in self.leases:
                    return Failure.NO_EFFECT
                result = self.compare_and_swap("holder", 0, holder.nonce)
                if result is not Failure.NO_EFFECT:
                    self.holder_lease = holder.lease
                return result
            case Stage.READ_RECORD:
                return self.read("record")
            case Stage.CLAIM_RECORD | Stage.WRITE_RECORD:
                record = holder.record_to_write()
                result = self.compare_and_swap("record", holder.record_revision, record)
                if result is not Failure.NO_EFFECT and record.pending is not None:
                    self.recorded_orders.append(record.pending)
                return result
            case Stage.READ_INTENT:
                return self.read("intent")
            case Stage.READ_STATES:
                return self.read_states(holder.fencing)
            case Stage.QUERY_WEIGHTS:
                return 0.0  # Weights may be loaded now.
            case Stage.SEND_ORDER:
                if action.order and holder.can_send(action.order, self.now):
                    self.highest_fencing_sent = max(
                        self.highest_fencing_sent, action.order.fencing
                    )
                    latest_at = self.now + self.send_pause_s + SEND_TIMEOUT_S
                    self.deliveries.append(Delivery(action.order, latest_at))
                return None

    def read_states(self, fencing: int) -> Any:
        """Return all states, as read by a holder with this fencing number.

        An upstream that checks fencing numbers rejects one lower than it has seen.
        """
        for name, is_fenced in self.fenced.items():
            if is_fenced and fencing < self.fencing_floors.get(name, 0):
                return Failure.STALE
            self.fencing_floors[name] = max(fencing, self.fencing_floors.get(name, 0))
        return tuple(self.states.values())

    def deliver(self, delivery: Delivery) -> None:
        """Let an order arrive; one with an outdated fencing number is rejected."""
        self.deliveries.remove(delivery)
        order = delivery.order
        if self.fenced[order.upstream]:
            if order.fencing < self.fencing_floors.get(order.upstream, 0):
                return
            self.fencing_floors[order.upstream] = order.fencing
        self.apply_order(order)

    def apply_order(self, order: Order) -> None:
        """Apply an order, after the checks that it was recorded and is not outdated."""
        assert order in self.recorded_orders, "an order was sent before it was recorded"
        if not self.fenced[order.upstream]:
            assert order.fencing >= self.highest_fencing_sent, (
                "an outdated order was applied"
            )
        self.applied_orders.append(order)
        state = self.states[order.upstream]
        if not matches(state.actual, order.wanted):
            self.states[order.upstream] = replace(
                state, is_ready=False, target=order.wanted
            )

    def finish_change(self, name: str) -> None:
        """Finish the change that an upstream is making, if any."""
        state = self.states[name]
        if state.target is not None:
            actual = replace(state.actual, version=state.target.version)
            self.states[name] = replace(
                state, is_ready=True, actual=actual, target=None
            )

    def advance(self, step_s: float) -> None:
        """Move the clock; orders arrive at their latest times."""
        end = self.now + step_s
        for delivery in sorted(self.deliveries, key=lambda entry: entry.due_at):
            if delivery.due_at <= end:
                self.now = max(self.now, delivery.due_at)
                self.deliver(delivery)
        self.now = end

    def check_invariants(self) -> None:
        """Check the minimum of ready upstreams and that one holder at most is valid.

        A holder is valid while it considers its own lease valid: it acts on that view.
        """
        ready = sum(state.is_ready for state in self.states.values())
        assert ready >= MINIMUM_READY, "too few upstreams are ready"
        valid = [h for h in self.holders if h.fencing and self.now < h.valid_until]
        assert len(valid) <= 1, "two holders consider their leases valid"

    def run_without_faults(
        self, rounds: int, indexes: tuple[int, ...] = (0, 1)
    ) -> None:
        """Run rounds of 0.25 s without faults; each ends the upstreams' changes."""
        for _ in range(rounds):
            for index in indexes:
                action = self.holders[index].next_action(self.now)
                if action is not None:
                    self.run(self.holders[index], action)
                self.check_invariants()
            self.advance(0.25)
            for name in self.states:
                self.finish_change(name)

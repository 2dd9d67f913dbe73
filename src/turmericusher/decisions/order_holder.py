"""The holder of a service's orders: a lease, a fencing number and one order at a time.

`next_action` returns the call to make now, and `handle_outcome` receives its outcome.
The fencing number is the revision at which the lease's key was written. For an upstream
that does not check fencing numbers, only time prevents two holders from interfering:
the holder sends only while its lease outlasts the longest send, and a new holder first
waits until nothing that the previous one sent can still take effect.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.orders import (
    LEASE_TTL_S,
    SEND_TIMEOUT_S,
    Intent,
    Order,
    OrderRecord,
    Step,
    UpstreamState,
    next_step,
)

RENEWAL_FRACTION = 1 / 3
"""Part of the lease's time to live after which it is renewed."""
RETRY_DELAY_S = 1.0
"""Seconds before the next call after a failed one."""
ROUND_INTERVAL_S = 1.0
"""Seconds between rounds, unless every upstream is in its desired state."""
HOLDER_CHECK_INTERVAL_S = 5.0
"""Seconds between checks of a service whose orders another instance holds."""
IDLE_ROUND_INTERVAL_S = 10.0
"""Seconds between rounds while every upstream is in its desired state."""


class Stage(enum.Enum):
    """The holder's next call."""

    CHECK_HOLDER = "look"
    GRANT_LEASE = "grant"
    ACQUIRE_LEASE = "acquire"
    READ_RECORD = "read_record"
    CLAIM_RECORD = "claim_record"
    READ_INTENT = "read_intent"
    READ_STATES = "read_states"
    QUERY_WEIGHTS = "ask_weights"
    WRITE_RECORD = "write_record"
    SEND_ORDER = "send"
    RENEW_LEASE = "renew"


@dataclass(frozen=True, slots=True)
class Action:
    """A call for the task to make; its arguments are in the holder's fields."""

    stage: Stage
    requested_at: float
    order: Order | None = None


class Failure(enum.Enum):
    """How a call failed: without effect, with an unknown effect, or as outdated.

    `STALE` tells that a holder with a higher fencing number exists.
    """

    NO_EFFECT = "no_effect"
    UNKNOWN = "unknown"
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class Versioned:
    """A value in the store and its revision; None and 0 when the key does not exist."""

    value: object
    revision: int


Outcome = object


@dataclass(slots=True)
class OrderHolder:
    """The state of one entry instance as a possible holder of a service's orders.

    `name` is unique to this process. `valid_until` is the time up to which the lease
    surely lasts, counted from before the call that renewed it. `safe_to_send_at` is the
    time from which no order of the previous holder can still take effect. Times are
    monotonic seconds.
    """

    service: str
    name: str
    minimum_upstreams: int
    upstreams: Mapping[str, UpstreamInstance] = field(default_factory=dict)
    stage: Stage = Stage.CHECK_HOLDER
    wake_at: float = 0.0
    attempt: int = 0
    lease: int = 0
    fencing: int = 0
    valid_until: float = 0.0
    renew_at: float = 0.0
    safe_to_send_at: float = 0.0
    record: OrderRecord | None = None
    record_revision: int = 0
    intent: Intent | None = None
    order: Order | None = None
    step: Step = field(default_factory=Step)

    @property
    def nonce(self) -> str:
        """The value that identifies this attempt's write of the holder's key."""
        return f"{self.name}/{self.attempt}"

    def next_action(self, now: float) -> Action | None:
        """Return the call to make now, or None if there is none before `wake_at`."""
        if self.lease and now >= self.valid_until:
            self.step_down(now)
        if self.fencing and now >= self.renew_at:
            return Action(Stage.RENEW_LEASE, now)
        if now < self.wake_at:
            return None
        if self.stage is not Stage.SEND_ORDER:
            return Action(self.stage, now)
        assert self.order is not None
        if self.order.upstream not in self.upstreams:
            self.set_stage(Stage.READ_INTENT, now)
            return Action(Stage.READ_INTENT, now)
        if not self.can_send(self.order, now):
            self.wake_at = now + min(
                RETRY_DELAY_S, max(0.05, self.safe_to_send_at - now)
            )
            return None
        return Action(Stage.SEND_ORDER, now, self.order)

    def can_send(self, order: Order, now: float) -> bool:
        """Whether an order may be sent now; checked again at the time of sending."""
        if order.fencing != self.fencing or now + SEND_TIMEOUT_S > self.valid_until:
            return False
        upstream = self.upstreams.get(order.upstream)
        if upstream is None:
            return False
        return upstream.checks_fencing or now >= self.safe_to_send_at

    def handle_outcome(self, action: Action, outcome: Outcome, now: float) -> None:
        """Handle the outcome of a call, which is its value or a `Failure`."""
        if outcome is Failure.STALE:
            self.step_down(now)
            return
        match action.stage:
            case Stage.RENEW_LEASE:
                self.on_lease_renewed(action, outcome, now)
            case Stage.CHECK_HOLDER:
                self.on_holder_checked(outcome, now)
            case Stage.GRANT_LEASE:
                self.granted(action, outcome, now)
            case Stage.ACQUIRE_LEASE:
                self.on_lease_acquired(outcome, now)
            case Stage.READ_RECORD:
                self.on_record_read(outcome, now)
            case Stage.CLAIM_RECORD | Stage.WRITE_RECORD:
                self.on_record_written(action, outcome, now)
            case Stage.READ_INTENT:
                self.on_intent_read(outcome, now)
            case Stage.READ_STATES:
                self.on_states_read(outcome, now)
            case Stage.QUERY_WEIGHTS:
                self.on_weights_queried(outcome, now)
            case Stage.SEND_ORDER:
                # Without a reply the order may still arrive. Choosing another upstream
                # before that could take two out of service at once.
                pause_s = ROUND_INTERVAL_S if outcome is True else SEND_TIMEOUT_S
                self.set_stage(Stage.READ_INTENT, now + pause_s)

    def step_down(self, now: float) -> None:
        """Drop the lease and all state under it, and check the holder again later."""
        self.lease = 0
        self.fencing = 0
        self.valid_until = 0.0
        self.record = None
        self.order = None
        self.intent = None
        self.set_stage(Stage.CHECK_HOLDER, now + RETRY_DELAY_S)

    def set_stage(self, stage: Stage, wake_at: float) -> None:
        """Set the next stage and the time at which it begins."""
        self.stage = stage
        self.wake_at = wake_at

    def on_lease_renewed(self, action: Action, outcome: Outcome, now: float) -> None:
        """Extend the lease from the request's time; outcome 0 means that it expired."""
        if isinstance(outcome, Failure):
            self.renew_at = now + RETRY_DELAY_S
        elif not outcome:
            self.step_down(now)
        else:
            self.valid_until = action.requested_at + LEASE_TTL_S
            self.renew_at = action.requested_at + LEASE_TTL_S * RENEWAL_FRACTION

    def on_holder_checked(self, outcome: Outcome, now: float) -> None:
        """Acquire the lease if it is free, or find that an earlier write succeeded."""
        if not isinstance(outcome, Versioned):
            self.set_stage(Stage.CHECK_HOLDER, now + RETRY_DELAY_S)
        elif outcome.value is None:
            self.lease = 0
            self.set_stage(Stage.GRANT_LEASE, now)
        elif outcome.value == self.nonce and self.lease:
            self.become_holder(outcome.revision, now)
        else:
            self.set_stage(Stage.CHECK_HOLDER, now + HOLDER_CHECK_INTERVAL_S)

    def granted(self, action: Action, outcome: Outcome, now: float) -> None:
        """Acquire the holder's key with the lease that was just granted."""
        if not isinstance(outcome, int):
            self.set_stage(Stage.CHECK_HOLDER, now + RETRY_DELAY_S)
            return
        self.attempt += 1
        self.lease = outcome
        self.valid_until = action.requested_at + LEASE_TTL_S
        self.renew_at = action.requested_at + LEASE_TTL_S * RENEWAL_FRACTION
        self.set_stage(Stage.ACQUIRE_LEASE, now)

    def on_lease_acquired(self, outcome: Outcome, now: float) -> None:
        """Become the holder if the write succeeded; otherwise read the key back."""
        if isinstance(outcome, Versioned):
            self.become_holder(outcome.revision, now)
        else:
            self.set_stage(Stage.CHECK_HOLDER, now)

    def become_holder(self, fencing: int, now: float) -> None:
        """Become the holder, with the revision of the key as fencing number."""
        self.fencing = fencing
        self.set_stage(Stage.READ_RECORD, now)

    def on_record_read(self, outcome: Outcome, now: float) -> None:
        """Handle the last holder's record, or this one's after an unconfirmed write."""
        if not isinstance(outcome, Versioned):
            self.set_stage(Stage.READ_RECORD, now + RETRY_DELAY_S)
            return
        found = outcome.value
        assert found is None or isinstance(found, OrderRecord)
        if found is not None and found.fencing > self.fencing:
            self.step_down(now)
            return
        self.record_revision = outcome.revision
        if found is not None and found.fencing == self.fencing:
            self.record = found
            is_written = self.order is not None and found.pending == self.order
            self.set_stage(Stage.SEND_ORDER if is_written else Stage.READ_INTENT, now)
            return
        # No order is sent before the first record: without one, there is none to await.
        previous_holder_s = (
            found.lease_ttl_s + SEND_TIMEOUT_S if found is not None else 0.0
        )
        self.safe_to_send_at = max(self.safe_to_send_at, now + previous_holder_s)
        pending = found.pending if found is not None else None
        self.record = OrderRecord(self.fencing, pending)
        self.set_stage(Stage.CLAIM_RECORD, now)

    def on_record_written(self, action: Action, outcome: Outcome, now: float) -> None:
        """Continue if the record was written; otherwise read it to find out."""
        if not isinstance(outcome, Versioned):
            self.set_stage(Stage.READ_RECORD, now)
            return
        self.record_revision = outcome.revision
        is_order = action.stage is Stage.WRITE_RECORD
        self.set_stage(Stage.SEND_ORDER if is_order else Stage.READ_INTENT, now)

    def on_intent_read(self, outcome: Outcome, now: float) -> None:
        """Store the operators' intent; without one there is nothing to do."""
        self.order = None
        if not isinstance(outcome, Versioned):
            self.set_stage(Stage.READ_INTENT, now + RETRY_DELAY_S)
            return
        assert outcome.value is None or isinstance(outcome.value, Intent)
        self.intent = outcome.value
        if self.intent is None:
            self.set_stage(Stage.READ_INTENT, now + ROUND_INTERVAL_S)
        else:
            self.set_stage(Stage.READ_STATES, now)

    def on_states_read(self, outcome: Outcome, now: float) -> None:
        """Choose the next upstream from the states that the upstreams report."""
        assert self.intent is not None
        if not isinstance(outcome, tuple):
            self.set_stage(Stage.READ_INTENT, now + RETRY_DELAY_S)
            return
        states: tuple[UpstreamState, ...] = outcome
        wanted = self.intent.wanted
        self.step = next_step(states, wanted, self.minimum_upstreams)
        if not self.step.upstream:
            pause_s = (
                IDLE_ROUND_INTERVAL_S
                if self.step.reason == "done"
                else ROUND_INTERVAL_S
            )
            self.set_stage(Stage.READ_INTENT, now + pause_s)
            return
        self.order = Order(self.service, self.step.upstream, wanted, self.fencing)
        needs_weights = wanted.needs_weights()
        self.set_stage(
            Stage.QUERY_WEIGHTS if needs_weights else Stage.WRITE_RECORD, now
        )

    def on_weights_queried(self, outcome: Outcome, now: float) -> None:
        """Write the order if the weight store allows a load; else wait as returned."""
        if isinstance(outcome, Failure):
            self.set_stage(Stage.READ_INTENT, now + RETRY_DELAY_S)
        elif isinstance(outcome, (int, float)) and outcome > 0:
            self.set_stage(Stage.READ_INTENT, now + outcome)
        else:
            self.set_stage(Stage.WRITE_RECORD, now)

    def record_to_write(self) -> OrderRecord:
        """Return the record to write, with the pending order if one is to be sent."""
        assert self.record is not None
        if self.stage is Stage.WRITE_RECORD:
            self.record = replace(self.record, pending=self.order)
        return self.record

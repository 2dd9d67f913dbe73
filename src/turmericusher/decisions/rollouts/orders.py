"""Records of roll-outs: the order, the state of the decision, and what instances tell.

The state is one record that is only written on condition that it has not changed, so
that an order has one result. Times in it are Unix seconds: an instance that starts late
must not assume a fresh deadline.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_CLOCK_DIFFERENCE_S = 3.0
"""Seconds by which an order's start by another instance's clock may lie before the time
at which this one saw the order: changes take up to 2 s, and clocks differ a little."""


class Step(enum.IntEnum):
    """How far a roll-out is; the first four have a share, the last two are results."""

    TRIAL = 0
    SOME = 1
    MOST = 2
    ALL = 3
    COMPLETED = 4
    ROLLED_BACK = 5

    @property
    def is_final(self) -> bool:
        """Whether the roll-out is over."""
        return self >= Step.COMPLETED


class CountKey(NamedTuple):
    """What is counted: answers or times of one route, by version, load and bucket."""

    route: str
    is_target: bool
    measure: str
    load: int = 0
    bucket: int = 0


Counts = Counter[CountKey]


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """The platform's bounds for a bad version; see `release-plan.md`."""

    exposure_share: float = 0.1
    exposure_slack: float = 50.0


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order; `revision` is that of its key in the store."""

    service: str
    target: str
    duration_s: float
    revision: int

    @property
    def identity(self) -> str:
        """What tells this order from any other one of its service."""
        return f"{self.revision}:{self.target}:{self.duration_s:g}"


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The decision on an order, as the store has it.

    `order` is the order's identity. `began_at` and `step_at` are Unix seconds. `shares`
    has the target's share of each route in the trial, `counts` what all instances have
    counted. `closed` are the targets of earlier orders that were not completed. `term`
    rises with each instance that takes over, and `decider` is its name.
    """

    service: str
    order: str
    target: str
    step: Step
    began_at: float
    step_at: float
    term: int = 0
    decider: str = ""
    shares: Mapping[str, float] = field(default_factory=dict)
    counts: Counts = field(default_factory=Counter)
    closed: frozenset[str] = frozenset()

    def is_at_least(self, other: RolloutState) -> bool:
        """Whether this state is not older than another one of the same order.

        A result is never replaced, and no step is taken back.
        """
        if other.step.is_final:
            return self.step == other.step
        return (self.step, self.term) >= (other.step, other.term)


@dataclass(frozen=True, slots=True)
class InstanceReport:
    """What an instance tells of an order: its counts, and what it sends to old engines.

    `step` is the last step that it keeps, None before any. `old_runs` counts requests
    that run at old versions or go on there, `old_unrepeatable` those of them that must
    not be repeated.
    """

    instance: str
    service: str
    order: str
    step: Step | None
    old_runs: int
    old_unrepeatable: int
    counts: Counts


def monotonic_start(
    began_at: float | None, clock_offset: float, seen_at: float, was_seen: bool
) -> float:
    """Return an order's start in monotonic seconds.

    `began_at` is its start in Unix seconds by the state, None without one.
    `clock_offset` is the Unix time less the monotonic one. `seen_at` is when this
    instance read the order; `was_seen`: it saw the order being written.
    """
    if began_at is None:
        return seen_at
    by_clock = min(began_at - clock_offset, seen_at)
    return max(by_clock, seen_at - MAX_CLOCK_DIFFERENCE_S) if was_seen else by_clock


@dataclass(frozen=True, slots=True)
class Status:
    """What the operator reads of an order: `state` and the target version."""

    state: str
    target: str


@dataclass(frozen=True, slots=True)
class StoredOrder:
    """The order of a service as the store has it, None if there is none."""

    service: str
    order: RolloutOrder | None


@dataclass(frozen=True, slots=True)
class StoredState:
    """The state of a service's roll-out in the store, None if there is none."""

    service: str
    state: RolloutState | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoredStatus:
    """The status of a service's roll-out in the store, None if there is none."""

    service: str
    status: Status | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoredHolder:
    """The instance that holds the lease of a decision, None if nobody does."""

    service: str
    holder: str | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoredReports:
    """What an instance tells, still encoded: only the deciding instance reads it."""

    instance: str
    value: bytes | None


RolloutRecord = StoredOrder | StoredState | StoredStatus | StoredHolder | StoredReports

"""Orders to upstreams: the state that operators want, and the next upstream to order.

An order names the desired state and not a step towards it, so that sending one twice
has no further effect. One upstream is changed at a time, and only while enough others
are ready.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.errors import ConflictError, ErrorCode

LEASE_TTL_S = 10
SEND_TIMEOUT_S = 2.0
"""Timeout in seconds of sending an order, which takes effect within it or never."""
MAX_CHANGE_IDS = 32
"""Number of accepted changes that an intent lists, the latest ones."""


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """The model, version, adapters and role of an upstream.

    In a desired state, an empty field matches any value.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""

    def needs_weights(self) -> bool:
        """Whether reaching this state may read from the weight store."""
        return bool(self.model or self.version or self.adapters)


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """The state that an upstream reports; `target` is the one it is changing to."""

    name: str
    failure_domain: str
    is_reachable: bool = True
    is_ready: bool = True
    actual: UpstreamSpec = field(default_factory=UpstreamSpec)
    target: UpstreamSpec | None = None


@dataclass(frozen=True, slots=True)
class Intent:
    """The state that operators want for every upstream of a service.

    `change_ids` holds the latest changes, newest last, so that an operator whose reply
    was lost can find out that the change was accepted.
    """

    wanted: UpstreamSpec
    change_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one upstream under the holder's fencing number."""

    service: str
    upstream: str
    wanted: UpstreamSpec
    fencing: int


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """The record that a holder writes before it sends an order.

    `lease_ttl_s` is the time to live of its lease, in seconds.
    """

    fencing: int
    pending: Order | None
    lease_ttl_s: int = LEASE_TTL_S


@dataclass(frozen=True, slots=True)
class Step:
    """The next step: order `upstream`, or if that is empty, wait due to `reason`."""

    upstream: str = ""
    reason: str = ""


def matches(actual: UpstreamSpec, wanted: UpstreamSpec) -> bool:
    """Whether an upstream's state satisfies the desired one."""
    return (
        wanted.model in ("", actual.model)
        and wanted.version in ("", actual.version)
        and wanted.role in ("", actual.role)
        and set(wanted.adapters) <= set(actual.adapters)
    )


def next_step(
    states: Iterable[UpstreamState], wanted: UpstreamSpec, minimum_upstreams: int
) -> Step:
    """Return the upstream to order next, keeping at least the minimum ready.

    An upstream that does not become ready again stops the change, because the same
    order would take the others out of service as well. Unreachable upstreams are
    ignored.
    """
    reachable = [state for state in states if state.is_reachable]
    outdated = [state for state in reachable if not is_converging(state, wanted)]
    in_transition = [
        state
        for state in reachable
        if is_converging(state, wanted) and not state.is_ready
    ]
    if in_transition:
        return Step(reason=f"{in_transition[0].name} is not ready yet")
    if not outdated:
        return Step(reason="done")
    idle = [state for state in outdated if not state.is_ready]
    if idle:
        return Step(min(state.name for state in idle))
    ready = [state for state in reachable if state.is_ready]
    if len(ready) - 1 < minimum_upstreams:
        return Step(reason=f"only {len(ready)} upstreams are ready")
    return Step(
        min(outdated, key=lambda state: availability_sort_key(state, ready)).name
    )


def is_converging(state: UpstreamState, wanted: UpstreamSpec) -> bool:
    """Whether an upstream is in the desired state or changing to it."""
    destination = state.target if state.target is not None else state.actual
    return matches(destination, wanted)


def availability_sort_key(
    state: UpstreamState, ready: list[UpstreamState]
) -> tuple[int, str]:
    """Return a sort key that prefers failure domains with the most ready upstreams."""
    ready_in_domain = sum(
        other.failure_domain == state.failure_domain for other in ready
    )
    return (-ready_in_domain, state.name)


def plan_intent(
    current: Intent | None,
    current_revision: int,
    wanted: UpstreamSpec,
    expected_revision: int,
    change_id: str,
) -> Intent | None:
    """Return the intent to write, or None when the change was accepted before.

    Raises `ConflictError`, which shows the state now wanted, when another change was
    accepted since the expected revision.
    """
    change_ids = current.change_ids if current is not None else ()
    if change_id in change_ids:
        return None
    if current_revision != expected_revision:
        shown = current.wanted if current is not None else None
        raise ConflictError(
            ErrorCode.REVISION_CONFLICT,
            f"expected_revision={expected_revision!r} is not the current revision "
            f"{current_revision!r}, which wants {shown!r}; check it and repeat",
        )
    return Intent(wanted, (*change_ids, change_id)[-MAX_CHANGE_IDS:])

"""Ports of a simulated entry instance that a test can pause and make fail at each step.

`Gate` controls the steps of one instance. While it is closed, the instance behaves to
the outside as if stopped by SIGSTOP: its calls have no effect, and the results of
earlier calls do not reach it.
"""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericusher.decisions.claims import ClaimCommand, ClaimReply
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.idempotency_keys import PageName
from turmericusher.errors import (
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    UpstreamError,
    Verdict,
)
from turmericusher.ports.keyvalue import Snapshot, StoredValue, SwapResult
from turmericusher.ports.services import OutgoingCall, ServiceAnswer
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.claims import Claims, PeerUnavailableError


class Fault(enum.StrEnum):
    """What happens to a call at a step.

    `REFUSE`: the call fails without effect. `LOSE`: it takes effect, and its result
    is lost. `LATE`: its result is lost, and it takes effect much later.
    """

    NONE = "none"
    REFUSE = "refuse"
    LOSE = "lose"
    LATE = "late"


class Step(enum.StrEnum):
    """The steps of a service call at which a test can pause its instance."""

    BEFORE_CLAIM = "before_claim"
    CLAIM_COMMITTED = "claim_committed"
    BEFORE_SEND = "before_send"
    HALF_SENT = "half_sent"
    SENT = "sent"
    ANSWER_RECEIVED = "answer_received"
    OUTCOME_WRITTEN = "outcome_written"


@dataclass(slots=True)
class Gate:
    """Passes the calls and results of one instance, unless it is paused.

    `stop_at` closes the gate once, when the instance first reaches that step. `faults`
    apply to the next store calls, one each. `should_lose_reply` loses the reply of the
    write that has just taken effect.
    """

    opened: asyncio.Event = field(default_factory=asyncio.Event)
    faults: list[Fault] = field(default_factory=list)
    stop_at: Step | None = None
    has_sent: bool = False
    should_lose_reply: bool = False

    def __post_init__(self) -> None:
        self.opened.set()

    async def wait_until_open(self) -> None:
        """Wait until the instance is not paused."""
        await self.opened.wait()

    async def reach_step(self, step: Step) -> None:
        """Wait until the instance may take this step; pause it here if requested."""
        if self.stop_at is step:
            self.stop_at = None
            self.opened.clear()
        await self.opened.wait()

    async def next_fault(self) -> Fault:
        """Wait until the instance is not paused, then return the next call's fault."""
        await self.opened.wait()
        return self.faults.pop(0) if self.faults else Fault.NONE


@dataclass(slots=True)
class GatedStore:
    """One instance's connection to a shared store; the test runs `late_writes`."""

    shared_store: MemoryStore
    gate: Gate
    late_writes: list[Callable[[], object]]
    is_disconnected: bool = False

    async def get(self, key: str) -> StoredValue | None:
        if await self.gate.next_fault() is not Fault.NONE or self.is_disconnected:
            raise StoreUnavailableError("the read failed")
        value = await self.shared_store.get(key)
        await self.gate.wait_until_open()
        return value

    async def get_prefix(self, prefix: str) -> Snapshot:
        if await self.gate.next_fault() is not Fault.NONE or self.is_disconnected:
            raise StoreUnavailableError("the read failed")
        snapshot = await self.shared_store.get_prefix(prefix)
        await self.gate.wait_until_open()
        return snapshot

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        writes_outcome = self.gate.has_sent
        before = Step.ANSWER_RECEIVED if writes_outcome else Step.BEFORE_CLAIM
        after = Step.OUTCOME_WRITTEN if writes_outcome else Step.CLAIM_COMMITTED
        await self.gate.reach_step(before)
        fault = await self.gate.next_fault()
        if fault is Fault.REFUSE or self.is_disconnected:
            raise StoreUnavailableError("the write was refused")
        if fault is Fault.LATE:
            self.late_writes.append(
                lambda: self.shared_store.swap(key, expected_revision, value, 0)
            )
            raise StoreOutcomeUnknownError("the write is late")
        result = await self.shared_store.compare_and_swap(key, expected_revision, value)
        await self.gate.reach_step(after)
        lose_reply, self.gate.should_lose_reply = self.gate.should_lose_reply, False
        if fault is Fault.LOSE or lose_reply:
            raise StoreOutcomeUnknownError("the reply was lost")
        return result


@dataclass(slots=True)
class CountingService:
    """A service that counts runs by request name; a run lasts `run_duration_s`."""

    runs: Counter[str] = field(default_factory=Counter)
    run_duration_s: float = 0.2


@dataclass(slots=True)
class GatedServicePort:
    """One instance's connection to the service; each call has the next fault."""

    service: CountingService
    gate: Gate
    faults: list[Fault] = field(default_factory=list)
    current_fault: Fault = Fault.NONE

    async def send(
        self, upstream: UpstreamInstance, call: OutgoingCall, timeout_s: float
    ) -> ServiceAnswer:
        await self.gate.reach_step(Step.BEFORE_SEND)
        if self.next_fault() is Fault.REFUSE:
            raise failed_call_error(Verdict.NOT_RUN)
        self.gate.has_sent = True
        await self.gate.reach_step(Step.HALF_SENT)
        if self.current_fault is Fault.LATE:
            raise failed_call_error(Verdict.MAY_HAVE_RUN)
        name = dict(call.headers)["Request-Name"]
        self.service.runs[name] += 1
        await asyncio.sleep(self.service.run_duration_s)
        await self.gate.reach_step(Step.SENT)
        if self.current_fault is Fault.LOSE:
            raise failed_call_error(Verdict.MAY_HAVE_RUN)
        return ServiceAnswer(200, (), name.encode())

    def next_fault(self) -> Fault:
        """Set the fault of the call that begins, and return it."""
        self.current_fault = self.faults.pop(0) if self.faults else Fault.NONE
        return self.current_fault


def failed_call_error(verdict: Verdict) -> UpstreamError:
    """Return the error of a call that failed with this verdict."""
    return UpstreamError(
        ErrorCode.UPSTREAM_FAILED, f"the call failed: {verdict}", verdict=verdict
    )


@dataclass(slots=True)
class GatedRouter:
    """Routes every claim page to the instance `owner`; 0 keeps it at this instance."""

    own: int
    gate: Gate
    members: dict[int, tuple[Claims, Gate]]
    owner: int = 0
    faults: list[Fault] = field(default_factory=list)

    def owner_address(self, name: PageName) -> str | None:
        return None if self.owner in (0, self.own) else str(self.owner)

    def suspect(self, address: str) -> None:
        if self.owner == int(address):
            self.owner = 0

    async def submit(
        self, address: str, name: PageName, command: ClaimCommand
    ) -> ClaimReply:
        await self.gate.wait_until_open()
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.REFUSE or int(address) not in self.members:
            raise PeerUnavailableError(address)
        claims, gate = self.members[int(address)]
        task = asyncio.ensure_future(self.submit_at_peer(claims, gate, name, command))
        if fault is not Fault.NONE:
            raise PeerUnavailableError(address)
        done, _ = await asyncio.wait({task}, timeout=0.5)
        await self.gate.wait_until_open()
        if not done:
            raise PeerUnavailableError(address)
        return task.result()

    async def submit_at_peer(
        self, claims: Claims, gate: Gate, name: PageName, command: ClaimCommand
    ) -> ClaimReply:
        await gate.wait_until_open()
        return await claims.submit_locally(name, command)

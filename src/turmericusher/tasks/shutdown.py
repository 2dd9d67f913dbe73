"""Graceful shutdown of an entry instance, and the count of its requests in flight."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.shutdown import Shutdown, ShutdownPhase
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
    Verdict,
)
from turmericusher.logs import log_event
from turmericusher.tasks.membership import Fleet

CHECK_INTERVAL_S = 0.05
"""Seconds between two checks whether the next phase of the shutdown is due."""


@dataclass(slots=True)
class Draining:
    """Drains a stopping instance and hands its remaining answers over.

    `in_flight` counts callers' requests from their head to the last byte sent.
    `running` holds the timeouts by which answers that run can be interrupted and
    handed over to another instance.
    """

    fleet: Fleet
    shutdown: Shutdown
    clock: Callable[[], float] = time.monotonic
    in_flight: int = 0
    running: set[asyncio.Timeout] = field(default_factory=set)

    def check_accepting(self) -> None:
        """Raise `RequestRefusedError` if the instance accepts no new work."""
        if not self.shutdown.is_accepting():
            raise RequestRefusedError(
                ErrorCode.INSTANCE_STOPPING,
                "this entry instance is stopping; use another one of /v1/entrypoints",
                retry_after_s=0.0,
            )

    async def drain(self) -> None:
        """Leave the fleet, let requests finish and hand over what takes too long."""
        is_alone = not self.fleet.membership.active_claims()
        self.shutdown.begin(self.clock(), is_alone)
        self.fleet.membership.leave()
        phase = ShutdownPhase.SERVING
        while phase is not ShutdownPhase.STOPPED:
            next_phase = self.shutdown.advance(self.clock(), self.in_flight)
            if next_phase is not phase:
                phase = next_phase
                self.enter_phase(phase)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def enter_phase(self, phase: ShutdownPhase) -> None:
        """Log a new phase and, if it is the handover, interrupt running answers."""
        log_event("shutdown", phase=phase.value, in_flight=self.in_flight)
        self.fleet.accepts_work = self.shutdown.is_accepting()
        if phase is ShutdownPhase.HANDING_OVER:
            for limit in list(self.running):
                limit.reschedule(asyncio.get_running_loop().time())


@asynccontextmanager
async def ending_at_handover(draining: Draining) -> AsyncIterator[None]:
    """End the body with an error if its answer is handed over to another instance.

    A timeout without a deadline is used because it adds no cost per chunk.
    """
    try:
        async with asyncio.timeout(None) as limit:
            draining.running.add(limit)
            try:
                yield
            finally:
                draining.running.discard(limit)
    except TimeoutError:
        if limit.expired():
            raise handover_error() from None
        raise


def handover_error() -> TurmericusherError:
    """Return the error on which the callers' library resumes at another instance."""
    return TurmericusherError(
        ErrorCode.ANSWER_INTERRUPTED,
        "this entry instance is stopping; resume the answer at another one with the "
        "tokens received so far",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_s=0.0,
    )

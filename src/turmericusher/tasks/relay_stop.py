"""The stop of a relaying instance: it accepts on for a while, then lets work end."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from turmericusher.api.relay import RelayFrontend
from turmericusher.logs import log_event

ACCEPT_SHARE = 0.35
"""Part of the time to stop in which new connections are still taken: callers keep the
addresses they were told for some seconds."""

EXIT_MARGIN_S = 0.4
"""Seconds kept for closing down before the process is killed."""


@dataclass(frozen=True, slots=True)
class StopPlan:
    """When what happens; `limit_s` is the time from the signal to the kill."""

    limit_s: float

    @property
    def accept_s(self) -> float:
        """Seconds for which new requests are taken."""
        return ACCEPT_SHARE * self.limit_s

    @property
    def drain_s(self) -> float:
        """Seconds after which the process ends whatever still runs."""
        return self.limit_s - EXIT_MARGIN_S


async def drain_relay(frontend: RelayFrontend, plan: StopPlan) -> None:
    """Return when nothing runs any more, or when the time to stop is used up."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    frontend.is_closing = True
    log_event("stopping", in_flight=frontend.in_flight, accept_s=plan.accept_s)
    await asyncio.sleep(plan.accept_s)
    frontend.refuses = True
    try:
        async with asyncio.timeout_at(started_at + plan.drain_s):
            await frontend.idle.wait()
    except TimeoutError:
        log_event("drain_cut_short", in_flight=frontend.in_flight)
    log_event("drained", in_flight=frontend.in_flight)

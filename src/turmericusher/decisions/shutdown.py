"""Graceful shutdown of an entry instance: it leaves, drains and hands streams over.

Callers keep an answer with entry points for its time to live. An instance therefore
accepts new work until the last answer that named it has expired at every caller.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

MARK_SPREAD_S = 4.0
"""Seconds that the leaving mark takes to reach every other instance."""


HANDOVER_LIMIT_S = 30.0
"""Seconds after the start of the handover after which the process stops anyway."""


class ShutdownPhase(enum.StrEnum):
    """The phases of a shutdown, in order."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    HANDING_OVER = "handing_over"
    STOPPED = "stopped"


@dataclass(slots=True)
class Shutdown:
    """The state of one instance's shutdown; times are in seconds.

    `entrypoint_ttl_s` is how long callers keep an answer with entry points. Whatever
    still runs `drain_limit_s` after the request to stop is handed over.
    `handover_limit_s` bounds the time in which the handed-over streams, and calls that
    cannot be handed over, may end. `is_alone` tells that there is no other instance
    that callers could use.
    """

    entrypoint_ttl_s: float
    drain_limit_s: float
    handover_limit_s: float = HANDOVER_LIMIT_S
    is_alone: bool = False
    phase: ShutdownPhase = ShutdownPhase.SERVING
    requested_at: float = 0.0
    handover_started_at: float = 0.0

    def begin(self, now: float, is_alone: bool) -> None:
        """Begin the shutdown; a second request changes nothing."""
        if self.phase is ShutdownPhase.SERVING:
            self.phase = ShutdownPhase.LEAVING
            self.requested_at = now
            self.is_alone = is_alone

    def advance(self, now: float, in_flight: int) -> ShutdownPhase:
        """Move to the phase that the time and the requests allow, and return it.

        An instance without requests still waits until no caller can hold an answer that
        names it; only then may its address stop answering.
        """
        if self.phase is ShutdownPhase.LEAVING and now >= self.accepts_until():
            self.phase = ShutdownPhase.DRAINING
        if self.phase is ShutdownPhase.DRAINING and now >= self.handover_due_at():
            self.phase = ShutdownPhase.HANDING_OVER
            self.handover_started_at = now
        if self.is_finished(now, in_flight):
            self.phase = ShutdownPhase.STOPPED
        return self.phase

    def is_finished(self, now: float, in_flight: int) -> bool:
        """Whether the process may exit."""
        if self.phase is ShutdownPhase.DRAINING:
            return in_flight == 0
        if self.phase is ShutdownPhase.HANDING_OVER:
            return (
                in_flight == 0
                or now >= self.handover_started_at + self.handover_limit_s
            )
        return False

    def accepts_until(self) -> float:
        """Return the time until which new work is accepted while leaving."""
        if self.is_alone:
            return self.requested_at
        return self.requested_at + self.entrypoint_ttl_s + MARK_SPREAD_S

    def handover_due_at(self) -> float:
        """Return the time from which streams in flight are handed over."""
        return max(self.accepts_until(), self.requested_at + self.drain_limit_s)

    def is_accepting(self) -> bool:
        """Whether new work is accepted."""
        return self.phase in (ShutdownPhase.SERVING, ShutdownPhase.LEAVING)

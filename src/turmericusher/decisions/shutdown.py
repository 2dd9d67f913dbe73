"""Shutdown of an entry instance: it leaves, drains and hands over, and cuts nothing.

Callers keep an answer of entry points for its time to live, so an instance goes on
accepting new work until the last answer that named it has expired at every caller.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

SPREAD_S = 4.0
"""Seconds that the leaving mark takes to reach every other instance."""


HANDOVER_LIMIT_S = 30.0


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

    `entrypoint_ttl_s` is how long callers keep an answer. After `drain_limit_s` since
    the request to stop, what still runs is handed over. `handover_limit_s` bounds the
    time that the handed-over streams, and calls that cannot be handed over, get to
    end. With `is_alone` there is no other instance that callers could turn to.
    """

    entrypoint_ttl_s: float
    drain_limit_s: float
    handover_limit_s: float = HANDOVER_LIMIT_S
    is_alone: bool = False
    phase: ShutdownPhase = ShutdownPhase.SERVING
    asked_at: float = 0.0
    handover_at: float = 0.0

    def ask(self, now: float, is_alone: bool) -> None:
        """Begin to stop; a second request changes nothing."""
        if self.phase is ShutdownPhase.SERVING:
            self.phase = ShutdownPhase.LEAVING
            self.asked_at = now
            self.is_alone = is_alone

    def advance(self, now: float, in_flight: int) -> ShutdownPhase:
        """Move on as far as the time and the requests in flight allow.

        An instance that has no request left still waits until no caller can hold an
        answer that names it; only then may its address stop answering.
        """
        if self.phase is ShutdownPhase.LEAVING and now >= self.accepts_until():
            self.phase = ShutdownPhase.DRAINING
        if self.phase is ShutdownPhase.DRAINING and now >= self.hands_over_at():
            self.phase = ShutdownPhase.HANDING_OVER
            self.handover_at = now
        if self.is_finished(now, in_flight):
            self.phase = ShutdownPhase.STOPPED
        return self.phase

    def is_finished(self, now: float, in_flight: int) -> bool:
        """Whether the process may end."""
        if self.phase is ShutdownPhase.DRAINING:
            return in_flight == 0
        if self.phase is ShutdownPhase.HANDING_OVER:
            return in_flight == 0 or now >= self.handover_at + self.handover_limit_s
        return False

    def accepts_until(self) -> float:
        """Return the time until which new work is taken while leaving."""
        if self.is_alone:
            return self.asked_at
        return self.asked_at + self.entrypoint_ttl_s + SPREAD_S

    def hands_over_at(self) -> float:
        """Return the time from which streams in flight are handed over."""
        return max(self.accepts_until(), self.asked_at + self.drain_limit_s)

    def is_accepting(self) -> bool:
        """Whether new work is taken."""
        return self.phase in (ShutdownPhase.SERVING, ShutdownPhase.LEAVING)

"""The stop of a relaying instance: what it still takes, and until when.

Load: callers keep the addresses they were told for a while, so requests go on coming
to an instance that is stopping. A call is short and is still served. A stream that
would be cut off by the end of the process is refused at once, so that its caller goes
to another instance and gets a whole answer there.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericusher.decisions.routing import RequestKind

ACCEPT_SHARE = 0.35
"""Part of the time to stop in which new connections are still taken: callers keep the
addresses they were told for some seconds."""

EXIT_MARGIN_S = 0.15
"""Seconds kept for closing down before the process is killed."""

FIRST_GUESS_S = 5.0
"""The length of a stream while none has ended here: near the users' typical one."""

SMOOTHING = 1 / 8
DEVIATIONS = 2.0
"""Mean and mean deviation are smoothed as TCP does for round trips (RFC 6298)."""


@dataclass(slots=True)
class DurationEstimate:
    """How long streams take, in seconds: a smoothed mean and mean deviation."""

    mean_s: float = FIRST_GUESS_S
    deviation_s: float = 0.0
    is_learned: bool = False

    def learn(self, duration_s: float) -> None:
        """Take in the length of a stream that ended whole."""
        if not self.is_learned:
            self.is_learned = True
            self.mean_s, self.deviation_s = duration_s, duration_s / 4
            return
        error_s = duration_s - self.mean_s
        self.mean_s += SMOOTHING * error_s
        self.deviation_s += SMOOTHING * (abs(error_s) - self.deviation_s)

    def likely_longest_s(self) -> float:
        """Return a length that few streams exceed."""
        return self.mean_s + DEVIATIONS * self.deviation_s


@dataclass(slots=True)
class RelayStop:
    """The stop of one instance; times are monotonic seconds.

    `limit_s` is the time from the signal to the kill. `asked_at` is when the signal
    came, None before.
    """

    limit_s: float
    asked_at: float | None = None
    streams: DurationEstimate = field(default_factory=DurationEstimate)

    def ask(self, now: float) -> None:
        """Begin to stop; a second signal changes nothing."""
        if self.asked_at is None:
            self.asked_at = now

    def is_asked(self) -> bool:
        """Whether the instance is stopping."""
        return self.asked_at is not None

    def accepts_until(self) -> float:
        """Return the time until which new connections are taken."""
        assert self.asked_at is not None
        return self.asked_at + ACCEPT_SHARE * self.limit_s

    def ends_at(self) -> float:
        """Return the time at which the process ends whatever still runs."""
        assert self.asked_at is not None
        return self.asked_at + self.limit_s - EXIT_MARGIN_S

    def may_take(self, kind: RequestKind, now: float) -> bool:
        """Whether a new request is likely to end before the process does."""
        if self.asked_at is None:
            return True
        if not kind.is_stream:
            return now < self.ends_at()
        return now + self.streams.likely_longest_s() <= self.ends_at()

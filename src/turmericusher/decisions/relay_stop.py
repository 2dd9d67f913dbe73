"""Shutdown of a relaying instance: which requests it still accepts, and until when.

Load: callers keep the addresses they were given for a while, so requests continue to
arrive at an instance that is stopping. A call is short and is still served. A stream
that the end of the process would cut off is refused at once, so that its caller goes to
another instance and gets a complete answer there.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericusher.decisions.routing import RequestKind

ACCEPT_SHARE = 0.35
"""Share of the shutdown time in which new connections are still accepted: callers keep
the addresses they were given for some seconds."""

EXIT_MARGIN_S = 0.15
"""Seconds reserved for closing down before the process is killed."""

FIRST_GUESS_S = 5.0
"""Assumed duration in seconds while no stream has ended: near that of a typical one."""

SMOOTHING = 1 / 8
DEVIATIONS = 2.0
"""Mean and mean deviation are smoothed as TCP smooths round-trip times (RFC 6298)."""


@dataclass(slots=True)
class DurationEstimate:
    """The duration of streams in seconds: a smoothed mean and mean deviation."""

    mean_s: float = FIRST_GUESS_S
    deviation_s: float = 0.0
    is_learned: bool = False

    def learn(self, duration_s: float) -> None:
        """Record the duration of a stream that completed."""
        if not self.is_learned:
            self.is_learned = True
            self.mean_s, self.deviation_s = duration_s, duration_s / 4
            return
        error_s = duration_s - self.mean_s
        self.mean_s += SMOOTHING * error_s
        self.deviation_s += SMOOTHING * (abs(error_s) - self.deviation_s)

    def likely_longest_s(self) -> float:
        """Return a duration in seconds that few streams exceed."""
        return self.mean_s + DEVIATIONS * self.deviation_s


@dataclass(slots=True)
class RelayStop:
    """Decides during a shutdown what an instance accepts; times are monotonic seconds.

    `limit_s` is the time from the signal to the kill. `begun_at` is the time of the
    signal, None before. `stream_duration` estimates how long streams last.
    """

    limit_s: float
    asked_at: float | None = None
    streams: DurationEstimate = field(default_factory=DurationEstimate)

    def ask(self, now: float) -> None:
        """Begin the shutdown; a second signal changes nothing."""
        if self.asked_at is None:
            self.asked_at = now

    def is_asked(self) -> bool:
        """Whether the shutdown has begun."""
        return self.asked_at is not None

    def accepts_until(self) -> float:
        """Return the time until which new connections are accepted."""
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

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

OTHER_INSTANCE_RETRY_S = 0.0
"""Retry-After of a stopping instance in seconds: other instances accept at once."""

LAST_ANSWERS_S = 0.1
"""Seconds before the end in which requests that still run get an answer that says so:
without one, a caller could not tell it from a failed connection."""

INITIAL_DURATION_S = 5.0
"""Assumed duration in seconds while no stream has ended: near that of a typical one."""

SMOOTHING = 1 / 8
DEVIATIONS = 2.0
"""Mean and mean deviation are smoothed as TCP smooths round-trip times (RFC 6298)."""


@dataclass(slots=True)
class DurationEstimate:
    """The duration of streams in seconds: a smoothed mean and mean deviation."""

    mean_s: float = INITIAL_DURATION_S
    deviation_s: float = 0.0
    has_samples: bool = False

    def record_duration(self, duration_s: float) -> None:
        """Record the duration of a stream that completed."""
        if not self.has_samples:
            self.has_samples = True
            self.mean_s, self.deviation_s = duration_s, duration_s / 4
            return
        error_s = duration_s - self.mean_s
        self.mean_s += SMOOTHING * error_s
        self.deviation_s += SMOOTHING * (abs(error_s) - self.deviation_s)

    def upper_estimate_s(self) -> float:
        """Return a duration in seconds that few streams exceed."""
        return self.mean_s + DEVIATIONS * self.deviation_s


@dataclass(slots=True)
class RelayStop:
    """Decides during a shutdown what an instance accepts; times are monotonic seconds.

    `limit_s` is the time from the signal to the kill. `begun_at` is the time of the
    signal, None before. `stream_duration` estimates how long streams last.
    """

    limit_s: float
    begun_at: float | None = None
    stream_duration: DurationEstimate = field(default_factory=DurationEstimate)

    def begin(self, now: float) -> None:
        """Begin the shutdown; a second signal changes nothing."""
        if self.begun_at is None:
            self.begun_at = now

    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self.begun_at is not None

    def accepts_until(self) -> float:
        """Return the time until which new connections are accepted."""
        assert self.begun_at is not None
        return self.begun_at + ACCEPT_SHARE * self.limit_s

    def ends_at(self) -> float:
        """Return the time at which the process ends whatever still runs."""
        assert self.begun_at is not None
        return self.begun_at + self.limit_s - EXIT_MARGIN_S

    def gives_up_at(self) -> float:
        """Return the time at which requests that still run are ended with an error."""
        return self.ends_at() - LAST_ANSWERS_S

    def can_accept(self, kind: RequestKind, now: float) -> bool:
        """Whether a new request is likely to end before the process does."""
        if self.begun_at is None:
            return True
        if not kind.is_stream:
            return now < self.ends_at()
        return now + self.stream_duration.upper_estimate_s() <= self.ends_at()

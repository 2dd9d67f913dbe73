"""How many events streams have, by which a stream that is nearly done is recognized."""

from __future__ import annotations

from dataclasses import dataclass, field

SMOOTHING = 1 / 8
"""Weight of the newest stream in the mean, as for durations of streams."""

NEARLY_DONE_SHARE = 0.8
"""Share of the mean number of events from which on a stream is nearly done."""


@dataclass(slots=True)
class StreamLengths:
    """The smoothed mean number of events of the complete streams of each service."""

    means: dict[str, float] = field(default_factory=dict)

    def record_length(self, service: str, events: int) -> None:
        """Record the number of events of a stream that completed."""
        mean = self.means.get(service, float(events))
        self.means[service] = mean + SMOOTHING * (events - mean)

    def is_nearly_done(self, service: str, position: int | None) -> bool:
        """Whether a stream with so many events is likely to have few to come."""
        mean = self.means.get(service)
        if mean is None or position is None:
            return False
        return position >= NEARLY_DONE_SHARE * mean

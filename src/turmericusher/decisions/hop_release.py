"""Taking a forwarded stream back: it goes on only after the other instance let go.

Closing the connection does not end a run whose instance does not see that, as when
both are cut off from each other, or only one end was reset. So the other instance is
asked to end it, and the stream waits until that has answered, or cannot run it any more
because its lease is over (see `hop_leases`).
"""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptFailed,
    EndHop,
    RelayAction,
)
from turmericusher.decisions.relay_state import RelayAttempt, RelayState

OPEN_END_CAUSES = frozenset(
    {
        AttemptCause.LOST,
        AttemptCause.MALFORMED,
        AttemptCause.SILENT,
        AttemptCause.UNANSWERED,
    }
)
"""Causes after which the instance to which a stream was forwarded may still run it. The
others are answers, after which it does not, or show that it never had it."""


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A forwarded attempt that failed and may run elsewhere until `ends_by`."""

    attempt: RelayAttempt
    failure: AttemptFailed
    ends_by: float


@dataclass(slots=True)
class HopReleasing(RelayState):
    """Holds the failure of a forwarded attempt back until the other instance let go."""

    release: PendingRelease | None = None

    def must_be_released(
        self, attempt: RelayAttempt, event: AttemptFailed, now: float
    ) -> bool:
        """Whether another instance may still run an attempt that has failed."""
        hop = attempt.forwarded
        if hop is None or event.cause not in OPEN_END_CAUSES:
            return False
        return now < hop.ends_by(attempt.first_event_at)

    def ask_for_release(
        self, attempt: RelayAttempt, event: AttemptFailed
    ) -> list[RelayAction]:
        """Have the other instance end its run, and wait for that."""
        hop = attempt.forwarded
        assert hop is not None
        self.shared.totals.hop_releases += 1
        self.may_have_run = True
        ends_by = hop.ends_by(attempt.first_event_at)
        self.release = PendingRelease(attempt, event, ends_by)
        return [EndHop(attempt.number, hop, ends_by)]

    def release_is_due(self, now: float) -> bool:
        """Whether the other instance has let go because its lease is over."""
        return self.release is not None and now >= self.release.ends_by

    def take_released(self) -> PendingRelease:
        """Return the attempt that the other instance let go; it must not run again."""
        release, self.release = self.release, None
        assert release is not None
        release.attempt.forwarded = None
        return release

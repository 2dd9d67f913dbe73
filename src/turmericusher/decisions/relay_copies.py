"""Copies of a stream's memory: when one is made anew, and when it is freed."""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.relay_messages import (
    CheckHolder,
    CopyMemory,
    HolderChecked,
    RelayAction,
    ReleaseCopy,
)
from turmericusher.decisions.relay_placing import RelayPlacing
from turmericusher.decisions.relay_state import RelayAttempt
from turmericusher.decisions.routing import RequestKind

COPY_RENEWAL_S = 2.5
"""Age at which a copy made on request is brought up to date: well within the time for
which its holder keeps it."""

COPY_RETRY_S = 1.0
"""Pause between requests for a copy of one attempt."""


@dataclass(slots=True)
class RelayCopies(RelayPlacing):
    """Keeps a copy of a running stream's memory elsewhere."""

    def renew_copy(self, attempt: RelayAttempt, now: float) -> list[RelayAction]:
        """Ask for a new copy where the holder of the last one is gone.

        Load: domains that crash in turn. The holder often crashes before the stream's
        own engine does, and going on without a copy means to read the prompt again. A
        copy made on request ages, and is brought up to date from time to time.
        """
        if self.kind is not RequestKind.RESUMABLE_STREAM or attempt.is_copying:
            return []
        if not self.routed.service.moves_copies:
            return []
        is_held = attempt.copy is not None and self.is_there(attempt.copy.holder)
        if is_held and now - (attempt.copied_at or now) < COPY_RENEWAL_S:
            return []
        if now - (attempt.copy_asked_at or -COPY_RETRY_S) < COPY_RETRY_S:
            return []
        target = attempt.copy.holder if is_held and attempt.copy else None
        target = target or self.choose_standby(attempt.upstream, now)
        if target is None:
            return []
        attempt.is_copying, attempt.copy_asked_at = True, now
        return [CopyMemory(attempt.number, attempt.upstream, target)]

    def check_holder(self, attempt: RelayAttempt, now: float) -> list[RelayAction]:
        """Ask the holder of an attempt's copy whether it is still there, if it is time.

        One that started again, or whose address another upstream has, is listed as
        before for some seconds.
        """
        copy, holders = attempt.copy, self.shared.holders
        if copy is None or not self.routed.service.moves_copies:
            return []
        if not self.is_there(copy.holder) or not holders.is_due(copy.holder, now):
            return []
        holders.note_asked(copy.holder, now)
        return [CheckHolder(attempt.number, copy.holder)]

    def note_holder(self, event: HolderChecked) -> None:
        """Take in whether a holder is still the one that got its copies."""
        report, holder = event.report, event.holder
        self.shared.holders.note_answer(holder, event.at, report is not None)
        if report is not None:
            self.confirm_life(report, holder)
        if not self.is_there(holder):
            self.lost_domains[holder.failure_domain] = event.at

    def release_copies(self) -> list[RelayAction]:
        """Free the copies made on request; standing ones end with their attempt."""
        return [
            ReleaseCopy(attempt.copy)
            for attempt in self.attempts.values()
            if attempt.copy is not None and attempt.copied_at is not None
        ]

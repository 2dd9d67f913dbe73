"""Copies of a stream's KV cache on a standby: when they are renewed and freed."""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.placing.relay_placing import RelayPlacing
from turmericusher.decisions.relay_messages import (
    CheckHolder,
    CopyMemory,
    HolderChecked,
    MemoryCopy,
    RelayAction,
    ReleaseCopy,
)
from turmericusher.decisions.relay_state import RelayAttempt
from turmericusher.decisions.routing import RequestKind

COPY_RENEWAL_S = 2.5
"""Age in seconds at which a requested copy is renewed; its holder keeps it for clearly
longer than that."""

COPY_RETRY_S = 1.0
"""Minimum seconds between two requests for a copy of the same attempt, unless one was
refused."""

MAX_COPY_REPEATS = 2
"""Requests at other upstreams at once after a copy was refused, before the pause: where
a few have no room, most have none."""


@dataclass(slots=True)
class RelayCopies(RelayPlacing):
    """Keeps a copy of a running stream's KV cache on another upstream."""

    def renew_copy(self, attempt: RelayAttempt, now: float) -> list[RelayAction]:
        """Request a new copy if the holder of the last one is lost or the copy is old.

        Load: failure domains that crash in turn. The holder often crashes before the
        stream's own engine, and a resume without a copy needs a full prefill. Only a
        requested copy ages; the upstream itself keeps the first one up to date.
        """
        if self.kind is not RequestKind.RESUMABLE_STREAM or attempt.is_copy_pending:
            return []
        if attempt.is_forward or attempt.is_stopping:
            return []
        if not self.routed.service.moves_copies:
            return []
        has_current_copy = attempt.copy is not None and self.is_holder_current(
            attempt.copy.holder
        )
        if has_current_copy and now - (attempt.copied_at or now) < COPY_RENEWAL_S:
            return []
        if now - (attempt.copy_requested_at or -COPY_RETRY_S) < COPY_RETRY_S:
            return []
        attempt.copy_refused_by.clear()
        if self.shared.gate.is_paused(attempt.upstream.name, now):
            return []
        if has_current_copy and attempt.copy is not None:
            return self.request_copy(attempt, attempt.copy.holder, now)
        if self.is_overtaken(now) and self.is_room_short(attempt.upstream, now):
            # More urgent streams need what room there is.
            attempt.copy_requested_at = now
            self.shared.totals.copies_deferred += 1
            return []
        return self.request_copy_elsewhere(attempt, now)

    def request_copy_elsewhere(
        self, attempt: RelayAttempt, now: float
    ) -> list[RelayAction]:
        """Request a copy at an upstream that has not just refused one."""
        target = self.choose_standby(attempt.upstream, now, attempt.copy_refused_by)
        return [] if target is None else self.request_copy(attempt, target, now)

    def request_copy(
        self, attempt: RelayAttempt, target: UpstreamInstance, now: float
    ) -> list[RelayAction]:
        """Have the attempt's upstream make a copy on `target`."""
        attempt.is_copy_pending, attempt.copy_requested_at = True, now
        attempt.copy_target = target.name
        self.shared.rooms.take(target.name, self.copy_size())
        return [CopyMemory(attempt.number, attempt.upstream, target)]

    def record_copy(
        self, attempt: RelayAttempt, copy: MemoryCopy, now: float
    ) -> list[RelayAction]:
        """Record a copy that was made, and free a requested one that it replaces."""
        former = attempt.copy if attempt.copied_at is not None else None
        attempt.copy, attempt.copied_at = copy, now
        attempt.copy_refused_by.clear()
        self.shared.holders.record_seen(copy.holder, self.now)
        self.shared.totals.copies_renewed += 1
        if former is None or former.holder.name == copy.holder.name:
            return []
        return [ReleaseCopy(former)]

    def repeat_copy(self, attempt: RelayAttempt, now: float) -> list[RelayAction]:
        """Request a copy elsewhere at once after one was refused, a few times in a row.

        A request that took long was rather lost than refused.
        """
        if not self.chooses_by_room:
            return []
        attempt.copy_refused_by.add(attempt.copy_target)
        is_late = now - (attempt.copy_requested_at or now) >= COPY_RETRY_S
        if is_late or len(attempt.copy_refused_by) > MAX_COPY_REPEATS:
            return []
        if self.shared.gate.is_paused(attempt.upstream.name, now):
            return []
        actions = self.request_copy_elsewhere(attempt, now)
        self.shared.totals.copies_repeated += len(actions)
        return actions

    def check_holder(self, attempt: RelayAttempt, now: float) -> list[RelayAction]:
        """Query the holder of an attempt's copy if a check is due.

        A holder that restarted, or whose address now belongs to another upstream, stays
        in the instance list for some seconds, so the list does not reveal it.
        """
        copy, holders = attempt.copy, self.shared.holders
        if copy is None or not self.routed.service.moves_copies:
            return []
        if not self.is_holder_current(copy.holder) or not holders.is_due(
            copy.holder, now
        ):
            return []
        if self.shared.gate.is_paused(copy.holder.name, now):
            return []
        holders.record_check(copy.holder, now)
        return [CheckHolder(attempt.number, copy.holder)]

    def record_holder_check(self, event: HolderChecked) -> None:
        """Record the result of a holder check; avoid the domain of a lost holder."""
        report, holder = event.report, event.holder
        self.shared.holders.record_result(holder, event.at, report is not None)
        if report is not None:
            self.confirm_incarnation(report, holder)
        if not self.is_holder_current(holder):
            self.lost_domains[holder.failure_domain] = event.at

    def release_copies(self) -> list[RelayAction]:
        """Free the requested copies; the upstream frees its own with the attempt."""
        return [
            ReleaseCopy(attempt.copy)
            for attempt in self.attempts.values()
            if attempt.copy is not None and attempt.copied_at is not None
        ]

"""What becomes of the runs that a relayed stream leaves at its upstreams.

A stalled or lost stream whose upstream answers has its run stopped before it goes on.
Any other run that was left is found out about beside the request (`run_ends`).
"""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.placing.selection import PickRequest
from turmericusher.decisions.relay_copies import RelayCopies
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptFailed,
    RelayAction,
    SettleRun,
    StopRun,
)
from turmericusher.decisions.relay_state import RelayAttempt, RelayState
from turmericusher.decisions.routing import RequestKind
from turmericusher.decisions.run_ends import START_DELAY_S, LeftRelayRun

MAX_STOPS = 2
"""Orders to stop that are awaited for one attempt. A further one is given beside the
request."""

ENDED_CAUSES = frozenset(
    {
        AttemptCause.OVERLOADED,
        AttemptCause.MISDIRECTED,
        AttemptCause.NO_COPY,
        AttemptCause.UNREACHABLE,
        AttemptCause.FAILED,
        AttemptCause.REFUSED,
        AttemptCause.UNRECORDED,
    }
)
"""Causes after which no upstream works on the attempt. A lost connection is none of
them: it may be lost at this end only."""


@dataclass(slots=True)
class RelayLeftRuns(RelayCopies):
    """Stops the runs of attempts that are given up, and has their ends found out."""

    def may_be_stopped(self, attempt: RelayAttempt) -> bool:
        """Whether the upstream of an attempt may run it and takes orders to stop."""
        if not attempt.is_connected or attempt.is_forward:
            return False
        is_resumable = self.kind is RequestKind.RESUMABLE_STREAM
        return is_resumable and self.routed.service.moves_copies

    def order_stop(
        self, attempt: RelayAttempt, cause: AttemptCause, reason: str, now: float
    ) -> list[RelayAction]:
        """Have the run of an attempt stopped, if that is possible.

        A silent upstream gets no order, which it would find when it goes on.
        """
        target = self.stop_target(attempt, now)
        if target is None or self.is_silent(attempt) or attempt.stops >= MAX_STOPS:
            return []
        attempt.is_stopping = True
        attempt.stops += 1
        attempt.stop_cause, attempt.stop_reason = cause, reason
        return [StopRun(attempt.number, attempt.upstream, target)]

    def stop_target(self, attempt: RelayAttempt, now: float) -> UpstreamInstance | None:
        """Return where the last copy of a run may go; None if it cannot be stopped.

        That is where the stream goes on best, or else any other upstream.
        """
        if not self.may_be_stopped(attempt):
            return None
        if attempt.copy is not None and self.is_holder_current(attempt.copy.holder):
            return attempt.copy.holder
        standby = self.choose_standby(attempt.upstream, now)
        return standby or self.settle_target(attempt)

    def must_ask_about_loss(
        self, attempt: RelayAttempt, event: AttemptFailed, now: float
    ) -> bool:
        """Whether an upstream is asked before its lost stream goes on elsewhere.

        It may stand still, with its connection reset at this end only.
        """
        if event.cause is not AttemptCause.LOST or now >= self.deadline():
            return False
        is_paused = self.shared.gate.is_paused(attempt.upstream.name, now)
        return self.may_be_stopped(attempt) and not is_paused

    def settle_run(
        self, attempt: RelayAttempt, cause: AttemptCause, now: float
    ) -> list[RelayAction]:
        """Have the end of an attempt's run found out, unless its failure shows that."""
        if cause in ENDED_CAUSES or attempt.is_stopped or now >= self.deadline():
            return []
        if not self.may_be_stopped(attempt):
            return []
        may_start_s = 0.0 if attempt.has_event else START_DELAY_S
        run = LeftRelayRun(
            request_id=self.request.request_id,
            upstream=attempt.upstream,
            left_at=now,
            deadline=self.deadline(),
            may_start_until=now + may_start_s,
            target=self.settle_target(attempt),
        )
        return [SettleRun(run, cause)]

    def settle_target(self, attempt: RelayAttempt) -> UpstreamInstance:
        """Return an upstream that an order to stop may name for a copy to be freed.

        It is not the holder that the stream may go on from. Where there is no other
        one, the copy fails, and the run is stopped all the same.
        """
        names = {attempt.upstream.name}
        if attempt.copy is not None:
            names.add(attempt.copy.holder.name)
        service = self.routed.service.name
        others = PickRequest(service, excluded=frozenset(names))
        found = self.shared.selector.sample(others, 1)
        return found[0] if found else attempt.upstream

    def cancel_all(self) -> list[RelayAction]:
        """Cancel every live attempt, and have the ends of their runs found out.

        The connection of one may be dead, so that closing it would not stop the run.
        """
        settles = [
            action
            for attempt in self.attempts.values()
            for action in self.settle_run(attempt, AttemptCause.CANCELED, self.now)
        ]
        return [*RelayState.cancel_all(self), *settles]

"""Admission control: which requests run now, which wait and which are refused at once.

One `ServiceAdmission` decides for one service on one entry instance. A ticket stands
for one request that waits for a slot or holds one. The admission guarantees that a
ticket is refused as soon as the measured service rate shows that it cannot start in
time, and that a refused ticket never ran.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from turmericusher.decisions.fair_queue import (
    RESUME_RANK,
    FairQueue,
    QueuedTicket,
    Ticket,
    ticket_rank,
)
from turmericusher.errors import ErrorCode

MAX_QUEUED_SHARE = 0.75
"""Largest part of a ticket's allowed wait that it may spend in the queue. The rest is
left to the caller, who needs time to try another instance."""
ARRIVAL_WAIT_FACTOR = 2.0
"""How many times the predicted wait must fit into the allowed queueing time before a
new ticket is queued: an immediate refusal is worth more to the caller than one after
waiting."""
QUEUED_WAIT_TOLERANCE = 1.25
"""Factor by which a prediction may exceed the time left before a queued ticket is
refused, so that a noisy prediction does not refuse tickets that would have started in
time."""
RESUME_RESERVE_SHARE = 1 / 16
"""Part of the slots that is reserved for resumes."""
SMOOTHING_FACTOR = 1 / 16
"""Weight of a new measurement in the moving average of the service time."""
STALLED_INTERVALS = 4
"""The service counts as stalled if no slot came free for this many mean intervals
between releases plus one mean service time."""
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 30.0
RETRY_JITTER = 0.25
DEFAULT_QUEUE_LIMIT = 1024


@dataclass(frozen=True, slots=True)
class Admit:
    """Tells that the ticket `number` holds a slot from now on."""

    number: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tells that the ticket `number` did not run and never will.

    The caller may repeat the request after `retry_after_s` seconds.
    """

    number: int
    code: ErrorCode
    message: str
    retry_after_s: float


AdmissionAction = Admit | Refuse


@dataclass(slots=True)
class RunningTicket:
    """A ticket that has held a slot since `started_at` (monotonic seconds)."""

    queued: QueuedTicket
    started_at: float


@dataclass(slots=True)
class ServiceAdmission:
    """The slots and the queue of one service.

    `limit` is the number of requests that this instance may run at once.
    `mean_service_time_s` is the moving average of the time that a slot was held, None
    before the first release. `last_release_at` is the monotonic time of the latest
    release, or of the start of the first ticket after an idle time.
    """

    service: str
    random: random.Random
    limit: int = 0
    queue_limit: int = DEFAULT_QUEUE_LIMIT
    queue: FairQueue = field(default_factory=FairQueue)
    running: dict[int, RunningTicket] = field(default_factory=dict)
    mean_service_time_s: float | None = None
    last_release_at: float = 0.0

    def submit(self, number: int, ticket: Ticket, now: float) -> list[AdmissionAction]:
        """Admit, queue or refuse a new ticket, and return all resulting actions."""
        if self.limit <= 0:
            text = f"service={self.service!r} has no live upstream; repeat later"
            return [self.refusal(number, ErrorCode.NO_UPSTREAM, text, 0.0)]
        budget_s = ticket.deadline - now
        if budget_s <= 0:
            text = f"deadline passed {-budget_s:.3f} s ago; allow a longer wait"
            return [self.refusal(number, ErrorCode.WAIT_EXCEEDED, text, 0.0)]
        self.estimate_from_running(now)
        wait_s = self.predicted_wait_s(self.queue.cost_ahead_s(ticket), ticket, now)
        if wait_s * ARRIVAL_WAIT_FACTOR > budget_s * MAX_QUEUED_SHARE:
            return [self.wait_refusal(number, wait_s, budget_s * MAX_QUEUED_SHARE)]
        latest_start = now + budget_s * MAX_QUEUED_SHARE
        cost_s = ticket.expected_service_s
        queued = QueuedTicket(number, ticket, now, latest_start, cost_s)
        actions = self.evict_if_full(queued)
        if not any(action.number == number for action in actions):
            self.queue.push(queued)
        return actions + self.admit_waiting(now)

    def remove(self, number: int, now: float) -> list[AdmissionAction]:
        """Release the slot of a running ticket, or remove a waiting one from the queue.

        Unknown numbers are ignored, because callers also release refused tickets.
        Returns the actions that the freed slot allows.
        """
        running = self.running.pop(number, None)
        if running is None:
            self.queue.remove(number)
            return self.admit_waiting(now)
        held_s = now - running.started_at
        self.queue.finish(running.queued, held_s)
        self.record_service_time(held_s)
        self.last_release_at = now
        return self.admit_waiting(now)

    def set_limit(self, limit: int, now: float) -> list[AdmissionAction]:
        """Change the number of slots; running tickets keep theirs above a new limit."""
        self.limit = max(0, limit)
        return self.tick(now)

    def tick(self, now: float) -> list[AdmissionAction]:
        """Admit waiting tickets and refuse those that can no longer start in time."""
        self.estimate_from_running(now)
        actions = self.admit_waiting(now)
        ahead_s = 0.0
        for queued in list(self.queue.service_order()):
            wait_s = self.predicted_wait_s(ahead_s, queued.ticket, now)
            if now + wait_s / QUEUED_WAIT_TOLERANCE > queued.latest_start:
                self.queue.remove(queued.number)
                left_s = max(0.0, queued.latest_start - now)
                actions.append(self.wait_refusal(queued.number, wait_s, left_s))
            else:
                ahead_s += self.queue.expected_cost_s(queued)
        return actions

    def admit_waiting(self, now: float) -> list[AdmissionAction]:
        """Give free slots to waiting tickets, in the order of the queue.

        Tickets that are past their latest start are refused.
        """
        actions: list[AdmissionAction] = []
        while len(self.running) < self.limit:
            only_resumes = len(self.running) >= self.new_work_limit()
            queued = self.queue.pop(only_resumes)
            if queued is None:
                break
            if now > queued.latest_start:
                self.queue.finish(queued, 0.0)
                late_s = now - queued.latest_start
                actions.append(self.wait_refusal(queued.number, late_s, 0.0))
                continue
            if not self.running:
                self.last_release_at = now
            self.running[queued.number] = RunningTicket(queued, now)
            actions.append(Admit(queued.number))
        return actions

    def new_work_limit(self) -> int:
        """Return the number of slots open to new work; resumes may use all of them."""
        if self.limit <= 1:
            return self.limit
        return self.limit - max(1, int(self.limit * RESUME_RESERVE_SHARE))

    def evict_if_full(self, incoming: QueuedTicket) -> list[AdmissionAction]:
        """Refuse one ticket if the queue is full.

        The incoming ticket is refused unless it is more urgent than the eviction
        candidate. With the same rank, it is refused unless its team would still have
        fewer tickets waiting at that rank than the candidate's team.
        """
        if len(self.queue.waiting) < self.queue_limit:
            return []
        text = f"queue of service={self.service!r} is full ({self.queue_limit} tickets)"
        evicted = self.queue.eviction_candidate()
        if evicted is None or not self.outranks(incoming, evicted):
            return [self.overload_refusal(incoming.number, text)]
        self.queue.remove(evicted.number)
        return [self.overload_refusal(evicted.number, text)]

    def outranks(self, incoming: QueuedTicket, evicted: QueuedTicket) -> bool:
        """Whether an incoming ticket may evict a queued one."""
        incoming_rank = ticket_rank(incoming.ticket)
        evicted_rank = ticket_rank(evicted.ticket)
        if incoming_rank != evicted_rank:
            return incoming_rank < evicted_rank
        incoming_waiting = self.queue.waiting_count(incoming_rank, incoming.ticket.team)
        return incoming_waiting + 1 < self.queue.waiting_count(
            evicted_rank, evicted.ticket.team
        )

    def predicted_wait_s(self, ahead_s: float, ticket: Ticket, now: float) -> float:
        """Return the seconds until a ticket starts behind `ahead_s` slot-seconds.

        Assumes that slots come free at the rate (slots / mean time held).
        """
        limit = (
            self.limit if ticket_rank(ticket) == RESUME_RANK else self.new_work_limit()
        )
        if limit <= 0:
            return float("inf")
        # Slots that must come free before one is free for this ticket.
        missing = max(0, len(self.running) - limit + 1)
        if not missing and not ahead_s:
            return 0.0
        mean_s = self.queue.mean_cost_s
        free_slots = max(0, limit - len(self.running))
        backlog_s = max(0.0, ahead_s - free_slots * mean_s)
        queue_wait_s = (missing * mean_s + backlog_s) / limit
        return queue_wait_s + self.stall_s(limit, now)

    def stall_s(self, limit: int, now: float) -> float:
        """Return the seconds since a slot came free if the service stalled, else 0."""
        if self.mean_service_time_s is None or len(self.running) < limit:
            return 0.0
        expected_s = STALLED_INTERVALS * self.mean_service_time_s / limit
        since_release_s = now - self.last_release_at
        return (
            since_release_s
            if since_release_s > expected_s + self.mean_service_time_s
            else 0.0
        )

    def estimate_from_running(self, now: float) -> None:
        """Use the longest running time as the mean until the first slot comes free.

        Otherwise a burst at the start would be queued with no estimate of the service.
        """
        if self.mean_service_time_s is None and self.running:
            oldest = min(entry.started_at for entry in self.running.values())
            self.queue.mean_cost_s = max(self.queue.mean_cost_s, now - oldest)

    def record_service_time(self, held_s: float) -> None:
        """Add a measured slot time to the moving average."""
        if self.mean_service_time_s is None:
            self.mean_service_time_s = held_s
        else:
            self.mean_service_time_s += SMOOTHING_FACTOR * (
                held_s - self.mean_service_time_s
            )
        self.queue.mean_cost_s = self.mean_service_time_s

    def wait_refusal(self, number: int, wait_s: float, allowed_s: float) -> Refuse:
        """Return the refusal of a ticket whose predicted wait is too long."""
        text = (
            f"predicted wait of {wait_s:.2f} s for service={self.service!r} exceeds "
            f"the {allowed_s:.2f} s left; repeat after the time given"
        )
        return self.refusal(
            number, ErrorCode.WAIT_EXCEEDED, text, min(wait_s - allowed_s, 1e9)
        )

    def overload_refusal(self, number: int, text: str) -> Refuse:
        """Return the refusal of a ticket that does not fit into the queue."""
        wait_s = len(self.queue.waiting) * self.queue.mean_cost_s
        return self.refusal(
            number, ErrorCode.OVERLOADED, text, wait_s / max(1, self.limit)
        )

    def refusal(
        self, number: int, code: ErrorCode, message: str, after_s: float
    ) -> Refuse:
        """Return a refusal; random jitter spreads the repeats of refused callers."""
        bounded_s = min(max(after_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        jitter = self.random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return Refuse(number, code, message, bounded_s * jitter)

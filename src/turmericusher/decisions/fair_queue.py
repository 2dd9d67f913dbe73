"""A queue ordered by urgency, then fairly by team, then by deadline.

Teams of one rank share by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996)
with many requests in service at once, as in SFQ(D) (Jin, Chase and Kaur, SIGMETRICS
2004). A flow is one team's work of one rank. It exists only while it has work queued or
running, so that memory does not grow with the number of teams.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

DEFAULT_COST_S = 1.0
"""Mean cost in slot-seconds that is assumed before the first measurement."""
RESUME_RANK = -1
"""The rank of resumes; lower than every urgency, so that they run first."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """One request that waits to run.

    `urgency` is 0 for the most urgent. `deadline` is the monotonic time in seconds by
    which it must have started. `expected_service_s` is the time in seconds for which it
    will hold its slot, None if that is not known.
    """

    team: str
    urgency: int
    deadline: float
    service: str
    is_resume: bool = False
    expected_service_s: float | None = None


@dataclass(frozen=True, slots=True)
class QueuedTicket:
    """A waiting ticket, which must start by the monotonic time `latest_start` or never.

    `cost_s` is the expected time in its slot in seconds, None to use the mean.
    """

    number: int
    ticket: Ticket
    arrived_at: float
    latest_start: float
    cost_s: float | None = None


@dataclass(slots=True)
class Flow:
    """One team's work of one rank; `tag` is its start tag in slot-seconds."""

    team: str
    tag: float = 0.0
    waiting: list[QueuedTicket] = field(default_factory=list)
    running: int = 0


@dataclass(slots=True)
class Rank:
    """The flows of one rank and their virtual time in slot-seconds."""

    virtual_time: float = 0.0
    flows: dict[str, Flow] = field(default_factory=dict)


@dataclass(slots=True)
class FairQueue:
    """All waiting tickets of one service.

    `mean_cost_s` is the cost of a ticket that has no `cost_s` of its own. It is looked
    up at the time of use, so that tickets that arrived before the first measurement
    use later ones. `billed_s` holds the slot-seconds by which the start tag was
    advanced for each running ticket.
    """

    ranks: dict[int, Rank] = field(default_factory=dict)
    waiting: dict[int, QueuedTicket] = field(default_factory=dict)
    mean_cost_s: float = DEFAULT_COST_S
    billed_s: dict[int, float] = field(default_factory=dict)

    def expected_cost_s(self, queued: QueuedTicket) -> float:
        """Return the slot-seconds that a ticket is expected to use."""
        return queued.cost_s if queued.cost_s is not None else self.mean_cost_s

    def push(self, queued: QueuedTicket) -> None:
        """Add a ticket to its team's flow."""
        rank = self.ranks.setdefault(ticket_rank(queued.ticket), Rank())
        flow = rank.flows.get(queued.ticket.team)
        if flow is None:
            flow = Flow(queued.ticket.team)
            rank.flows[flow.team] = flow
        if not flow.waiting:
            flow.tag = max(flow.tag, rank.virtual_time)
        bisect.insort(flow.waiting, queued, key=deadline_sort_key)
        self.waiting[queued.number] = queued

    def remove(self, number: int) -> QueuedTicket | None:
        """Remove and return a ticket that will not run; None if it is not waiting."""
        queued = self.waiting.pop(number, None)
        if queued is None:
            return None
        flow = self.ranks[ticket_rank(queued.ticket)].flows[queued.ticket.team]
        flow.waiting.remove(queued)
        self.drop_idle(queued.ticket)
        return queued

    def pop(self, only_resumes: bool = False) -> QueuedTicket | None:
        """Remove and return the ticket that runs next, and bill its team for it."""
        rank_number = min(
            (number for number, rank in self.ranks.items() if has_waiting(rank)),
            default=None,
        )
        if rank_number is None or (only_resumes and rank_number != RESUME_RANK):
            return None
        rank = self.ranks[rank_number]
        backlogged = (flow for flow in rank.flows.values() if flow.waiting)
        flow = min(backlogged, key=lambda f: (f.tag, deadline_sort_key(f.waiting[0])))
        queued = flow.waiting.pop(0)
        rank.virtual_time = max(rank.virtual_time, flow.tag)
        self.billed_s[queued.number] = self.expected_cost_s(queued)
        flow.tag += self.billed_s[queued.number]
        flow.running += 1
        del self.waiting[queued.number]
        return queued

    def finish(self, queued: QueuedTicket, held_s: float) -> None:
        """Replace a finished ticket's expected cost by the time its slot was held."""
        flow = self.ranks[ticket_rank(queued.ticket)].flows[queued.ticket.team]
        flow.running -= 1
        flow.tag += held_s - self.billed_s.pop(queued.number)
        self.drop_idle(queued.ticket)

    def drop_idle(self, ticket: Ticket) -> None:
        """Drop a ticket's flow, and its rank, if nothing is queued or running there."""
        rank_number = ticket_rank(ticket)
        rank = self.ranks[rank_number]
        flow = rank.flows[ticket.team]
        if not flow.waiting and not flow.running:
            del rank.flows[ticket.team]
        if not rank.flows:
            del self.ranks[rank_number]

    def cost_ahead_s(self, ticket: Ticket) -> float:
        """Return the slot-seconds that would be served before a new ticket."""
        rank_number = ticket_rank(ticket)
        ahead = sum(
            self.expected_cost_s(queued)
            for queued in self.waiting.values()
            if ticket_rank(queued.ticket) < rank_number
        )
        rank = self.ranks.get(rank_number)
        if rank is None:
            return ahead
        own = rank.flows.get(ticket.team)
        own_ahead = self.own_cost_ahead_s(own, ticket)
        start = rank.virtual_time + own_ahead
        if own is not None:
            start = max(own.tag, rank.virtual_time) + own_ahead
        others = (flow for flow in rank.flows.values() if flow is not own)
        return (
            ahead + own_ahead + sum(self.cost_before_s(flow, start) for flow in others)
        )

    def own_cost_ahead_s(self, flow: Flow | None, ticket: Ticket) -> float:
        """Return the slot-seconds of the team's own tickets with earlier deadlines."""
        if flow is None:
            return 0.0
        return sum(
            self.expected_cost_s(queued)
            for queued in flow.waiting
            if queued.ticket.deadline <= ticket.deadline
        )

    def cost_before_s(self, flow: Flow, start: float) -> float:
        """Return the slot-seconds of a flow that start no later than a start tag."""
        tag = flow.tag
        cost = 0.0
        for queued in flow.waiting:
            if tag > start:
                break
            cost += self.expected_cost_s(queued)
            tag += self.expected_cost_s(queued)
        return cost

    def service_order(self) -> Iterator[QueuedTicket]:
        """Yield the waiting tickets in the order in which they would run."""
        for number in sorted(self.ranks):
            tagged = []
            for flow in self.ranks[number].flows.values():
                tag = flow.tag
                for queued in flow.waiting:
                    tagged.append((tag, deadline_sort_key(queued), queued))
                    tag += self.expected_cost_s(queued)
            tagged.sort(key=lambda entry: entry[:2])
            yield from (queued for _, _, queued in tagged)

    def eviction_candidate(self) -> QueuedTicket | None:
        """Return the ticket to evict first: from the least urgent rank, longest flow.

        Evicting from the longest flow prevents a large team from filling the queue at
        the expense of a small one. Resumes are never evicted for new work.
        """
        numbers = (
            number
            for number, rank in self.ranks.items()
            if number != RESUME_RANK and has_waiting(rank)
        )
        rank_number = max(numbers, default=None)
        if rank_number is None:
            return None
        flows = self.ranks[rank_number].flows.values()
        longest = max(flows, key=lambda flow: (len(flow.waiting), flow.team))
        return longest.waiting[-1]

    def waiting_count(self, rank_number: int, team: str) -> int:
        """Return the number of tickets that a team has waiting in a rank."""
        rank = self.ranks.get(rank_number)
        flow = rank.flows.get(team) if rank is not None else None
        return len(flow.waiting) if flow is not None else 0


def ticket_rank(ticket: Ticket) -> int:
    """Return the rank of a ticket; lower ranks run first."""
    return RESUME_RANK if ticket.is_resume else ticket.urgency


def deadline_sort_key(queued: QueuedTicket) -> tuple[float, int]:
    """Return the sort key within a team: earliest deadline, then first arrival."""
    return (queued.ticket.deadline, queued.number)


def has_waiting(rank: Rank) -> bool:
    """Whether any flow of a rank has a waiting ticket."""
    return any(flow.waiting for flow in rank.flows.values())

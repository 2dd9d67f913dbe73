"""Leases of forwarded streams: until when another instance may run one of them.

The instance that serves a forwarded stream asks its forwarder every so often which of
its streams that one still waits for. What was confirmed may run on for `LEASE_S`,
counted from when the question was sent, and ends otherwise. The forwarder notes when
it answered, which is later. So a stream that it confirmed at some time has ended
elsewhere `LEASE_S` after that, whatever the connections between both do, how long
messages take and what either clock shows; `MARGIN_S` is for the end itself.

Load: one call each `QUESTION_INTERVAL_S` to each instance for which streams are served,
and for new ones at most one more each `FIRST_QUESTION_INTERVAL_S`; nothing without such
streams.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import EntryInstance

LEASE_S = 1.5
"""Seconds for which a stream runs on after a question that its forwarder confirmed.
Two questions may go unanswered meanwhile, as when either process pauses for a second.
With the margin it is shorter than `FORWARD_STALL_S`, so that a forwarder that waited
that long for an event rarely has to wait longer."""

MARGIN_S = 0.3
"""Seconds after the lease in which the run ends: a timer that is late, and the close of
the connection to the upstream."""

QUESTION_INTERVAL_S = 0.5
"""Seconds between two questions to a forwarder, and its time to answer one."""

FIRST_QUESTION_INTERVAL_S = 0.1
"""The same while a stream was never asked for. It may have arrived late, so that its
forwarder has long gone on; within the time for which two upstreams may work."""


@dataclass(slots=True, eq=False)
class ServedHop:
    """A stream that this instance serves for `forwarder`, another instance.

    `leased_until` is in monotonic seconds. `is_leased` is False if the forwarder does
    not know leases or cannot be asked, and once the run is being ended.
    """

    forwarder: str
    request_id: str
    leased_until: float
    is_leased: bool = True
    was_asked: bool = False


@dataclass(frozen=True, slots=True)
class HopQuestion:
    """A question to a forwarder, sent at `at` monotonic seconds, on some streams."""

    forwarder: str
    at: float
    hops: tuple[ServedHop, ...]

    def request_ids(self) -> list[str]:
        """Return the ids of the streams, each once."""
        return sorted({hop.request_id for hop in self.hops})


@dataclass(frozen=True, slots=True)
class HopAnswer:
    """Which streams of a question are wanted; `number` grows with each answer."""

    wanted: frozenset[str]
    number: int


@dataclass(slots=True)
class ServedHops:
    """The streams that this instance serves for others, by forwarder.

    `asked_at` has when each forwarder was asked last, `listed_at` when it was for all
    of them, and `open_questions` those who have not answered yet. All times are
    monotonic seconds.
    """

    by_forwarder: dict[str, list[ServedHop]] = field(default_factory=dict)
    asked_at: dict[str, float] = field(default_factory=dict)
    listed_at: dict[str, float] = field(default_factory=dict)
    open_questions: set[str] = field(default_factory=set)

    def begin(
        self, forwarder: str, request_id: str, now: float, is_leased: bool = True
    ) -> ServedHop:
        """Add a stream that has arrived; it must be confirmed within a lease."""
        hop = ServedHop(forwarder, request_id, now + LEASE_S, is_leased)
        self.by_forwarder.setdefault(forwarder, []).append(hop)
        return hop

    def end(self, hop: ServedHop) -> None:
        """Remove a stream that has ended."""
        hops = self.by_forwarder[hop.forwarder]
        hops.remove(hop)
        if not hops:
            del self.by_forwarder[hop.forwarder]
            self.asked_at.pop(hop.forwarder, None)
            self.listed_at.pop(hop.forwarder, None)

    def find(self, forwarder: str, request_id: str) -> list[ServedHop]:
        """Return the runs of a request of a forwarder."""
        hops = self.by_forwarder.get(forwarder, ())
        return [hop for hop in hops if hop.request_id == request_id]

    def take_questions(self, now: float) -> list[HopQuestion]:
        """Return the questions that are due; each must be answered or given up.

        One lists all streams of a forwarder, or just those that are new.
        """
        questions = []
        for forwarder in self.by_forwarder:
            due_at = self.question_due_at(forwarder)
            if due_at is None or now < due_at:
                continue
            hops = self.leased(forwarder)
            if now >= self.listing_due_at(forwarder):
                self.listed_at[forwarder] = now
            else:
                hops = [hop for hop in hops if not hop.was_asked]
            for hop in hops:
                hop.was_asked = True
            self.asked_at[forwarder] = now
            self.open_questions.add(forwarder)
            questions.append(HopQuestion(forwarder, now, tuple(hops)))
        return questions

    def question_due_at(self, forwarder: str) -> float | None:
        """Return when a forwarder is to be asked next; None if not for now."""
        hops = self.leased(forwarder)
        if not hops or forwarder in self.open_questions:
            return None
        due_at = self.listing_due_at(forwarder)
        if all(hop.was_asked for hop in hops):
            return due_at
        asked_at = self.asked_at.get(forwarder, -math.inf)
        return min(due_at, asked_at + FIRST_QUESTION_INTERVAL_S)

    def listing_due_at(self, forwarder: str) -> float:
        """Return when a forwarder is to be asked for all its streams next."""
        return self.listed_at.get(forwarder, -math.inf) + QUESTION_INTERVAL_S

    def leased(self, forwarder: str) -> list[ServedHop]:
        """Return the streams of a forwarder that end with their lease."""
        return [hop for hop in self.by_forwarder.get(forwarder, ()) if hop.is_leased]

    def record_answer(
        self, question: HopQuestion, answer: HopAnswer
    ) -> list[ServedHop]:
        """Renew the leases that a forwarder confirmed; return the streams to end."""
        unwanted = []
        for hop in question.hops:
            if hop.request_id in answer.wanted:
                hop.leased_until = max(hop.leased_until, question.at + LEASE_S)
            else:
                unwanted.append(hop)
        return unwanted

    def record_unknown(self, question: HopQuestion) -> None:
        """Record that a forwarder does not know leases."""
        for hop in question.hops:
            hop.is_leased = False

    def close_question(self, question: HopQuestion) -> None:
        """Have a forwarder asked again when that is due, answered or not."""
        self.open_questions.discard(question.forwarder)

    def expired(self, now: float) -> list[ServedHop]:
        """Return the streams whose leases are over."""
        return [
            hop
            for forwarder in self.by_forwarder
            for hop in self.leased(forwarder)
            if now >= hop.leased_until
        ]

    def wake_at(self) -> float | None:
        """Return when the next question or end of a lease is due; None without any."""
        times = []
        for forwarder in self.by_forwarder:
            times += [hop.leased_until for hop in self.leased(forwarder)]
            due_at = self.question_due_at(forwarder)
            if due_at is not None:
                times.append(due_at)
        return min(times, default=None)


@dataclass(slots=True, eq=False)
class ForwardedHop:
    """A stream that this instance has forwarded to `receiver`.

    `sent_at` and `confirmed_at` are in monotonic seconds; the latter is when this
    instance last told the receiver that it waits for the stream, or None. `given_up_at`
    is the number of the last answer before it waited for it no more.
    """

    receiver: EntryInstance
    request_id: str
    sent_at: float
    confirmed_at: float | None = None
    given_up_at: int | None = None

    def is_ended_by(self, answer_number: int) -> bool:
        """Whether a run that ended because of this answer is the one of this stream.

        An earlier answer was about an earlier run of the same request.
        """
        return self.given_up_at is not None and answer_number > self.given_up_at

    def ends_by(self, first_event_at: float | None) -> float:
        """Return when the receiver has let go, unless it is told to go on.

        Its lease begins when the request arrives there: before its first event, or
        about when it was sent. One that arrives later still ends with the first
        question.
        """
        begun_at = self.confirmed_at
        if begun_at is None:
            begun_at = self.sent_at if first_event_at is None else first_event_at
        return begun_at + LEASE_S + MARGIN_S


@dataclass(slots=True)
class ForwardedHops:
    """The streams that this instance waits for at others, by receiver and id.

    `answers` counts the answers to their questions.
    """

    hops: dict[tuple[str, str], list[ForwardedHop]] = field(default_factory=dict)
    answers: int = 0

    def begin(
        self, receiver: EntryInstance, request_id: str, now: float
    ) -> ForwardedHop:
        """Add a stream that is being sent."""
        hop = ForwardedHop(receiver, request_id, now)
        self.hops.setdefault((receiver.name, request_id), []).append(hop)
        return hop

    def end(self, hop: ForwardedHop) -> None:
        """Remove a stream that this instance no longer waits for."""
        hop.given_up_at = self.answers
        key = hop.receiver.name, hop.request_id
        same = self.hops[key]
        same.remove(hop)
        if not same:
            del self.hops[key]

    def confirm(
        self, server: str, incarnation: str, request_ids: Iterable[str], now: float
    ) -> HopAnswer:
        """Return which streams this instance still waits for at the one that asks."""
        self.answers += 1
        wanted = set()
        for request_id in request_ids:
            for hop in self.hops.get((server, request_id), ()):
                if hop.receiver.incarnation == incarnation:
                    hop.confirmed_at = now
                    wanted.add(request_id)
        return HopAnswer(frozenset(wanted), self.answers)

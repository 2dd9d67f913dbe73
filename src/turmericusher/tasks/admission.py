"""The task that owns the admission queues; callers talk to it by typed messages."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.admission import (
    AdmissionAction,
    Admit,
    Refuse,
    ServiceAdmission,
)
from turmericusher.decisions.capacity import CapacityView, ConcurrencyLimit
from turmericusher.decisions.fair_queue import Ticket
from turmericusher.errors import ErrorCode, RequestRefusedError, Verdict
from turmericusher.logs import log_event
from turmericusher.tasks.background import background

TICK_S = 0.1
CAPACITY_INTERVAL_S = 0.5
INBOX_LIMIT = 4096
"""Arrivals are refused while this many messages wait. Departures are always taken:
there is at most one for each arrival, so the inbox stays bounded."""

__all__ = ["Admission", "Ticket", "admitted", "running_admission"]


@dataclass(frozen=True, slots=True)
class Arrive:
    """A ticket asks for a slot; `answer` gets None, or the refusal as its exception."""

    number: int
    ticket: Ticket
    answer: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class Leave:
    """A ticket is done with, whether it ran, waited or was refused."""

    number: int
    service: str


@dataclass(frozen=True, slots=True)
class FollowCapacity:
    """It is time to take the limits from the services' capacity."""


AdmissionMessage = Arrive | Leave | FollowCapacity


@dataclass(slots=True)
class Admission:
    """The queues of all services and the inbox of their owner.

    Only `run` touches `services`, `limits` and `answers`; everything else sends
    messages. `view` returns what is known of a service's capacity.
    """

    services: dict[str, ServiceAdmission]
    limits: dict[str, ConcurrencyLimit]
    view: Callable[[str], CapacityView]
    clock: Callable[[], float] = time.monotonic
    inbox: asyncio.Queue[AdmissionMessage] = field(default_factory=asyncio.Queue)
    answers: dict[int, asyncio.Future[None]] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    refused: dict[str, int] = field(default_factory=dict)
    has_stopped: bool = False

    async def run(self) -> None:
        """Own the queues until cancelled; then nobody is left waiting."""
        try:
            while True:
                message = await self.next_message()
                now = self.clock()
                if message is None:
                    self.tick(now)
                else:
                    self.handle(message, now)
        except Exception as error:
            log_event("admission_failed", error=repr(error))
            raise
        finally:
            self.stop()

    def stop(self) -> None:
        """Refuse every caller that waits, and those to come."""
        self.has_stopped = True
        while not self.inbox.empty():
            message = self.inbox.get_nowait()
            if isinstance(message, Arrive):
                self.answers[message.number] = message.answer
        for answer in self.answers.values():
            if not answer.done():
                answer.set_exception(stopped_error())
        self.answers.clear()

    async def next_message(self) -> AdmissionMessage | None:
        """Return the next message, or None when it is time to look at the queues."""
        if not any(decision.queue.waiting for decision in self.services.values()):
            return await self.inbox.get()
        try:
            async with asyncio.timeout(TICK_S):
                return await self.inbox.get()
        except TimeoutError:
            return None

    def tick(self, now: float) -> None:
        """Refuse what has become hopeless."""
        for decision in self.services.values():
            self.carry_out(decision.tick(now))

    def handle(self, message: AdmissionMessage, now: float) -> None:
        """Feed one message to its service's decision."""
        match message:
            case Arrive(number, ticket, answer):
                self.answers[number] = answer
                # The first upstream of a service may have come since the last look.
                if not self.services[ticket.service].limit:
                    self.follow_capacity(ticket.service, now)
                self.carry_out(
                    self.services[ticket.service].arrive(number, ticket, now)
                )
            case Leave(number, service):
                self.answers.pop(number, None)
                self.carry_out(self.services[service].leave(number, now))
            case FollowCapacity():
                for name in self.services:
                    self.follow_capacity(name, now)

    def carry_out(self, actions: Iterable[AdmissionAction]) -> None:
        """Answer the callers; one that is gone sends its own `Leave`."""
        for action in actions:
            answer = self.answers.pop(action.number, None)
            if isinstance(action, Refuse):
                code = action.code.value
                self.refused[code] = self.refused.get(code, 0) + 1
            if answer is None or answer.done():
                continue
            match action:
                case Admit():
                    answer.set_result(None)
                case Refuse(_, code, message, retry_after_s):
                    answer.set_exception(
                        RequestRefusedError(code, message, retry_after_s=retry_after_s)
                    )

    def follow_capacity(self, service: str, now: float) -> None:
        """Take a service's limit from its capacity."""
        decision = self.services[service]
        view = self.view(service)
        limit = self.limits[service].update(view, len(decision.running))
        self.carry_out(decision.set_limit(limit, now))

    def leave(self, number: int, service: str) -> None:
        """Tell the owner that a ticket is done with."""
        if service in self.services and not self.has_stopped:
            self.inbox.put_nowait(Leave(number, service))

    def dump(self) -> dict[str, object]:
        """Return the state for operators."""
        return {
            name: {
                "limit": decision.limit,
                "running": len(decision.running),
                "waiting": len(decision.queue.waiting),
                "mean_service_s": decision.service_s,
            }
            for name, decision in self.services.items()
        }


@asynccontextmanager
async def running_admission(
    services: Iterable[str],
    view: Callable[[str], CapacityView],
    seed: int,
    clock: Callable[[], float] = time.monotonic,
) -> AsyncIterator[Admission]:
    """Run the owner task and let it follow the services' capacity."""
    decisions = {
        name: ServiceAdmission(name, random.Random(f"{seed}:{name}"))
        for name in services
    }
    limits = {name: ConcurrencyLimit() for name in decisions}
    admission = Admission(decisions, limits, view, clock)
    work = {
        "admission": admission.run(),
        "capacity": send_capacity_messages(admission),
    }
    async with background(work):
        yield admission


@asynccontextmanager
async def admitted(admission: Admission, ticket: Ticket) -> AsyncIterator[None]:
    """Hold a slot for the length of the context.

    Raises `RequestRefusedError` when the ticket is refused: `NOT_RUN`, but for a
    resume, whose request has run already, `MAY_HAVE_RUN`. The departure is sent on
    every way out, so that no slot is lost to a cancelled caller.
    """
    number = next(admission.numbers)
    try:
        await ask_for_slot(admission, number, ticket)
        yield
    finally:
        admission.leave(number, ticket.service)


async def ask_for_slot(admission: Admission, number: int, ticket: Ticket) -> None:
    """Wait until the ticket holds a slot; raise when it is refused."""
    try:
        check_open(admission, ticket)
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        admission.inbox.put_nowait(Arrive(number, ticket, answer))
        await answer
    except RequestRefusedError as error:
        if ticket.is_resume:
            error.verdict = Verdict.MAY_HAVE_RUN
        raise


def check_open(admission: Admission, ticket: Ticket) -> None:
    """Refuse what the owner task cannot or need not be asked."""
    if ticket.service not in admission.services:
        raise RequestRefusedError(
            ErrorCode.UNKNOWN_SERVICE,
            f"service={ticket.service!r} is not in the settings; name a known one",
        )
    if admission.has_stopped:
        raise stopped_error()
    if admission.inbox.qsize() >= INBOX_LIMIT:
        raise RequestRefusedError(
            ErrorCode.OVERLOADED,
            f"{INBOX_LIMIT} messages wait for admission; repeat after the time given",
            retry_after_s=1.0,
        )


def stopped_error() -> RequestRefusedError:
    """Return the refusal of an instance whose admission has ended."""
    return RequestRefusedError(
        ErrorCode.INSTANCE_STOPPING,
        "this instance admits nothing any more; use another entry instance",
        retry_after_s=1.0,
    )


async def send_capacity_messages(admission: Admission) -> None:
    """Tell the owner at a fixed interval to follow the capacity."""
    while not admission.has_stopped:
        admission.inbox.put_nowait(FollowCapacity())
        await asyncio.sleep(CAPACITY_INTERVAL_S)

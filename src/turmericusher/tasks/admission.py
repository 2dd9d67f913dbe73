"""Runs the task that owns the admission queues; other tasks send it typed messages."""

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
from turmericusher.tasks.background import background_tasks

TICK_INTERVAL_S = 0.1
"""Seconds without a message after which queued tickets are checked again."""

CAPACITY_INTERVAL_S = 0.5
"""Seconds between two updates of the concurrency limits."""

INBOX_LIMIT = 4096
"""Arrivals are refused while this many messages wait in the inbox. Departures are
always accepted: there is at most one per arrival, so the inbox stays bounded."""

__all__ = ["Admission", "Ticket", "admitted", "running_admission"]


@dataclass(frozen=True, slots=True)
class Arrival:
    """Requests a slot for a ticket.

    `answer` is resolved with None when the ticket is admitted, or with the refusal as
    its exception.
    """

    number: int
    ticket: Ticket
    answer: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class Departure:
    """Reports that a ticket is finished, whether it ran, waited or was refused."""

    number: int
    service: str


@dataclass(frozen=True, slots=True)
class UpdateLimits:
    """Makes the owner recompute every service's limit from its current capacity."""


AdmissionMessage = Arrival | Departure | UpdateLimits


@dataclass(slots=True)
class Admission:
    """The admission queues of all services, and the inbox of the task that owns them.

    Only `run` modifies `services`, `limits` and `answers`; other tasks send messages to
    `inbox`. `get_capacity` returns what is known of a service's capacity. `refused`
    counts the refusals by error code.
    """

    services: dict[str, ServiceAdmission]
    limits: dict[str, ConcurrencyLimit]
    get_capacity: Callable[[str], CapacityView]
    clock: Callable[[], float] = time.monotonic
    inbox: asyncio.Queue[AdmissionMessage] = field(default_factory=asyncio.Queue)
    answers: dict[int, asyncio.Future[None]] = field(default_factory=dict)
    ticket_numbers: itertools.count[int] = field(default_factory=itertools.count)
    refused: dict[str, int] = field(default_factory=dict)
    has_stopped: bool = False

    async def run(self) -> None:
        """Process messages until cancelled, then refuse every caller still waiting."""
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
        """Refuse every caller that waits, and every later one."""
        self.has_stopped = True
        while not self.inbox.empty():
            message = self.inbox.get_nowait()
            if isinstance(message, Arrival):
                self.answers[message.number] = message.answer
        for answer in self.answers.values():
            if not answer.done():
                answer.set_exception(stopped_error())
        self.answers.clear()

    async def next_message(self) -> AdmissionMessage | None:
        """Return the next message, or None when queued tickets are due for a check.

        With no ticket queued, it waits for a message without a time limit.
        """
        if not any(decision.queue.waiting for decision in self.services.values()):
            return await self.inbox.get()
        try:
            async with asyncio.timeout(TICK_INTERVAL_S):
                return await self.inbox.get()
        except TimeoutError:
            return None

    def tick(self, now: float) -> None:
        """Admit queued tickets that fit, and refuse those that cannot start in time."""
        for decision in self.services.values():
            self.carry_out(decision.tick(now))

    def handle(self, message: AdmissionMessage, now: float) -> None:
        """Pass one message to the admission decision of its service."""
        match message:
            case Arrival(number, ticket, answer):
                self.answers[number] = answer
                # The service's first upstream may have appeared since the last update.
                if not self.services[ticket.service].limit:
                    self.update_limit(ticket.service, now)
                self.carry_out(
                    self.services[ticket.service].submit(number, ticket, now)
                )
            case Departure(number, service):
                self.answers.pop(number, None)
                self.carry_out(self.services[service].remove(number, now))
            case UpdateLimits():
                for name in self.services:
                    self.update_limit(name, now)

    def carry_out(self, actions: Iterable[AdmissionAction]) -> None:
        """Resolve the callers' futures and count the refusals.

        A caller that was cancelled meanwhile is skipped: it sends its own `Departure`.
        """
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

    def update_limit(self, service: str, now: float) -> None:
        """Recompute a service's concurrency limit from its current capacity."""
        decision = self.services[service]
        view = self.get_capacity(service)
        limit = self.limits[service].update(view, len(decision.running))
        self.carry_out(decision.set_limit(limit, now))

    def send_departure(self, number: int, service: str) -> None:
        """Send the owner task a ticket's departure, unless the owner has stopped."""
        if service in self.services and not self.has_stopped:
            self.inbox.put_nowait(Departure(number, service))

    def dump(self) -> dict[str, object]:
        """Return each service's limit, slots in use and queue length for operators."""
        return {
            name: {
                "limit": decision.limit,
                "running": len(decision.running),
                "waiting": len(decision.queue.waiting),
                "mean_service_s": decision.mean_service_time_s,
            }
            for name, decision in self.services.items()
        }


@asynccontextmanager
async def running_admission(
    services: Iterable[str],
    get_capacity: Callable[[str], CapacityView],
    seed: int,
    clock: Callable[[], float] = time.monotonic,
) -> AsyncIterator[Admission]:
    """Run the owner task and update its limits periodically while the context is open.

    `seed` seeds the jitter of each service's refusals.
    """
    decisions = {
        name: ServiceAdmission(name, random.Random(f"{seed}:{name}"))
        for name in services
    }
    limits = {name: ConcurrencyLimit() for name in decisions}
    admission = Admission(decisions, limits, get_capacity, clock)
    work = {
        "admission": admission.run(),
        "capacity": send_limit_updates(admission),
    }
    async with background_tasks(work):
        yield admission


@asynccontextmanager
async def admitted(admission: Admission, ticket: Ticket) -> AsyncIterator[None]:
    """Hold an admission slot while the context is open.

    Raises `RequestRefusedError` when the ticket is refused. Its verdict is `NOT_RUN`,
    except for a resume, whose request has already run: `MAY_HAVE_RUN`. The departure is
    sent on every exit path, so that a cancelled caller does not leak its slot.
    """
    number = next(admission.ticket_numbers)
    try:
        await acquire_slot(admission, number, ticket)
        yield
    finally:
        admission.send_departure(number, ticket.service)


async def acquire_slot(admission: Admission, number: int, ticket: Ticket) -> None:
    """Wait until the ticket holds a slot; raise `RequestRefusedError` if refused."""
    try:
        check_can_enqueue(admission, ticket)
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        admission.inbox.put_nowait(Arrival(number, ticket, answer))
        await answer
    except RequestRefusedError as error:
        if ticket.is_resume:
            error.verdict = Verdict.MAY_HAVE_RUN
        raise


def check_can_enqueue(admission: Admission, ticket: Ticket) -> None:
    """Raise `RequestRefusedError` if the ticket cannot be sent to the owner task.

    This covers an unknown service, a stopped owner and a full inbox.
    """
    if ticket.service not in admission.services:
        raise RequestRefusedError(
            ErrorCode.UNKNOWN_SERVICE,
            f"service={ticket.service!r} is not in the settings; use a configured one",
        )
    if admission.has_stopped:
        raise stopped_error()
    if admission.inbox.qsize() >= INBOX_LIMIT:
        raise RequestRefusedError(
            ErrorCode.OVERLOADED,
            f"{INBOX_LIMIT} messages wait for admission; retry after the given delay",
            retry_after_s=1.0,
        )


def stopped_error() -> RequestRefusedError:
    """Return the error for a request that arrives after admission has stopped."""
    return RequestRefusedError(
        ErrorCode.INSTANCE_STOPPING,
        "this instance no longer admits requests; use another entry instance",
        retry_after_s=1.0,
    )


async def send_limit_updates(admission: Admission) -> None:
    """Request an update of the limits at a fixed interval until admission stops."""
    while not admission.has_stopped:
        admission.inbox.put_nowait(UpdateLimits())
        await asyncio.sleep(CAPACITY_INTERVAL_S)

"""The model behind the load benchmark: event scheduler, engines, requests, outcomes.

As with continuous batching, an engine runs each request at full speed up to its
capacity, and above it divides its speed evenly among its requests.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

DOMAINS = ("quai-nord", "quai-sud", "bureau-criee")
ENGINES = 12
CAPACITY_PER_ENGINE = 16
INSTANCE_SHARES = (0.30, 0.20, 0.12, 0.10, 0.10, 0.08, 0.06, 0.04)
"""The share of the callers that each entry instance receives."""
SHORT_WORK_S = 4.0
LONG_WORK_S = 30.0
LONG_WORK_SHARE = 0.15
"""The share of requests whose mean work is `LONG_WORK_S`, not `SHORT_WORK_S`."""
MEAN_WORK_S = SHORT_WORK_S * (1 - LONG_WORK_SHARE) + LONG_WORK_S * LONG_WORK_SHARE
MAX_WAIT_S = 10.0
SLACK_FACTOR = 2.0
"""An answer is late after `MAX_WAIT_S` plus this factor times its work."""
SMALL_TEAM_SHARE = 0.1
"""The small team's offered load, as a share of the capacity."""
RUN_DURATION_S = 180.0
WARM_UP_S = 30.0
DOMAIN_LOSS_AT_S = 80.0
DOMAIN_RESTART_AT_S = 120.0
RECOVERED_AT_S = 140.0
"""Start of the last window; the 20 s since the restart are not evaluated."""
DRAIN_S = 200.0
"""Time after the last arrival in which running requests can end and be counted."""


@dataclass(slots=True)
class EventScheduler:
    """A discrete-event scheduler; `now` is the virtual time in seconds."""

    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    sequence_numbers: itertools.count[int] = field(default_factory=itertools.count)

    def call_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        entry = (self.now + max(0.0, delay_s), next(self.sequence_numbers), action)
        heapq.heappush(self.events, entry)

    def call_every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a fixed interval, first after one interval."""

        def run_and_reschedule() -> None:
            action()
            self.call_after(interval_s, run_and_reschedule)

        self.call_after(interval_s, run_and_reschedule)

    def run(self, until_s: float) -> None:
        """Run the scheduled events up to a virtual time."""
        while self.events and self.events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self.events)
            action()


@dataclass(slots=True)
class Job:
    """One request; `remaining_s` is the work left, in seconds at full speed."""

    number: int
    team: str
    instance: int
    arrived_at: float
    work_s: float
    remaining_s: float
    engine: Engine | None = None
    started_at: float = 0.0
    is_finished: bool = False
    holds_slot: bool = False
    was_resumed: bool = False
    was_resume_delayed: bool = False

    @property
    def deadline(self) -> float:
        """Return the virtual time at which the caller stops waiting for the answer."""
        return self.arrived_at + MAX_WAIT_S + SLACK_FACTOR * self.work_s


@dataclass(slots=True)
class Engine:
    """An engine modelled as processor sharing among its requests.

    `progress` is the work in seconds that a request present from the start would have
    received by `updated_at`. `completions` is a heap of the values of `progress` at
    which requests complete.
    """

    name: str
    domain: str
    scheduler: EventScheduler
    on_completed: Callable[[Job], None]
    is_alive: bool = True
    progress: float = 0.0
    updated_at: float = 0.0
    jobs: dict[int, tuple[Job, float]] = field(default_factory=dict)
    completions: list[tuple[float, int]] = field(default_factory=list)
    version: int = 0
    peak_in_flight: int = 0

    def rate(self) -> float:
        """Return the speed of each request; 1 is full speed."""
        return min(1.0, CAPACITY_PER_ENGINE / max(1, len(self.jobs)))

    def update_progress(self) -> None:
        """Advance `progress` to the current time."""
        self.progress += (self.scheduler.now - self.updated_at) * self.rate()
        self.updated_at = self.scheduler.now

    def start(self, job: Job) -> None:
        """Start a request on this engine."""
        self.update_progress()
        job.engine = self
        end = self.progress + job.remaining_s
        self.jobs[job.number] = (job, end)
        heapq.heappush(self.completions, (end, job.number))
        self.peak_in_flight = max(self.peak_in_flight, len(self.jobs))
        self.schedule_completion()

    def stop(self, job: Job) -> None:
        """Remove a request and store its remaining work in it."""
        self.update_progress()
        _, end = self.jobs.pop(job.number)
        job.remaining_s = max(0.0, end - self.progress)
        job.engine = None
        self.schedule_completion()

    def die(self) -> list[Job]:
        """Stop the engine and return the requests that it loses."""
        self.is_alive = False
        lost = [job for job, _ in self.jobs.values()]
        for job in lost:
            self.stop(job)
        return lost

    def schedule_completion(self) -> None:
        """Schedule the completion of the request that completes next."""
        self.version += 1
        while self.completions and self.completions[0][1] not in self.jobs:
            heapq.heappop(self.completions)
        if self.completions:
            version = self.version
            delay_s = (self.completions[0][0] - self.progress) / self.rate()
            self.scheduler.call_after(delay_s, lambda: self.complete_next(version))

    def complete_next(self, version: int) -> None:
        """Complete the next request, unless it was rescheduled in the meantime."""
        if version != self.version:
            return
        self.update_progress()
        _, number = heapq.heappop(self.completions)
        job, _ = self.jobs.pop(number)
        job.engine = None
        self.schedule_completion()
        self.on_completed(job)


@dataclass(slots=True)
class Outcomes:
    """Counts and work of the requests of a run; times in virtual seconds."""

    offered_work_s: dict[str, float] = field(default_factory=dict)
    good_work_s: dict[str, float] = field(default_factory=dict)
    good_work_by_window_s: dict[str, float] = field(default_factory=dict)
    accepted: int = 0
    late: int = 0
    refused: int = 0
    refusal_times_s: list[float] = field(default_factory=list)
    in_flight: dict[str, list[int]] = field(default_factory=dict)
    resumes: int = 0
    resumes_delayed: int = 0
    resumes_late: int = 0
    repeats: int = 0
    repeats_refused: int = 0


WINDOWS = {
    "before": (WARM_UP_S, DOMAIN_LOSS_AT_S),
    "lost": (DOMAIN_LOSS_AT_S, DOMAIN_RESTART_AT_S),
    "after": (RECOVERED_AT_S, RUN_DURATION_S),
}


def window_at(at_s: float) -> str:
    """Return the window of the run that contains a time, or an empty string."""
    for window, (start_s, end_s) in WINDOWS.items():
        if start_s <= at_s < end_s:
            return window
    return ""


def overlap_s(window: str, start_s: float, end_s: float) -> float:
    """Return how many seconds of a time span lie in a window."""
    window_start_s, window_end_s = WINDOWS[window]
    return max(0.0, min(end_s, window_end_s) - max(start_s, window_start_s))


def draw_work_s(rng: random.Random) -> float:
    """Draw the work of one request, in seconds at full speed."""
    mean_s = LONG_WORK_S if rng.random() < LONG_WORK_SHARE else SHORT_WORK_S
    return rng.expovariate(1 / mean_s)


def jain_index(values: list[float]) -> float:
    """Return Jain's fairness index (Jain, Chiu and Hawe, 1984); 1 is perfectly fair."""
    squares = sum(value * value for value in values)
    if squares == 0:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)

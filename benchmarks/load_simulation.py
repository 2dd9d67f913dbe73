"""The simulation of the load benchmark: callers, entry instances and engines.

The entry instances use the production admission, selection and retry budgets.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.load_model import (
    CAPACITY_PER_ENGINE,
    DOMAIN_LOSS_AT_S,
    DOMAIN_RESTART_AT_S,
    DOMAINS,
    ENGINES,
    INSTANCE_SHARES,
    MAX_WAIT_S,
    RUN_DURATION_S,
    WINDOWS,
    Engine,
    EventScheduler,
    Job,
    Outcomes,
    draw_work_s,
    overlap_s,
    window_at,
)
from turmericusher.decisions.admission import (
    AdmissionAction,
    Admit,
    ServiceAdmission,
)
from turmericusher.decisions.capacity import CapacityView, ConcurrencyLimit
from turmericusher.decisions.extra_work import ResumeLimiter
from turmericusher.decisions.fair_queue import Ticket
from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.decisions.placing.selection import PickRequest, Selector
from turmericusher.decisions.placing.upstream_load import LoadReport
from turmericusher.decisions.retrying.retries import RetryBudget

SERVICE = "redacteur"
CAPACITY = ENGINES * CAPACITY_PER_ENGINE
"""Requests that all engines together run at full speed."""
UPSTREAM_LIST_LAG_S = 5.0
"""Time until a lost or restarted engine shows in the upstream list."""
REPORT_LAG_S = 1.0
"""Age of the loads that the engines' reports show."""
REPORT_INTERVAL_S = 1.5
"""Interval at which an entry instance reads the engines' reports."""
PEER_INTERVAL_S = 1.0
"""Interval at which an entry instance sends its counts to `PEERS_PER_ROUND` peers."""
PEERS_PER_ROUND = 3
CAPACITY_INTERVAL_S = 0.5
"""Interval at which an entry instance recomputes its concurrency limit."""
TICK_S = 0.1
"""Interval for recording the engines' loads and for refusing expired requests."""
CONNECT_FAILURE_S = 0.01
"""Delay before a request is sent again after its engine failed."""
PREFILL_S = 0.3
"""Prefill time of a resume: the time it holds a resume slot, and its extra work."""
RESUME_POLL_S = 0.05
"""Interval at which a delayed resume checks for a free resume slot."""


@dataclass(slots=True)
class EntryInstance:
    """One entry instance with its own decision state and its own view of the fleet."""

    index: int
    selector: Selector
    admission: ServiceAdmission
    limit: ConcurrencyLimit
    retries: RetryBudget
    resumes: ResumeLimiter
    round_robin_index: int = 0
    jobs: dict[int, Job] = field(default_factory=dict)


@dataclass(slots=True)
class LoadSimulation:
    """One run of one policy at one offered load (1 is the engines' capacity).

    `load_history` holds the latest `(time, requests in flight)` pairs of each engine,
    and `count` is the number of arrivals so far.
    """

    policy: str
    offered_load: float
    scheduler: EventScheduler
    rng: random.Random
    engines: dict[str, Engine] = field(default_factory=dict)
    all_upstreams: dict[str, UpstreamInstance] = field(default_factory=dict)
    load_history: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    entries: list[EntryInstance] = field(default_factory=list)
    outcomes: Outcomes = field(default_factory=Outcomes)
    count: int = 0

    @property
    def has_admission(self) -> bool:
        """Whether the run uses the production admission and budgets.

        The policies `admission_*` use them with another selection of upstreams; the
        baselines `round_robin` and `least_reported` do not.
        """
        return self.policy not in ("round_robin", "least_reported")

    def handle_arrival(self, team: str, rate: float) -> None:
        """Handle one arrival of a team and schedule the team's next one."""
        if self.scheduler.now > RUN_DURATION_S:
            return
        delay_s = self.rng.expovariate(rate)
        self.scheduler.call_after(delay_s, lambda: self.handle_arrival(team, rate))
        (index,) = self.rng.choices(range(len(self.entries)), INSTANCE_SHARES)
        work_s = draw_work_s(self.rng)
        now = self.scheduler.now
        job = Job(self.count, team, index, now, work_s, work_s)
        self.count += 1
        if window_at(now):
            add_to_total(self.outcomes.offered_work_s, team, work_s)
        entry = self.entries[index]
        entry.jobs[job.number] = job
        late_s = job.deadline - now
        self.scheduler.call_after(late_s, lambda: self.cancel_late(job))
        if not self.has_admission:
            self.outcomes.accepted += 1
            self.send(entry, job, frozenset(), False)
            return
        # 5 is the normal urgency.
        ticket = Ticket(team, 5, now + MAX_WAIT_S, SERVICE)
        self.apply_actions(entry, entry.admission.submit(job.number, ticket, now))

    def apply_actions(
        self, entry: EntryInstance, actions: list[AdmissionAction]
    ) -> None:
        """Start the admitted requests and count the refused ones."""
        now = self.scheduler.now
        for action in actions:
            job = entry.jobs[action.number]
            if isinstance(action, Admit):
                job.holds_slot = True
                entry.retries.record_request(now)
                self.outcomes.accepted += 1
                self.send(entry, job, frozenset(), False)
            else:
                self.outcomes.refused += 1
                self.outcomes.refusal_times_s.append(now - job.arrived_at)
                self.finish(entry, job)

    def send(
        self,
        entry: EntryInstance,
        job: Job,
        avoided_domains: frozenset[str],
        is_resume: bool,
    ) -> None:
        """Send a request to the upstream that the policy picks.

        If it picks none, try again every 0.5 s; if the engine is dead, retry.
        """
        if job.is_finished:
            return
        upstream = self.pick(entry, avoided_domains, is_resume)
        if upstream is None:
            self.scheduler.call_after(
                0.5, lambda: self.send(entry, job, avoided_domains, is_resume)
            )
            return
        engine = self.engines[upstream.name]
        if not engine.is_alive:
            self.outcomes.repeats += 1
            entry.selector.failed(engine.name)
            self.retry(entry, job, avoided_domains | {engine.domain}, is_resume)
            return
        if is_resume:
            self.count_resume(entry)
        entry.selector.attempt_started(engine.name)
        job.started_at = job.started_at or self.scheduler.now
        engine.start(job)

    def count_resume(self, entry: EntryInstance) -> None:
        """Count a resume against the instance's limit until its prefill is done."""
        entry.resumes.acquire()
        self.scheduler.call_after(PREFILL_S, entry.resumes.free)

    def pick(
        self, entry: EntryInstance, avoided_domains: frozenset[str], is_resume: bool
    ) -> UpstreamInstance | None:
        """Return the upstream that the policy picks, or None if there is none."""
        entry.selector.advance_clock(self.scheduler.now)
        if self.policy == "turmericusher":
            request = PickRequest(
                SERVICE, avoided_domains=avoided_domains, is_resume=is_resume
            )
            return entry.selector.pick(request)
        upstreams = list(entry.selector.upstreams.values())
        if self.policy.endswith("round_robin"):
            entry.round_robin_index += 1
            return upstreams[entry.round_robin_index % len(upstreams)]
        reports = entry.selector.load.reports
        return min(upstreams, key=lambda u: reported_load(reports.get(u.name)))

    def retry(
        self,
        entry: EntryInstance,
        job: Job,
        avoided_domains: frozenset[str],
        is_resume: bool,
    ) -> None:
        """Send a request again after a failure.

        A resume waits for a free resume slot; any other request needs a retry from the
        budget and fails without one. Runs without admission have neither limit.
        """
        if self.has_admission and is_resume and not entry.resumes.has_free_slot():
            self.outcomes.resumes_delayed += not job.was_resume_delayed
            job.was_resume_delayed = True
            self.scheduler.call_after(
                RESUME_POLL_S,
                lambda: self.retry(entry, job, avoided_domains, is_resume),
            )
            return
        may_repeat = is_resume or not self.has_admission
        if not may_repeat and not entry.retries.spend(self.scheduler.now):
            self.outcomes.repeats_refused += 1
            self.finish(entry, job)
            return
        self.scheduler.call_after(
            CONNECT_FAILURE_S, lambda: self.send(entry, job, avoided_domains, is_resume)
        )

    def done(self, job: Job) -> None:
        """Count a completed request's work and finish the request."""
        entry = self.entries[job.instance]
        now = self.scheduler.now
        if window_at(job.arrived_at):
            add_to_total(self.outcomes.good_work_s, job.team, job.work_s)
        rate = job.work_s / max(now - job.started_at, 1e-9)
        for window in WINDOWS:
            work_s = rate * overlap_s(window, job.started_at, now)
            add_to_total(self.outcomes.good_work_by_window_s, window, work_s)
        self.finish(entry, job)

    def cancel_late(self, job: Job) -> None:
        """Cancel a request whose caller has stopped waiting, and count it as late."""
        if job.is_finished:
            return
        self.outcomes.late += 1
        self.outcomes.resumes_late += job.was_resumed
        if job.engine is not None:
            engine = job.engine
            engine.stop(job)
            self.entries[job.instance].selector.attempt_finished(engine.name)
        self.finish(self.entries[job.instance], job)

    def finish(self, entry: EntryInstance, job: Job) -> None:
        """Remove a request; if it held an admission slot, admit queued ones into it."""
        job.is_finished = True
        entry.jobs.pop(job.number, None)
        if job.holds_slot:
            now = self.scheduler.now
            self.apply_actions(entry, entry.admission.remove(job.number, now))

    def completion_callback(self, engine_name: str) -> Callable[[Job], None]:
        """Return the callback for requests that complete on an engine."""

        def complete(job: Job) -> None:
            self.entries[job.instance].selector.attempt_finished(engine_name)
            self.done(job)

        return complete

    def kill_domain(self) -> None:
        """Kill the first domain's engines; the upstream list changes only later."""
        killed = [e for e in self.engines.values() if e.domain == DOMAINS[0]]
        for engine in killed:
            for job in engine.die():
                entry = self.entries[job.instance]
                entry.selector.advance_clock(self.scheduler.now)
                entry.selector.attempt_finished(engine.name)
                entry.selector.failed(engine.name)
                job.remaining_s += PREFILL_S
                job.was_resumed = True
                self.outcomes.resumes += 1
                self.retry(entry, job, frozenset({engine.domain}), True)
        alive = {
            n: u for n, u in self.all_upstreams.items() if self.engines[n].is_alive
        }
        self.scheduler.call_after(
            UPSTREAM_LIST_LAG_S, lambda: self.publish_upstreams(alive)
        )

    def restart_domain(self) -> None:
        """Restart the killed engines; the upstream list changes only later."""
        for engine in self.engines.values():
            engine.is_alive = True
        self.scheduler.call_after(
            UPSTREAM_LIST_LAG_S, lambda: self.publish_upstreams(self.all_upstreams)
        )

    def publish_upstreams(self, upstreams: dict[str, UpstreamInstance]) -> None:
        """Give every entry instance a new list of upstreams."""
        for entry in self.entries:
            entry.selector.update(upstreams.values())

    def record_loads(self) -> None:
        """Record the engines' loads, which their reports show after a lag."""
        for name, engine in self.engines.items():
            history = self.load_history.setdefault(name, [])
            history.append((self.scheduler.now, len(engine.jobs)))
            if engine.is_alive:
                in_flight = self.outcomes.in_flight
                window = window_at(self.scheduler.now)
                in_flight.setdefault(window, []).append(len(engine.jobs))
            while history[0][0] < self.scheduler.now - REPORT_LAG_S - TICK_S:
                history.pop(0)

    def read_reports(self, entry: EntryInstance) -> None:
        """Merge every live engine's lagging report into an instance's selector."""
        entry.selector.advance_clock(self.scheduler.now)
        for name, history in self.load_history.items():
            if self.engines[name].is_alive:
                load = history[0][1]
                waiting = max(0, load - CAPACITY_PER_ENGINE)
                report = LoadReport(load - waiting, waiting)
                entry.selector.merge_report(name, report)

    def exchange_counts(self, entry: EntryInstance) -> None:
        """Send an instance's own in-flight counts to a few random peers."""
        others = [peer for peer in self.entries if peer is not entry]
        for peer in self.rng.sample(others, PEERS_PER_ROUND):
            peer.selector.advance_clock(self.scheduler.now)
            name = f"entry-{entry.index}"
            peer.selector.merge_peer_counts(name, entry.selector.in_flight)

    def update_limit(self, entry: EntryInstance) -> None:
        """Set an instance's concurrency limit from its view of the fleet."""
        selector = entry.selector
        view = CapacityView(
            len(selector.upstreams),
            CAPACITY_PER_ENGINE,
            len(self.entries),
            selector.peers_in_flight(SERVICE),
            selector.reported_waiting(SERVICE),
        )
        limit = entry.limit.update(view, len(entry.admission.running))
        now = self.scheduler.now
        self.apply_actions(entry, entry.admission.set_limit(limit, now))

    def refuse_expired(self, entry: EntryInstance) -> None:
        """Refuse queued requests that can no longer be served in time."""
        if entry.admission.queue.waiting:
            self.apply_actions(entry, entry.admission.tick(self.scheduler.now))


def add_to_total(totals: dict[str, float], key: str, value: float) -> None:
    """Add a value to the total of one key."""
    totals[key] = totals.get(key, 0.0) + value


def reported_load(received_report: object) -> float:
    """Return the load of a report; 0 for an upstream without one."""
    report = getattr(received_report, "report", None)
    return report.running + report.waiting if report is not None else 0.0


def make_simulation(policy: str, offered_load: float, seed: int) -> LoadSimulation:
    """Build the engines, the entry instances and the periodic events of a run."""
    scheduler = EventScheduler()
    simulation = LoadSimulation(
        policy, offered_load, scheduler, random.Random(f"{seed}:{offered_load}")
    )
    for index in range(ENGINES):
        name = f"engine-{index}"
        domain = DOMAINS[index % len(DOMAINS)]
        simulation.engines[name] = Engine(
            name, domain, scheduler, simulation.completion_callback(name)
        )
        simulation.all_upstreams[name] = UpstreamInstance(
            name, SERVICE, UpstreamKind.ENGINE, f"{name}:1", domain
        )
    names = [f"entry-{index}" for index in range(len(INSTANCE_SHARES))]
    for index, name in enumerate(names):
        entry = make_entry(index, name, seed)
        entry.selector.update(simulation.all_upstreams.values())
        entry.selector.update_instances(names)
        simulation.entries.append(entry)
        schedule_periodic(simulation, entry)
    scheduler.call_every(TICK_S, simulation.record_loads)
    scheduler.call_after(DOMAIN_LOSS_AT_S, simulation.kill_domain)
    scheduler.call_after(DOMAIN_RESTART_AT_S, simulation.restart_domain)
    return simulation


def make_entry(index: int, name: str, seed: int) -> EntryInstance:
    """Build an entry instance with an equal share of the capacity as its limit."""
    rng = random.Random(f"{seed}:{name}")
    first_limit = CAPACITY // len(INSTANCE_SHARES)
    return EntryInstance(
        index,
        Selector(rng, name),
        ServiceAdmission(SERVICE, rng, first_limit),
        ConcurrencyLimit(),
        RetryBudget(),
        ResumeLimiter(),
    )


def schedule_periodic(simulation: LoadSimulation, entry: EntryInstance) -> None:
    """Schedule an instance's periodic work at a phase that depends on its index."""
    periodic: list[tuple[float, Callable[[EntryInstance], None]]] = [
        (REPORT_INTERVAL_S, simulation.read_reports),
        (PEER_INTERVAL_S, simulation.exchange_counts),
        (CAPACITY_INTERVAL_S, simulation.update_limit),
        (TICK_S, simulation.refuse_expired),
    ]
    for interval_s, action in periodic:
        phase_s = interval_s * entry.index / len(INSTANCE_SHARES)

        def start(
            interval_s: float = interval_s,
            action: Callable[[EntryInstance], None] = action,
        ) -> None:
            simulation.scheduler.call_every(interval_s, lambda: action(entry))

        simulation.scheduler.call_after(phase_s, start)

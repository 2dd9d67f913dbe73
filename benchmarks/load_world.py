"""The simulation of the load benchmark: callers, entry instances and engines.

The entry instances use the production admission, selection and retry budgets.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.load_model import (
    CAPACITY_PER_ENGINE,
    DOMAINS,
    ENGINES,
    INSTANCE_SHARES,
    LOSS_AT_S,
    MAX_WAIT_S,
    RETURN_AT_S,
    RUN_S,
    WINDOWS,
    Engine,
    Job,
    Outcomes,
    Simulation,
    draw_work_s,
    overlap_s,
    window_of,
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
from turmericusher.decisions.retries import RetryBudget
from turmericusher.decisions.selection import PickRequest, Selector
from turmericusher.decisions.upstream_load import LoadReport

SERVICE = "redacteur"
CAPACITY = ENGINES * CAPACITY_PER_ENGINE
"""Requests that all engines together run at full speed."""
LIST_LAG_S = 5.0
"""Time until a lost or restarted engine shows in the upstream list."""
REPORT_LAG_S = 1.0
REPORT_INTERVAL_S = 1.5
PEER_INTERVAL_S = 1.0
PEERS_PER_ROUND = 3
CAPACITY_INTERVAL_S = 0.5
TICK_S = 0.1
CONNECT_FAILURE_S = 0.01
PREFILL_S = 0.3
"""Time for which a resume counts as running, and its extra work on the engine."""
GATE_POLL_S = 0.05


@dataclass(slots=True)
class Entry:
    """One entry instance with its own decision state and its own view of the fleet."""

    index: int
    selector: Selector
    admission: ServiceAdmission
    limit: ConcurrencyLimit
    retries: RetryBudget
    resumes: ResumeLimiter
    turn: int = 0
    jobs: dict[int, Job] = field(default_factory=dict)


@dataclass(slots=True)
class World:
    """One run of one policy at one offered load (1 is the engines' capacity)."""

    policy: str
    offered: float
    simulation: Simulation
    chance: random.Random
    engines: dict[str, Engine] = field(default_factory=dict)
    listed: dict[str, UpstreamInstance] = field(default_factory=dict)
    history: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)
    outcomes: Outcomes = field(default_factory=Outcomes)
    count: int = 0

    @property
    def has_admission(self) -> bool:
        """Whether the run uses the production admission and budgets."""
        return self.policy not in ("round_robin", "least_reported")

    def arrive(self, team: str, rate: float) -> None:
        """Handle one arrival of a team and schedule the team's next one."""
        if self.simulation.now > RUN_S:
            return
        delay_s = self.chance.expovariate(rate)
        self.simulation.after(delay_s, lambda: self.arrive(team, rate))
        (index,) = self.chance.choices(range(len(self.entries)), INSTANCE_SHARES)
        work_s = draw_work_s(self.chance)
        now = self.simulation.now
        job = Job(self.count, team, index, now, work_s, work_s)
        self.count += 1
        if window_of(now):
            add(self.outcomes.offered_work_s, team, work_s)
        entry = self.entries[index]
        entry.jobs[job.number] = job
        late_s = job.late_after - now
        self.simulation.after(late_s, lambda: self.give_up(job))
        if not self.has_admission:
            self.outcomes.accepted += 1
            self.send(entry, job, frozenset(), False)
            return
        ticket = Ticket(team, 5, now + MAX_WAIT_S, SERVICE)
        self.carry_out(entry, entry.admission.submit(job.number, ticket, now))

    def carry_out(self, entry: Entry, actions: list[AdmissionAction]) -> None:
        """Start the admitted requests and count the refused ones."""
        now = self.simulation.now
        for action in actions:
            job = entry.jobs[action.number]
            if isinstance(action, Admit):
                job.holds_slot = True
                entry.retries.earn()
                self.outcomes.accepted += 1
                self.send(entry, job, frozenset(), False)
            else:
                self.outcomes.refused += 1
                self.outcomes.refusal_s.append(now - job.arrived_at)
                self.end(entry, job)

    def send(
        self, entry: Entry, job: Job, avoided: frozenset[str], is_resume: bool
    ) -> None:
        """Send a request to the upstream that the policy picks, or try again later."""
        if job.is_over:
            return
        upstream = self.pick(entry, avoided, is_resume)
        if upstream is None:
            self.simulation.after(
                0.5, lambda: self.send(entry, job, avoided, is_resume)
            )
            return
        engine = self.engines[upstream.name]
        if not engine.is_alive:
            self.outcomes.repeats += 1
            entry.selector.failed(engine.name)
            self.repeat(entry, job, avoided | {engine.domain}, is_resume)
            return
        if is_resume:
            self.pass_gate(entry)
        entry.selector.attempt_started(engine.name)
        job.started_at = job.started_at or self.simulation.now
        engine.start(job)

    def pass_gate(self, entry: Entry) -> None:
        """Count a resume against the instance's limit until its prefill is done."""
        entry.resumes.acquire()
        self.simulation.after(PREFILL_S, entry.resumes.free)

    def pick(
        self, entry: Entry, avoided: frozenset[str], is_resume: bool
    ) -> UpstreamInstance | None:
        """Return the upstream that the policy picks, or None if there is none."""
        entry.selector.advance_clock(self.simulation.now)
        if self.policy == "turmericusher":
            request = PickRequest(SERVICE, avoided_domains=avoided, is_resume=is_resume)
            return entry.selector.pick(request)
        known = list(entry.selector.upstreams.values())
        if self.policy.endswith("round_robin"):
            entry.turn += 1
            return known[entry.turn % len(known)]
        reports = entry.selector.load.reports
        return min(known, key=lambda u: reported(reports.get(u.name)))

    def repeat(
        self, entry: Entry, job: Job, avoided: frozenset[str], is_resume: bool
    ) -> None:
        """Send a request again after a failure, as far as the budget allows."""
        if self.has_admission and is_resume and not entry.resumes.has_free_slot():
            self.outcomes.resumes_delayed += not job.waits_at_gate
            job.waits_at_gate = True
            self.simulation.after(
                GATE_POLL_S, lambda: self.repeat(entry, job, avoided, is_resume)
            )
            return
        if self.has_admission and not is_resume and not entry.retries.spend():
            self.outcomes.repeats_refused += 1
            self.end(entry, job)
            return
        self.simulation.after(
            CONNECT_FAILURE_S, lambda: self.send(entry, job, avoided, is_resume)
        )

    def done(self, job: Job) -> None:
        """Count a complete answer and finish its request."""
        entry = self.entries[job.instance]
        now = self.simulation.now
        if window_of(job.arrived_at):
            add(self.outcomes.good_work_s, job.team, job.work_s)
        rate = job.work_s / max(now - job.started_at, 1e-9)
        for window in WINDOWS:
            work_s = rate * overlap_s(window, job.started_at, now)
            add(self.outcomes.good_by_window, window, work_s)
        self.end(entry, job)

    def give_up(self, job: Job) -> None:
        """Cancel a request whose caller has stopped waiting, and count it as late."""
        if job.is_over:
            return
        self.outcomes.late += 1
        self.outcomes.resumes_late += job.was_resumed
        if job.engine is not None:
            engine = job.engine
            engine.stop(job)
            self.entries[job.instance].selector.attempt_finished(engine.name)
        self.end(self.entries[job.instance], job)

    def end(self, entry: Entry, job: Job) -> None:
        """Remove a request and release its admission slot."""
        job.is_over = True
        entry.jobs.pop(job.number, None)
        if job.holds_slot:
            now = self.simulation.now
            self.carry_out(entry, entry.admission.remove(job.number, now))

    def on_done(self, engine_name: str) -> Callable[[Job], None]:
        """Return the callback for requests that complete on an engine."""

        def ended(job: Job) -> None:
            self.entries[job.instance].selector.attempt_finished(engine_name)
            self.done(job)

        return ended

    def lose_domain(self) -> None:
        """Kill the first domain's engines; the upstream list changes only later."""
        dead = [e for e in self.engines.values() if e.domain == DOMAINS[0]]
        for engine in dead:
            for job in engine.die():
                entry = self.entries[job.instance]
                entry.selector.advance_clock(self.simulation.now)
                entry.selector.attempt_finished(engine.name)
                entry.selector.failed(engine.name)
                job.remaining_s += PREFILL_S
                job.was_resumed = True
                self.outcomes.resumes += 1
                self.repeat(entry, job, frozenset({engine.domain}), True)
        alive = {n: u for n, u in self.listed.items() if self.engines[n].is_alive}
        self.simulation.after(LIST_LAG_S, lambda: self.publish(alive))

    def return_domain(self) -> None:
        """Restart the killed engines; the upstream list changes only later."""
        for engine in self.engines.values():
            engine.is_alive = True
        self.simulation.after(LIST_LAG_S, lambda: self.publish(self.listed))

    def publish(self, upstreams: dict[str, UpstreamInstance]) -> None:
        """Give every entry instance a new list of upstreams."""
        for entry in self.entries:
            entry.selector.update(upstreams.values())

    def record_loads(self) -> None:
        """Record the engines' loads, which their reports show after a lag."""
        for name, engine in self.engines.items():
            history = self.history.setdefault(name, [])
            history.append((self.simulation.now, len(engine.jobs)))
            if engine.is_alive:
                seen = self.outcomes.in_flight
                window = window_of(self.simulation.now)
                seen.setdefault(window, []).append(len(engine.jobs))
            while history[0][0] < self.simulation.now - REPORT_LAG_S - TICK_S:
                history.pop(0)

    def read_reports(self, entry: Entry) -> None:
        """Merge every live engine's lagging report into an instance's selector."""
        entry.selector.advance_clock(self.simulation.now)
        for name, history in self.history.items():
            if self.engines[name].is_alive:
                load = history[0][1]
                waiting = max(0, load - CAPACITY_PER_ENGINE)
                report = LoadReport(load - waiting, waiting)
                entry.selector.merge_report(name, report)

    def exchange_counts(self, entry: Entry) -> None:
        """Send an instance's own in-flight counts to a few random peers."""
        others = [peer for peer in self.entries if peer is not entry]
        for peer in self.chance.sample(others, PEERS_PER_ROUND):
            peer.selector.advance_clock(self.simulation.now)
            name = f"entry-{entry.index}"
            peer.selector.merge_peer_counts(name, entry.selector.in_flight)

    def follow_capacity(self, entry: Entry) -> None:
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
        now = self.simulation.now
        self.carry_out(entry, entry.admission.set_limit(limit, now))

    def tick(self, entry: Entry) -> None:
        """Refuse queued requests that can no longer be served in time."""
        if entry.admission.queue.waiting:
            self.carry_out(entry, entry.admission.tick(self.simulation.now))


def add(totals: dict[str, float], key: str, value: float) -> None:
    """Add a value to the total of one key."""
    totals[key] = totals.get(key, 0.0) + value


def reported(received: object) -> float:
    """Return the load of a report; 0 for an upstream without one."""
    report = getattr(received, "report", None)
    return report.running + report.waiting if report is not None else 0.0


def make_world(policy: str, offered: float, seed: int) -> World:
    """Build the engines, the entry instances and the periodic events of a run."""
    simulation = Simulation()
    world = World(policy, offered, simulation, random.Random(f"{seed}:{offered}"))
    for index in range(ENGINES):
        name = f"engine-{index}"
        domain = DOMAINS[index % len(DOMAINS)]
        world.engines[name] = Engine(name, domain, simulation, world.on_done(name))
        world.listed[name] = UpstreamInstance(
            name, SERVICE, UpstreamKind.ENGINE, "127.0.0.1:1", domain
        )
    names = [f"entry-{index}" for index in range(len(INSTANCE_SHARES))]
    for index, name in enumerate(names):
        entry = make_entry(index, name, seed)
        entry.selector.update(world.listed.values())
        entry.selector.update_instances(names)
        world.entries.append(entry)
        plan_periodic(world, entry)
    simulation.every(TICK_S, world.record_loads)
    simulation.after(LOSS_AT_S, world.lose_domain)
    simulation.after(RETURN_AT_S, world.return_domain)
    return world


def make_entry(index: int, name: str, seed: int) -> Entry:
    """Build an entry instance with an equal share of the capacity as its limit."""
    chance = random.Random(f"{seed}:{name}")
    first_limit = CAPACITY // len(INSTANCE_SHARES)
    return Entry(
        index,
        Selector(chance, name),
        ServiceAdmission(SERVICE, chance, first_limit),
        ConcurrencyLimit(),
        RetryBudget(),
        ResumeLimiter(),
    )


def plan_periodic(world: World, entry: Entry) -> None:
    """Schedule an instance's periodic work at a phase that depends on its index."""
    periodic: list[tuple[float, Callable[[Entry], None]]] = [
        (REPORT_INTERVAL_S, world.read_reports),
        (PEER_INTERVAL_S, world.exchange_counts),
        (CAPACITY_INTERVAL_S, world.follow_capacity),
        (TICK_S, world.tick),
    ]
    for interval_s, action in periodic:
        phase_s = interval_s * entry.index / len(INSTANCE_SHARES)

        def begin(
            interval_s: float = interval_s,
            action: Callable[[Entry], None] = action,
        ) -> None:
            world.simulation.every(interval_s, lambda: action(entry))

        world.simulation.after(phase_s, begin)

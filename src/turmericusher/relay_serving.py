"""A running relay instance: its readiness, gauges, state dump and drain.

A relay instance forwards callers' requests to upstreams.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from turmericusher.api.relay import RelayFrontend
from turmericusher.decisions.entry_load.answers import fade_shares
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.retrying.retries import RetryBounds
from turmericusher.decisions.retrying.retry_pool import make_pool
from turmericusher.decisions.routing import NewestTable
from turmericusher.logs import log_event
from turmericusher.memory_guard import MemoryGuard
from turmericusher.metrics import Metrics
from turmericusher.tasks.entry_load import EntryLoad
from turmericusher.tasks.registration import Registration
from turmericusher.tasks.relay_fleet import RelayFleet
from turmericusher.tasks.shared_watch import SharedWatch
from turmericusher.web_server import EmbeddedServer


@dataclass(slots=True)
class RelayInstance:
    """The running parts of one relay instance.

    `own` is the entry under which its peers list it. `retries` limits the retries of
    all instances together, `shared` is the state that all relayed requests share,
    `tables` holds the newest routing table, and `fleet` the upstreams and instances
    that the store lists. `load` measures what this process uses. `watch` is where it
    learns of changes from. `servers` are the running web servers, including the one for
    callers. `guard` has the account of what clients make the process hold.
    """

    own: EntryInstance
    retries: RetryBounds
    shared: RelayShared
    tables: NewestTable
    frontend: RelayFrontend
    fleet: RelayFleet
    registration: Registration
    watch: SharedWatch
    metrics: Metrics
    load: EntryLoad
    servers: list[EmbeddedServer] = field(default_factory=list)
    guard: MemoryGuard | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether the instance has been told to stop."""
        return self.frontend.stop.has_begun()

    def is_ready(self) -> bool:
        """Whether callers may be sent to this instance."""
        return self.tables.table is not None and not self.is_stopping

    def entrypoints(self) -> list[EntryInstance]:
        """Return the entry instances to list to callers; at least this one if ready."""
        listed = self.fleet.entrypoints()
        lost_at = self.fleet.instances.store_lost_at
        if lost_at is not None:
            listed = fade_shares(listed, self.frontend.clock() - lost_at)
        if not listed and self.is_ready():
            return [self.own]
        return listed

    def set_budgets(self, instances: int) -> None:
        """Set the retry budgets to this instance's share among so many instances."""
        self.shared.set_budgets(
            self.retries.instance_ratio(), self.retries.reserve(instances)
        )
        domains = self.shared.loans.possible_holders()
        if self.shared.loans.may_hold and not self.is_stopping:
            domains[self.own.name] = self.own.failure_domain
        pool = make_pool(self.retries, self.own.name, domains, instances)
        self.shared.set_pool(pool, self.frontend.clock())

    def refresh_gauges(self) -> None:
        """Set the gauges to the current values."""
        table, totals = self.tables.table, self.shared.totals
        self.metrics.gauge("in_flight", self.frontend.in_flight)
        self.metrics.gauge("configuration", table.version if table else 0)
        self.metrics.gauge("upstreams", len(self.fleet.upstreams.entries))
        self.metrics.gauge("instances", len(self.fleet.instances.entries))
        if self.guard is not None:
            self.guard.refresh_gauges()
        self.metrics.gauge("store_polls", self.watch.polls)
        applied = self.shared.applied
        self.metrics.gauge("store_revision", applied.revision or 0)
        self.metrics.gauge("store_age_s", applied.age_s(self.frontend.clock()) or 0.0)
        self.metrics.gauge("answers_not_applied", applied.errors)
        self.metrics.gauge("limited_upstreams", len(self.shared.send_limits.limits))
        paused = self.shared.pauses.blocked(self.frontend.clock())
        self.metrics.gauge("paused_upstreams", len(paused))
        self.metrics.gauge("malformed_pauses", self.shared.pauses.malformed)
        self.metrics.gauge("suspected_traits", len(self.shared.crashes.suspicions))
        unreachable = self.shared.reach.unreachable_services()
        self.metrics.gauge("unreachable_services", len(unreachable))
        run_ends = self.shared.run_ends
        self.metrics.gauge("runs_left_open", run_ends.count())
        for end, count in run_ends.ended.items():
            self.metrics.gauge(f"runs_ended.{end.value}", count)
        for name, value in self.load.gauges().items():
            self.metrics.gauge(name, value)
        for service, budget in self.shared.budgets.items():
            allowance = budget.allowance(self.frontend.clock())
            self.metrics.gauge(f"retry_balance.{service}", allowance)
            if budget.is_pooled:
                self.metrics.gauge(f"retry_part.{service}", budget.pooled.part)
        for service, rollout in self.shared.rollouts.services.items():
            step = -1 if rollout.step is None else rollout.step.value
            self.metrics.gauge(f"rollout_step.{service}", step)
            self.metrics.gauge(f"rollout_requests.{service}", rollout.requests)
            self.metrics.gauge(f"rollout_sends.{service}", rollout.target_sends)
            self.metrics.gauge(f"rollout_braked.{service}", rollout.is_braked())
        for name in type(totals).__slots__:
            self.metrics.gauge(f"relay.{name}", getattr(totals, name))

    def state(self) -> dict[str, object]:
        """Return the current state of this process as plain JSON values."""
        selector = self.shared.selector
        table = self.tables.table
        now = self.frontend.clock()
        return {
            "name": self.own.name,
            "configuration": table.version if table else None,
            "in_flight": self.frontend.in_flight,
            "is_stopping": self.is_stopping,
            "upstreams": {
                name: {
                    "service": upstream.service,
                    "address": upstream.address,
                    "failure_domain": upstream.failure_domain,
                    "state": upstream.lifecycle.value,
                    "in_flight": selector.in_flight.get(name, 0),
                    "closed_for_s": self.shared.gate.wait_s(name, now),
                    "estimate": selector.load.estimate(name, selector.now),
                }
                for name, upstream in selector.upstreams.items()
            },
            "instances": sorted(self.fleet.instances.entries),
            "watch_source": self.watch.source or "store",
            "applied": {
                "revision": self.shared.applied.revision,
                "age_s": self.shared.applied.age_s(now),
                "source": self.shared.applied.source or "store",
                "last_error": self.shared.applied.last_error,
            },
            "unreachable_services": sorted(self.shared.reach.unreachable_services()),
            "metrics": self.metrics.snapshot(),
        }


async def drain(instance: RelayInstance) -> None:
    """Withdraw from the entry points and wait for requests in flight, up to a limit.

    Those that still run then are ended with an error.
    New connections are accepted for a while after the withdrawal, since callers keep
    the addresses that they were given. The process may exit when this returns.
    """
    stop, frontend = instance.frontend.stop, instance.frontend
    stop.begin(frontend.clock())
    log_event("stopping", in_flight=frontend.in_flight, limit_s=stop.limit_s)
    await instance.registration.leave()
    await sleep_until(stop.accepts_until())
    for server in instance.servers:
        server.stop_accepting()
    log_event("draining", in_flight=frontend.in_flight)
    try:
        async with asyncio.timeout_at(stop.gives_up_at()):
            await frontend.idle.wait()
    except TimeoutError:
        log_event("drain_cut_short", in_flight=frontend.in_flight)
        frontend.context.end_requests()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(stop.ends_at()):
                await frontend.idle.wait()
    for server in instance.servers:
        server.should_exit_immediately = True


async def sleep_until(at: float) -> None:
    """Sleep until a time of the event loop's clock."""
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))

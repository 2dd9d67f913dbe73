"""The state dump: the state of each part of an entry instance, as JSON values."""

from __future__ import annotations

import time
from dataclasses import asdict
from functools import singledispatch

from turmericusher.decisions.selection import Selector
from turmericusher.tasks.calls import CallRunner
from turmericusher.tasks.claims import Claims
from turmericusher.tasks.generation import GenerationContext
from turmericusher.tasks.instance import EntryRuntime
from turmericusher.tasks.membership import Fleet
from turmericusher.tasks.profile_watch import ProfileTable

MAX_LISTED = 1_000
"""Entries dumped of each table, which keeps a dump readable and bounds its size."""


@singledispatch
def state_of(part: object) -> dict[str, object]:
    """Return the state of one part of an instance as JSON values."""
    raise TypeError(f"part={part!r} has no state dump")


@state_of.register
def state_of_runtime(runtime: EntryRuntime) -> dict[str, object]:
    """Return the state of a whole entry instance, with all its parts."""
    settings = runtime.settings
    return {
        "instance": {
            "name": settings.name,
            "failure_domain": settings.failure_domain,
            "incarnation": runtime.incarnation,
            "uptime_s": time.monotonic() - runtime.started_at,
            "generations_in_flight": runtime.generations_in_flight,
            "requests_in_flight": runtime.draining.in_flight,
        },
        "fleet": state_of(runtime.fleet),
        "profiles": state_of(runtime.profiles),
        "upstreams": state_of(runtime.selector),
        "generations": state_of(runtime.generation),
        "calls": state_of(runtime.calls),
        "admission": runtime.admission.dump(),
        "metrics": runtime.metrics.snapshot(),
    }


@state_of.register
def state_of_fleet(fleet: Fleet) -> dict[str, object]:
    """Return the known entry instances and the leaving marks of upstreams."""
    members = {
        name: {
            **asdict(member.claim.instance),
            **asdict(member.claim.state),
            "health": member.claim.health.name.lower(),
            "answered_age_s": age_s(fleet.table.clock(), member.answered_at),
        }
        for name, member in list(fleet.membership.members.items())[:MAX_LISTED]
    }
    return {
        "accepts_work": fleet.accepts_work,
        "members": members,
        "leaving_upstreams": [asdict(mark) for mark in list(fleet.marks.marks)],
    }


@state_of.register
def state_of_profiles(table: ProfileTable) -> dict[str, object]:
    """Return the profiles in force and the age of their last confirmation."""
    rollout = table.rollout
    records = {
        name: {"revision": record.revision, "retired": record.retired}
        for name, record in list(rollout.records.items())[:MAX_LISTED]
    }
    return {
        "is_current": table.is_current(),
        "cursor": rollout.cursor,
        "confirmed_age_s": age_s(table.clock(), rollout.fresh_as_of),
        "records": records,
        "unreadable": dict(rollout.unreadable),
    }


@state_of.register
def state_of_selector(selector: Selector) -> dict[str, object]:
    """Return the upstreams, each with this instance's requests in flight there."""
    return {
        name: {**asdict(upstream), "in_flight": selector.in_flight.get(name, 0)}
        for name, upstream in list(selector.upstreams.items())[:MAX_LISTED]
    }


@state_of.register
def state_of_generations(context: GenerationContext) -> dict[str, object]:
    """Return the counts of generations, and the suspect requests with their deaths."""
    suspicion = context.suspicion
    suspects = {
        fingerprint: [asdict(death) for death in deaths]
        for fingerprint, deaths in list(suspicion.charged.items())[:MAX_LISTED]
    }
    return {"counts": context.counts(), "suspects": suspects}


@state_of.register
def state_of_calls(calls: CallRunner) -> dict[str, object]:
    """Return the number of running plain calls, and the state of the claims."""
    return {"running": len(calls.running), "claims": state_of(calls.claims)}


@state_of.register
def state_of_claims(claims: Claims) -> dict[str, object]:
    """Return the state of the claim pages written here and of background commits."""
    writers = list(claims.writers.values())
    return {
        "pages": len(writers),
        "pending_commands": sum(len(writer.pending) for writer in writers),
        "store_failing": any(writer.is_store_failing for writer in writers),
        "reports_running": len(claims.reports),
    }


def age_s(now: float, since: float | None) -> float | None:
    """Return the seconds since a time, or None for a time that is None."""
    return None if since is None else now - since

"""The state dump: the state of each part of an entry instance, as JSON values."""

from __future__ import annotations

import time
from dataclasses import asdict
from functools import singledispatch

from turmericusher.decisions.placing.selection import Selector
from turmericusher.tasks.calls import CallRunner
from turmericusher.tasks.claims import Claims
from turmericusher.tasks.generation import GenerationContext
from turmericusher.tasks.instance import EntryRuntime
from turmericusher.tasks.membership import Fleet
from turmericusher.tasks.profile_watch import ProfileTable

MAX_ENTRIES = 1_000
"""Entries dumped of each table, which keeps a dump readable and bounds its size."""


@singledispatch
def dump_state(part: object) -> dict[str, object]:
    """Return the state of one part of an instance as JSON values."""
    raise TypeError(f"part={part!r} has no state dump")


@dump_state.register
def dump_runtime(runtime: EntryRuntime) -> dict[str, object]:
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
        "fleet": dump_state(runtime.fleet),
        "profiles": dump_state(runtime.profiles),
        "upstreams": dump_state(runtime.selector),
        "generations": dump_state(runtime.generation),
        "calls": dump_state(runtime.calls),
        "admission": runtime.admission.dump(),
        "metrics": runtime.metrics.snapshot(),
    }


@dump_state.register
def dump_fleet(fleet: Fleet) -> dict[str, object]:
    """Return the known entry instances and the leaving marks of upstreams."""
    members = {
        name: {
            **asdict(member.claim.instance),
            **asdict(member.claim.state),
            "health": member.claim.health.name.lower(),
            "answered_age_s": age_s(fleet.table.clock(), member.answered_at),
        }
        for name, member in list(fleet.membership.members.items())[:MAX_ENTRIES]
    }
    return {
        "accepts_work": fleet.accepts_work,
        "members": members,
        "leaving_upstreams": [asdict(mark) for mark in list(fleet.marks.marks)],
    }


@dump_state.register
def dump_profiles(table: ProfileTable) -> dict[str, object]:
    """Return the profiles in force and the age of their last confirmation."""
    rollout = table.rollout
    records = {
        name: {"revision": record.revision, "retired": record.retired}
        for name, record in list(rollout.records.items())[:MAX_ENTRIES]
    }
    return {
        "is_current": table.is_current(),
        "cursor": rollout.cursor,
        "confirmed_age_s": age_s(table.clock(), rollout.fresh_as_of),
        "records": records,
        "unreadable": dict(rollout.unreadable),
    }


@dump_state.register
def dump_selector(selector: Selector) -> dict[str, object]:
    """Return the upstreams, each with this instance's requests in flight there."""
    return {
        name: {**asdict(upstream), "in_flight": selector.in_flight.get(name, 0)}
        for name, upstream in list(selector.upstreams.items())[:MAX_ENTRIES]
    }


@dump_state.register
def dump_generations(context: GenerationContext) -> dict[str, object]:
    """Return the counts of generations, and the suspect requests with their deaths."""
    suspicion = context.suspicion
    suspects = {
        fingerprint: [asdict(death) for death in deaths]
        for fingerprint, deaths in list(suspicion.deaths_by_fingerprint.items())[
            :MAX_ENTRIES
        ]
    }
    return {"counts": context.counts(), "suspects": suspects}


@dump_state.register
def dump_calls(calls: CallRunner) -> dict[str, object]:
    """Return the number of running plain calls, and the state of the claims."""
    return {"running": len(calls.running), "claims": dump_state(calls.claims)}


@dump_state.register
def dump_claims(claims: Claims) -> dict[str, object]:
    """Return the state of the claim pages written here and of background commits."""
    writers = list(claims.writers.values())
    return {
        "pages": len(writers),
        "pending_commands": sum(len(writer.pending) for writer in writers),
        "store_failing": any(writer.is_store_failing for writer in writers),
        "reports_running": len(claims.background_commits),
    }


def age_s(now: float, since: float | None) -> float | None:
    """Return the seconds since a time, or None for a time that is None."""
    return None if since is None else now - since

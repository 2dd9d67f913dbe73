"""Placement: which upstream an attempt may use, given its request's crash reports."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.placing.selection import PickRequest, Selector
from turmericusher.decisions.suspicion import SuspicionLedger


def place_attempt(
    selector: Selector,
    ledger: SuspicionLedger,
    request: PickRequest,
    fingerprint: str,
    now: float,
) -> UpstreamInstance | None:
    """Return the upstream for an attempt, or None when none can take it now."""
    for excluded in exclusions(selector, ledger, fingerprint, now):
        wanted = replace(request, excluded=request.excluded | excluded)
        upstream = selector.pick(wanted)
        if upstream is not None:
            return upstream
    return None


def exclusions(
    selector: Selector, ledger: SuspicionLedger, fingerprint: str, now: float
) -> Iterator[frozenset[str]]:
    """Yield sets of upstreams to exclude, the strictest set first.

    Later sets no longer keep suspects apart or away from other requests; the last one
    excludes only upstreams that must never be used.
    """
    forced = upstreams_seen_dead(selector, ledger, fingerprint, now)
    if ledger.is_at_crash_limit(fingerprint, now):
        forced |= frozenset(selector.upstreams) - ledger.running_upstreams(fingerprint)
    reserved = ledger.upstreams_held(fingerprint)
    if ledger.must_run_alone(fingerprint, now):
        yield forced | reserved | ledger.all_running_upstreams()
    if ledger.is_suspect(fingerprint, now):
        yield forced | reserved | ledger.upstreams_with_suspects(fingerprint, now)
    yield forced | reserved
    yield forced


def upstreams_seen_dead(
    selector: Selector, ledger: SuspicionLedger, fingerprint: str, now: float
) -> frozenset[str]:
    """Return the upstreams whose listed incarnation died while running the request."""
    return frozenset(
        key.upstream
        for key in ledger.recently_dead(fingerprint, now)
        if key.upstream in selector.upstreams
        and selector.upstreams[key.upstream].incarnation == key.incarnation
    )


def confirm_stalled_deaths(
    selector: Selector, ledger: SuspicionLedger, fingerprint: str
) -> None:
    """Turn stalls into deaths where another incarnation has replaced the upstream."""
    for key in ledger.stalled_keys(fingerprint):
        upstream = selector.upstreams.get(key.upstream)
        if upstream is not None and upstream.incarnation != key.incarnation:
            ledger.confirm_death(key)

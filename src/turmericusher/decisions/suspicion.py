"""Suspects: requests that may be what crashes the upstreams that run them.

When an upstream dies, each request with an attempt in flight there gets a crash report,
identified by its fingerprint. A request with crash reports is a suspect: it is kept
away from other suspects. One death short of the limit it runs alone on an upstream, and
at the limit it is refused.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance

MAX_CRASHES = 3
"""Deaths of upstreams after which a suspect is refused."""

CRASH_REPORT_TTL_S = 3600.0
"""Seconds after which a crash report expires."""

MAX_DEATHS = 2_000
MAX_SUSPECTS_PER_DEATH = 1_000
MAX_PROVEN = 10_000
"""Bounds of the ledger: deaths, fingerprints of one death, and proven fingerprints."""

LIST_LAG_S = 15.0
"""Seconds for which the instance list may still show an upstream that has died."""

ALIVE_GRACE_S = 0.5
"""Seconds after a death in which a chunk does not prove that the upstream is alive."""

DOMAIN_LOSS_WINDOW_S = 2.0
"""Maximum seconds between two deaths that count as one incident."""

DOMAIN_LOSS_SHARE = 0.5
"""Share of a failure domain's upstreams whose deaths count as a loss of the domain."""

DOMAIN_LOSS_MIN_DEATHS = 2


@dataclass(frozen=True, slots=True)
class CrashReport:
    """The death of an upstream with a request in flight, as instances exchange it.

    `age_s` is the time since the death in seconds, because instances share no clock.
    `domain_size` is the number of upstreams known in the failure domain. `is_stall`
    marks an upstream that has stalled and may recover.
    """

    fingerprint: str
    upstream: str
    incarnation: str
    failure_domain: str
    domain_size: int
    age_s: float
    is_stall: bool = False


@dataclass(frozen=True, slots=True)
class DeathKey:
    """Identifies one incarnation of an upstream."""

    upstream: str
    incarnation: str


@dataclass(slots=True)
class Death:
    """The death of one incarnation, and the fingerprints that were in flight there.

    `died_at` is in monotonic seconds. `is_stall` marks a stall, which may yet end.
    """

    key: DeathKey
    failure_domain: str
    domain_size: int
    died_at: float
    is_stall: bool
    fingerprints: set[str] = field(default_factory=set)


@dataclass(slots=True)
class SuspicionLedger:
    """The deaths reported for each fingerprint, and where each fingerprint runs now.

    `deaths_by_fingerprint` has the keys of a suspect's deaths. `running` counts a
    fingerprint's attempts on each upstream. `held` maps a reserved upstream to the
    fingerprint that must run alone there. `proven` has fingerprints that completed and
    got no crash report since. `cleared` has the times at which incarnations proved to
    be alive.
    """

    deaths: OrderedDict[DeathKey, Death] = field(default_factory=OrderedDict)
    deaths_by_fingerprint: dict[str, set[DeathKey]] = field(default_factory=dict)
    running: dict[str, dict[str, int]] = field(default_factory=dict)
    held: dict[str, str] = field(default_factory=dict)
    proven: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cleared: OrderedDict[DeathKey, float] = field(default_factory=OrderedDict)

    def record_start(self, fingerprint: str, upstream: str, now: float) -> None:
        """Count an attempt that starts; reserve its upstream if it must run alone."""
        upstreams = self.running.setdefault(fingerprint, {})
        upstreams[upstream] = upstreams.get(upstream, 0) + 1
        if self.must_run_alone(fingerprint, now):
            self.held[upstream] = fingerprint

    def record_end(self, fingerprint: str, upstream: str) -> None:
        """Remove an attempt that ended, whatever its outcome."""
        upstreams = self.running[fingerprint]
        upstreams[upstream] -= 1
        if upstreams[upstream] == 0:
            del upstreams[upstream]
            if self.held.get(upstream) == fingerprint:
                del self.held[upstream]
        if not upstreams:
            del self.running[fingerprint]

    def record_success(self, fingerprint: str) -> None:
        """Record an attempt that completed.

        Crash reports stay until they expire: a request that crashes upstreams now and
        then must not gain three more deaths by completing once.
        """
        if fingerprint in self.deaths_by_fingerprint:
            return
        self.proven[fingerprint] = None
        self.proven.move_to_end(fingerprint)
        if len(self.proven) > MAX_PROVEN:
            self.proven.popitem(last=False)

    def report_crash(
        self,
        fingerprint: str,
        upstream: UpstreamInstance,
        domain_size: int,
        now: float,
        is_stall: bool = False,
    ) -> None:
        """Record the death of an upstream for a fingerprint in flight there."""
        death = Death(
            DeathKey(upstream.name, upstream.incarnation),
            upstream.failure_domain,
            domain_size,
            now,
            is_stall,
        )
        self.record(fingerprint, death)
        self.expire_deaths(now)

    def record(self, fingerprint: str, reported: Death) -> None:
        """Add a crash report of a fingerprint; one of a death overrides one of a stall.

        Reports from before the incarnation proved to be alive are ignored. A death that
        is already known keeps its time.
        """
        if self.cleared.get(reported.key, -math.inf) >= reported.died_at:
            return
        death = self.deaths.setdefault(reported.key, reported)
        death.is_stall = death.is_stall and reported.is_stall
        if len(death.fingerprints) >= MAX_SUSPECTS_PER_DEATH:
            return
        death.fingerprints.add(fingerprint)
        self.deaths_by_fingerprint.setdefault(fingerprint, set()).add(reported.key)
        self.proven.pop(fingerprint, None)

    def expire_deaths(self, now: float) -> None:
        """Remove the deaths that have expired, and the oldest above `MAX_DEATHS`."""
        expired = [d.key for d in self.deaths.values() if not is_recent(d, now)]
        for key in expired:
            self.remove_death(key)
        while len(self.deaths) > MAX_DEATHS:
            self.remove_death(next(iter(self.deaths)))

    def remove_death(self, key: DeathKey) -> None:
        """Remove a death and the crash reports for it."""
        for fingerprint in self.deaths.pop(key).fingerprints:
            keys = self.deaths_by_fingerprint[fingerprint]
            keys.discard(key)
            if not keys:
                del self.deaths_by_fingerprint[fingerprint]

    def clear_if_alive(self, key: DeathKey, since: float, now: float) -> None:
        """Remove the crash reports for an incarnation that proved to be alive at `now`.

        `since` is the time from which the evidence counts: the start of a stream that
        still receives chunks, or minus infinity where the upstream itself reports its
        incarnation. A stream opened after a death may come from a restarted process, so
        it clears only a stall.
        """
        death = self.deaths.get(key)
        if death is None:
            return
        # Chunks sent before a death may be read a little after it.
        if now < death.died_at + ALIVE_GRACE_S:
            return
        if not death.is_stall and death.died_at < since:
            return
        self.remove_death(key)
        self.cleared[key] = now
        self.cleared.move_to_end(key)
        if len(self.cleared) > MAX_DEATHS:
            self.cleared.popitem(last=False)

    def confirm_death(self, key: DeathKey) -> None:
        """Turn a stall into a death: another incarnation has replaced the upstream."""
        if key in self.deaths:
            self.deaths[key].is_stall = False

    def counted_deaths(self, fingerprint: str, now: float) -> list[Death]:
        """Return the deaths that count against a fingerprint.

        A stall does not count until another incarnation has replaced the upstream: an
        overloaded, paused or disconnected engine stalls too.
        """
        deaths = [
            self.deaths[key] for key in self.deaths_by_fingerprint.get(fingerprint, ())
        ]
        return [
            death
            for death in deaths
            if not death.is_stall
            and is_recent(death, now)
            and not self.has_other_cause(death, fingerprint)
        ]

    def has_other_cause(self, death: Death, fingerprint: str) -> bool:
        """Whether a death has a more likely cause than this fingerprint."""
        return self.is_domain_loss(death, fingerprint) or self.is_due_to_other_request(
            death, fingerprint
        )

    def is_domain_loss(self, death: Death, fingerprint: str) -> bool:
        """Whether a death was part of the loss of its failure domain.

        That is so if enough of the domain's upstreams died at nearly the same time.
        Deaths that were reported for this fingerprint too are not evidence: parallel
        copies of one request must not pass for a lost domain.
        """
        others = sum(
            is_same_incident(death, other) and fingerprint not in other.fingerprints
            for other in self.deaths.values()
        )
        needed = max(
            DOMAIN_LOSS_MIN_DEATHS, math.ceil(death.domain_size * DOMAIN_LOSS_SHARE)
        )
        return others + 1 >= needed

    def is_due_to_other_request(self, death: Death, fingerprint: str) -> bool:
        """Whether another request in flight there has reached the crash limit.

        False if this fingerprint has reached it too. All confirmed deaths count here,
        whatever their likely cause.
        """
        if self.confirmed_death_count(fingerprint) >= MAX_CRASHES:
            return False
        return any(
            self.confirmed_death_count(other) >= MAX_CRASHES
            for other in death.fingerprints
        )

    def confirmed_death_count(self, fingerprint: str) -> int:
        """Return how many deaths, stalls left out, were reported for a fingerprint."""
        keys = self.deaths_by_fingerprint.get(fingerprint, ())
        return sum(not self.deaths[key].is_stall for key in keys)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Whether a request has reached the crash limit."""
        return len(self.counted_deaths(fingerprint, now)) >= MAX_CRASHES

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Whether any death counts against a fingerprint."""
        return bool(self.counted_deaths(fingerprint, now))

    def must_run_alone(self, fingerprint: str, now: float) -> bool:
        """Whether one more death would reach the crash limit."""
        return len(self.counted_deaths(fingerprint, now)) >= MAX_CRASHES - 1

    def is_at_crash_limit(self, fingerprint: str, now: float) -> bool:
        """Whether a fingerprint must not run on any further upstream now.

        The upstreams that run it may die, and with one more of them the deaths could
        exceed the crash limit. A proven fingerprint is not limited.
        """
        at_risk = self.running_upstreams(fingerprint)
        death_count = len(self.counted_deaths(fingerprint, now))
        return (
            fingerprint not in self.proven and death_count + len(at_risk) >= MAX_CRASHES
        )

    def retry_after_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a refused fingerprint is below the limit again."""
        deaths = self.counted_deaths(fingerprint, now)
        if len(deaths) < MAX_CRASHES:
            return 0.0
        times = sorted((death.died_at for death in deaths), reverse=True)
        return max(0.0, times[MAX_CRASHES - 1] + CRASH_REPORT_TTL_S - now)

    def recently_dead(self, fingerprint: str, now: float) -> frozenset[DeathKey]:
        """Return the incarnations that died recently with a fingerprint in flight.

        The instance list lags behind and may still show them.
        """
        keys = self.deaths_by_fingerprint.get(fingerprint, ())
        deaths = (self.deaths[key] for key in keys)
        return frozenset(
            death.key
            for death in deaths
            if not death.is_stall and death.died_at + LIST_LAG_S > now
        )

    def stalled_keys(self, fingerprint: str) -> list[DeathKey]:
        """Return the incarnations that only stalled with a fingerprint in flight."""
        keys = self.deaths_by_fingerprint.get(fingerprint, ())
        return [key for key in keys if self.deaths[key].is_stall]

    def running_upstreams(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams that run a fingerprint now."""
        return frozenset(self.running.get(fingerprint, ()))

    def all_running_upstreams(self) -> frozenset[str]:
        """Return the upstreams that run any request of this instance now."""
        return frozenset(name for names in self.running.values() for name in names)

    def upstreams_with_suspects(self, fingerprint: str, now: float) -> frozenset[str]:
        """Return the upstreams that run another suspect now."""
        return frozenset(
            name
            for other, names in self.running.items()
            if other != fingerprint and self.is_suspect(other, now)
            for name in names
        )

    def upstreams_held(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams reserved for other fingerprints."""
        return frozenset(n for n, owner in self.held.items() if owner != fingerprint)


def is_recent(death: Death, now: float) -> bool:
    """Whether a death has not expired yet."""
    return death.died_at + CRASH_REPORT_TTL_S > now


def is_same_incident(one: Death, other: Death) -> bool:
    """Whether two deaths are of one failure domain and nearly the same time."""
    return (
        one.key != other.key
        and one.failure_domain == other.failure_domain
        and abs(one.died_at - other.died_at) <= DOMAIN_LOSS_WINDOW_S
    )


def newest_crash_reports(
    ledger: SuspicionLedger, now: float, limit: int
) -> list[CrashReport]:
    """Return the newest crash reports, at most `limit`, to send to peers."""
    newest = [
        to_crash_report(fingerprint, death, now)
        for death in reversed(ledger.deaths.values())
        if is_recent(death, now)
        for fingerprint in sorted(death.fingerprints)
    ]
    return newest[:limit]


def to_crash_report(fingerprint: str, death: Death, now: float) -> CrashReport:
    """Return the crash report of a death for one fingerprint."""
    return CrashReport(
        fingerprint=fingerprint,
        upstream=death.key.upstream,
        incarnation=death.key.incarnation,
        failure_domain=death.failure_domain,
        domain_size=death.domain_size,
        age_s=max(0.0, now - death.died_at),
        is_stall=death.is_stall,
    )


def merge_crash_reports(
    ledger: SuspicionLedger, charges: Iterable[CrashReport], now: float
) -> None:
    """Add the crash reports that a peer sent, and expire old ones."""
    for report in charges:
        death = Death(
            DeathKey(report.upstream, report.incarnation),
            report.failure_domain,
            report.domain_size,
            now - report.age_s,
            report.is_stall,
        )
        if is_recent(death, now):
            ledger.record(report.fingerprint, death)
    ledger.expire_deaths(now)

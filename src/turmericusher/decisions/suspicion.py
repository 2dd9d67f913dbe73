"""Suspicion: which request may be what kills the upstreams that run it.

Each death of an upstream is charged to every request whose attempt died with it, by
fingerprint. A charged request keeps away from other charged ones; one death short of
the limit it runs alone; at the limit it is refused.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance

MAX_KILLS = 3
CHARGE_LIFE_S = 3600.0
MAX_DEATHS = 2_000
MAX_CHARGED_REQUESTS = 1_000
MAX_PROVEN = 10_000
LIST_LAG_S = 15.0
ALIVE_GRACE_S = 0.5
DOMAIN_LOSS_WINDOW_S = 2.0
DOMAIN_LOSS_SHARE = 0.5
DOMAIN_LOSS_LEAST = 2


@dataclass(frozen=True, slots=True)
class Charge:
    """One death charged to one fingerprint, as peers exchange it.

    `age_s` is the time since the death in seconds, because instances share no clock.
    `domain_size` is the number of upstreams known in the failure domain.
    `is_stall` marks an upstream that fell silent and may come back.
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
    """Names one incarnation of an upstream."""

    upstream: str
    incarnation: str


@dataclass(slots=True)
class Death:
    """The end of one incarnation, and the fingerprints that ran there."""

    key: DeathKey
    failure_domain: str
    domain_size: int
    died_at: float
    is_stall: bool
    fingerprints: set[str] = field(default_factory=set)


@dataclass(slots=True)
class SuspicionLedger:
    """The deaths charged to each fingerprint, and where each fingerprint runs now.

    `charged` leads from a fingerprint to its deaths. `running` counts a fingerprint's
    attempts on each upstream. `held` names the fingerprint for which an upstream is
    kept free. `proven` holds fingerprints that ended well and were not charged since.
    `cleared` holds the times at which incarnations proved to be alive.
    """

    deaths: OrderedDict[DeathKey, Death] = field(default_factory=OrderedDict)
    charged: dict[str, set[DeathKey]] = field(default_factory=dict)
    running: dict[str, dict[str, int]] = field(default_factory=dict)
    held: dict[str, str] = field(default_factory=dict)
    proven: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cleared: OrderedDict[DeathKey, float] = field(default_factory=OrderedDict)

    def started(self, fingerprint: str, upstream: str, now: float) -> None:
        """Count an attempt that begins."""
        upstreams = self.running.setdefault(fingerprint, {})
        upstreams[upstream] = upstreams.get(upstream, 0) + 1
        if self.must_run_alone(fingerprint, now):
            self.held[upstream] = fingerprint

    def finished(self, fingerprint: str, upstream: str) -> None:
        """Count an attempt that ended, however it ended."""
        upstreams = self.running[fingerprint]
        upstreams[upstream] -= 1
        if upstreams[upstream] == 0:
            del upstreams[upstream]
            if self.held.get(upstream) == fingerprint:
                del self.held[upstream]
        if not upstreams:
            del self.running[fingerprint]

    def prove(self, fingerprint: str) -> None:
        """Note that an attempt ended well.

        Charges stay until they expire: a request that kills now and then must not be
        able to earn three more deaths by one good answer.
        """
        if fingerprint in self.charged:
            return
        self.proven[fingerprint] = None
        self.proven.move_to_end(fingerprint)
        if len(self.proven) > MAX_PROVEN:
            self.proven.popitem(last=False)

    def charge(
        self,
        fingerprint: str,
        upstream: UpstreamInstance,
        domain_size: int,
        now: float,
        is_stall: bool = False,
    ) -> None:
        """Charge the death of `upstream` to a fingerprint that was running there."""
        death = Death(
            DeathKey(upstream.name, upstream.incarnation),
            upstream.failure_domain,
            domain_size,
            now,
            is_stall,
        )
        self.record(fingerprint, death)
        self.forget(now)

    def record(self, fingerprint: str, reported: Death) -> None:
        """Enter one report; a stall that proves to be a death becomes one."""
        if self.cleared.get(reported.key, -math.inf) >= reported.died_at:
            return
        death = self.deaths.setdefault(reported.key, reported)
        death.is_stall = death.is_stall and reported.is_stall
        if len(death.fingerprints) >= MAX_CHARGED_REQUESTS:
            return
        death.fingerprints.add(fingerprint)
        self.charged.setdefault(fingerprint, set()).add(reported.key)
        self.proven.pop(fingerprint, None)

    def forget(self, now: float) -> None:
        """Drop the deaths that have expired, and the oldest above the bound."""
        expired = [d.key for d in self.deaths.values() if not is_recent(d, now)]
        for key in expired:
            self.remove(key)
        while len(self.deaths) > MAX_DEATHS:
            self.remove(next(iter(self.deaths)))

    def remove(self, key: DeathKey) -> None:
        """Take a death off everyone it was charged to."""
        for fingerprint in self.deaths.pop(key).fingerprints:
            keys = self.charged[fingerprint]
            keys.discard(key)
            if not keys:
                del self.charged[fingerprint]

    def seen_alive(self, key: DeathKey, since: float, now: float) -> None:
        """Clear the charges for an incarnation that turns out to live at `now`.

        `since` is the time from which the evidence counts: the start of a stream that
        still brings pieces, or minus infinity where the upstream itself reports its
        incarnation. A stream opened after a death may come from a restarted process
        and clears only a silence.
        """
        death = self.deaths.get(key)
        if death is None:
            return
        # Pieces sent before a death are read a little after it.
        if now < death.died_at + ALIVE_GRACE_S:
            return
        if not death.is_stall and death.died_at < since:
            return
        self.remove(key)
        self.cleared[key] = now
        self.cleared.move_to_end(key)
        if len(self.cleared) > MAX_DEATHS:
            self.cleared.popitem(last=False)

    def seen_replaced(self, key: DeathKey) -> None:
        """Note that another incarnation took the place of one that fell silent."""
        if key in self.deaths:
            self.deaths[key].is_stall = False

    def kills(self, fingerprint: str, now: float) -> list[Death]:
        """Return the deaths that count against a fingerprint.

        A silence is none until another incarnation has taken the upstream's place: an
        overloaded, paused or cut-off engine is silent too.
        """
        deaths = [self.deaths[key] for key in self.charged.get(fingerprint, ())]
        return [
            death
            for death in deaths
            if not death.is_stall
            and is_recent(death, now)
            and not self.has_other_cause(death, fingerprint)
        ]

    def has_other_cause(self, death: Death, fingerprint: str) -> bool:
        """Whether a death has a likelier cause than this fingerprint."""
        return self.is_domain_loss(death, fingerprint) or self.is_anothers(
            death, fingerprint
        )

    def is_domain_loss(self, death: Death, fingerprint: str) -> bool:
        """Whether so much of the failure domain died at once that the domain did.

        Other deaths that this fingerprint took part in are no evidence for it: copies
        of one request must not pass for a lost domain.
        """
        others = sum(
            is_together(death, other) and fingerprint not in other.fingerprints
            for other in self.deaths.values()
        )
        needed = max(
            DOMAIN_LOSS_LEAST, math.ceil(death.domain_size * DOMAIN_LOSS_SHARE)
        )
        return others + 1 >= needed

    def is_anothers(self, death: Death, fingerprint: str) -> bool:
        """Whether a request with deaths up to the limit died there too."""
        if self.broken_count(fingerprint) >= MAX_KILLS:
            return False
        return any(
            self.broken_count(other) >= MAX_KILLS for other in death.fingerprints
        )

    def broken_count(self, fingerprint: str) -> int:
        """Return the deaths charged to a fingerprint, whatever their likely cause."""
        keys = self.charged.get(fingerprint, ())
        return sum(not self.deaths[key].is_stall for key in keys)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Whether a request has killed as many upstreams as it may."""
        return len(self.kills(fingerprint, now)) >= MAX_KILLS

    def has_charges(self, fingerprint: str, now: float) -> bool:
        """Whether any death counts against a fingerprint."""
        return bool(self.kills(fingerprint, now))

    def must_run_alone(self, fingerprint: str, now: float) -> bool:
        """Whether the next death would be the last one allowed."""
        return len(self.kills(fingerprint, now)) >= MAX_KILLS - 1

    def is_at_limit(self, fingerprint: str, now: float) -> bool:
        """Whether a further upstream would put more at risk than a request may kill.

        A fingerprint that has ended well is common work, and may run anywhere.
        """
        at_risk = self.upstreams_of(fingerprint)
        kills = len(self.kills(fingerprint, now))
        return fingerprint not in self.proven and kills + len(at_risk) >= MAX_KILLS

    def retry_after_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a refused fingerprint is below the limit again."""
        deaths = self.kills(fingerprint, now)
        if len(deaths) < MAX_KILLS:
            return 0.0
        times = sorted((death.died_at for death in deaths), reverse=True)
        return max(0.0, times[MAX_KILLS - 1] + CHARGE_LIFE_S - now)

    def killed_lately(self, fingerprint: str, now: float) -> frozenset[DeathKey]:
        """Return the incarnations that died under a fingerprint a short time ago.

        The list of instances lags: it may still show what has died.
        """
        keys = self.charged.get(fingerprint, ())
        deaths = (self.deaths[key] for key in keys)
        return frozenset(
            death.key
            for death in deaths
            if not death.is_stall and death.died_at + LIST_LAG_S > now
        )

    def silent_keys(self, fingerprint: str) -> list[DeathKey]:
        """Return the incarnations that only fell silent under a fingerprint."""
        keys = self.charged.get(fingerprint, ())
        return [key for key in keys if self.deaths[key].is_stall]

    def upstreams_of(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams that run a fingerprint now."""
        return frozenset(self.running.get(fingerprint, ()))

    def upstreams_running(self) -> frozenset[str]:
        """Return the upstreams that run anything of this instance now."""
        return frozenset(name for names in self.running.values() for name in names)

    def upstreams_with_charged(self, fingerprint: str, now: float) -> frozenset[str]:
        """Return the upstreams that run another charged fingerprint now."""
        return frozenset(
            name
            for other, names in self.running.items()
            if other != fingerprint and self.has_charges(other, now)
            for name in names
        )

    def upstreams_held(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams kept free for other fingerprints."""
        return frozenset(n for n, owner in self.held.items() if owner != fingerprint)


def is_recent(death: Death, now: float) -> bool:
    """Whether a death is young enough to count."""
    return death.died_at + CHARGE_LIFE_S > now


def is_together(one: Death, other: Death) -> bool:
    """Whether two deaths fell in one failure domain at nearly one time."""
    return (
        one.key != other.key
        and one.failure_domain == other.failure_domain
        and abs(one.died_at - other.died_at) <= DOMAIN_LOSS_WINDOW_S
    )


def outgoing_charges(ledger: SuspicionLedger, now: float, limit: int) -> list[Charge]:
    """Return the newest charges, at most `limit`, for the exchange with peers."""
    newest = [
        charge_of(fingerprint, death, now)
        for death in reversed(ledger.deaths.values())
        if is_recent(death, now)
        for fingerprint in sorted(death.fingerprints)
    ]
    return newest[:limit]


def charge_of(fingerprint: str, death: Death, now: float) -> Charge:
    """Return a death in the form that peers exchange."""
    return Charge(
        fingerprint=fingerprint,
        upstream=death.key.upstream,
        incarnation=death.key.incarnation,
        failure_domain=death.failure_domain,
        domain_size=death.domain_size,
        age_s=max(0.0, now - death.died_at),
        is_stall=death.is_stall,
    )


def merge_charges(
    ledger: SuspicionLedger, charges: Iterable[Charge], now: float
) -> None:
    """Take in charges that a peer sent."""
    for charge in charges:
        death = Death(
            DeathKey(charge.upstream, charge.incarnation),
            charge.failure_domain,
            charge.domain_size,
            now - charge.age_s,
            charge.is_stall,
        )
        if is_recent(death, now):
            ledger.record(charge.fingerprint, death)
    ledger.forget(now)

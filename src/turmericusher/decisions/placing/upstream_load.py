"""The estimated load of an upstream, from sources of different age.

An instance knows its own requests exactly. Those of the other instances it knows from
the upstreams' reports and from the peers' counts, which are both delayed. Each source
is weighted by its age, and where all are old the mean of all upstreams dominates.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

DECAY_TIME_S = 2.0
"""Age in seconds at which a source has 1/e of the weight of a current one."""
PRIOR_WEIGHT = 0.05
"""Weight of the mean of all upstreams, against 1 for a current source."""
PEER_EXPIRY_S = 30.0
"""Seconds after which the counts of a peer are dropped."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An upstream's report of its requests: running, and waiting inside it.

    `slots` is how many it runs at once, and `slowdown` how many times longer than usual
    work takes there at the moment; None where the report does not say.
    """

    running: float
    waiting: float = 0.0
    slots: float | None = None
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report and the monotonic time in seconds at which it was received.

    `others` is the reported number of requests without this instance's own ones at
    that time.
    """

    report: LoadReport
    received_at: float
    others: float


@dataclass(frozen=True, slots=True)
class PeerCounts:
    """A peer's requests in flight by upstream, and the monotonic time of receipt."""

    counts: Mapping[str, int]
    received_at: float


@dataclass(slots=True)
class LoadTable:
    """The sources for the load of every upstream that this instance sends to.

    `mean_others` is the mean over the upstreams of the requests of other instances.
    """

    in_flight: dict[str, int] = field(default_factory=dict)
    reports: dict[str, ReceivedReport] = field(default_factory=dict)
    peers: dict[str, PeerCounts] = field(default_factory=dict)
    mean_others: float = 0.0

    def merge_report(self, name: str, report: LoadReport, now: float) -> None:
        """Store an upstream's report and update the mean."""
        own = self.in_flight.get(name, 0)
        others = max(0.0, report.running + report.waiting - own)
        self.reports[name] = ReceivedReport(report, now, others)
        self.update_mean()

    def merge_peer_counts(
        self, peer: str, counts: Mapping[str, int], now: float
    ) -> None:
        """Store a peer's counts; they replace its earlier ones."""
        self.peers[peer] = PeerCounts(dict(counts), now)

    def prune(self, upstreams: set[str], now: float) -> None:
        """Drop the reports of unknown upstreams and the expired counts of peers."""
        self.reports = {n: r for n, r in self.reports.items() if n in upstreams}
        self.peers = {
            peer: counts
            for peer, counts in self.peers.items()
            if now - counts.received_at <= PEER_EXPIRY_S
        }
        self.update_mean()

    def update_mean(self) -> None:
        """Recompute the mean number of other instances' requests on an upstream."""
        if self.reports:
            total = sum(received.others for received in self.reports.values())
            self.mean_others = total / len(self.reports)
        else:
            self.mean_others = 0.0

    def estimate(self, name: str, now: float) -> float:
        """Return the estimated number of requests on an upstream."""
        weighted = PRIOR_WEIGHT * self.mean_others
        weights = PRIOR_WEIGHT
        received = self.reports.get(name)
        if received is not None:
            weight = age_weight(now - received.received_at)
            weighted += weight * received.others
            weights += weight
        if self.peers:
            weight = self.mean_peer_weight(now)
            weighted += weight * self.peers_in_flight(name)
            weights += weight
        return self.in_flight.get(name, 0) + weighted / weights

    def peers_in_flight(self, name: str) -> int:
        """Return the number of requests that the peers reported on an upstream."""
        return sum(counts.counts.get(name, 0) for counts in self.peers.values())

    def mean_peer_weight(self, now: float) -> float:
        """Return the mean weight of the peers' counts by their age."""
        total = sum(
            age_weight(now - counts.received_at) for counts in self.peers.values()
        )
        return total / len(self.peers)


def age_weight(age_s: float) -> float:
    """Return the weight of a source of the given age, 1 for a current one."""
    return math.exp(-max(0.0, age_s) / DECAY_TIME_S)

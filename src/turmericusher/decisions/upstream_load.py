"""How loaded an upstream is, from sources of different age.

An instance knows its own requests exactly, the others' from the upstreams' reports
and from the peers' counts, both late. Each source counts by its age, and a source too
old for its word to mean much gives way to the mean of all upstreams.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

MEMORY_S = 2.0
"""The age in seconds at which a source counts for 1/e of a fresh one."""
PRIOR_WEIGHT = 0.05
PEER_EXPIRY_S = 30.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream says of itself: requests running, and waiting inside it."""

    running: float
    waiting: float = 0.0


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report as received at a monotonic time in seconds.

    `others` is the report less the instance's own requests at that moment.
    """

    report: LoadReport
    received_at: float
    others: float


@dataclass(frozen=True, slots=True)
class PeerCounts:
    """A peer's requests in flight for each upstream, heard at a monotonic time."""

    counts: Mapping[str, int]
    heard_at: float


@dataclass(slots=True)
class LoadTable:
    """The sources for every upstream that this instance sends to."""

    in_flight: dict[str, int] = field(default_factory=dict)
    reports: dict[str, ReceivedReport] = field(default_factory=dict)
    peers: dict[str, PeerCounts] = field(default_factory=dict)
    mean_others: float = 0.0

    def merge_report(self, name: str, report: LoadReport, now: float) -> None:
        """Take an upstream's report."""
        own = self.in_flight.get(name, 0)
        others = max(0.0, report.running + report.waiting - own)
        self.reports[name] = ReceivedReport(report, now, others)
        self.learn_mean()

    def merge_peer_counts(
        self, peer: str, counts: Mapping[str, int], now: float
    ) -> None:
        """Take a peer's counts; they replace its earlier ones."""
        self.peers[peer] = PeerCounts(dict(counts), now)

    def forget(self, upstreams: set[str], now: float) -> None:
        """Drop the reports of unknown upstreams and the counts of silent peers."""
        self.reports = {n: r for n, r in self.reports.items() if n in upstreams}
        self.peers = {
            peer: counts
            for peer, counts in self.peers.items()
            if now - counts.heard_at <= PEER_EXPIRY_S
        }
        self.learn_mean()

    def learn_mean(self) -> None:
        """Keep the mean of what others run on an upstream."""
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
            weight = freshness(now - received.received_at)
            weighted += weight * received.others
            weights += weight
        if self.peers:
            weight = self.peers_freshness(now)
            weighted += weight * self.peers_on(name)
            weights += weight
        return self.in_flight.get(name, 0) + weighted / weights

    def peers_on(self, name: str) -> int:
        """Return the requests that the peers said they run on an upstream."""
        return sum(counts.counts.get(name, 0) for counts in self.peers.values())

    def peers_freshness(self, now: float) -> float:
        """Return the mean weight of the peers' counts."""
        total = sum(freshness(now - counts.heard_at) for counts in self.peers.values())
        return total / len(self.peers)


def freshness(age_s: float) -> float:
    """Return the weight of a source by its age."""
    return math.exp(-max(0.0, age_s) / MEMORY_S)

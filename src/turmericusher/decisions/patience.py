"""Patience: how long an engine may be silent before it is suspected.

The threshold is a multiple of a high percentile of the gaps that the same engine has
shown, as in adaptive failure detectors (Chandra and Toueg 1996, Hayashibara 2004), held
between the floor and the cap of the request's profile.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from turmericusher.profiles import Profile

SHORTEST_GAP_S = 0.001
BUCKET_RATIO = 1.15
BUCKETS = 96
PERCENTILE = 0.99
GAP_MULTIPLE = 4.0
FIRST_TOKEN_MULTIPLE = 3.0
FIRST_TOKEN_CAP_MULTIPLE = 4.0
FIRST_TOKEN_SHARE_OF_WAIT = 0.5
ENOUGH_SAMPLES = 32
REFRESH_SAMPLES = 16
DECAY_AT_SAMPLES = 1024
MAX_UPSTREAMS = 4096


@dataclass(slots=True)
class GapStatistics:
    """A histogram of gaps in seconds, in buckets of constant ratio.

    Counts are halved when there are many, so that old behaviour is forgotten. The high
    percentile is kept, because it is wanted far more often than it changes.
    """

    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    total: float = 0.0
    usual_s: float | None = None
    until_refresh: int = ENOUGH_SAMPLES

    def add(self, gap_s: float) -> None:
        """Count one gap."""
        self.counts[bucket_of(gap_s)] += 1.0
        self.total += 1.0
        if self.total >= DECAY_AT_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2
        self.until_refresh -= 1
        if self.until_refresh == 0:
            self.usual_s = self.percentile(PERCENTILE)
            self.until_refresh = REFRESH_SAMPLES

    def percentile(self, share: float) -> float | None:
        """Return the gap that `share` of all stay under; None with few samples."""
        if self.total < ENOUGH_SAMPLES:
            return None
        wanted = share * self.total
        seen = 0.0
        for bucket, count in enumerate(self.counts):
            seen += count
            if seen >= wanted:
                return upper_bound_s(bucket)
        return upper_bound_s(BUCKETS - 1)


def bucket_of(gap_s: float) -> int:
    """Return the bucket that a gap belongs to."""
    if gap_s <= SHORTEST_GAP_S:
        return 0
    bucket = math.ceil(math.log(gap_s / SHORTEST_GAP_S, BUCKET_RATIO))
    return min(bucket, BUCKETS - 1)


def upper_bound_s(bucket: int) -> float:
    """Return the longest gap in seconds that a bucket counts."""
    return float(SHORTEST_GAP_S * BUCKET_RATIO**bucket)


@dataclass(slots=True)
class UpstreamGaps:
    """What one upstream has shown: gaps between pieces and times to the first one.

    `heard_at` is when any stream of it last brought a piece.
    """

    between: GapStatistics = field(default_factory=GapStatistics)
    first: GapStatistics = field(default_factory=GapStatistics)
    heard_at: float = -math.inf


@dataclass(slots=True)
class Patience:
    """The gaps learned of each upstream, and of all together for the unknown ones."""

    upstreams: OrderedDict[str, UpstreamGaps] = field(default_factory=OrderedDict)
    pooled: UpstreamGaps = field(default_factory=UpstreamGaps)

    def learn_gap(self, upstream: str, gap_s: float) -> None:
        """Count the time between two pieces of one stream."""
        self.gaps_of(upstream).between.add(gap_s)
        self.pooled.between.add(gap_s)

    def learn_first(self, upstream: str, gap_s: float) -> None:
        """Count the time from sending an attempt to its first piece."""
        self.gaps_of(upstream).first.add(gap_s)
        self.pooled.first.add(gap_s)

    def heard(self, upstream: str, now: float) -> None:
        """Note that a stream of the upstream brought a piece."""
        gaps = self.gaps_of(upstream)
        gaps.heard_at = max(gaps.heard_at, now)

    def heard_at(self, upstream: str) -> float:
        """Return when the upstream was last heard, or minus infinity."""
        gaps = self.upstreams.get(upstream)
        return -math.inf if gaps is None else gaps.heard_at

    def gaps_of(self, upstream: str) -> UpstreamGaps:
        """Return the gaps of an upstream, forgetting the one unused for longest."""
        gaps = self.upstreams.get(upstream)
        if gaps is None:
            gaps = self.upstreams[upstream] = UpstreamGaps()
            if len(self.upstreams) > MAX_UPSTREAMS:
                self.upstreams.popitem(last=False)
        self.upstreams.move_to_end(upstream)
        return gaps

    def gap_limit_s(self, upstream: str, profile: Profile) -> float:
        """Return the silence in seconds after which a stream is suspected."""
        usual = self.usual(upstream, is_first=False)
        if usual is None:
            return profile.stall_cap_s
        return clamp(usual * GAP_MULTIPLE, profile.stall_floor_s, profile.stall_cap_s)

    def first_limit_s(self, upstream: str, profile: Profile) -> float:
        """Return the wait in seconds for a first piece after which it is suspected."""
        longest = first_cap_s(profile)
        usual = self.usual(upstream, is_first=True)
        if usual is None:
            return longest
        return clamp(usual * FIRST_TOKEN_MULTIPLE, profile.stall_floor_s, longest)

    def first_overdue_s(self, upstream: str, profile: Profile) -> float:
        """Return the wait in seconds for a first piece that is waited out at most."""
        longest = first_cap_s(profile)
        usual = self.usual(upstream, is_first=True)
        if usual is None:
            return longest
        return clamp(usual * FIRST_TOKEN_MULTIPLE, profile.stall_cap_s, longest)

    def usual(self, upstream: str, is_first: bool) -> float | None:
        """Return the high percentile of an upstream's gaps, or else of all gaps."""
        for gaps in (self.upstreams.get(upstream), self.pooled):
            if gaps is None:
                continue
            statistics = gaps.first if is_first else gaps.between
            if statistics.usual_s is not None:
                return statistics.usual_s
        return None


def first_cap_s(profile: Profile) -> float:
    """Return the longest wait in seconds for a first piece.

    A long prompt is computed in one silent stretch, and an engine may queue before it,
    so the cap between tokens does not apply.
    """
    longest = profile.stall_cap_s * FIRST_TOKEN_CAP_MULTIPLE
    share = profile.max_wait_s * FIRST_TOKEN_SHARE_OF_WAIT
    return max(profile.stall_floor_s, min(longest, share))


def clamp(value: float, lowest: float, highest: float) -> float:
    """Return `value` held between two bounds."""
    return max(lowest, min(value, highest))

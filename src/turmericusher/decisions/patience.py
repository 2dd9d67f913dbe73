"""Stall detection: how long an engine may send nothing before it is suspected.

The stall timeout is a multiple of a high percentile of the gaps that the same engine
has shown, as in adaptive failure detectors (Chandra and Toueg 1996, Hayashibara 2004),
kept between the floor and the cap of the request's profile.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from turmericusher.profiles import Profile

SHORTEST_GAP_S = 0.001
"""Longest gap in seconds that the first bucket of a histogram counts."""

BUCKET_RATIO = 1.15
"""Ratio of the upper bounds of two neighbouring buckets."""

BUCKETS = 96
PERCENTILE = 0.99
GAP_MULTIPLE = 4.0
"""Stall timeout between two chunks, as a multiple of the high percentile."""

FIRST_TOKEN_MULTIPLE = 3.0
"""Stall timeout before the first chunk, as a multiple of the high percentile."""

FIRST_TOKEN_CAP_MULTIPLE = 4.0
"""Cap of the wait for a first chunk, as a multiple of the profile's `stall_cap_s`."""

FIRST_TOKEN_SHARE_OF_WAIT = 0.5
"""The same cap as a share of the profile's `max_wait_s`."""

ENOUGH_SAMPLES = 32
"""Samples from which on a percentile is used."""

REFRESH_SAMPLES = 16
"""New samples after which the cached percentile is computed again."""

DECAY_AT_SAMPLES = 1024
MAX_UPSTREAMS = 4096


@dataclass(slots=True)
class GapStatistics:
    """A histogram of gaps in seconds, with buckets that grow by a constant ratio.

    All counts are halved once there are `DECAY_AT_SAMPLES`, so that older samples count
    for less. The high percentile is cached, because it is read far more often than it
    changes; it is None while there are too few samples.
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
        """Return the gap below which `fraction` of all lie; None with few samples."""
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
    """Return the index of the bucket that counts a gap."""
    if gap_s <= SHORTEST_GAP_S:
        return 0
    bucket = math.ceil(math.log(gap_s / SHORTEST_GAP_S, BUCKET_RATIO))
    return min(bucket, BUCKETS - 1)


def upper_bound_s(bucket: int) -> float:
    """Return the longest gap in seconds that the bucket with this index counts."""
    return float(SHORTEST_GAP_S * BUCKET_RATIO**bucket)


@dataclass(slots=True)
class UpstreamGaps:
    """Gaps between the chunks of an upstream's streams, and waits for the first ones.

    `last_active_at` is the monotonic time of the last chunk of any of its streams.
    """

    between: GapStatistics = field(default_factory=GapStatistics)
    first: GapStatistics = field(default_factory=GapStatistics)
    heard_at: float = -math.inf


@dataclass(slots=True)
class Patience:
    """Stall timeouts of each upstream, from the gaps that it has shown.

    `pooled` has the gaps of all upstreams; it is used for those with few samples.
    """

    upstreams: OrderedDict[str, UpstreamGaps] = field(default_factory=OrderedDict)
    pooled: UpstreamGaps = field(default_factory=UpstreamGaps)

    def learn_gap(self, upstream: str, gap_s: float) -> None:
        """Record the seconds between two chunks of one stream."""
        self.gaps_of(upstream).between.add(gap_s)
        self.pooled.between.add(gap_s)

    def learn_first(self, upstream: str, gap_s: float) -> None:
        """Record the seconds from sending an attempt to its first chunk."""
        self.gaps_of(upstream).first.add(gap_s)
        self.pooled.first.add(gap_s)

    def heard(self, upstream: str, now: float) -> None:
        """Record that a stream of the upstream received a chunk."""
        gaps = self.gaps_of(upstream)
        gaps.heard_at = max(gaps.heard_at, now)

    def heard_at(self, upstream: str) -> float:
        """Return when the upstream last sent a chunk, or minus infinity."""
        gaps = self.upstreams.get(upstream)
        return -math.inf if gaps is None else gaps.heard_at

    def gaps_of(self, upstream: str) -> UpstreamGaps:
        """Return an upstream's gaps; a new entry may evict the least recently used."""
        gaps = self.upstreams.get(upstream)
        if gaps is None:
            gaps = self.upstreams[upstream] = UpstreamGaps()
            if len(self.upstreams) > MAX_UPSTREAMS:
                self.upstreams.popitem(last=False)
        self.upstreams.move_to_end(upstream)
        return gaps

    def gap_limit_s(self, upstream: str, profile: Profile) -> float:
        """Return the seconds without a chunk after which a stream is suspected."""
        usual = self.usual(upstream, is_first=False)
        if usual is None:
            return profile.stall_cap_s
        return clamp(usual * GAP_MULTIPLE, profile.stall_floor_s, profile.stall_cap_s)

    def first_limit_s(self, upstream: str, profile: Profile) -> float:
        """Return the seconds without a first chunk after which it is suspected."""
        longest = first_cap_s(profile)
        usual = self.usual(upstream, is_first=True)
        if usual is None:
            return longest
        return clamp(usual * FIRST_TOKEN_MULTIPLE, profile.stall_floor_s, longest)

    def first_overdue_s(self, upstream: str, profile: Profile) -> float:
        """Return the seconds without a first chunk after which it is overdue."""
        longest = first_cap_s(profile)
        usual = self.usual(upstream, is_first=True)
        if usual is None:
            return longest
        return clamp(usual * FIRST_TOKEN_MULTIPLE, profile.stall_cap_s, longest)

    def usual(self, upstream: str, is_first: bool) -> float | None:
        """Return the high percentile of an upstream's gaps, or else of all gaps.

        With `is_first`, the waits for a first chunk are taken. None without samples.
        """
        for gaps in (self.upstreams.get(upstream), self.pooled):
            if gaps is None:
                continue
            statistics = gaps.first if is_first else gaps.between
            if statistics.usual_s is not None:
                return statistics.usual_s
        return None


def first_cap_s(profile: Profile) -> float:
    """Return the longest wait in seconds for a first chunk.

    The cap between chunks does not apply: a long prefill emits no tokens, and the
    request may have to queue for it.
    """
    longest = profile.stall_cap_s * FIRST_TOKEN_CAP_MULTIPLE
    share = profile.max_wait_s * FIRST_TOKEN_SHARE_OF_WAIT
    return max(profile.stall_floor_s, min(longest, share))


def clamp(value: float, lowest: float, highest: float) -> float:
    """Return `value` limited to the range from `lowest` to `highest`."""
    return max(lowest, min(value, highest))

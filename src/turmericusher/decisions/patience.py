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

MIN_GAP_S = 0.001
"""Longest gap in seconds that the first bucket of a histogram counts."""

BUCKET_RATIO = 1.15
"""Ratio of the upper bounds of two neighbouring buckets."""

BUCKET_COUNT = 96
"""Number of buckets; the last one counts all gaps above 508 s."""

PERCENTILE = 0.99
"""The high percentile of the gaps, as a fraction."""

GAP_MULTIPLE = 4.0
"""Stall timeout between two chunks, as a multiple of the high percentile."""

FIRST_CHUNK_MULTIPLE = 3.0
"""Stall timeout before the first chunk, as a multiple of the high percentile."""

FIRST_CHUNK_CAP_MULTIPLE = 4.0
"""Cap of the wait for a first chunk, as a multiple of the profile's `stall_cap_s`."""

FIRST_CHUNK_MAX_WAIT_SHARE = 0.5
"""The same cap as a share of the profile's `max_wait_s`; the lower one applies."""

MIN_SAMPLES = 32
"""Samples from which on a percentile is used."""

REFRESH_INTERVAL_SAMPLES = 16
"""New samples after which the cached percentile is computed again."""

DECAY_AT_SAMPLES = 1024
MAX_UPSTREAMS = 4096


@dataclass(slots=True)
class GapHistogram:
    """A histogram of gaps in seconds, with buckets that grow by a constant ratio.

    All counts are halved once there are `DECAY_AT_SAMPLES`, so that older samples count
    for less. The high percentile is cached, because it is read far more often than it
    changes; it is None while there are too few samples.
    """

    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    sample_count: float = 0.0
    high_percentile_s: float | None = None
    samples_until_refresh: int = MIN_SAMPLES

    def add(self, gap_s: float) -> None:
        """Count one gap."""
        self.counts[bucket_index(gap_s)] += 1.0
        self.sample_count += 1.0
        if self.sample_count >= DECAY_AT_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.sample_count /= 2
        self.samples_until_refresh -= 1
        if self.samples_until_refresh == 0:
            self.high_percentile_s = self.percentile(PERCENTILE)
            self.samples_until_refresh = REFRESH_INTERVAL_SAMPLES

    def percentile(self, fraction: float) -> float | None:
        """Return the gap below which `fraction` of all lie; None with few samples."""
        if self.sample_count < MIN_SAMPLES:
            return None
        wanted = fraction * self.sample_count
        cumulative_count = 0.0
        for bucket, count in enumerate(self.counts):
            cumulative_count += count
            if cumulative_count >= wanted:
                return bucket_upper_bound_s(bucket)
        return bucket_upper_bound_s(BUCKET_COUNT - 1)


def bucket_index(gap_s: float) -> int:
    """Return the index of the bucket that counts a gap."""
    if gap_s <= MIN_GAP_S:
        return 0
    bucket = math.ceil(math.log(gap_s / MIN_GAP_S, BUCKET_RATIO))
    return min(bucket, BUCKET_COUNT - 1)


def bucket_upper_bound_s(bucket: int) -> float:
    """Return the longest gap in seconds that the bucket with this index counts."""
    return float(MIN_GAP_S * BUCKET_RATIO**bucket)


@dataclass(slots=True)
class UpstreamGaps:
    """Gaps between the chunks of an upstream's streams, and waits for the first ones.

    `last_active_at` is the monotonic time of the last chunk of any of its streams.
    """

    between_chunks: GapHistogram = field(default_factory=GapHistogram)
    before_first_chunk: GapHistogram = field(default_factory=GapHistogram)
    last_active_at: float = -math.inf


@dataclass(slots=True)
class StallDetector:
    """Stall timeouts of each upstream, from the gaps that it has shown.

    A suspected stream gets a second attempt only if its profile asks for early ones. An
    overdue stream gets another attempt whatever the profile says on second attempts.
    `pooled` has the gaps of all upstreams; it is used for those with few samples.
    """

    upstreams: OrderedDict[str, UpstreamGaps] = field(default_factory=OrderedDict)
    pooled: UpstreamGaps = field(default_factory=UpstreamGaps)

    def record_gap(self, upstream: str, gap_s: float) -> None:
        """Record the seconds between two chunks of one stream."""
        self.gaps_for(upstream).between_chunks.add(gap_s)
        self.pooled.between_chunks.add(gap_s)

    def record_first_chunk(self, upstream: str, wait_s: float) -> None:
        """Record the seconds from sending an attempt to its first chunk."""
        self.gaps_for(upstream).before_first_chunk.add(wait_s)
        self.pooled.before_first_chunk.add(wait_s)

    def record_activity(self, upstream: str, now: float) -> None:
        """Record that a stream of the upstream received a chunk."""
        gaps = self.gaps_for(upstream)
        gaps.last_active_at = max(gaps.last_active_at, now)

    def last_active_at(self, upstream: str) -> float:
        """Return when the upstream last sent a chunk, or minus infinity."""
        gaps = self.upstreams.get(upstream)
        return -math.inf if gaps is None else gaps.last_active_at

    def gaps_for(self, upstream: str) -> UpstreamGaps:
        """Return an upstream's gaps; a new entry may evict the least recently used."""
        gaps = self.upstreams.get(upstream)
        if gaps is None:
            gaps = self.upstreams[upstream] = UpstreamGaps()
            if len(self.upstreams) > MAX_UPSTREAMS:
                self.upstreams.popitem(last=False)
        self.upstreams.move_to_end(upstream)
        return gaps

    def stall_timeout_s(self, upstream: str, profile: Profile) -> float:
        """Return the seconds without a chunk after which a stream is suspected."""
        percentile_s = self.high_percentile_s(upstream, is_first=False)
        if percentile_s is None:
            return profile.stall_cap_s
        return clamp(
            percentile_s * GAP_MULTIPLE, profile.stall_floor_s, profile.stall_cap_s
        )

    def first_chunk_timeout_s(self, upstream: str, profile: Profile) -> float:
        """Return the seconds without a first chunk after which it is suspected."""
        cap_s = first_chunk_cap_s(profile)
        percentile_s = self.high_percentile_s(upstream, is_first=True)
        if percentile_s is None:
            return cap_s
        return clamp(percentile_s * FIRST_CHUNK_MULTIPLE, profile.stall_floor_s, cap_s)

    def first_chunk_overdue_s(self, upstream: str, profile: Profile) -> float:
        """Return the seconds without a first chunk after which it is overdue."""
        cap_s = first_chunk_cap_s(profile)
        percentile_s = self.high_percentile_s(upstream, is_first=True)
        if percentile_s is None:
            return cap_s
        return clamp(percentile_s * FIRST_CHUNK_MULTIPLE, profile.stall_cap_s, cap_s)

    def high_percentile_s(self, upstream: str, is_first: bool) -> float | None:
        """Return the high percentile of an upstream's gaps, or else of all gaps.

        With `is_first`, the waits for a first chunk are taken. None while both have too
        few samples.
        """
        for gaps in (self.upstreams.get(upstream), self.pooled):
            if gaps is None:
                continue
            histogram = gaps.before_first_chunk if is_first else gaps.between_chunks
            if histogram.high_percentile_s is not None:
                return histogram.high_percentile_s
        return None


def first_chunk_cap_s(profile: Profile) -> float:
    """Return the longest wait in seconds for a first chunk.

    The cap between chunks does not apply: a long prefill emits no tokens, and the
    request may have to queue for it.
    """
    multiple_s = profile.stall_cap_s * FIRST_CHUNK_CAP_MULTIPLE
    share_s = profile.max_wait_s * FIRST_CHUNK_MAX_WAIT_SHARE
    return max(profile.stall_floor_s, min(multiple_s, share_s))


def clamp(value: float, lowest: float, highest: float) -> float:
    """Return `value` limited to the range from `lowest` to `highest`."""
    return max(lowest, min(value, highest))

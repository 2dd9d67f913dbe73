"""The instances in one answer to a caller that asks where to connect.

Callers take one address of the answer at random, so an instance with a smaller share is
left out of a part of the answers.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Sequence
from dataclasses import replace

from turmericusher.decisions.fleet import EntryInstance

FADE_S = 10.0
"""Seconds without the store after which all instances have equal shares."""

LEAST_LISTED = 3
"""Instances in an answer, if there are so many: a caller whose first choice does not
answer needs others. In fleets of a few instances the shares are less exact for it."""


def fade_shares(
    instances: Sequence[EntryInstance], away_s: float
) -> list[EntryInstance]:
    """Return the instances with shares that are `away_s` seconds without the store."""
    faded = min(1.0, away_s / FADE_S)
    return [
        each
        if not faded or each.caller_share == 1.0
        else replace(
            each, caller_share=each.caller_share + faded * (1.0 - each.caller_share)
        )
        for each in instances
    ]


def choose_listed(
    instances: Sequence[EntryInstance], most: int, rng: random.Random
) -> list[EntryInstance]:
    """Return up to `most` instances in random order, each in its share of the answers.

    With equal shares all are listed. Otherwise every answer has the same number of
    them, as many as the shares add up to.
    """
    shuffled = list(instances)
    rng.shuffle(shuffled)
    shares = [each.caller_share for each in shuffled]
    if len(set(shares)) <= 1:
        return shuffled[:most]
    count = max(math.floor(sum(shares) / max(shares)), LEAST_LISTED)
    chances = inclusion_chances(shares, min(count, most, len(shares)))
    # Systematic sampling: one random offset selects exactly `count` instances, each
    # with its own chance.
    offset = rng.random()
    sums = [0.0, *itertools.accumulate(chances)]
    sums[-1] = round(sums[-1])
    return [
        each
        for each, (before, after) in zip(
            shuffled, itertools.pairwise(sums), strict=True
        )
        if math.floor(after - offset) > math.floor(before - offset)
    ]


def inclusion_chances(shares: Sequence[float], count: int) -> list[float]:
    """Return chances of up to 1 that add up to `count`, in proportion to the shares.

    Where that would exceed 1, the rest goes to the others.
    """
    certain: set[int] = set()
    while True:
        total = sum(share for i, share in enumerate(shares) if i not in certain)
        factor = (count - len(certain)) / total if total else 0.0
        above = {
            i
            for i, share in enumerate(shares)
            if i not in certain and share * factor > 1.0
        }
        if not above:
            return [
                1.0 if i in certain else share * factor
                for i, share in enumerate(shares)
            ]
        certain |= above

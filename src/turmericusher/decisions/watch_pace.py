"""How long an instance waits for changes in the store, and pauses after some.

Load: every change wakes each instance that waits for changes, so that the calls to the
store grow with the instances times the changes. A pause lets one call bring several.
What bounds it is the time within which a change must be in force: an answer may have to
bring large configurations over a slow link first.
"""

from __future__ import annotations

from dataclasses import dataclass

USED_SHARE = 0.75
"""Share of the limit that waiting and the answer may take. The rest is for a slow call,
for decoding, and for requests that were sent just before."""

MAX_PAUSE_SHARE = 0.6
"""Largest share of the limit for a pause: news of upstreams that end is useful sooner
than it must be in force."""

MIN_WAIT_SHARE = 0.55
MIN_PAUSE_SHARE = 0.25
"""Shares of the limit where the link is slow or its speed is not known."""

WATCHER_SHARE = 0.25
"""Share of the limit after which an instance that watches for others asks the store
again at the latest, and tells them what it has learned."""

SILENCE_SHARE = 0.35
"""Share of the limit after which the others take its silence for a failure: the rest is
for asking the store, as from the beginning."""

LARGE_ANSWER_SHARE = 0.05
"""Share of the limit for which small changes may wait for one answer to arrive."""

MIN_LARGE_ANSWER_BYTES = 65_536
"""An answer of fewer bytes is not large on any link: asking anew would take longer."""

ENCODED_SHARE = 4 / 3
"""Bytes of a value on the wire for each of its own, in base64."""

VERSIONS_AFTER_PAUSE = 2
"""Versions of the configuration that one answer is assumed to bring after a pause."""


@dataclass(frozen=True, slots=True)
class WatchPace:
    """The longest wait for changes and the pause after changes, in seconds.

    `watcher_s` is both of an instance that watches for others, and `silence_s` how long
    these wait for it to say anything. An answer with more than `large_answer_bytes`
    keeps small changes waiting on this link; None if there is none of that size.

    A call that waits may miss changes if the store drops its history, which only the
    next call shows. The two do not add up: a call after a pause returns at once if
    something changed during it.
    """

    wait_s: float
    pause_s: float
    watcher_s: float
    silence_s: float
    large_answer_bytes: int | None = None


def make_watch_pace(
    limit_s: float, link_bytes_per_s: float | None, largest_value_bytes: float
) -> WatchPace:
    """Return the pace at which each change is in force within `limit_s` seconds.

    `link_bytes_per_s` is the speed of this instance's link, None if it is not known,
    and `largest_value_bytes` the size of the largest value that the store accepts.
    """
    wait_s, pause_s = MIN_WAIT_SHARE * limit_s, MIN_PAUSE_SHARE * limit_s
    watcher_s, silence_s = WATCHER_SHARE * limit_s, SILENCE_SHARE * limit_s
    if link_bytes_per_s is None:
        return WatchPace(wait_s, pause_s, watcher_s, silence_s, MIN_LARGE_ANSWER_BYTES)
    large_bytes = max(
        MIN_LARGE_ANSWER_BYTES, int(LARGE_ANSWER_SHARE * limit_s * link_bytes_per_s)
    )
    is_fast = large_bytes > ENCODED_SHARE * largest_value_bytes
    transfer_s = ENCODED_SHARE * largest_value_bytes / link_bytes_per_s
    budget_s = USED_SHARE * limit_s
    longest_pause_s = min(
        MAX_PAUSE_SHARE * limit_s, budget_s - VERSIONS_AFTER_PAUSE * transfer_s
    )
    wait_s, pause_s = max(wait_s, budget_s - transfer_s), max(pause_s, longest_pause_s)
    return WatchPace(
        wait_s, pause_s, watcher_s, silence_s, None if is_fast else large_bytes
    )

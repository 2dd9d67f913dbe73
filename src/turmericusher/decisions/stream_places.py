"""Which instance runs a stream, in fleets too large to ask all for it.

There each instance tells one other of a stream that it runs: the one whose name ranks
first for the stream's id, so that any instance knows whom to ask when a caller takes
the stream up. What is told is limited to what an instance can afford: beyond that, and
in the first moments of a stream, nobody knows of it, and it is not found.

Load: each instance sends and receives as many messages as it begins streams, up to that
limit, whatever the size of the fleet.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from turmericusher.decisions.stream_versions import KEPT_S, StreamVersions

MAX_ASKED = 12
"""Other instances up to which all are asked for the earlier run of a stream."""

ASKED_HOLDERS = 2
"""Instances that are asked in larger fleets: the one that was told, and the one that is
it where the list of instances lacks the first."""

MAX_STEPS = 2
"""Steps from an instance that was asked to one that it names: from the one that was
told to the one that runs the stream, and from there to the one that forwarded it."""

TELL_INTERVAL_S = 0.5
"""Seconds between two streams that an instance tells of: at 420 instances some 2.3 ms
of processor time each, at both ends together, which is half a percent of a core."""

MAX_PLACES = 4_096
"""Streams of which an instance knows who runs them; the oldest are forgotten."""


@dataclass(slots=True)
class StreamPlaces:
    """The streams that other instances run, and those of this one that it told of.

    `known` maps a stream to the instance that runs it and when it was told, in
    monotonic seconds, oldest first. `told` are the own streams that another instance
    knows of.
    """

    known: OrderedDict[str, tuple[str, float]] = field(default_factory=OrderedDict)
    told: set[str] = field(default_factory=set)

    def find(self, stream: str, now: float) -> str | None:
        """Return the instance that runs a stream, if it has told so lately."""
        place = self.known.get(stream)
        return place[0] if place is not None and now - place[1] < KEPT_S else None

    def record(self, instance: str, streams: Iterable[str], now: float) -> None:
        """Record that an instance runs some streams."""
        for stream in streams:
            self.known.pop(stream, None)
            self.known[stream] = (instance, now)
        while len(self.known) > MAX_PLACES:
            self.known.popitem(last=False)

    def next_to_tell(self, versions: StreamVersions) -> tuple[str, str] | None:
        """Return the next own stream to tell of and whom to tell, or None.

        The latest one is next, which lasts longest. It counts as told.
        """
        self.told &= versions.running.keys()
        if is_small(versions.own, versions.instances):
            return None
        for stream in reversed(versions.running):
            if stream not in self.told:
                self.told.add(stream)
                return stream, versions.ranked(stream, 1)[0]
        return None


def is_small(own: str, instances: Collection[str]) -> bool:
    """Whether a fleet is so small that all others are asked for a stream."""
    return len(instances) - (own in instances) <= MAX_ASKED


def instances_to_ask(versions: StreamVersions, stream: str) -> list[str]:
    """Return the instances that may run a stream, or know which one does."""
    if is_small(versions.own, versions.instances):
        return sorted(versions.instances - {versions.own})
    return versions.ranked(stream, ASKED_HOLDERS)

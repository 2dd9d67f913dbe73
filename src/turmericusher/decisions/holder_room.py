"""Which upstreams have room for a copy of a running stream, by their recent reports.

Load: engines whose memory is nearly full. A copy that finds no room is refused, and a
stream without a copy is prefilled again when its engine is lost. Only reports that this
instance has queried for another reason are used.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from turmericusher.decisions.relay_messages import UpstreamReport

MAX_ROOM_AGE_S = 2.0
"""Age in seconds after which a report tells nothing of the room for a copy: about half
the time for which a stream holds its memory."""

MAX_ROOMS = 512
"""Most upstreams whose room is kept: those of the reports of some seconds."""

UNKNOWN_SIZE_SHARE = 0.1
"""Share of an upstream's memory that a copy of unknown size is assumed to need."""


class RoomState(enum.IntEnum):
    """What is known of the room for a copy, the best first."""

    ENOUGH = 0
    UNKNOWN = 1
    SHORT = 2


@dataclass(slots=True)
class Room:
    """The free memory of an upstream in tokens, as reported at a monotonic time."""

    free: float
    total: int
    at: float


@dataclass(slots=True)
class HolderRooms:
    """The room at the upstreams that reported lately, the oldest report first."""

    rooms: dict[str, Room] = field(default_factory=dict)

    def record_report(self, name: str, report: UpstreamReport, now: float) -> None:
        """Keep the room that an upstream reports, and drop what is too old."""
        self.rooms.pop(name, None)
        free = report.memory_total - report.memory_used
        self.rooms[name] = Room(free, report.memory_total, now)
        while True:
            oldest = next(iter(self.rooms))
            is_old = now - self.rooms[oldest].at > MAX_ROOM_AGE_S
            if not is_old and len(self.rooms) <= MAX_ROOMS:
                return
            del self.rooms[oldest]

    def take(self, name: str, size: float) -> None:
        """Count memory that this instance has just used at an upstream."""
        room = self.rooms.get(name)
        if room is not None:
            room.free -= size or UNKNOWN_SIZE_SHARE * room.total

    def margin(self, name: str, size: float, now: float) -> float | None:
        """Return the tokens left there beside a copy; None without a recent report.

        Other instances place streams and copies meanwhile, so room for one more copy is
        deducted for each second of the report's age.
        """
        room = self.rooms.get(name)
        if room is None or now - room.at > MAX_ROOM_AGE_S:
            return None
        needed = size or UNKNOWN_SIZE_SHARE * room.total
        return room.free - needed * (1 + now - room.at)

    def state(self, name: str, size: float, now: float) -> RoomState:
        """Return what is known of the room for a copy of `size` tokens."""
        margin = self.margin(name, size, now)
        if margin is None:
            return RoomState.UNKNOWN
        return RoomState.ENOUGH if margin >= 0 else RoomState.SHORT

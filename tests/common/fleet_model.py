"""The decisions of several instances in one thread, over a store that does not fail.

The test controls the clock, the network and the loss of replies.
"""

import random
from dataclasses import dataclass, field

import orjson

from turmericusher.decisions.fleet import EntryInstance
from turmericusher.decisions.membership import MemberClaim
from turmericusher.decisions.peer_messages import PeerReply
from turmericusher.decisions.rollout import Rollout
from turmericusher.standins.store import MemoryStore
from turmericusher.tasks.membership import Fleet, make_fleet
from turmericusher.tasks.profile_watch import ProfileTable

PREFIX = "/m/fleet/"
BOUND_S = 10.0
START_S = 0.01
"""Seconds that pass while an instance starts."""


@dataclass
class Model:
    """The instances, the time in seconds, and the network between them.

    Instances reach one another only if they have the same number in `partitions`.
    """

    size: int
    now: float = 100.0
    store: MemoryStore = field(init=False)
    fleets: list[Fleet] = field(default_factory=list)
    sides: list[int] = field(default_factory=list)
    reaches_store: list[bool] = field(default_factory=list)
    is_running: list[bool] = field(default_factory=list)
    starts: int = 0

    def __post_init__(self) -> None:
        self.store = MemoryStore(clock=lambda: self.now)
        self.sides = [0] * self.size
        self.reaches_store = [True] * self.size
        self.is_running = [True] * self.size
        self.fleets = [self.start(number) for number in range(self.size)]
        for fleet in self.fleets:
            self.meet_all(fleet)
        self.now += START_S

    def start(self, number: int) -> Fleet:
        """Return the state of a newly started instance, with a new incarnation."""
        self.starts += 1
        own = EntryInstance(
            f"e{number}", "d", f"c{number}", f"p{number}", f"{self.starts:04d}"
        )
        rollout = Rollout(started_at=self.now)
        table = ProfileTable(PREFIX, BOUND_S, rollout, clock=lambda: self.now)
        return make_fleet(own, (), table, random.Random(self.starts))

    def restart(self, number: int) -> None:
        """Replace an instance by one of the same name that has lost all its state."""
        self.fleets[number] = self.start(number)
        self.is_running[number] = True
        if self.reaches_store[number]:
            self.meet_all(self.fleets[number])
        self.now += START_S

    def meet_all(self, fleet: Fleet) -> None:
        """Make all instances members of an instance's view, as registrations do."""
        claims = [MemberClaim(other.membership.own) for other in self.fleets]
        fleet.membership.merge(claims, self.now)

    def can_reach(self, one: int, other: int) -> bool:
        """Return whether both instances run and are in the same partition."""
        is_up = self.is_running[one] and self.is_running[other]
        return is_up and self.sides[one] == self.sides[other]

    def ask(self, asker: int, asked: int) -> PeerReply | None:
        """Query a peer; if it cannot be reached, record the failure and return None."""
        fleet, other = self.fleets[asker], self.fleets[asked]
        name = other.membership.own.name
        fleet.membership.record_query(name, self.now)
        if not self.can_reach(asker, asked):
            fleet.membership.failed(name, self.now)
            return None
        return other.answer(fleet.query_for(name))

    def pull(self, asker: int, asked: int) -> None:
        """Query a peer and apply its answer."""
        answer = self.ask(asker, asked)
        if answer is not None:
            self.fleets[asker].apply_answer(answer, self.now)

    def read_store(self, number: int, asked_at: float | None = None) -> None:
        """Read the fleet prefix and apply it, as when no confirmation is recent."""
        if self.reaches_store[number] and self.is_running[number]:
            self.fleets[number].table.apply_snapshot(
                tuple(self.store.values.values()),
                self.now if asked_at is None else asked_at,
            )

    def pass_time(self, seconds: float) -> None:
        """Move the clock, and let each instance act on the time that has passed."""
        self.now += seconds
        for fleet in self.fleets:
            fleet.advance()

    def heal(self) -> None:
        """End all network faults."""
        self.sides = [0] * self.size
        self.reaches_store = [True] * self.size

    def others(self, number: int) -> list[int]:
        return [other for other in range(self.size) if other != number]

    def chatter(self) -> None:
        """Let every running instance query every other once."""
        for asker in range(self.size):
            for asked in self.others(asker):
                if self.is_running[asker]:
                    self.pull(asker, asked)

    def settle(self, rounds: int) -> None:
        """Run rounds of gossip, half a second apart."""
        for _ in range(rounds):
            self.pass_time(0.5)
            self.chatter()


def registration_of(instance: EntryInstance) -> bytes:
    """Return the stored bytes of an instance's registration."""
    return orjson.dumps(
        {
            "name": instance.name,
            "failure_domain": instance.failure_domain,
            "caller_address": instance.caller_address,
            "peer_address": instance.peer_address,
            "incarnation": instance.incarnation,
        }
    )

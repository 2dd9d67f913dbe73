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
CONFIRMATION_BOUND_S = 10.0
START_DURATION_S = 0.01
"""Seconds that pass while an instance starts."""


@dataclass
class FleetModel:
    """The instances, the time in seconds, and the network between them.

    Instances reach one another only if they have the same number in `partitions`.
    """

    size: int
    now: float = 100.0
    store: MemoryStore = field(init=False)
    fleets: list[Fleet] = field(default_factory=list)
    partitions: list[int] = field(default_factory=list)
    has_store_access: list[bool] = field(default_factory=list)
    is_running: list[bool] = field(default_factory=list)
    start_count: int = 0

    def __post_init__(self) -> None:
        self.store = MemoryStore(clock=lambda: self.now)
        self.partitions = [0] * self.size
        self.has_store_access = [True] * self.size
        self.is_running = [True] * self.size
        self.fleets = [self.start(number) for number in range(self.size)]
        for fleet in self.fleets:
            self.merge_members(fleet)
        self.now += START_DURATION_S

    def start(self, number: int) -> Fleet:
        """Return the state of a newly started instance, with a new incarnation."""
        self.start_count += 1
        own = EntryInstance(
            f"e{number}", "d", f"c{number}", f"p{number}", f"{self.start_count:04d}"
        )
        rollout = Rollout(started_at=self.now)
        table = ProfileTable(
            PREFIX, CONFIRMATION_BOUND_S, rollout, clock=lambda: self.now
        )
        return make_fleet(own, (), table, random.Random(self.start_count))

    def restart(self, number: int) -> None:
        """Replace an instance by one of the same name that has lost all its state."""
        self.fleets[number] = self.start(number)
        self.is_running[number] = True
        if self.has_store_access[number]:
            self.merge_members(self.fleets[number])
        self.now += START_DURATION_S

    def merge_members(self, fleet: Fleet) -> None:
        """Make all instances members of an instance's view, as registrations do."""
        claims = [MemberClaim(other.membership.own) for other in self.fleets]
        fleet.membership.merge(claims, self.now)

    def can_reach(self, first: int, second: int) -> bool:
        """Return whether both instances run and are in the same partition."""
        are_running = self.is_running[first] and self.is_running[second]
        return are_running and self.partitions[first] == self.partitions[second]

    def query_peer(self, asker: int, asked: int) -> PeerReply | None:
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
        answer = self.query_peer(asker, asked)
        if answer is not None:
            self.fleets[asker].apply_answer(answer, self.now)

    def read_store(self, number: int, asked_at: float | None = None) -> None:
        """Read the fleet prefix and apply it, as when no confirmation is recent."""
        if self.has_store_access[number] and self.is_running[number]:
            self.fleets[number].table.apply_snapshot(
                tuple(self.store.values.values()),
                self.now if asked_at is None else asked_at,
            )

    def advance(self, seconds: float) -> None:
        """Move the clock, and let each instance act on the time that has passed."""
        self.now += seconds
        for fleet in self.fleets:
            fleet.advance()

    def heal(self) -> None:
        """End all network faults."""
        self.partitions = [0] * self.size
        self.has_store_access = [True] * self.size

    def other_numbers(self, number: int) -> list[int]:
        return [other for other in range(self.size) if other != number]

    def run_gossip_round(self) -> None:
        """Let every running instance query every other once."""
        for asker in range(self.size):
            for asked in self.other_numbers(asker):
                if self.is_running[asker]:
                    self.pull(asker, asked)

    def run_gossip_rounds(self, rounds: int) -> None:
        """Run rounds of gossip, half a second apart."""
        for _ in range(rounds):
            self.advance(0.5)
            self.run_gossip_round()


def encode_registration(instance: EntryInstance) -> bytes:
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

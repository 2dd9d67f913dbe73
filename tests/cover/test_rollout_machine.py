"""Test that racing operators, lost replies, outages and restarts lose no change."""

from dataclasses import dataclass, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.common.fleet_model import CONFIRMATION_BOUND_S, FleetModel
from turmericusher.decisions.peer_messages import PeerReply
from turmericusher.decisions.rollout import (
    AlreadyAccepted,
    ProfileChange,
    ProfileRecord,
    WriteRecord,
    plan_change,
    rollout_status,
)
from turmericusher.errors import TurmericusherError, Verdict
from turmericusher.profiles import Profile
from turmericusher.tasks.profile_changes import decode_stored_record
from turmericusher.tasks.profile_records import decode_record, encode_record

MAX_INSTANCES = 5
NUMBERS = st.integers(0, MAX_INSTANCES - 1)
NAMES = st.sampled_from(["sheets", "drafts"])
REPLIES = st.sampled_from(["given", "given", "lost", "write_is_late"])
INSTANCE_SIDES = st.lists(
    st.integers(0, 1), min_size=MAX_INSTANCES, max_size=MAX_INSTANCES
)
STORE_SIDES = st.sampled_from([(), (0,), (1,), (0, 1)])


@dataclass
class Accepted:
    """A change whose operator was told that it was accepted."""

    name: str
    revision: int
    at: float


class RolloutMachine(RuleBasedStateMachine):
    size = MAX_INSTANCES

    def __init__(self) -> None:
        super().__init__()
        self.model = FleetModel(self.size)
        self.accepted: list[Accepted] = []
        self.unresolved: list[ProfileChange] = []
        self.late_writes: list[tuple[str, int, bytes]] = []
        self.answers: list[tuple[int, PeerReply, float, str]] = []
        self.held: dict[tuple[str, str], int] = {}
        self.changes = 0
        self.watch_positions = [0] * self.size
        for number in range(self.size):
            self.model.read_store(number)

    @rule(number=NUMBERS, name=NAMES, reply=REPLIES, retire=st.booleans())
    def an_operator_changes_a_profile(
        self, number: int, name: str, reply: str, retire: bool
    ) -> None:
        self.changes += 1
        number %= self.size
        held = self.model.fleets[number].table.rollout.records.get(name)
        change = ProfileChange(
            Profile(name, max_wait_s=float(self.changes)),
            held.revision if held is not None else 0,
            f"change-{self.changes}",
            retire and held is not None and not held.retired,
        )
        self.send(number, change, reply)

    @precondition(lambda self: self.unresolved)
    @rule(number=NUMBERS, reply=REPLIES, data=st.data())
    def an_operator_repeats_a_change(
        self, number: int, reply: str, data: st.DataObject
    ) -> None:
        self.send(
            number % self.size, data.draw(st.sampled_from(self.unresolved)), reply
        )

    def send(self, number: int, change: ProfileChange, reply: str) -> None:
        model = self.model
        if not model.has_store_access[number]:
            return
        key = model.fleets[number].table.profile_key(change.profile.name)
        current = decode_stored_record(model.store.values.get(key))
        try:
            plan = plan_change(current, change)
        except TurmericusherError as error:
            assert error.verdict is not Verdict.NOT_RUN or not self.was_written(change)
            return
        match plan:
            case AlreadyAccepted(record):
                assert self.was_written(change)
                self.replicate(number, record)
            case WriteRecord(expected, record):
                self.write(number, change, reply, key, expected, record)

    def write(
        self,
        number: int,
        change: ProfileChange,
        reply: str,
        key: str,
        expected: int,
        record: ProfileRecord,
    ) -> None:
        assert expected == change.expected_revision
        value = encode_record(record)
        if reply == "write_is_late":
            self.unresolved.append(change)
            self.late_writes.append((key, expected, value))
            return
        result = self.model.store.swap(key, expected, value, 0)
        if reply == "lost":
            self.unresolved.append(change)
        elif result.succeeded:
            self.replicate(number, replace(record, revision=result.revision))

    def was_written(self, change: ProfileChange) -> bool:
        change_id = change.change_id.encode()
        writes = [event.value or b"" for event in self.model.store.history]
        return any(b'"' + change_id + b'"' in value for value in writes)

    def replicate(self, number: int, record: ProfileRecord) -> None:
        model = self.model
        fleet = model.fleets[number]
        fleet.table.apply_written(record)
        model.read_store(number)
        for other in model.other_numbers(number):
            if model.can_reach(other, number):
                model.pull(other, number)
            model.pull(number, other)
        status = rollout_status(record.revision, fleet.counted_revisions())
        if status.is_held_by_majority:
            name = record.profile.name
            self.accepted.append(Accepted(name, record.revision, model.now))

    @precondition(lambda self: self.late_writes)
    @rule(data=st.data())
    def a_late_write_arrives(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.late_writes) - 1))
        key, expected, value = self.late_writes.pop(index)
        self.model.store.swap(key, expected, value, 0)

    @rule(number=NUMBERS, age_s=st.sampled_from([0.0, 2.0]))
    def an_instance_reads_the_store(self, number: int, age_s: float) -> None:
        self.model.read_store(number % self.size, self.model.now - age_s)

    @rule(number=NUMBERS)
    def a_watch_delivers_events(self, number: int) -> None:
        number %= self.size
        if self.model.has_store_access[number]:
            history = self.model.store.history
            for event in history[self.watch_positions[number] :]:
                self.model.fleets[number].table.apply_event(event)
            self.watch_positions[number] = len(history)

    @precondition(lambda self: self.model.store.history)
    @rule(number=NUMBERS, data=st.data())
    def an_old_event_is_delivered_again(self, number: int, data: st.DataObject) -> None:
        event = data.draw(st.sampled_from(self.model.store.history))
        record = decode_event_record(event.value, event.revision)
        self.model.fleets[number % self.size].table.rollout.apply(record)

    @rule(asker=NUMBERS, asked=NUMBERS)
    def a_peer_answers_a_query(self, asker: int, asked: int) -> None:
        asker, asked = asker % self.size, asked % self.size
        answer = self.model.query_peer(asker, asked) if asker != asked else None
        if answer is not None:
            incarnation = self.model.fleets[asker].membership.own.incarnation
            self.answers.append((asker, answer, self.model.now, incarnation))

    @precondition(lambda self: self.answers)
    @rule(data=st.data(), limit=st.sampled_from([0, 1, 64]))
    def an_answer_arrives(self, data: st.DataObject, limit: int) -> None:
        index = data.draw(st.integers(0, len(self.answers) - 1))
        asker, answer, queried_at, incarnation = self.answers.pop(index)
        fleet = self.model.fleets[asker]
        if fleet.membership.own.incarnation != incarnation:
            return
        sent = answer.records
        is_whole = sent.is_whole and len(sent.records) <= limit
        kept = replace(sent, records=sent.records[:limit], is_whole=is_whole)
        fleet.apply_answer(replace(answer, records=kept), queried_at)

    @rule(seconds=st.sampled_from([0.5, 6.0, 11.0]), is_chatty=st.booleans())
    def time_passes(self, seconds: float, is_chatty: bool) -> None:
        self.model.advance(seconds)
        if is_chatty:
            self.model.run_gossip_round()

    @rule(sides=INSTANCE_SIDES, store_sides=STORE_SIDES)
    def the_network_changes(self, sides: list[int], store_sides: tuple[int]) -> None:
        self.model.partitions = sides[: self.size]
        self.model.has_store_access = [s in store_sides for s in self.model.partitions]

    @rule(number=NUMBERS)
    def an_instance_restarts(self, number: int) -> None:
        self.model.restart(number % self.size)
        self.watch_positions[number % self.size] = 0

    @invariant()
    def no_instance_reverts(self) -> None:
        for fleet in self.model.fleets:
            incarnation = fleet.membership.own.incarnation
            for name, record in fleet.table.rollout.records.items():
                key = (incarnation, name)
                assert record.revision >= self.held.get(key, 0)
                self.held[key] = record.revision

    @invariant()
    def every_held_record_was_written(self) -> None:
        written = {event.revision: event.value for event in self.model.store.history}
        for fleet in self.model.fleets:
            for record in fleet.table.rollout.records.values():
                assert encode_record(record) == written[record.revision]

    @invariant()
    def no_work_is_taken_without_an_accepted_change_after_the_bound(self) -> None:
        for fleet in self.model.fleets:
            if fleet.table.is_current():
                self.check_accepted_changes(fleet.table.rollout.records)

    def check_accepted_changes(self, records: dict[str, ProfileRecord]) -> None:
        for change in self.accepted:
            if self.model.now - change.at > CONFIRMATION_BOUND_S:
                record = records.get(change.name)
                assert record is not None and record.revision >= change.revision

    def teardown(self) -> None:
        """Check that, without faults, each change in effect is in force everywhere."""
        self.model.heal()
        self.model.read_store(0)
        self.model.run_gossip_rounds(rounds=3)
        expected = {
            record.profile.name: record
            for value in self.model.store.values.values()
            if (record := decode_stored_record(value)) is not None
        }
        for fleet in self.model.fleets:
            assert fleet.table.rollout.records == expected
            assert fleet.table.is_current()


def decode_event_record(value: bytes | None, revision: int) -> ProfileRecord:
    assert value is not None
    return decode_record(value, revision)


class EvenRolloutMachine(RolloutMachine):
    """Run an even number of instances, where half of them is no majority."""

    size = 4


class TestRollout(RolloutMachine.TestCase):  # type: ignore[misc]
    settings = settings(max_examples=150, stateful_step_count=40)


class TestEvenRollout(EvenRolloutMachine.TestCase):  # type: ignore[misc]
    settings = settings(max_examples=100, stateful_step_count=40)

"""Changes of a profile under every fault at each step, and edge cases of the fleet."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.fleet_model import BOUND_S, Model
from turmericusher.decisions.rollout import (
    AlreadyAccepted,
    ProfileChange,
    WriteRecord,
    plan_change,
    rollout_status,
)
from turmericusher.profiles import Profile
from turmericusher.tasks.profile_changes import decode_stored_record
from turmericusher.tasks.profile_records import encode_record

FIRST = Profile("sheets", urgency=3)
CHANGED = Profile("sheets", urgency=1)
AFTER_BOUND_S = BOUND_S + 1


@dataclass
class Scenario:
    """A change of one profile, written by instance 0, and its result."""

    model: Model
    revision: int = 0
    is_accepted: bool = False
    repeats: int = 0
    change: ProfileChange = field(
        default_factory=lambda: ProfileChange(CHANGED, 0, "change-1")
    )

    def write(self) -> None:
        """Read, plan and write the change; a repeat finds what an earlier try wrote."""
        key = self.model.fleets[0].table.profile_key("sheets")
        current = decode_stored_record(self.model.store.values.get(key))
        match plan_change(current, self.change):
            case AlreadyAccepted(record):
                self.revision = record.revision
            case WriteRecord(expected, record):
                value = encode_record(record)
                result = self.model.store.swap(key, expected, value, 0)
                self.revision = result.revision
        written = decode_stored_record(self.model.store.values[key])
        assert written is not None
        self.model.fleets[0].table.apply_written(written)
        self.model.read_store(0)

    def spread(self) -> None:
        """Exchange records with the peers, and decide whether the change is accepted.

        This is what the operator's request does while it waits for a majority.
        """
        for other in self.model.others(0):
            if self.model.can_reach(other, 0):
                self.model.pull(other, 0)
            self.model.pull(0, other)
        counted = self.model.fleets[0].counted_revisions()
        self.is_accepted = rollout_status(self.revision, counted).is_held_by_majority

    def holds_change(self, number: int) -> bool:
        """Return whether an instance has the change in force."""
        record = self.model.fleets[number].table.rollout.records.get("sheets")
        return record is not None and record.profile == CHANGED

    def serving(self) -> str:
        """Return a digit for each instance: 1 if it accepts new work."""
        current = (fleet.table.is_current() for fleet in self.model.fleets)
        return "".join("1" if one else "0" for one in current)


Step = Callable[[Scenario], None]


def write(scenario: Scenario) -> None:
    scenario.write()


def spread(scenario: Scenario) -> None:
    scenario.spread()


def chat(scenario: Scenario) -> None:
    scenario.model.chatter()


def network(sides: str, store: str) -> Step:
    """Return a step that partitions the instances.

    `partitions` gives the partition of each instance, and `store` names those that
    still reach the store.
    """

    def part(scenario: Scenario) -> None:
        scenario.model.sides = [int(side) for side in sides]
        scenario.model.reaches_store = [side in store for side in sides]

    return part


def restart(number: int) -> Step:
    return lambda scenario: scenario.model.restart(number)


def wait(seconds: float) -> Step:
    return lambda scenario: scenario.model.pass_time(seconds)


def read(number: int) -> Step:
    return lambda scenario: scenario.model.read_store(number)


def event_of_another_profile(number: int) -> Step:
    def deliver(scenario: Scenario) -> None:
        rollout = scenario.model.fleets[number].table.rollout
        rollout.advance_cursor(rollout.cursor + 1)

    return deliver


def truncated_pull(asker: int, asked: int) -> Step:
    """Return a step that pulls an answer too small to hold the records."""

    def pull(scenario: Scenario) -> None:
        answer = scenario.model.ask(asker, asked)
        assert answer is not None
        cut = replace(answer.records, records=(), is_whole=False)
        fleet = scenario.model.fleets[asker]
        fleet.apply_answer(replace(answer, records=cut), scenario.model.now)

    return pull


def run(steps: list[Step], size: int = 5) -> Scenario:
    """Run the steps on a fleet whose instances have read the store and each other."""
    scenario = Scenario(Model(size))
    for number in range(size):
        scenario.model.read_store(number)
    scenario.model.chatter()
    for step in steps:
        step(scenario)
    return scenario


LATER: list[Step] = [wait(AFTER_BOUND_S / 2), chat, wait(AFTER_BOUND_S / 2), chat]
NARROW_PLACES: list[tuple[str, list[Step], bool, str]] = [
    (
        "the_store_is_down_for_long_and_all_instances_agree",
        [write, spread, network("00000", ""), *LATER, *LATER],
        True,
        "11111",
    ),
    (
        "a_minority_with_the_store_cannot_accept",
        [network("00111", "0"), write, spread, *LATER, read(0), read(1), chat],
        False,
        "11111",
    ),
    (
        "a_minority_without_the_store_stops",
        [network("00011", "0"), write, spread, *LATER, read(0), chat],
        True,
        "11100",
    ),
    (
        "one_instance_alone_stops",
        [network("00001", "0"), write, spread, *LATER, read(0), chat],
        True,
        "11110",
    ),
    (
        "a_restarted_instance_does_not_count_for_what_it_forgot",
        [
            network("00011", "0"),
            write,
            spread,
            network("00111", "0"),
            restart(2),
            *LATER,
            read(0),
            chat,
        ],
        True,
        "11000",
    ),
    (
        "a_peers_confirmation_counts_by_its_age",
        [
            network("11000", "0"),
            restart(0),
            read(2),
            network("00011", "0"),
            wait(0.5),
            write,
            spread,
            *LATER,
            read(0),
            chat,
        ],
        True,
        "11100",
    ),
    (
        "a_watch_event_confirms_nothing",
        [
            network("00001", "0"),
            write,
            spread,
            wait(AFTER_BOUND_S),
            event_of_another_profile(4),
            read(0),
            chat,
        ],
        True,
        "11110",
    ),
    (
        "a_truncated_answer_confirms_nothing",
        [
            network("00001", "0"),
            write,
            spread,
            wait(AFTER_BOUND_S),
            read(0),
            chat,
            network("00000", ""),
            *[truncated_pull(4, other) for other in range(4)],
        ],
        True,
        "11110",
    ),
    (
        "a_confirmation_keeps_its_age_when_it_is_relayed",
        [
            network("00011", "0"),
            write,
            spread,
            wait(BOUND_S - 1),
            chat,
            wait(2),
            read(0),
            network("00011", ""),
            chat,
        ],
        True,
        "11100",
    ),
]

FAULTS: dict[str, list[Step]] = {
    "no_fault": [],
    "the_store_goes_down": [network("00000", "")],
    "a_domain_is_cut_off": [network("00011", "0")],
    "the_writer_is_cut_off_with_the_store": [network("01111", "0")],
    "the_writer_restarts": [restart(0)],
    "another_restarts": [restart(3)],
    "another_restarts_without_the_store": [network("00011", "0"), restart(3)],
    "all_others_restart": [restart(1), restart(2), restart(3), restart(4)],
    "every_instance_is_isolated": [network("01234", "0")],
}
STEPS = ["before_the_write", "after_the_write", "after_the_propagation"]


class NarrowPlacesTest(TestCase):
    @parameterized.expand(NARROW_PLACES)
    def test_new_work_is_taken_only_with_every_accepted_change(
        self, _name: str, steps: list[Step], is_accepted: bool, serving: str
    ) -> None:
        scenario = run(steps)
        self.assertEqual(is_accepted, scenario.is_accepted)
        self.assertEqual(serving, scenario.serving())
        check_promise(self, scenario)

    @parameterized.expand([("with_both_halves", "0011"), ("each_alone", "0123")])
    def test_half_of_the_instances_is_no_majority(self, _name: str, sides: str) -> None:
        scenario = run([network(sides, ""), *LATER, *LATER], size=4)
        self.assertEqual("0000", scenario.serving())


class FaultAtEachStepTest(TestCase):
    @parameterized.expand(
        [
            (f"{fault}_{step}", fault, step, is_lost)
            for fault in FAULTS
            for step in STEPS
            for is_lost in (False, True)
        ]
    )
    def test_a_change_survives(
        self, _name: str, fault: str, step: str, is_reply_lost: bool
    ) -> None:
        after_write = FAULTS[fault] if step == "after_the_write" else []
        steps = [
            *(FAULTS[fault] if step == "before_the_write" else []),
            write,
            *after_write,
            *([write] if is_reply_lost and not blocks_store(fault, step) else []),
            spread,
            *(FAULTS[fault] if step == "after_the_propagation" else []),
            *LATER,
        ]
        scenario = run(steps)
        check_promise(self, scenario)
        scenario.model.heal()
        scenario.model.read_store(0)
        scenario.model.settle(rounds=3)
        self.assertEqual("11111", scenario.serving())
        self.assertTrue(all(scenario.holds_change(number) for number in range(5)))
        self.assertEqual(1, len(scenario.model.store.history))


def blocks_store(fault: str, step: str) -> bool:
    """Return whether a repeated write would find the store down."""
    return fault == "the_store_goes_down" and step == "after_the_write"


def check_promise(test: TestCase, scenario: Scenario) -> None:
    """Check that each instance accepting new work has the accepted change in force.

    Call it only after the confirmation bound has passed since the acceptance.
    """
    if not scenario.is_accepted:
        return
    for number, is_serving in enumerate(scenario.serving()):
        if is_serving == "1":
            test.assertTrue(scenario.holds_change(number), f"instance {number}")

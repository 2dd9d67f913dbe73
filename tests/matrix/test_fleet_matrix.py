"""Changes of a profile under every fault at each step, and edge cases of the fleet."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.fleet_model import CONFIRMATION_BOUND_S, FleetModel
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
AFTER_CONFIRMATION_BOUND_S = CONFIRMATION_BOUND_S + 1
"""Seconds after which a confirmation that records are current no longer counts."""


@dataclass
class Scenario:
    """A change of one profile, written by instance 0, and its result."""

    model: FleetModel
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

    def propagate(self) -> None:
        """Exchange records with the peers, and decide whether the change is accepted.

        This is what the operator's request does while it waits for a majority.
        """
        for other in self.model.other_numbers(0):
            if self.model.can_reach(other, 0):
                self.model.pull(other, 0)
            self.model.pull(0, other)
        counted = self.model.fleets[0].counted_revisions()
        self.is_accepted = rollout_status(self.revision, counted).is_held_by_majority

    def has_change(self, number: int) -> bool:
        """Return whether an instance has the change in force."""
        record = self.model.fleets[number].table.rollout.records.get("sheets")
        return record is not None and record.profile == CHANGED

    def serving(self) -> str:
        """Return a digit for each instance: 1 if it accepts new work."""
        current = (fleet.table.is_current() for fleet in self.model.fleets)
        return "".join("1" if is_current else "0" for is_current in current)


Step = Callable[[Scenario], None]


def write(scenario: Scenario) -> None:
    scenario.write()


def propagate(scenario: Scenario) -> None:
    scenario.propagate()


def gossip(scenario: Scenario) -> None:
    scenario.model.run_gossip_round()


def partition(partitions: str, store: str) -> Step:
    """Return a step that partitions the instances.

    `partitions` holds a digit for each instance, the number of its partition; `store`
    holds the numbers of the partitions that still reach the store.
    """

    def apply_partition(scenario: Scenario) -> None:
        scenario.model.partitions = [int(partition_id) for partition_id in partitions]
        scenario.model.has_store_access = [
            partition_id in store for partition_id in partitions
        ]

    return apply_partition


def restart(number: int) -> Step:
    return lambda scenario: scenario.model.restart(number)


def wait(seconds: float) -> Step:
    return lambda scenario: scenario.model.advance(seconds)


def read(number: int) -> Step:
    return lambda scenario: scenario.model.read_store(number)


def event_of_another_profile(number: int) -> Step:
    """Return a step in which a watch event of another profile reaches an instance.

    The event advances the instance's cursor and changes no record of this profile.
    """

    def deliver(scenario: Scenario) -> None:
        rollout = scenario.model.fleets[number].table.rollout
        rollout.advance_cursor(rollout.cursor + 1)

    return deliver


def truncated_pull(asker: int, asked: int) -> Step:
    """Return a step that pulls an answer too small to hold the records."""

    def pull(scenario: Scenario) -> None:
        answer = scenario.model.query_peer(asker, asked)
        assert answer is not None
        cut = replace(answer.records, records=(), is_whole=False)
        fleet = scenario.model.fleets[asker]
        fleet.apply_answer(replace(answer, records=cut), scenario.model.now)

    return pull


def run(steps: list[Step], size: int = 5) -> Scenario:
    """Run the steps on a fleet whose instances have read the store and each other."""
    scenario = Scenario(FleetModel(size))
    for number in range(size):
        scenario.model.read_store(number)
    scenario.model.run_gossip_round()
    for step in steps:
        step(scenario)
    return scenario


WAIT_PAST_BOUND: list[Step] = [
    wait(AFTER_CONFIRMATION_BOUND_S / 2),
    gossip,
    wait(AFTER_CONFIRMATION_BOUND_S / 2),
    gossip,
]
EDGE_CASES: list[tuple[str, list[Step], bool, str]] = [
    (
        "the_store_is_down_for_long_and_all_instances_agree",
        [write, propagate, partition("00000", ""), *WAIT_PAST_BOUND, *WAIT_PAST_BOUND],
        True,
        "11111",
    ),
    (
        "a_minority_with_the_store_cannot_accept",
        [
            partition("00111", "0"),
            write,
            propagate,
            *WAIT_PAST_BOUND,
            read(0),
            read(1),
            gossip,
        ],
        False,
        "11111",
    ),
    (
        "a_minority_without_the_store_stops",
        [partition("00011", "0"), write, propagate, *WAIT_PAST_BOUND, read(0), gossip],
        True,
        "11100",
    ),
    (
        "one_instance_alone_stops",
        [partition("00001", "0"), write, propagate, *WAIT_PAST_BOUND, read(0), gossip],
        True,
        "11110",
    ),
    (
        "a_restarted_instance_does_not_count_for_what_it_forgot",
        [
            partition("00011", "0"),
            write,
            propagate,
            partition("00111", "0"),
            restart(2),
            *WAIT_PAST_BOUND,
            read(0),
            gossip,
        ],
        True,
        "11000",
    ),
    (
        "a_peers_confirmation_counts_by_its_age",
        [
            partition("11000", "0"),
            restart(0),
            read(2),
            partition("00011", "0"),
            wait(0.5),
            write,
            propagate,
            *WAIT_PAST_BOUND,
            read(0),
            gossip,
        ],
        True,
        "11100",
    ),
    (
        "a_watch_event_confirms_nothing",
        [
            partition("00001", "0"),
            write,
            propagate,
            wait(AFTER_CONFIRMATION_BOUND_S),
            event_of_another_profile(4),
            read(0),
            gossip,
        ],
        True,
        "11110",
    ),
    (
        "a_truncated_answer_confirms_nothing",
        [
            partition("00001", "0"),
            write,
            propagate,
            wait(AFTER_CONFIRMATION_BOUND_S),
            read(0),
            gossip,
            partition("00000", ""),
            *[truncated_pull(4, other) for other in range(4)],
        ],
        True,
        "11110",
    ),
    (
        "a_confirmation_keeps_its_age_when_it_is_relayed",
        [
            partition("00011", "0"),
            write,
            propagate,
            wait(CONFIRMATION_BOUND_S - 1),
            gossip,
            wait(2),
            read(0),
            partition("00011", ""),
            gossip,
        ],
        True,
        "11100",
    ),
]
"""Name, steps, whether the change is accepted, and the final result of `serving`."""

FAULTS: dict[str, list[Step]] = {
    "no_fault": [],
    "the_store_goes_down": [partition("00000", "")],
    "a_domain_is_cut_off": [partition("00011", "0")],
    "the_writer_is_cut_off_with_the_store": [partition("01111", "0")],
    "the_writer_restarts": [restart(0)],
    "another_restarts": [restart(3)],
    "another_restarts_without_the_store": [partition("00011", "0"), restart(3)],
    "all_others_restart": [restart(1), restart(2), restart(3), restart(4)],
    "every_instance_is_isolated": [partition("01234", "0")],
}
STEPS = ["before_the_write", "after_the_write", "after_the_propagation"]


class EdgeCasesTest(TestCase):
    @parameterized.expand(EDGE_CASES)
    def test_new_work_is_accepted_only_with_every_accepted_change(
        self, _name: str, steps: list[Step], is_accepted: bool, serving: str
    ) -> None:
        scenario = run(steps)
        self.assertEqual(is_accepted, scenario.is_accepted)
        self.assertEqual(serving, scenario.serving())
        check_serving_instances_have_the_change(self, scenario)

    @parameterized.expand([("with_both_halves", "0011"), ("each_alone", "0123")])
    def test_half_of_the_instances_are_no_majority(
        self, _name: str, partitions: str
    ) -> None:
        scenario = run(
            [partition(partitions, ""), *WAIT_PAST_BOUND, *WAIT_PAST_BOUND], size=4
        )
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
    def test_a_change_reaches_every_instance_despite(
        self, _name: str, fault: str, step: str, is_reply_lost: bool
    ) -> None:
        after_write = FAULTS[fault] if step == "after_the_write" else []
        steps = [
            *(FAULTS[fault] if step == "before_the_write" else []),
            write,
            *after_write,
            *(
                [write]
                if is_reply_lost and not is_store_down_for_repeat(fault, step)
                else []
            ),
            propagate,
            *(FAULTS[fault] if step == "after_the_propagation" else []),
            *WAIT_PAST_BOUND,
        ]
        scenario = run(steps)
        check_serving_instances_have_the_change(self, scenario)
        scenario.model.heal()
        scenario.model.read_store(0)
        scenario.model.run_gossip_rounds(rounds=3)
        self.assertEqual("11111", scenario.serving())
        self.assertTrue(all(scenario.has_change(number) for number in range(5)))
        self.assertEqual(1, len(scenario.model.store.history))


def is_store_down_for_repeat(fault: str, step: str) -> bool:
    """Return whether a repeated write would find the store down."""
    return fault == "the_store_goes_down" and step == "after_the_write"


def check_serving_instances_have_the_change(test: TestCase, scenario: Scenario) -> None:
    """Check that each instance accepting new work has the accepted change in force.

    Call it only after the confirmation bound has passed since the acceptance.
    """
    if not scenario.is_accepted:
        return
    for number, is_serving in enumerate(scenario.serving()):
        if is_serving == "1":
            test.assertTrue(scenario.has_change(number), f"instance {number}")

"""Instances discover each other, drop dead members and keep every leaving mark."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from testtools import TestCase

from tests.common.fleet_model import FleetModel, encode_registration
from turmericusher.decisions.fleet import (
    EntryInstance,
    Lifecycle,
    UpstreamInstance,
    UpstreamKind,
)
from turmericusher.decisions.membership import (
    DEAD_RETENTION_S,
    NEWEST_CLAIMS,
    RANDOM_CLAIMS,
    SUSPICION_TIMEOUT_S,
    Health,
    MemberClaim,
    Membership,
    MemberState,
)
from turmericusher.decisions.upstream_marks import (
    MAX_MARKS,
    UNLISTED_RETENTION_S,
    LeavingMark,
    LeavingMarks,
)
from turmericusher.tasks.profile_watch import Registration

SIZE = 4
NUMBERS = st.integers(0, SIZE - 1)
SIDES = st.lists(st.integers(0, 1), min_size=SIZE, max_size=SIZE)
UPSTREAMS = st.sampled_from(["u1", "u2"])
INCARNATIONS = st.sampled_from(["a", "b"])


def upstream(name: str, incarnation: str) -> UpstreamInstance:
    return UpstreamInstance(name, "s", UpstreamKind.ENGINE, "x", "d", incarnation)


class MembershipMachine(RuleBasedStateMachine):
    """Member claims and leaving marks arrive late, repeatedly and in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.model = FleetModel(SIZE)
        self.old_claims: list[MemberClaim] = []
        self.departed: set[tuple[str, str]] = set()
        self.latest_incarnations: dict[tuple[str, str, str], str] = {}
        self.added_marks: set[LeavingMark] = set()
        self.seen_leaving: set[tuple[str, str, str, str]] = set()
        self.seen_marks: set[tuple[str, LeavingMark]] = set()

    def incarnation_of(self, number: int) -> str:
        """Return the incarnation of an instance."""
        return self.model.fleets[number].membership.own.incarnation

    @rule(asker=NUMBERS, asked=NUMBERS)
    def one_instance_queries_another(self, asker: int, asked: int) -> None:
        if asker != asked and self.model.is_running[asker]:
            self.model.pull(asker, asked)

    @rule()
    def all_instances_query_each_other(self) -> None:
        self.model.run_gossip_round()

    @rule(number=NUMBERS)
    def claims_are_delayed(self, number: int) -> None:
        """Keep an instance's claims, to be merged elsewhere later."""
        members = self.model.fleets[number].membership.members.values()
        self.old_claims += [member.claim for member in members]

    @precondition(lambda self: self.old_claims)
    @rule(number=NUMBERS, data=st.data())
    def an_old_claim_arrives(self, number: int, data: st.DataObject) -> None:
        claim = data.draw(st.sampled_from(self.old_claims))
        self.model.fleets[number].membership.merge([claim], self.model.now)

    @rule(seconds=st.sampled_from([0.5, SUSPICION_TIMEOUT_S, 8.0]))
    def time_passes(self, seconds: float) -> None:
        self.model.advance(seconds)

    @rule(sides=SIDES)
    def the_network_changes(self, sides: list[int]) -> None:
        self.model.partitions = sides

    @rule(number=NUMBERS)
    def an_instance_dies(self, number: int) -> None:
        self.model.is_running[number] = False

    @rule(number=NUMBERS)
    def an_instance_restarts(self, number: int) -> None:
        self.model.restart(number)

    @rule(number=NUMBERS)
    def an_instance_leaves(self, number: int) -> None:
        membership = self.model.fleets[number].membership
        membership.leave()
        self.departed.add((membership.own.name, membership.own.incarnation))

    @rule(number=NUMBERS, name=UPSTREAMS, incarnation=INCARNATIONS)
    def an_upstream_is_marked(self, number: int, name: str, incarnation: str) -> None:
        mark = LeavingMark(name, incarnation)
        self.added_marks.add(mark)
        self.model.fleets[number].add_marks([mark])

    @rule(number=NUMBERS, name=UPSTREAMS, incarnation=INCARNATIONS)
    def a_stale_list_arrives(self, number: int, name: str, incarnation: str) -> None:
        fleet = self.model.fleets[number]
        fleet.set_listed_upstreams([upstream(name, incarnation)])
        for shown in fleet.upstreams():
            is_marked = LeavingMark(name, incarnation) in fleet.marks.marks
            assert is_marked == (shown.lifecycle is Lifecycle.LEAVING)

    @invariant()
    def no_known_incarnation_decreases(self) -> None:
        for number, fleet in enumerate(self.model.fleets):
            for name, member in fleet.membership.members.items():
                assert name != fleet.membership.own.name
                key = (self.incarnation_of(number), name, "")
                incarnation = member.claim.instance.incarnation
                assert incarnation >= self.latest_incarnations.get(key, "")
                self.latest_incarnations[key] = incarnation

    @invariant()
    def a_leaving_mark_of_an_instance_is_not_forgotten(self) -> None:
        for number, fleet in enumerate(self.model.fleets):
            for name, member in fleet.membership.members.items():
                instance = member.claim.instance
                key = (self.incarnation_of(number), name, instance.incarnation, "")
                if instance.lifecycle is Lifecycle.LEAVING:
                    assert (name, instance.incarnation) in self.departed
                    self.seen_leaving.add(key)
                assert (key in self.seen_leaving) == (
                    instance.lifecycle is Lifecycle.LEAVING
                )

    @invariant()
    def a_leaving_mark_of_an_upstream_is_not_forgotten(self) -> None:
        for number, fleet in enumerate(self.model.fleets):
            known = {(self.incarnation_of(number), mark) for mark in fleet.marks.marks}
            lost = {
                key
                for key in self.seen_marks - known
                if key[0] == self.incarnation_of(number)
            }
            assert not lost
            assert set(fleet.marks.marks) <= self.added_marks
            self.seen_marks |= known

    def teardown(self) -> None:
        """Check that after all faults each instance knows who is live and all marks."""
        self.model.heal()
        self.model.run_gossip_rounds(rounds=int(SUSPICION_TIMEOUT_S / 0.5) + 4)
        running = [n for n in range(SIZE) if self.model.is_running[n]]
        known_marks = [set(self.model.fleets[n].marks.marks) for n in running]
        for number in running:
            fleet = self.model.fleets[number]
            present = {
                claim.instance.name for claim in fleet.membership.active_claims()
            }
            expected = {
                self.model.fleets[other].membership.own.name
                for other in running
                if other != number
                and self.model.fleets[other].membership.own.lifecycle is Lifecycle.LIVE
            }
            assert present == expected
            assert set(fleet.marks.marks) == set().union(*known_marks)


class MembershipMachineTest(MembershipMachine.TestCase):  # type: ignore[misc]
    settings = settings(max_examples=150, stateful_step_count=30)


def make_claim(name: str, health: Health = Health.ALIVE) -> MemberClaim:
    instance = EntryInstance(name, "d", f"c-{name}", f"p-{name}", "1")
    return MemberClaim(instance, 0, health, MemberState(1))


def make_membership(size: int, seeds: tuple[str, ...] = ()) -> Membership:
    """Return the membership of an instance that knows `size` other members."""
    own = EntryInstance("own", "d", "c-own", "p-own", "1")
    membership = Membership(own, random.Random(1), seeds)
    membership.merge([make_claim(f"e{number:03d}") for number in range(size)], 0.0)
    return membership


class MembershipTest(TestCase):
    def test_a_round_queries_every_member_once(self) -> None:
        membership = make_membership(7)
        queried = [membership.next_address()[0] for _ in range(7)]
        self.assertEqual(sorted(membership.members), sorted(queried))

    def test_dead_members_and_seeds_are_queried_occasionally(self) -> None:
        membership = make_membership(2, seeds=("p-seed", "p-own", "p-e000"))
        membership.merge([make_claim("e001", Health.DEAD)], 1.0)
        queried = {membership.next_address()[1] for _ in range(3)}
        self.assertEqual({"p-e000", "p-e001", "p-seed"}, queried)

    def test_an_answer_has_a_bounded_number_of_claims_with_the_newest_first(
        self,
    ) -> None:
        membership = make_membership(420)
        membership.merge([make_claim("e007", Health.DEAD)], 5.0)
        claims = membership.claims_for_reply()
        self.assertEqual(NEWEST_CLAIMS + RANDOM_CLAIMS, len(claims))
        self.assertEqual(Health.DEAD, claims[0].health)

    def test_dead_members_are_forgotten_only_while_the_store_can_be_read(self) -> None:
        membership = make_membership(1)
        membership.merge([make_claim("e000", Health.DEAD)], 0.0)
        membership.advance(DEAD_RETENTION_S, is_store_recent=False)
        self.assertIn("e000", membership.members)
        membership.advance(DEAD_RETENTION_S, is_store_recent=True)
        self.assertNotIn("e000", membership.members)

    def test_a_registration_adds_a_member_and_its_deletion_removes_none(
        self,
    ) -> None:
        fleet = FleetModel(1).fleets[0]
        other = EntryInstance("e9", "d", "c9", "p9", "9")
        fleet.apply_registration(Registration("e9", encode_registration(other)))
        fleet.apply_registration(Registration("e9", None))
        fleet.apply_registration(Registration("e8", b"{}"))
        self.assertEqual(["e9"], list(fleet.membership.members))


class LeavingMarksTest(TestCase):
    def test_a_mark_holds_for_its_own_incarnation_only(self) -> None:
        marks = LeavingMarks(random.Random(1))
        marks.add([LeavingMark("u1", "b")], 0.0)
        listed = [upstream("u1", "a"), upstream("u1", "b")]
        shown = [one.lifecycle for one in marks.apply(listed, 1.0)]
        self.assertEqual([Lifecycle.LIVE, Lifecycle.LEAVING], shown)

    def test_a_listed_incarnation_keeps_its_mark_and_an_unlisted_one_loses_it(
        self,
    ) -> None:
        marks = LeavingMarks(random.Random(1))
        marks.add([LeavingMark("u1", "a"), LeavingMark("u2", "a")], 0.0)
        listed = [upstream("u1", "a")]
        marks.apply(listed, UNLISTED_RETENTION_S)
        marks.apply(listed, UNLISTED_RETENTION_S + 1)
        self.assertEqual([LeavingMark("u1", "a")], list(marks.marks))

    def test_marks_are_bounded_and_listed_ones_stay(self) -> None:
        marks = LeavingMarks(random.Random(1))
        marks.add([LeavingMark("kept", "a")], 0.0)
        marks.apply([upstream("kept", "a")], 5.0)
        many = [LeavingMark(f"u{number}", "a") for number in range(MAX_MARKS + 9)]
        marks.add(many, 1.0)
        self.assertEqual(MAX_MARKS, len(marks.marks))
        self.assertIn(LeavingMark("kept", "a"), marks.marks)

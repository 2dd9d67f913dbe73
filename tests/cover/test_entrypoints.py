"""Callers are spread over the live instances, those of their domain first."""

import random
from collections import Counter

from parameterized import parameterized
from testtools import TestCase

from turmericusher.decisions.entrypoints import MAX_ENTRYPOINTS, choose_entrypoints
from turmericusher.decisions.fleet import EntryInstance, Lifecycle
from turmericusher.decisions.membership import Health, MemberClaim, MemberState

DOMAINS = ("quai-nord", "quai-sud", "bureau-criee")
DRAWS = 600


def make_claim(
    number: int,
    load: int = 0,
    health: Health = Health.ALIVE,
    lifecycle: Lifecycle = Lifecycle.LIVE,
    heartbeat: int = 1,
    takes_work: bool = True,
) -> MemberClaim:
    domain = DOMAINS[number % len(DOMAINS)]
    instance = EntryInstance(
        f"e{number}", domain, f"c{number}", f"p{number}", "1", lifecycle
    )
    state = MemberState(heartbeat, 0, load, takes_work)
    return MemberClaim(instance, 0, health, state)


def count_first_choices(claims: list[MemberClaim], domain: str) -> Counter[str]:
    """Count how often each instance comes first in `DRAWS` answers for a domain."""
    rng = random.Random(5)
    return Counter(
        choose_entrypoints(claims, domain, rng)[0].name for _ in range(DRAWS)
    )


class EntrypointsTest(TestCase):
    @parameterized.expand(
        [
            ("dead", make_claim(0, health=Health.DEAD)),
            ("leaving", make_claim(0, lifecycle=Lifecycle.LEAVING)),
            ("no_heartbeat_received", make_claim(0, heartbeat=0)),
            ("refusing_work", make_claim(0, takes_work=False)),
        ]
    )
    def test_an_instance_that_cannot_serve_is_left_out(
        self, _name: str, unusable: MemberClaim
    ) -> None:
        claims = [unusable, make_claim(3)]
        chosen = choose_entrypoints(claims, "quai-nord", random.Random(1))
        self.assertEqual(["e3"], [instance.name for instance in chosen])

    def test_a_suspected_instance_comes_last(self) -> None:
        claims = [make_claim(0, health=Health.SUSPECT), make_claim(1, load=500)]
        chosen = choose_entrypoints(claims, "quai-nord", random.Random(1))
        self.assertEqual(["e1", "e0"], [instance.name for instance in chosen])

    def test_no_instance_comes_first_for_most_callers(self) -> None:
        claims = [make_claim(number) for number in range(8)]
        for domain in ("", *DOMAINS):
            first_choices = count_first_choices(claims, domain)
            self.assertLess(max(first_choices.values()), 0.6 * DRAWS, domain)

    def test_the_callers_own_domain_comes_first_for_most(self) -> None:
        claims = [make_claim(number) for number in range(8)]
        first_choices = count_first_choices(claims, "quai-nord")
        near = sum(first_choices[f"e{number}"] for number in (0, 3, 6))
        self.assertGreater(near, 0.85 * DRAWS)

    def test_a_loaded_instance_gets_fewer_callers(self) -> None:
        claims = [
            make_claim(0, load=30),
            make_claim(3, load=10),
            make_claim(6, load=10),
        ]
        first_choices = count_first_choices(claims, "quai-nord")
        self.assertLess(first_choices["e0"], 0.6 * first_choices["e3"])

    def test_callers_are_sent_away_from_an_overloaded_domain(self) -> None:
        claims = [make_claim(0, load=100), make_claim(1), make_claim(2)]
        first_choices = count_first_choices(claims, "quai-nord")
        self.assertLess(first_choices["e0"], 0.1 * DRAWS)

    def test_the_number_of_entry_points_is_bounded(self) -> None:
        claims = [make_claim(number) for number in range(420)]
        chosen = choose_entrypoints(claims, "quai-sud", random.Random(1))
        self.assertEqual(MAX_ENTRYPOINTS, len(chosen))

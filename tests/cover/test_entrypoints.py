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


def claim_of(
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


def first_names(claims: list[MemberClaim], domain: str) -> Counter[str]:
    """Count how often each instance comes first in `DRAWS` answers for a domain."""
    rng = random.Random(5)
    return Counter(
        choose_entrypoints(claims, domain, rng)[0].name for _ in range(DRAWS)
    )


class EntrypointsTest(TestCase):
    @parameterized.expand(
        [
            ("dead", claim_of(0, health=Health.DEAD)),
            ("leaving", claim_of(0, lifecycle=Lifecycle.LEAVING)),
            ("no_heartbeat_received", claim_of(0, heartbeat=0)),
            ("refusing_work", claim_of(0, takes_work=False)),
        ]
    )
    def test_one_that_cannot_serve_is_left_out(
        self, _name: str, unusable: MemberClaim
    ) -> None:
        claims = [unusable, claim_of(3)]
        chosen = choose_entrypoints(claims, "quai-nord", random.Random(1))
        self.assertEqual(["e3"], [one.name for one in chosen])

    def test_a_suspected_one_comes_last(self) -> None:
        claims = [claim_of(0, health=Health.SUSPECT), claim_of(1, load=500)]
        chosen = choose_entrypoints(claims, "quai-nord", random.Random(1))
        self.assertEqual(["e1", "e0"], [one.name for one in chosen])

    def test_no_single_address_gets_everyone(self) -> None:
        claims = [claim_of(number) for number in range(8)]
        for domain in ("", *DOMAINS):
            names = first_names(claims, domain)
            self.assertLess(max(names.values()), 0.6 * DRAWS, domain)

    def test_the_near_domain_comes_first_for_most(self) -> None:
        claims = [claim_of(number) for number in range(8)]
        names = first_names(claims, "quai-nord")
        near = sum(names[f"e{number}"] for number in (0, 3, 6))
        self.assertGreater(near, 0.85 * DRAWS)

    def test_a_loaded_one_gets_fewer_callers(self) -> None:
        claims = [claim_of(0, load=30), claim_of(3, load=10), claim_of(6, load=10)]
        names = first_names(claims, "quai-nord")
        self.assertLess(names["e0"], 0.6 * names["e3"])

    def test_callers_are_sent_away_from_an_overloaded_domain(self) -> None:
        claims = [claim_of(0, load=100), claim_of(1), claim_of(2)]
        names = first_names(claims, "quai-nord")
        self.assertLess(names["e0"], 0.1 * DRAWS)

    def test_an_answer_is_bounded(self) -> None:
        claims = [claim_of(number) for number in range(420)]
        chosen = choose_entrypoints(claims, "quai-sud", random.Random(1))
        self.assertEqual(MAX_ENTRYPOINTS, len(chosen))

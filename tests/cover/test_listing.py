"""Entries missing after a store outage are kept for a while, others dropped at once."""

from parameterized import parameterized
from testtools import TestCase

from turmericusher.decisions.listing import (
    MIN_OUTAGE_S,
    RELIST_GRACE_S,
    Listing,
)

BACK_AT = 10.0


def listing_after_outage(outage_s: float) -> Listing:
    """Return a listing whose store came back at `BACK_AT`; 0 means no outage."""
    made = Listing({"a": 1, "b": 2})
    made.mark_store_lost(BACK_AT - outage_s)
    made.mark_store_available(BACK_AT)
    return made


class ListingTest(TestCase):
    @parameterized.expand(
        [
            ("no_outage", 0.0, 0.0, False),
            ("a_cut_connection", MIN_OUTAGE_S / 2, 0.0, False),
            ("just_after_an_outage", 4.0, 0.1, True),
            ("long_after_an_outage", 4.0, RELIST_GRACE_S + 0.1, False),
        ]
    )
    def test_an_entry_that_vanishes(self, _, outage_s, after_s, is_kept):
        made = listing_after_outage(outage_s)
        made.remove("a", BACK_AT + after_s)
        self.assertEqual(is_kept, "a" in made.entries)

    def test_an_entry_that_stays_away_is_dropped_when_the_wait_is_over(self):
        made = listing_after_outage(4.0)
        made.replace_all({"b": 3}, BACK_AT)
        self.assertFalse(made.expire(BACK_AT + RELIST_GRACE_S - 0.01))
        self.assertEqual({"a": 1, "b": 3}, made.entries)
        self.assertEqual(BACK_AT + RELIST_GRACE_S, made.next_expiry_at())
        self.assertTrue(made.expire(BACK_AT + RELIST_GRACE_S))
        self.assertEqual({"b": 3}, made.entries)

    def test_an_entry_that_comes_back_stays(self):
        made = listing_after_outage(4.0)
        made.replace_all({}, BACK_AT)
        made.put("a", 5)
        made.expire(BACK_AT + RELIST_GRACE_S)
        self.assertEqual({"a": 5}, made.entries)

    def test_a_second_loss_does_not_shorten_the_outage(self):
        made = Listing({"a": 1})
        made.mark_store_lost(0.0)
        made.mark_store_lost(BACK_AT)
        made.mark_store_available(BACK_AT)
        made.remove("a", BACK_AT)
        self.assertIn("a", made.entries)

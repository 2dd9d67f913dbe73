"""Entries missing after a store outage are kept for a while, others dropped at once."""

from parameterized import parameterized
from testtools import TestCase

from turmericusher.decisions.listing import (
    MIN_OUTAGE_S,
    RELIST_GRACE_S,
    Listing,
)

REGAINED_AT = 10.0


def listing_after_outage(outage_s: float) -> Listing:
    """Return a listing whose store came back at `REGAINED_AT`; 0 means no outage."""
    listing = Listing({"a": 1, "b": 2})
    listing.mark_store_lost(REGAINED_AT - outage_s)
    listing.mark_store_available(REGAINED_AT)
    return listing


class ListingTest(TestCase):
    @parameterized.expand(
        [
            ("no_outage", 0.0, 0.0, False),
            ("a_cut_connection", MIN_OUTAGE_S / 2, 0.0, False),
            ("just_after_an_outage", 4.0, 0.1, True),
            ("long_after_an_outage", 4.0, RELIST_GRACE_S + 0.1, False),
        ]
    )
    def test_a_removed_entry_is_kept_only_just_after_an_outage(
        self, _, outage_s, after_s, is_kept
    ):
        listing = listing_after_outage(outage_s)
        listing.remove("a", REGAINED_AT + after_s)
        self.assertEqual(is_kept, "a" in listing.entries)

    def test_a_missing_entry_is_dropped_when_the_grace_period_ends(self):
        listing = listing_after_outage(4.0)
        listing.replace_all({"b": 3}, REGAINED_AT)
        self.assertFalse(listing.expire(REGAINED_AT + RELIST_GRACE_S - 0.01))
        self.assertEqual({"a": 1, "b": 3}, listing.entries)
        self.assertEqual(REGAINED_AT + RELIST_GRACE_S, listing.next_expiry_at())
        self.assertTrue(listing.expire(REGAINED_AT + RELIST_GRACE_S))
        self.assertEqual({"b": 3}, listing.entries)

    def test_a_missing_entry_that_returns_is_kept(self):
        listing = listing_after_outage(4.0)
        listing.replace_all({}, REGAINED_AT)
        listing.put("a", 5)
        listing.expire(REGAINED_AT + RELIST_GRACE_S)
        self.assertEqual({"a": 5}, listing.entries)

    def test_a_second_loss_of_the_store_does_not_shorten_the_outage(self):
        listing = Listing({"a": 1})
        listing.mark_store_lost(0.0)
        listing.mark_store_lost(REGAINED_AT)
        listing.mark_store_available(REGAINED_AT)
        listing.remove("a", REGAINED_AT)
        self.assertIn("a", listing.entries)

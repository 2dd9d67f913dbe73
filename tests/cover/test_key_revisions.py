"""Test that what was applied of a key never gives way to something older."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from turmericusher.ports.key_revisions import KeyRevisions
from turmericusher.ports.keyvalue import StoredValue, WatchEvent

KEYS = ("op/a", "op/b", "servers/a", "servers/b")
PREFIXES = ("op/", "servers/")


class Applied:
    """An instance's view of a store, which applies what is news to it."""

    def __init__(self):
        self.known, self.values = KeyRevisions(), {}

    def apply(self, events, complete):
        news = self.known.select_news(events)
        for each in news:
            self.values.pop(each.key, None)
            if each.value is not None:
                self.values[each.key] = each.value
        self.known.record(news, complete)


def write_all(changes):
    """Return the events of changes, and what each key has after all of them."""
    events, values = [], {}
    for revision, (key, is_removed) in enumerate(changes, 1):
        value = None if is_removed else str(revision).encode()
        events.append(WatchEvent(key, value, revision))
        values[key] = value
    return events, {key: value for key, value in values.items() if value is not None}


CHANGES = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=12)


class KeyRevisionsTest(TestCase):
    @given(CHANGES, st.lists(st.integers(0, 12), min_size=1), st.data())
    def test_parts_that_come_apart_and_twice_end_in_what_the_store_has(
        self, changes, starts, data
    ):
        events, values = write_all(changes)
        applied, progress = Applied(), dict.fromkeys(PREFIXES, 0)
        for start in starts:
            prefix = data.draw(st.sampled_from(PREFIXES))
            upto = data.draw(st.integers(0, len(events)))
            after = min(start, progress[prefix])
            answer = [
                each
                for each in events
                if after < each.revision <= upto and each.key.startswith(prefix)
            ]
            if upto >= after:
                progress[prefix] = max(progress[prefix], upto)
                applied.apply(answer, min(progress.values()))
        for prefix, after in progress.items():
            rest = [e for e in events if e.revision > after and e.key[:3] == prefix[:3]]
            applied.apply(rest, len(events))
        self.assertEqual(values, applied.values)

    @given(CHANGES, st.integers(0, 12))
    def test_a_read_tells_all_changes_since_what_was_applied(self, changes, seen):
        events, values = write_all(changes)
        applied, other = Applied(), Applied()
        for each in (applied, other):
            each.apply(events[:seen], min(seen, len(events)))
        revisions = {each.key: each.revision for each in events}
        read = [StoredValue(k, v, revisions[k]) for k, v in values.items()]
        told = applied.known.changes_to(read, len(events))
        other.apply(told, len(events))
        self.assertEqual(values, other.values)

    @parameterized.expand(
        [
            ("the same", 5, b"x", 5, False),
            ("older", 5, b"x", 4, False),
            ("newer", 5, b"x", 6, True),
            ("older than a removal", 5, None, 4, False),
            ("newer than a removal", 5, None, 6, True),
        ]
    )
    def test_news_is_what_is(self, _, applied, value, revision, expected):
        known = KeyRevisions()
        known.record([WatchEvent("k", value, applied)], 0)
        self.assertEqual(expected, known.is_news("k", revision))

    def test_a_removal_is_forgotten_once_all_before_it_is_known(self):
        known = KeyRevisions()
        known.record([WatchEvent("k", None, 5)], 4)
        self.assertEqual({"k": 5}, known.removed)
        known.record([], 5)
        self.assertEqual({}, known.removed)

    def test_a_read_of_one_part_tells_nothing_of_others(self):
        known = KeyRevisions()
        known.replace([StoredValue("op/a", b"", 1), StoredValue("servers/a", b"", 2)])
        gone = known.changes_to([], 3, "op/")
        self.assertEqual([("op/a", 3)], [(each.key, each.revision) for each in gone])

"""Test that parts of prompts that crash upstreams are found and no longer sent."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from turmericusher.platform.codec import parse_shared_parts


class SharedPartsTest(TestCase):
    @parameterized.expand(
        [
            ("three parts", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", 2),
            ("one part, which is the request's own", "5c1e07a2:800", 0),
            ("spaces", " 5c1e07a2:800 , 91bd3f06:410", 1),
            ("upper case", "5C1E07A2:800,91bd3f06:410", 1),
            ("no header", None, 0),
            ("empty", "", 0),
            ("an entry without tokens", "5c1e07a2,91bd3f06:410", 0),
            ("an entry without an id", ":800,91bd3f06:410", 0),
            ("tokens that are no number", "5c1e07a2:many,91bd3f06:410", 0),
        ]
    )
    def test_all_parts_but_the_last_are_shared(self, _, header, count):
        expected = ("5c1e07a2", "91bd3f06")[:count]
        self.assertEqual(expected, parse_shared_parts(header))

"""Test that odd entries and reports name nothing and end nothing."""

from __future__ import annotations

import orjson
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import (
    configuration,
    encode_upstream_entry,
    running_relay_simulation,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import CONFIGURATION_KEY, UPSTREAM_PREFIX
from turmericusher.platform.records import decode_record, decode_report

GOOD = encode_upstream_entry("127.0.0.1:1000", 0)
DEEP = b"[" * 100_000 + b"]" * 100_000


def changed(**fields):
    """Return an entry with some fields changed."""
    return orjson.dumps(orjson.loads(GOOD) | fields)


def with_number(field, text):
    """Return an entry with a number that JSON allows and few programs do."""
    return changed(**{field: 12321}).replace(b"12321", text)


ODD_ENTRIES = [
    ("nested deeply", b'{"a":' + DEEP + b"}"),
    ("nested deeply in an unknown field", GOOD[:-1] + b',"x":' + DEEP + b"}"),
    ("a number of many digits", with_number("slots", b"9" * 5_000)),
    ("a number too large for a float", with_number("slots", b"1e400")),
    ("a sequence too large", with_number("sequence", b"1e999")),
    ("a start too large", with_number("born", b"9" * 5_000)),
    ("a port out of range", changed(address="127.0.0.1:99999")),
    ("a port of many digits", changed(address="127.0.0.1:" + "9" * 5_000)),
    ("a negative port", changed(address="127.0.0.1:-1")),
    ("port zero", changed(address="127.0.0.1:0")),
    ("a port in other digits", changed(address="127.0.0.1:\u0661\u0662")),
    ("a bracket that is not closed", changed(address="[::1:80")),
    ("no port", changed(address="127.0.0.1")),
    ("no address", changed(address=["127.0.0.1:80"])),
    ("an unknown state", changed(state="odd")),
    ("a list", b"[]"),
    ("nothing", b""),
    ("no text", b"\xff\xfe\x00"),
]


class EntryTest(TestCase):
    @parameterized.expand(ODD_ENTRIES)
    def test_an_entry_names_no_upstream_that_has(self, _, value):
        record = decode_record(f"{UPSTREAM_PREFIX}u9", value)
        self.assertIsNone(record.upstream)

    @parameterized.expand([("a line break", "u\r\n9"), ("no ASCII", "u\u2603")])
    def test_an_entry_names_no_upstream_whose_name_has(self, _, name):
        record = decode_record(f"{UPSTREAM_PREFIX}{name}", GOOD)
        self.assertIsNone(record.upstream)

    @parameterized.expand([("IPv4", "127.0.0.1:80"), ("IPv6", "[::1]:65535")])
    def test_an_address_may_be_of(self, _, address):
        record = decode_record(f"{UPSTREAM_PREFIX}u9", changed(address=address))
        self.assertEqual(address, record.upstream.address)

    # Instances of a like system ended, or followed the list no more (issue 48).
    @run_async
    async def test_an_instance_follows_the_list_on_whatever_stands_in_it(self):
        async with running_relay_simulation() as simulation:
            store = simulation.store.store
            for number, (_, value) in enumerate(ODD_ENTRIES):
                store.write(f"{UPSTREAM_PREFIX}odd-{number}", value)
            store.write(CONFIGURATION_KEY, configuration(2))
            node = simulation.node
            await wait_until(lambda: node.tables.table.version == 2, 3.0)
            names = set(node.fleet.upstreams.entries)
            self.assertEqual({each.name for each in simulation.upstreams}, names)
            answer = await simulation.call(RequestKind.IDEMPOTENT)
            self.assertEqual(200, answer.status)


class SameAddressTest(TestCase):
    @parameterized.expand([("goes on writing", 2, True), ("writes no more", 1, False)])
    @run_async
    async def test_config_an_upstream_listed_twice_is_used_again_only_if_it(
        self, _, sequence, is_used
    ):
        async with running_relay_simulation(1) as simulation:
            (standin,) = simulation.upstreams
            write = simulation.store.store.write
            listed = simulation.node.fleet.upstreams.entries
            selector = simulation.node.shared.selector
            other = encode_upstream_entry(standin.address, 0, service="rack-agent")
            write(f"{UPSTREAM_PREFIX}other-writer", other)
            await wait_until(lambda: "other-writer" in listed, 3.0)
            self.assertIn(standin.name, selector.replaced)
            entry = encode_upstream_entry(standin.address, 0, sequence=sequence)
            write(f"{UPSTREAM_PREFIX}{standin.name}", entry)
            write(f"{UPSTREAM_PREFIX}last", GOOD)
            await wait_until(lambda: "last" in listed, 3.0)
            self.assertEqual(is_used, standin.name not in selector.replaced)
            if is_used:
                answer = await simulation.call(RequestKind.IDEMPOTENT)
                self.assertEqual(200, answer.status)


class ReportTest(TestCase):
    @parameterized.expand(
        [
            ("requests", "active_requests", b"9" * 400),
            ("waiting requests", "waiting", b"9" * 400),
            ("memory", "cache_used", b"9" * 400),
            ("infinite memory", "cache_total", b"1e400"),
            ("less than none", "waiting", b"-1"),
        ]
    )
    def test_a_report_is_none_that_tells_of_more_than_can_be(self, _, field, text):
        numbers = dict.fromkeys(
            ("active_requests", "waiting", "cache_used", "cache_total"), 1
        )
        value = orjson.dumps(numbers | {field: 12321}).replace(b"12321", text)
        self.assertRaises(ValueError, decode_report, value)

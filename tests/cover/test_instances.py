"""The instance list: parsing, dropped entries, and polling while its source is down."""

from __future__ import annotations

import asyncio

import orjson
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance, UpstreamKind
from turmericusher.errors import UpstreamError
from turmericusher.ports.instances import parse_instances
from turmericusher.standins.instances import (
    InstanceListStandin,
    entry_for,
    running_instance_list,
)
from turmericusher.tasks import instance_list

ENGINE = UpstreamInstance(
    name="e1",
    service="drafts",
    kind=UpstreamKind.ENGINE,
    address="127.0.0.1:9",
    failure_domain="a",
    incarnation="7",
    version="v1",
    models=("m", "n"),
    lifecycle=Lifecycle.LEAVING,
    checks_fencing=True,
)


class ParseTest(TestCase):
    def test_an_entry_is_unchanged_by_encoding_and_parsing(self) -> None:
        self.assertEqual((ENGINE,), parse_instances(orjson.dumps([entry_for(ENGINE)])))

    @parameterized.expand(
        [
            ("not_an_object", 3),
            ("no_labels", {"targets": ["127.0.0.1:1"]}),
            ("no_target", {**entry_for(ENGINE), "targets": []}),
            ("name_for_address", {**entry_for(ENGINE), "targets": ["host:1"]}),
        ]
    )
    def test_only_a_bad_entry_is_dropped(self, _name: str, entry: object) -> None:
        data = orjson.dumps([entry, entry_for(ENGINE)])
        self.assertEqual((ENGINE,), parse_instances(data))

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_list_or_a_coded_error(self, data: bytes) -> None:
        try:
            parse_instances(data)
        except UpstreamError:
            return


class PollingTest(TestCase):
    @run_async
    async def test_the_last_list_stays_in_force_while_the_source_is_down(self) -> None:
        lists: list[tuple[UpstreamInstance, ...]] = []
        list_arrived = asyncio.Event()

        def record_list(found: tuple[UpstreamInstance, ...]) -> None:
            lists.append(found)
            if found:
                list_arrived.set()

        standin = InstanceListStandin()
        standin.add(ENGINE)
        async with (
            running_instance_list("127.0.0.1", 0, standin) as address,
            instance_list.running_instance_list(
                f"http://{address}/instances", record_list
            ),
        ):
            async with asyncio.timeout(10):
                await list_arrived.wait()
            standin.is_down = True
            await asyncio.sleep(instance_list.POLL_INTERVAL_S * 1.5)
        self.assertEqual([(ENGINE,)], lists)

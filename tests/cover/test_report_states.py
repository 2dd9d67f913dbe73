"""Test what a query for a report shows of an upstream that does not answer it."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.raw_servers import running_raw_server
from tests.common.relay_fixtures import make_upstream
from turmericusher.decisions.relay_messages import ReportState
from turmericusher.platform.upstreams import open_platform_upstreams


async def say_nothing(reader, writer):
    await asyncio.Event().wait()


async def break_off(reader, writer):
    await reader.readuntil(b"\r\n\r\n")


async def answer_without_report(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")


class ReportStateTest(TestCase):
    @parameterized.expand(
        [
            ("says_nothing", say_nothing, ReportState.SILENT),
            ("breaks_off", break_off, ReportState.INVALID),
            ("has_no_report", answer_without_report, ReportState.INVALID),
        ]
    )
    @run_async
    async def test_a_query_tells_an_upstream_that(self, _, serve, state):
        async with (
            running_raw_server(serve) as address,
            open_platform_upstreams(*[lambda *_: None] * 4) as port,
        ):
            query = await port.query_report(replace(make_upstream(0), address=address))
        self.assertEqual((state, None), (query.state, query.report))

    @run_async
    async def test_a_query_tells_an_upstream_that_refuses_connections(self):
        async with running_raw_server(say_nothing) as address:
            pass
        async with open_platform_upstreams(*[lambda *_: None] * 4) as port:
            query = await port.query_report(replace(make_upstream(0), address=address))
        self.assertEqual(ReportState.REFUSED, query.state)

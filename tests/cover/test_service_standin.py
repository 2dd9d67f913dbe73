"""Test what counts as a run of the plain service's stand-in."""

from __future__ import annotations

import io

import aiohttp
from testtools import TestCase

from tests.common.asynchronous import run_async
from turmericusher.logs import logging_to
from turmericusher.standins.service import running_service


class ServiceStandinTest(TestCase):
    @run_async
    async def test_a_query_of_its_load_is_no_run_and_leaves_no_line(self):
        logs = io.StringIO()
        async with (
            running_service("127.0.0.1", 0) as service,
            aiohttp.ClientSession() as session,
        ):
            with logging_to(logs):
                async with session.get(f"http://{service.address}/metrics") as response:
                    self.assertEqual(404, response.status)
            async with session.get(
                f"http://{service.address}/control/ledger"
            ) as response:
                self.assertEqual({}, await response.json())
        self.assertEqual("", logs.getvalue())

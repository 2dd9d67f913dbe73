"""Test that an unexpected error in one task ends neither it nor the others for good."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import NON_IDEMPOTENT
from tests.common.relay_fixtures import (
    PATHS,
    configuration,
    running_relay_simulation,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import ReleaseCopy
from turmericusher.platform.names import CONFIGURATION_KEY
from turmericusher.platform.upstreams import PlatformUpstreams
from turmericusher.standins.platform_upstream import UpstreamFault
from turmericusher.tasks.background import lasting_task
from turmericusher.tasks.relay_fleet import RelayFleet


class LastingTaskTest(TestCase):
    @run_async
    async def test_a_task_that_fails_starts_again(self):
        starts = []

        async def work() -> None:
            starts.append(len(starts))
            if len(starts) == 1:
                raise RuntimeError("unexpected")
            await asyncio.Event().wait()

        async with lasting_task("work", work):
            await wait_until(lambda: len(starts) == 2, 5.0)

    @run_async
    async def test_changes_arrive_after_an_unexpected_error_in_applying_one(self):
        async with running_relay_simulation(1) as simulation:
            failures = []

            def fail_once(fleet, table) -> None:
                if not failures:
                    failures.append(table)
                    raise RuntimeError("unexpected")
                fleet.tables.replace_if_newer(table)

            with patch.object(RelayFleet, "apply_table", fail_once):
                simulation.store.store.write(CONFIGURATION_KEY, configuration(2))
                await wait_until(
                    lambda: simulation.node.tables.current().version == 2, 5.0
                )
            self.assertEqual(1, len(failures))
            self.assertEqual(200, (await simulation.call(NON_IDEMPOTENT)).status)

    @run_async
    async def test_copies_are_released_before_the_connections_close(self):
        released = []

        async def release(port, copy) -> None:
            await asyncio.sleep(1.5)
            self.assertFalse(port.session.closed)
            released.append(copy)

        with patch.object(PlatformUpstreams, "release_copy", release):
            async with running_relay_simulation(1) as simulation:
                simulation.node.frontend.context.release("copy")
        self.assertEqual(["copy"], released)

    @run_async
    async def test_copies_of_requests_that_a_stop_cuts_off_are_released_before_too(
        self,
    ):
        released = []

        async def release(port, copy) -> None:
            self.assertFalse(port.session.closed)
            released.append(copy)

        close = Relay.close

        def close_with_copy(relay, now):
            return [ReleaseCopy("copy"), *close(relay, now)]

        with (
            patch.object(PlatformUpstreams, "release_copy", release),
            patch.object(Relay, "close", close_with_copy),
        ):
            async with running_relay_simulation(1) as simulation:
                (upstream,) = simulation.upstreams
                upstream.faults = [UpstreamFault.HANG]
                # A caller that outlasts the instance.
                _, writer = await send_call(simulation, NON_IDEMPOTENT)
                await wait_until(lambda: upstream.runs)
                # As a stop does whose time is over.
                for server in simulation.node.servers:
                    server.should_exit_immediately = True
        writer.close()
        self.assertEqual(["copy"], released)


async def send_call(simulation, kind):
    """Send a request on a connection of its own; return its reader and writer."""
    host, port = simulation.settings.caller_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"POST {PATHS[kind]}x HTTP/1.1", "X-Request-Id: q1", "Content-Length: 0"]
    lines += [f"{name}: {value}" for name, value in simulation.headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return reader, writer

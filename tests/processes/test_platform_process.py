"""The platform's program as a process: start, reload, stop and invalid settings."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from contextlib import asynccontextmanager
from datetime import datetime
from pathlib import Path

import aiohttp
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import (
    ACCESS_KEY,
    HOST,
    PATHS,
    configuration,
    encode_upstream_entry,
    settings_text,
    unused_loopback_host,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import (
    CONFIGURATION_KEY,
    INSTANCE_PREFIX,
    READINESS_PATH,
    SETTINGS_VARIABLE,
    UPSTREAM_PREFIX,
)
from turmericusher.standins.platform_store import running_platform_store
from turmericusher.standins.platform_upstream import event, running_upstream

ROOT = Path(__file__).parents[2]
EVENTS = 20
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
GRACE_S = 4
"""The setting `grace_s`: seconds that a stop may take, which the test checks."""

START_TIMEOUT_S = 20.0


@asynccontextmanager
async def running_program(settings, path):
    """Run the program with a settings file; kill it on closing if it still runs."""
    path.write_text(settings)
    environment = os.environ | {
        SETTINGS_VARIABLE: str(path),
        "PYTHONPATH": str(ROOT / "src"),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "turmericusher.platform",
        env=environment,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def is_ready(session, host):
    """Return whether the readiness address answers with status 200."""
    try:
        async with session.get(f"http://{host}:20002{READINESS_PATH}") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def wait_until_connected(host):
    """Wait until the address for callers accepts a connection, and close it."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, 20001)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            writer.close()
            return


async def read_stream(session, host):
    """Return the body of one resumable stream."""
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {ACCESS_KEY}",
        "X-Request-Id": "q1",
        "X-Deadline-Milliseconds": "20000",
    }
    url = f"http://{host}:20001{PATHS[RequestKind.RESUMABLE_STREAM]}"
    async with session.post(url, headers=headers) as response:
        return await response.read()


class PlatformProcessTest(TestCase):
    @run_async
    async def test_a_stop_lets_a_stream_end_and_deletes_the_instance_entry(self):
        host = unused_loopback_host()
        with tempfile.TemporaryDirectory() as folder:
            async with (
                running_platform_store() as store,
                running_upstream("u0") as upstream,
                aiohttp.ClientSession() as session,
                running_program(
                    settings_text(host, store.address, grace_s=GRACE_S),
                    Path(folder) / "settings.conf",
                ) as process,
            ):
                upstream.events, upstream.event_gap_s = EVENTS, 0.05
                store.store.write(CONFIGURATION_KEY, configuration())
                key = f"{UPSTREAM_PREFIX}u0"
                store.store.write(key, encode_upstream_entry(upstream.address, 0))
                async with asyncio.timeout(START_TIMEOUT_S):
                    while not await is_ready(session, host):
                        await asyncio.sleep(0.05)
                record = f"{INSTANCE_PREFIX}entry-1"
                await wait_until(lambda: record in store.store.values)
                stream_task = asyncio.create_task(read_stream(session, host))
                await wait_until(lambda: bool(upstream.runs))
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(WHOLE_STREAM, await stream_task)
                await wait_until(lambda: record not in store.store.values)
                self.assertFalse(await is_ready(session, host))
                async with asyncio.timeout(GRACE_S):
                    output = (await process.stdout.read()).decode()
                    self.assertEqual(0, await process.wait())
        for logged_event in ("event=reloaded", "event=stopping", "event=stopped"):
            self.assertIn(logged_event, output)
        self.assertNotIn("drain_cut_short", output)

    @run_async
    async def test_a_request_that_arrives_during_the_start_is_served(self):
        # All instances may start at once, and callers try again only once or twice.
        host = unused_loopback_host()
        with tempfile.TemporaryDirectory() as folder:
            async with (
                running_platform_store() as store,
                running_upstream("u0") as upstream,
                aiohttp.ClientSession() as session,
            ):
                upstream.events = EVENTS
                store.store.write(CONFIGURATION_KEY, configuration())
                key = f"{UPSTREAM_PREFIX}u0"
                store.store.write(key, encode_upstream_entry(upstream.address, 0))
                path = Path(folder) / "settings.conf"
                settings = settings_text(host, store.address)
                async with running_program(settings, path) as process:
                    await wait_until_connected(host)
                    connected_at = time.time()
                    self.assertEqual(WHOLE_STREAM, await read_stream(session, host))
                    process.terminate()
                    output = (await process.stdout.read()).decode()
        (serving,) = [line for line in output.splitlines() if "event=serving " in line]
        serving_at = datetime.fromisoformat(serving.split()[0].removeprefix("time="))
        self.assertGreater(serving_at.timestamp(), connected_at)

    @run_async
    async def test_invalid_settings_end_the_program_with_one_log_line(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            async with running_program("node_name=entry-1\n", path) as process:
                output = (await process.stdout.read()).decode()
                self.assertEqual(2, await process.wait())
        self.assertIn("event=settings_refused", output)
        self.assertIn("settings.", output)

"""Whole answers while real processes are killed and stopped."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from parameterized import parameterized
from testtools import TestCase

from tests.common.processes import (
    Deployment,
    DeploymentOptions,
    RunningProcess,
    deployed,
    get_json,
)
from turmericusher.client import ClientOptions, Received, open_client
from turmericusher.standins.token_model import encode_prompt, text_of, unbroken_answer

LENGTH = 120
FAULT_AT = 40
PROMPT = "Draft the day's lots"
OPTIONS = DeploymentOptions(entries=2, engines=3)
BODY = {"model": "model", "prompt": PROMPT, "max_tokens": LENGTH}
POLL_S = 0.02
START_LIMIT_S = 20.0


def running_engine_of(deployment: Deployment) -> RunningProcess:
    """Return the engine that generates the answer."""
    return next(
        engine
        for engine in deployment.engines
        if get_json(engine.address, "/control/counts")["running"]
    )


def first_entry_of(deployment: Deployment) -> RunningProcess:
    """Return the entry instance that the client connects to."""
    return deployment.entries[0]


def wait_for_upstreams(deployment: Deployment) -> None:
    """Wait until every entry instance serves an answer."""
    for entry in deployment.entries:
        asyncio.run(stream([entry.address], {**BODY, "max_tokens": 1}, lambda: None))


async def stream(
    addresses: list[str], body: dict[str, object], fault: Callable[[], None]
) -> Received:
    """Receive an answer, and let the fault happen in the middle of it."""
    received = Received()
    async with open_client(ClientOptions(seeds=tuple(addresses)), seed=1) as client:
        async for _ in client.stream(body, received):
            if len(received.token_ids) == FAULT_AT:
                await asyncio.to_thread(fault)
    return received


class GenerationProcessesTest(TestCase):
    @parameterized.expand(
        [
            ("engine_killed", running_engine_of, RunningProcess.kill),
            ("engine_stopped", running_engine_of, RunningProcess.freeze),
            ("entry_killed", first_entry_of, RunningProcess.kill),
            ("entry_stopped", first_entry_of, RunningProcess.freeze),
        ]
    )
    def test_an_answer_is_whole_when_its(
        self,
        name: str,
        victim_of: Callable[[Deployment], RunningProcess],
        fault: Callable[[RunningProcess], None],
    ) -> None:
        with deployed(OPTIONS) as deployment:
            wait_for_upstreams(deployment)
            victims: list[RunningProcess] = []

            def strike() -> None:
                victims.append(victim_of(deployment))
                fault(victims[0])

            addresses = [entry.address for entry in deployment.entries]
            started_at = time.monotonic()
            received = asyncio.run(stream(addresses, BODY, strike))
            print(f"{name}: {time.monotonic() - started_at:.2f} s in all")
            expected = unbroken_answer(encode_prompt(PROMPT), 0, LENGTH)
            self.assertEqual(1, len(victims))
            self.assertEqual(expected, tuple(received.token_ids))
            self.assertEqual(text_of(expected), received.text)
            self.assertEqual("length", received.finish_reason)
            assert received.usage is not None
            self.assertEqual(LENGTH, received.usage["completion_tokens"])

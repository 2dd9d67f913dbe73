"""Answers stay whole while real engines and entry instances are killed or paused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import ExitStack

from parameterized import parameterized
from testtools import TestCase

from tests.common.processes import (
    DOMAINS,
    Deployment,
    DeploymentOptions,
    RunningProcess,
    get_json,
    running_deployment,
)
from turmericusher.client import ClientOptions, Received, open_client
from turmericusher.standins.token_model import (
    decode_tokens,
    encode_prompt,
    expected_token_ids,
)

ANSWER_LENGTH = 120
FAULT_AFTER_TOKENS = 40
PROMPT = "Draft the day's lots"
OPTIONS = DeploymentOptions(entries=2, engines=3)
BODY = {"model": "model", "prompt": PROMPT, "max_tokens": ANSWER_LENGTH}


def find_running_engine(deployment: Deployment) -> RunningProcess:
    """Return the engine that is generating the answer."""
    live_engines = [e for e in deployment.engines if e.popen.poll() is None]
    return next(
        engine
        for engine in live_engines
        if get_json(engine.address, "/control/counts")["running"]
    )


def get_first_entry(deployment: Deployment) -> RunningProcess:
    """Return the entry instance in the client's own failure domain."""
    return deployment.entries[0]


def wait_for_upstreams(deployment: Deployment) -> None:
    """Wait until every entry instance can serve an answer."""
    for entry in deployment.entries:
        asyncio.run(stream([entry.address], {**BODY, "max_tokens": 1}, lambda: None))


async def stream(
    addresses: list[str], body: dict[str, object], fault: Callable[[], None]
) -> Received:
    """Receive an answer, and apply a fault in the middle of it."""
    received = Received()
    options = ClientOptions(seeds=tuple(addresses), failure_domain=DOMAINS[0])
    async with open_client(options, seed=1) as client:
        async for _ in client.stream(body, received):
            if len(received.token_ids) == FAULT_AFTER_TOKENS:
                await asyncio.to_thread(fault)
    return received


class GenerationProcessesTest(TestCase):
    """All cases share a deployment: paused processes continue, and kills come last."""

    deployment: Deployment
    stack: ExitStack

    @classmethod
    def setUpClass(cls) -> None:
        cls.stack = ExitStack()
        cls.addClassCleanup(cls.stack.close)
        cls.deployment = cls.stack.enter_context(running_deployment(OPTIONS))
        wait_for_upstreams(cls.deployment)

    @parameterized.expand(
        [
            ("engine_stopped", find_running_engine, RunningProcess.freeze),
            ("entry_stopped", get_first_entry, RunningProcess.freeze),
            ("engine_killed", find_running_engine, RunningProcess.kill),
            ("entry_killed", get_first_entry, RunningProcess.kill),
        ]
    )
    def test_an_answer_is_whole_despite_its(
        self,
        name: str,
        find_victim: Callable[[Deployment], RunningProcess],
        fault: Callable[[RunningProcess], None],
    ) -> None:
        victims: list[RunningProcess] = []

        def apply_fault() -> None:
            victims.append(find_victim(self.deployment))
            fault(victims[0])

        addresses = [entry.address for entry in self.deployment.entries]
        try:
            received = asyncio.run(stream(addresses, BODY, apply_fault))
        finally:
            for victim in victims:
                victim.thaw()
        expected = expected_token_ids(encode_prompt(PROMPT), 0, ANSWER_LENGTH)
        self.assertEqual(1, len(victims))
        self.assertEqual(name.startswith("entry"), received.resumes > 0)
        self.assertEqual(expected, tuple(received.token_ids))
        self.assertEqual(decode_tokens(expected), received.text)
        self.assertEqual("length", received.finish_reason)
        assert received.usage is not None
        self.assertEqual(ANSWER_LENGTH, received.usage["completion_tokens"])

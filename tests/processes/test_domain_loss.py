"""Concurrent answers while all engines of one failure domain are killed."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from tests.common.processes import (
    DOMAINS,
    Deployment,
    DeploymentOptions,
    running_deployment,
)
from turmericusher.client import Client, ClientOptions, open_client
from turmericusher.standins.token_model import encode_prompt, expected_token_ids

ENGINES = 6
ANSWER_COUNT = 24
ANSWER_LENGTH = 120
KILL_AFTER_TOKENS = 30
LIMIT_S = 90.0
OPTIONS = DeploymentOptions(entries=2, engines=ENGINES, token_gap_s=0.02)


class DomainLossTest(TestCase):
    def test_every_caller_gets_its_own_whole_answer(self) -> None:
        with running_deployment(OPTIONS) as system:
            answers = asyncio.run(self.receive_all(system))
        for number, tokens in enumerate(answers):
            prompt = encode_prompt(prompt_for(number))
            self.assertEqual(expected_token_ids(prompt, 0, ANSWER_LENGTH), tokens)

    async def receive_all(self, system: Deployment) -> list[tuple[int, ...]]:
        """Receive all answers; kill a domain's engines once one answer is under way."""
        seed_addresses = tuple(entry.address for entry in system.entries)
        kill_point = asyncio.Event()
        async with (
            asyncio.timeout(LIMIT_S),
            open_client(ClientOptions(seed_addresses)) as client,
        ):
            answer_tasks = [
                asyncio.create_task(receive_tokens(client, number, kill_point))
                for number in range(ANSWER_COUNT)
            ]
            await kill_point.wait()
            for number, engine in enumerate(system.engines):
                if number % len(DOMAINS) == 0:
                    engine.popen.kill()
            return await asyncio.gather(*answer_tasks)


def prompt_for(number: int) -> str:
    """Return a prompt that no other caller sends."""
    return f"lot {number}"


async def receive_tokens(
    client: Client, number: int, kill_point: asyncio.Event
) -> tuple[int, ...]:
    """Return the tokens of one answer; set `kill_point` at `KILL_AFTER_TOKENS`."""
    body = {"model": "model", "prompt": prompt_for(number), "max_tokens": ANSWER_LENGTH}
    tokens: list[int] = []
    async for chunk in client.stream(body):
        tokens += chunk.token_ids
        if len(tokens) >= KILL_AFTER_TOKENS:
            kill_point.set()
    return tuple(tokens)

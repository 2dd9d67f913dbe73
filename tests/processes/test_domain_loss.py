"""Concurrent answers while all engines of one failure domain are killed."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from tests.common.processes import (
    DOMAINS,
    Deployment,
    DeploymentOptions,
    deployed,
)
from turmericusher.client import Client, ClientOptions, open_client
from turmericusher.standins.token_model import encode_prompt, expected_token_ids

ENGINES = 6
ANSWERS = 24
LENGTH = 120
KILL_AFTER_TOKENS = 30
LIMIT_S = 90.0
OPTIONS = DeploymentOptions(entries=2, engines=ENGINES, token_gap_s=0.02)


class DomainLossTest(TestCase):
    def test_every_answer_is_whole_and_its_own(self) -> None:
        with deployed(OPTIONS) as system:
            answers = asyncio.run(self.ask_all(system))
        for number, tokens in enumerate(answers):
            prompt = encode_prompt(prompt_of(number))
            self.assertEqual(expected_token_ids(prompt, 0, LENGTH), tokens)

    async def ask_all(self, system: Deployment) -> list[tuple[int, ...]]:
        """Receive all answers; kill a domain's engines once one answer is under way."""
        seeds = tuple(entry.address for entry in system.entries)
        killed = asyncio.Event()
        async with (
            asyncio.timeout(LIMIT_S),
            open_client(ClientOptions(seeds)) as client,
        ):
            asking = [
                asyncio.create_task(ask(client, number, killed))
                for number in range(ANSWERS)
            ]
            await killed.wait()
            for number, engine in enumerate(system.engines):
                if number % len(DOMAINS) == 0:
                    engine.popen.kill()
            return await asyncio.gather(*asking)


def prompt_of(number: int) -> str:
    """Return a prompt that no other caller sends."""
    return f"lot {number}"


async def ask(client: Client, number: int, halfway: asyncio.Event) -> tuple[int, ...]:
    """Return the tokens of one answer; set `kill_point` at `KILL_AFTER_TOKENS`."""
    body = {"model": "model", "prompt": prompt_of(number), "max_tokens": LENGTH}
    tokens: list[int] = []
    async for piece in client.stream(body):
        tokens += piece.token_ids
        if len(tokens) >= KILL_AFTER_TOKENS:
            halfway.set()
    return tuple(tokens)

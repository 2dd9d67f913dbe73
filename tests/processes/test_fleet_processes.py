"""Rolling restarts and planned stops under load interrupt no answer."""

from __future__ import annotations

import asyncio
import json
import threading
import time
import urllib.error
import urllib.request
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

from testtools import TestCase

from tests.common.processes import (
    DOMAINS,
    OPERATOR_TOKEN,
    Deployment,
    DeploymentOptions,
    RunningProcess,
    get_json,
    post_json,
    running_deployment,
    running_process,
    wait_until_ready,
)
from tests.processes.test_path import stream_completion
from turmericusher.client import ClientOptions, Received, open_client
from turmericusher.standins.token_model import encode_prompt, expected_token_ids

TTL_S = 1.0
TOKENS_PER_ANSWER = 40
CALLERS = 4
STOP_TIMEOUT_S = 40.0
PROPAGATION_LIMIT_S = 3.0
OPTIONS = DeploymentOptions(
    entries=3,
    engines=2,
    services=1,
    extra_settings={"entrypoint_ttl_s": TTL_S, "stop": {"drain_limit_s": 20.0}},
)
LONG_TOKENS = 500
HANDOVER_OPTIONS = DeploymentOptions(
    entries=2,
    engines=2,
    token_gap_s=0.02,
    extra_settings={"entrypoint_ttl_s": 0.5, "stop": {"drain_limit_s": 1.0}},
)
OPERATOR = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


@dataclass
class Caller:
    """A caller that fetches entry points, keeps them for their TTL, and uses them."""

    number: int
    addresses: list[str]
    stopped: threading.Event
    request_count: int = 0
    used_addresses: set[str] = field(default_factory=set)
    errors: list[str] = field(default_factory=list)
    kept: list[str] = field(default_factory=list)
    kept_expires_at: float = 0.0

    def run(self) -> None:
        """Send completions and service calls until stopped, and record each failure."""
        while not self.stopped.is_set():
            address = self.first_address()
            self.used_addresses.add(address)
            try:
                self.check_answer(address)
                post_json(
                    address, "/v1/services/ledger/book", {"lot": self.request_count}
                )
            except (OSError, ValueError, AssertionError) as error:
                self.errors.append(f"{address}: {error!r}")
            self.request_count += 1

    def first_address(self) -> str:
        """Return the first entry point's address; fetch the list anew if it expired."""
        if time.monotonic() >= self.kept_expires_at:
            self.kept = self.fetch_entry_points()
            self.kept_expires_at = time.monotonic() + TTL_S
        return self.kept[0]

    def fetch_entry_points(self) -> list[str]:
        """Fetch the entry points from any instance; skip one that does not listen."""
        for address in self.addresses[self.number % 3 :] + self.addresses:
            asked_at = time.monotonic()
            try:
                answer = get_json(address, "/v1/entrypoints")
            except OSError:
                continue
            if answer["entrypoints"] and time.monotonic() - asked_at < TTL_S:
                return [entry["address"] for entry in answer["entrypoints"]]
        raise AssertionError("no instance gives an entry point")

    def check_answer(self, address: str) -> None:
        """Stream one completion and check that every token is as expected."""
        prompt = f"caller {self.number} request {self.request_count}"
        body = {
            "model": "model",
            "prompt": prompt,
            "max_tokens": TOKENS_PER_ANSWER,
            "return_token_ids": True,
        }
        tokens: list[int] = []
        for event in stream_completion(address, body):
            if "error" in event:
                raise AssertionError(event["error"])
            tokens += event["choices"][0]["token_ids"]
        if tuple(tokens) != expected_token_ids(
            encode_prompt(prompt), 0, TOKENS_PER_ANSWER
        ):
            raise AssertionError(f"{len(tokens)} tokens are not the whole answer")


class FleetProcessTest(TestCase):
    def test_a_rolling_restart_under_load_interrupts_no_request(self) -> None:
        with ExitStack() as stack:
            system = stack.enter_context(running_deployment(OPTIONS))
            wait_for_entrypoints(system, 3)
            stopped = threading.Event()
            addresses = [entry.address for entry in system.entries]
            callers = [Caller(n, addresses, stopped) for n in range(CALLERS)]
            threads = [threading.Thread(target=caller.run) for caller in callers]
            for thread in threads:
                thread.start()
            try:
                for entry in system.entries:
                    self.restart(entry, stack)
                    wait_for_entrypoints(system, 3)
            finally:
                stopped.set()
                for thread in threads:
                    thread.join()
            self.assertEqual([], [fault for one in callers for fault in one.errors])
            self.assertGreater(min(caller.request_count for caller in callers), 5)
            self.assertEqual(
                set(addresses), set().union(*(c.used_addresses for c in callers))
            )
            self.check_profile_and_leaving(system)

    def restart(self, entry: RunningProcess, stack: ExitStack) -> None:
        """Stop an instance and start it again with the same settings and address."""
        assert entry.log_path is not None
        folder = entry.log_path.parent
        entry.terminate()
        self.assertEqual(0, entry.popen.wait(STOP_TIMEOUT_S))
        arguments = ["serve", str(folder / f"{entry.name}.yaml")]
        restarted = stack.enter_context(running_process(entry.name, arguments, folder))
        restarted.address = entry.address
        wait_until_ready(restarted)

    def check_profile_and_leaving(self, system: Deployment) -> None:
        """Check that a change and a leaving mark at one instance hold at another."""
        changed_address, other_address = (
            system.entries[0].address,
            system.entries[2].address,
        )
        profile = put_profile(
            changed_address, "urgent", {"urgency": 1, "expected_revision": 0}
        )
        rollout = get_json(
            other_address, "/v1/operator/profiles/urgent/rollout", OPERATOR
        )
        self.assertEqual(profile["revision"], rollout["revision"])
        self.assertEqual(3, len(rollout["in_force"] + rollout["missing"]))
        post_json(
            changed_address, "/v1/operator/upstreams/engine-0/leave", {}, OPERATOR
        )
        time.sleep(PROPAGATION_LIMIT_S)
        engine = system.engines[0].address
        before = get_json(engine, "/control/counts")
        body = {"model": "model", "prompt": "after the mark", "max_tokens": 4}
        for _ in range(8):
            post_json(other_address, "/v1/completions", body)
        self.assertEqual(before, get_json(engine, "/control/counts"))


class HandoverTest(TestCase):
    def test_answers_longer_than_the_drain_limit_are_handed_over_whole(self) -> None:
        with ExitStack() as stack:
            system = stack.enter_context(running_deployment(HANDOVER_OPTIONS))
            wait_for_entrypoints(system, 2)
            stopping = system.entries[0]
            terminate = threading.Timer(1.0, stopping.terminate)
            terminate.start()
            answers = asyncio.run(self.receive_answers(stopping.address))
            self.assertEqual(0, stopping.popen.wait(STOP_TIMEOUT_S))
            for number, answer in enumerate(answers):
                prompt = encode_prompt(f"long {number}")
                expected = expected_token_ids(prompt, 0, LONG_TOKENS)
                self.assertEqual(expected, tuple(answer.token_ids))
                self.assertEqual(1, answer.resumes)

    async def receive_answers(self, seed_address: str) -> list[Received]:
        """Return complete answers that begin at the instance that will stop."""
        options = ClientOptions(seeds=(seed_address,), failure_domain=DOMAINS[0])
        async with open_client(options, seed=1) as client:
            bodies = [
                {"model": "model", "prompt": f"long {n}", "max_tokens": LONG_TOKENS}
                for n in range(CALLERS)
            ]
            return await asyncio.gather(*(client.complete(body) for body in bodies))


def wait_for_entrypoints(system: Deployment, count: int) -> None:
    """Wait until each instance lists this number of entry points."""
    deadline = time.monotonic() + STOP_TIMEOUT_S
    while time.monotonic() < deadline:
        counts = [
            len(get_json(entry.address, "/v1/entrypoints")["entrypoints"])
            for entry in system.entries
        ]
        if counts == [count] * len(counts):
            return
        time.sleep(0.1)
    raise AssertionError(f"entry points: {counts}")


def put_profile(address: str, name: str, fields: dict[str, Any]) -> Any:
    """Change a profile as an operator and return the answer."""
    request = urllib.request.Request(
        f"http://{address}/v1/operator/profiles/{name}",
        data=json.dumps({**fields, "change_id": "change-0001"}).encode(),
        headers={"Content-Type": "application/json", **OPERATOR},
        method="PUT",
    )
    try:
        with urllib.request.urlopen(request, timeout=STOP_TIMEOUT_S) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError as error:
        raise AssertionError(error.read()) from error

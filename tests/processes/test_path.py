"""The path of a request through separate processes, from end to end."""

from __future__ import annotations

import json
import signal
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import ExitStack
from typing import Any

from testtools import TestCase

from tests.common.processes import (
    OPERATOR_TOKEN,
    STOP_TIMEOUT_S,
    Deployment,
    DeploymentOptions,
    get_json,
    post_json,
    running_deployment,
)
from turmericusher.standins.token_model import (
    decode_tokens,
    encode_prompt,
    expected_token_ids,
)

OPTIONS = DeploymentOptions(entries=1, engines=2, services=1)


def stream_completion(address: str, body: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of a streamed answer."""
    request = urllib.request.Request(
        f"http://{address}/v1/completions",
        data=json.dumps({**body, "stream": True}).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=STOP_TIMEOUT_S) as response:
        for line in response:
            if line.startswith(b"data: {"):
                yield json.loads(line.removeprefix(b"data: "))


class WholePathTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.system: Deployment = stack.enter_context(running_deployment(OPTIONS))
        self.entry = self.system.entries[0].address

    def test_requests_are_served_from_end_to_end(self) -> None:
        self.check_whole_answer()
        self.check_answer_resumes_after_an_engine_is_killed()
        self.check_service_call()
        self.check_operator_needs_token()
        self.check_clean_stop()

    def check_whole_answer(self) -> None:
        """Check the text and the usage of a completion."""
        body = {"model": "model", "prompt": "hello", "max_tokens": 30}
        answer = post_json(self.entry, "/v1/completions", body)
        expected = expected_token_ids(encode_prompt("hello"), 0, 30)
        self.assertEqual(decode_tokens(expected), answer["choices"][0]["text"])
        self.assertEqual(30, answer["usage"]["completion_tokens"])

    def check_answer_resumes_after_an_engine_is_killed(self) -> None:
        """Check that a stream continues with the right tokens on another engine."""
        body = {
            "model": "model",
            "prompt": "kill",
            "max_tokens": 60,
            "return_token_ids": True,
        }
        tokens: list[int] = []
        for number, event in enumerate(stream_completion(self.entry, body)):
            self.assertNotIn("error", event)
            tokens += event["choices"][0]["token_ids"]
            if number == 10:
                self.kill_generating_engine()
        expected = expected_token_ids(encode_prompt("kill"), 0, 60)
        self.assertEqual(expected, tuple(tokens))

    def kill_generating_engine(self) -> None:
        """Kill the engine that is generating the answer."""
        for engine in self.system.engines:
            if get_json(engine.address, "/control/counts")["running"]:
                engine.kill()
                return
        raise AssertionError("no engine runs the generation")

    def check_service_call(self) -> None:
        """Check that a service call reaches the service with its path."""
        answer = post_json(self.entry, "/v1/services/ledger/book", {"lot": 7})
        self.assertEqual("/book", answer["path"])

    def check_operator_needs_token(self) -> None:
        """Check that the state needs the operator's token, and its main contents."""
        refused = self.assertRaises(
            urllib.error.HTTPError, get_json, self.entry, "/debug/state"
        )
        self.assertEqual(401, refused.code)
        refused.close()
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        state = get_json(self.entry, "/debug/state", headers)
        self.assertEqual("entry-0", state["instance"]["name"])
        self.assertTrue(state["profiles"]["is_current"])
        self.assertEqual(2, len(state["upstreams"]) - len(self.system.services))
        self.assertGreaterEqual(state["generations"]["counts"]["ended_deaths"], 1)
        self.assertFalse(state["calls"]["claims"]["store_failing"])

    def check_clean_stop(self) -> None:
        """Check that SIGTERM ends the entry instance with status 0."""
        process = self.system.entries[0]
        process.popen.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.popen.wait(STOP_TIMEOUT_S))

"""Profile changes, leaving marks and planned stops with real entry instances."""

from __future__ import annotations

import json
import time
import urllib.request
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

from testtools import TestCase

from tests.common.processes import (
    OPERATOR_TOKEN,
    POLL_INTERVAL_S,
    STOP_TIMEOUT_S,
    Deployment,
    DeploymentOptions,
    RunningProcess,
    get_json,
    post_json,
    read_log,
    running_deployment,
)
from turmericusher.standins.token_model import encode_prompt, expected_token_ids

OPTIONS = DeploymentOptions(
    entries=3, engines=2, extra_settings={"entrypoint_ttl_s": 1.0}
)
OPERATOR = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
CHANGE_LIMIT_S = 19.0
"""Seconds within which an accepted change must be in force everywhere."""

LEAVE_LIMIT_S = 5.0
"""Seconds after which a leaving upstream must get no new work."""

SIGNAL_HANDLING_S = 0.3
"""Seconds in which a stop signal is handled, fewer than `entrypoint_ttl_s` above.

For the whole TTL, a stopping instance still accepts requests.
"""

STREAM_TOKENS = 200
STOP_AT_TOKEN = 20
REQUESTS_AFTER_LEAVE = 12


def measure_wait(condition: Callable[[], bool], limit_s: float) -> float:
    """Return the seconds until a condition held; fail after the limit."""
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > limit_s:
            raise AssertionError(f"condition not met within {limit_s} s")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


def put_profile(address: str, name: str, fields: dict[str, Any]) -> Any:
    """Change a profile as an operator and return the answer."""
    request = urllib.request.Request(
        f"http://{address}/v1/operator/profiles/{name}",
        data=json.dumps(fields).encode(),
        headers=OPERATOR,
        method="PUT",
    )
    with urllib.request.urlopen(request, timeout=STOP_TIMEOUT_S) as response:
        return json.loads(response.read())


class FleetProcessesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.system: Deployment = stack.enter_context(running_deployment(OPTIONS))

    def test_changes_leaving_marks_and_stops_take_effect_everywhere(self) -> None:
        self.check_change_is_in_force_everywhere()
        self.check_leaving_engine_gets_no_new_work()
        self.check_stop_cuts_off_no_stream()

    def check_change_is_in_force_everywhere(self) -> None:
        """Check that a change at one instance is soon in force at the others."""
        fields = {"expected_revision": 0, "change_id": "change-1", "urgency": 1}
        first, *others = self.system.entries
        revision = put_profile(first.address, "sheets", fields)["revision"]
        for entry in others:
            measure_wait(lambda: self.has_profile(entry, revision), CHANGE_LIMIT_S)  # noqa: B023

    def has_profile(self, entry: RunningProcess, revision: int) -> bool:
        """Return whether an instance has the revision of the profile in force."""
        answer = get_json(entry.address, "/v1/operator/profiles", OPERATOR)
        return any(
            profile["revision"] == revision and profile["profile"]["urgency"] == 1
            for profile in answer["profiles"]
        )

    def check_leaving_engine_gets_no_new_work(self) -> None:
        """Check that a leaving engine gets no request after `LEAVE_LIMIT_S` seconds."""
        leaving = self.system.engines[0]
        path = f"/v1/operator/upstreams/{leaving.name}/leave"
        post_json(self.system.entries[0].address, path, {}, OPERATOR)
        time.sleep(LEAVE_LIMIT_S)
        before = self.count_requests(leaving)
        for number in range(REQUESTS_AFTER_LEAVE):
            entry = self.system.entries[number % len(self.system.entries)]
            body = {"model": "model", "prompt": f"p{number}", "max_tokens": 2}
            post_json(entry.address, "/v1/completions", body)
        self.assertEqual(before, self.count_requests(leaving))
        self.assertGreaterEqual(
            self.count_requests(self.system.engines[1]), REQUESTS_AFTER_LEAVE
        )

    def count_requests(self, engine: RunningProcess) -> int:
        """Return how many requests an engine has received."""
        return int(get_json(engine.address, "/control/counts")["requests"])

    def check_still_accepts(self, stopping: RunningProcess) -> None:
        """Check that a stopping instance is no entry point but still serves callers.

        Callers may use its address until the entry points that they hold expire.
        """
        time.sleep(SIGNAL_HANDLING_S)
        body = {"model": "model", "prompt": "late", "max_tokens": 2}
        answer = post_json(stopping.address, "/v1/completions", body)
        self.assertEqual(2, answer["usage"]["completion_tokens"])
        measure_wait(lambda: not self.is_entry_point(stopping), LEAVE_LIMIT_S)
        self.assertIsNone(stopping.popen.poll())

    def is_entry_point(self, entry: RunningProcess) -> bool:
        """Return whether another instance names this one as an entry point."""
        other = self.system.entries[1]
        entry_points = get_json(other.address, "/v1/entrypoints")["entrypoints"]
        return entry.name in [entry_point["name"] for entry_point in entry_points]

    def check_stop_cuts_off_no_stream(self) -> None:
        """Check that a planned stop completes a stream in progress and exits with 0."""
        stopping = self.system.entries[0]
        tokens: list[int] = []
        finish_reasons: list[str] = []
        body = {
            "model": "model",
            "prompt": "stop",
            "max_tokens": STREAM_TOKENS,
            "stream": True,
            "return_token_ids": True,
        }
        request = urllib.request.Request(
            f"http://{stopping.address}/v1/completions", json.dumps(body).encode()
        )
        with urllib.request.urlopen(request, timeout=STOP_TIMEOUT_S) as response:
            for line in response:
                if not line.startswith(b"data: {"):
                    continue
                (choice,) = json.loads(line.removeprefix(b"data: "))["choices"]
                tokens += choice["token_ids"]
                if len(tokens) == STOP_AT_TOKEN:
                    stopping.terminate()
                    self.check_still_accepts(stopping)
                if choice["finish_reason"]:
                    finish_reasons.append(choice["finish_reason"])
        expected = expected_token_ids(encode_prompt("stop"), 0, STREAM_TOKENS)
        self.assertEqual(expected, tuple(tokens))
        self.assertEqual(["length"], finish_reasons)
        status = stopping.popen.wait(STOP_TIMEOUT_S)
        self.assertEqual(0, status, read_log(stopping))

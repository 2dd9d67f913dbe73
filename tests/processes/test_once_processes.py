"""Execution at most once: callers repeat requests while real processes fail."""

from __future__ import annotations

import json
import re
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from itertools import count

import uuid6
from testtools import TestCase

from tests.common.processes import (
    OPERATOR_TOKEN,
    Deployment,
    DeploymentOptions,
    RunningProcess,
    running_deployment,
)

OPTIONS = DeploymentOptions(entries=3, engines=0, services=2)
CALLERS = 12
REQUEST_TIMEOUT_S = 1.2
CALLER_TIMEOUT_S = 4.5
REPEAT_INTERVAL_S = 0.2
SERVICE_DELAY_S = 0.5
FAULT_AFTER_S = 0.25
FAULT_DURATION_S = 1.5


def put_json(address: str, path: str, body: object) -> None:
    """Send a JSON body by PUT as an operator."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(body).encode(),
        method="PUT",
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        response.read()


def logged_runs(service: RunningProcess, key: str) -> list[str]:
    """Return the numbers of the requests that a service ran, as written to its log.

    The log also has those that a killed service ran.
    """
    assert service.log_path is not None
    pattern = re.compile(rf"event=service_ran key={key} request_name=(\d+)$")
    found = (pattern.search(line) for line in service.log_path.read_text().splitlines())
    return [match.group(1) for match in found if match is not None]


@dataclass(slots=True)
class Caller:
    """Repeats a request with one key at instance after instance until it is answered.

    It also ends when it learns that the request ran, or after its time limit.
    """

    entries: list[str]
    first_entry: int
    is_numbered: bool
    key: str = field(default_factory=lambda: str(uuid6.uuid7()))
    not_run: list[int] = field(default_factory=list)
    answer: str = ""
    may_have_run_verdicts: int = 0

    def run(self) -> None:
        """Repeat the request until that is pointless or the time limit has passed."""
        deadline = time.monotonic() + CALLER_TIMEOUT_S
        for number in count(1):
            entry = self.entries[(self.first_entry + number - 1) % len(self.entries)]
            if self.send(entry, number) or time.monotonic() > deadline:
                return
            time.sleep(REPEAT_INTERVAL_S)

    def send(self, entry: str, number: int) -> bool:
        """Send the request once; return whether a repeat would be pointless."""
        headers = {
            "Idempotency-Key": self.key,
            "Turmericusher-Profile": "booking",
            "Request-Name": str(number),
        }
        if self.is_numbered:
            headers["Turmericusher-Attempt"] = str(number)
        url = f"http://{entry}/v1/services/ledger/book"
        request = urllib.request.Request(url, data=b'{"lot": 7}', headers=headers)
        try:
            with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as response:
                self.answer = response.read().decode()
                return True
        except urllib.error.HTTPError as error:
            detail = json.loads(error.read())["error"]
            error.close()
            if detail["verdict"] == "not_run":
                self.not_run.append(number)
            self.may_have_run_verdicts += detail["verdict"] == "may_have_run"
            return bool(detail["verdict"] == "ran")
        except (OSError, ValueError):
            return False


class OnceProcessTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.system: Deployment = stack.enter_context(running_deployment(OPTIONS))
        self.entries = [entry.address for entry in self.system.entries]
        profile = {
            "idempotent": False,
            "max_wait_s": 2.0,
            "expected_revision": 0,
            "change_id": "booking-0001",
        }
        put_json(self.entries[0], "/v1/operator/profiles/booking", profile)
        slow = {"fault": "slow", "delay_s": SERVICE_DELAY_S}
        for service in self.system.services:
            put_json(service.address, "/control/faults", slow)
        time.sleep(1.5)

    def test_keys_run_at_most_once_while_processes_fail(self) -> None:
        """Every caller is answered unless a killed process lost the answer."""
        system = self.system
        store, service = system.store, system.services[0]
        self.run_case("store frozen", store.freeze, store.thaw)
        self.run_case("service frozen", service.freeze, service.thaw)
        frozen, killed = system.entries[1], system.entries[2]
        self.run_case("entry frozen", frozen.freeze, frozen.thaw)
        self.run_case(
            "entry killed", killed.kill, lambda: None, may_stay_unanswered=True
        )
        self.run_case(
            "service killed", service.kill, lambda: None, may_stay_unanswered=True
        )

    def run_case(
        self,
        name: str,
        fail: Callable[[], None],
        heal: Callable[[], None],
        may_stay_unanswered: bool = False,
    ) -> None:
        """Let callers repeat their keys during a fault, and check the runs of each."""
        callers = [
            Caller(self.entries, number, number % 2 == 0) for number in range(CALLERS)
        ]
        threads = [threading.Thread(target=caller.run) for caller in callers]
        for thread in threads:
            thread.start()
        time.sleep(FAULT_AFTER_S)
        fail()
        time.sleep(FAULT_DURATION_S)
        heal()
        for thread in threads:
            thread.join()
        for caller in callers:
            self.check_caller(name, caller, may_stay_unanswered)

    def check_caller(
        self, name: str, caller: Caller, may_stay_unanswered: bool
    ) -> None:
        """Compare the verdicts of one caller with the runs at all services."""
        ran: list[str] = []
        for service in self.system.services:
            ran += logged_runs(service, caller.key)
        self.assertLessEqual(len(ran), 1, f"{name}: {ran}")
        if caller.answer:
            self.assertEqual(1, len(ran), name)
        elif not may_stay_unanswered:
            self.fail(f"{name}: {caller} got no answer, ran {ran}")
        for number in caller.not_run:
            self.assertNotIn(str(number), ran, name)
            if caller.is_numbered:
                self.assertFalse(
                    [ran_number for ran_number in ran if int(ran_number) < number], name
                )
